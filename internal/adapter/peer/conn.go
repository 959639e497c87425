package peer

import (
	"encoding/binary"
	"net"
)

// The parts of a yamux frame header that muxConn looks at; see the
// specification of yamux.
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// muxConn is the connection below a yamux session. It counts bytes and sends
// the header of a data frame together with its body: yamux writes them one
// after the other, which costs a system call and wakes the receiver for a
// header alone. Only the session's one sending goroutine may write.
type muxConn struct {
	net.Conn
	counters *counters
	header   []byte // held back until the body is written
}

func newMuxConn(conn net.Conn, counters *counters) *muxConn {
	return &muxConn{Conn: conn, counters: counters, header: make([]byte, 0, muxHeaderSize)}
}

// Read implements net.Conn.
func (c *muxConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *muxConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && bodyFollows(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	buffers := net.Buffers{c.header, p}
	n, err := buffers.WriteTo(c.Conn)
	c.counters.bytesSent.Add(int(n))
	held := len(c.header)
	c.header = c.header[:0]
	return max(0, int(n)-held), err
}

// bodyFollows reports whether a write is the header of a data frame with a
// body, which is the next write.
func bodyFollows(p []byte) bool {
	return len(p) == muxHeaderSize && p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}

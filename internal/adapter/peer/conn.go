package peer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// The fields of a yamux frame header that muxConn reads; see the yamux
// specification.
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// muxConn is the connection below a yamux session. It counts bytes and sends
// the header of a data frame together with its body: yamux writes them
// separately, which costs an extra system call and wakes the receiver for the
// header alone. Only the session's single sending goroutine may write.
type muxConn struct {
	net.Conn
	counters   *counters
	heldHeader []byte // data frame header held until its body is written
}

func newMuxConn(conn net.Conn, counters *counters) *muxConn {
	return &muxConn{Conn: conn, counters: counters, heldHeader: make([]byte, 0, muxHeaderSize)}
}

// Read implements net.Conn.
func (c *muxConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *muxConn) Write(p []byte) (int, error) {
	if len(c.heldHeader) == 0 && bodyFollows(p) {
		c.heldHeader = append(c.heldHeader, p...)
		return len(p), nil
	}
	buffers := net.Buffers{c.heldHeader, p}
	n, err := buffers.WriteTo(c.Conn)
	c.counters.bytesSent.Add(int(n))
	headerLen := len(c.heldHeader)
	c.heldHeader = c.heldHeader[:0]
	return max(0, int(n)-headerLen), err
}

// bodyFollows reports whether p is the header of a data frame with a body, which
// yamux passes to the next Write.
func bodyFollows(p []byte) bool {
	return len(p) == muxHeaderSize && p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}

// closeMux closes the connection and then its session. A session that is closed first wakes
// the readers of its streams, which spin until its receiver has noticed the end of the
// connection; on a single processor they keep the receiver from running.
func closeMux(conn net.Conn, mux *yamux.Session) {
	_ = conn.Close()
	_ = mux.Close()
}

// keepAlive closes the connection once the other side does not answer a ping in time. It
// returns when the session has ended.
func keepAlive(conn net.Conn, mux *yamux.Session) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-ticker.C:
		}
		if _, err := mux.Ping(); err != nil {
			closeMux(conn, mux)
			return
		}
	}
}

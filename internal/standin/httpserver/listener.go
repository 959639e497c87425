package httpserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections beyond the limit right away, as a VM
// with a full connection table would.
type limitedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: conn, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

package httpserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener accepts connections beyond the limit and closes them at once,
// like a VM whose connection table is full.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
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

package entry

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limits on what is read from a connection after its last answer.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// idleGrace is how long a connection must have been idle before a shutdown
// closes it, since the next request may already be in transit on a connection
// that was just used.
const idleGrace = time.Second

// limitedListener limits the number of connections and the time that a caller may
// take to send one request, so that slow callers can't hold connections
// indefinitely.
type limitedListener struct {
	net.Listener
	maxConnections int
	readTimeout    time.Duration // for one complete request; zero for no limit
	grace          time.Duration // idle time before a shutdown closes a connection

	mu     sync.Mutex
	open   map[*limitedConn]struct{}
	closed bool
}

func newLimitedListener(inner net.Listener, maxConnections int, readTimeout time.Duration) *limitedListener {
	return &limitedListener{
		Listener:       inner,
		maxConnections: maxConnections,
		readTimeout:    readTimeout,
		grace:          idleGrace,
		open:           make(map[*limitedConn]struct{}),
	}
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited := &limitedConn{Conn: conn, listener: l}
		limited.idleSince.Store(time.Now().UnixNano())
		if l.add(limited) {
			return limited, nil
		}
		_ = conn.Close()
	}
}

func (l *limitedListener) add(conn *limitedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.maxConnections > 0 && len(l.open) >= l.maxConnections {
		return false
	}
	l.open[conn] = struct{}{}
	return true
}

func (l *limitedListener) remove(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

func (l *limitedListener) stopAccepting() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.Close()
}

// closeIdle closes the connections that have been idle for longer than the grace
// period and returns the number of the others.
func (l *limitedListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := 0
	for conn := range l.open {
		if !conn.idle() {
			remaining++
			continue
		}
		_ = conn.Conn.Close()
		delete(l.open, conn)
	}
	return remaining
}

// limitedConn is one caller's connection. A request begins with the first byte
// that is read after an answer.
type limitedConn struct {
	net.Conn
	listener     *limitedListener
	requestStart atomic.Int64 // Unix time in ns of the request's first byte, or 0
	idleSince    atomic.Int64 // Unix time in ns of the accept or the last answer
	answering    atomic.Bool  // at least part of the answer has been written
	once         sync.Once
}

func (c *limitedConn) idle() bool {
	return c.requestStart.Load() == 0 && time.Since(time.Unix(0, c.idleSince.Load())) > c.listener.grace
}

// Read implements net.Conn. It fails once the current request has been arriving
// for longer than the listener's read timeout.
func (c *limitedConn) Read(p []byte) (int, error) {
	since := c.requestStart.Load()
	if c.answering.Swap(false) {
		since = 0 // the answer was sent; this read waits for the next request
		c.requestStart.Store(0)
	}
	if limit := c.listener.readTimeout; since != 0 && limit > 0 && time.Since(time.Unix(0, since)) > limit {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestStart.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.idleSince.Store(time.Now().UnixNano())
	c.answering.Store(true)
	return n, err
}

// Close implements net.Conn. After an answer it discards for a short time what
// the caller still sends: closing immediately would reset the connection, and the
// caller could lose the answer.
func (c *limitedConn) Close() error {
	var err error
	c.once.Do(func() {
		c.listener.remove(c)
		tcp, ok := c.Conn.(*net.TCPConn)
		if !ok || !c.answering.Load() || tcp.CloseWrite() != nil {
			err = c.Conn.Close()
			return
		}
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
		go func() {
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
			_ = tcp.Close()
		}()
	})
	return err
}

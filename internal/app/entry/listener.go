package entry

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds on what is read after the last answer of a connection.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// idleGrace is how long a connection must have been idle before a shutdown
// closes it: a request may be on its way on one that was just used.
const idleGrace = time.Second

// guardedListener bounds the connections and the time that each may take to
// send one request, so that slow callers can't hold connections for ever.
type guardedListener struct {
	net.Listener
	most     int
	readTime time.Duration // for one whole request; zero for no bound
	grace    time.Duration // idle time before a shutdown closes a connection

	mu     sync.Mutex
	open   map[*guardedConn]struct{}
	closed bool
}

func newGuardedListener(inner net.Listener, most int, readTime time.Duration) *guardedListener {
	return &guardedListener{
		Listener: inner,
		most:     most,
		readTime: readTime,
		grace:    idleGrace,
		open:     make(map[*guardedConn]struct{}),
	}
}

// Accept implements net.Listener. Connections beyond the bound are closed.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded := &guardedConn{Conn: conn, listener: l}
		guarded.idleSince.Store(time.Now().UnixNano())
		if l.add(guarded) {
			return guarded, nil
		}
		_ = conn.Close()
	}
}

func (l *guardedListener) add(conn *guardedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.most > 0 && len(l.open) >= l.most {
		return false
	}
	l.open[conn] = struct{}{}
	return true
}

func (l *guardedListener) remove(conn *guardedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

func (l *guardedListener) stopAccepting() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.Close()
}

// closeIdle closes the connections that have been idle for long enough and
// returns how many others there are.
func (l *guardedListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := 0
	for conn := range l.open {
		if !conn.idle() {
			left++
			continue
		}
		_ = conn.Conn.Close()
		delete(l.open, conn)
	}
	return left
}

// guardedConn is one caller's connection. A request begins with the first byte
// that is read after an answer.
type guardedConn struct {
	net.Conn
	listener  *guardedListener
	busySince atomic.Int64 // Unix time in ns of the request's first byte, or 0
	idleSince atomic.Int64 // Unix time in ns of the accept or the last answer
	writing   atomic.Bool  // part of the answer has been written
	once      sync.Once
}

func (c *guardedConn) idle() bool {
	return c.busySince.Load() == 0 && time.Since(time.Unix(0, c.idleSince.Load())) > c.listener.grace
}

// Read implements net.Conn. It fails once a request has been arriving for too
// long.
func (c *guardedConn) Read(p []byte) (int, error) {
	since := c.busySince.Load()
	if c.writing.Swap(false) {
		since = 0 // the answer is out; this read waits for the next request
		c.busySince.Store(0)
	}
	if limit := c.listener.readTime; since != 0 && limit > 0 && time.Since(time.Unix(0, since)) > limit {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.busySince.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.idleSince.Store(time.Now().UnixNano())
	c.writing.Store(true)
	return n, err
}

// Close implements net.Conn. What the caller still sends after the answer is
// read and dropped for a moment: closing at once would reset the connection
// and could take the answer away from the caller.
func (c *guardedConn) Close() error {
	var err error
	c.once.Do(func() {
		c.listener.remove(c)
		tcp, ok := c.Conn.(*net.TCPConn)
		if !ok || !c.writing.Load() || tcp.CloseWrite() != nil {
			err = c.Conn.Close()
			return
		}
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		go func() {
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
			_ = tcp.Close()
		}()
	})
	return err
}

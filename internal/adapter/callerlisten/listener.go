// Package callerlisten accepts callers' connections for an HTTP server and knows
// which of them have a request without a complete answer, so that a server can stop
// without leaving a request unanswered.
package callerlisten

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits on what is read from a connection after its last answer.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// DefaultIdleGrace is the usual value of Listener.IdleGrace.
const DefaultIdleGrace = time.Second

// acceptRetryPause is the pause after a connection could not be accepted for want of
// file descriptors or memory.
const acceptRetryPause = 50 * time.Millisecond

var processStart = time.Now()

// monotonic returns the time since the start of the process, in ns. It does not follow
// jumps of the time of day.
func monotonic() int64 { return int64(time.Since(processStart)) }

func since(ns int64) time.Duration { return time.Duration(monotonic() - ns) }

// Listener limits the number of connections and the time that a caller may
// take to send one request, so that slow callers can't hold connections
// indefinitely. The fields must not change while it is in use.
type Listener struct {
	net.Listener
	MaxConnections int           // zero for no limit
	ReadTimeout    time.Duration // for one complete request; zero for no limit
	// IdleGrace is how long a connection must have been idle before CloseIdle closes
	// it, since the next request may already be in transit on a connection that was
	// just used.
	IdleGrace time.Duration
	Logger    logrus.FieldLogger

	mu     sync.Mutex
	open   map[*conn]struct{}
	closed bool
}

// Listen returns a listener on the TCP address without limits.
func Listen(address string, logger logrus.FieldLogger) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, IdleGrace: DefaultIdleGrace, Logger: logger}, nil
}

// Accept implements net.Listener. It closes connections beyond the limit, and tries
// again after an error that passes.
func (l *Listener) Accept() (net.Conn, error) {
	for failing := false; ; {
		inner, err := l.Listener.Accept()
		if passes(err) {
			if !failing {
				failing = true
				l.Logger.WithError(err).Warn("accepting a caller's connection failed; retrying")
			}
			time.Sleep(acceptRetryPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		accepted := &conn{Conn: inner, listener: l}
		accepted.idleSince.Store(monotonic())
		if l.add(accepted) {
			return accepted, nil
		}
		_ = inner.Close()
	}
}

// passes reports whether an accept may succeed later although it failed with err.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ECONNABORTED)
}

func (l *Listener) add(accepted *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.MaxConnections > 0 && len(l.open) >= l.MaxConnections {
		return false
	}
	if l.open == nil {
		l.open = map[*conn]struct{}{}
	}
	l.open[accepted] = struct{}{}
	return true
}

func (l *Listener) remove(closed *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, closed)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// StopAccepting closes the listener; open connections stay open.
func (l *Listener) StopAccepting() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.Close()
}

// CloseIdle closes the connections that have been idle for longer than IdleGrace and
// returns the number of the others.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := 0
	for c := range l.open {
		if !c.idle() {
			remaining++
			continue
		}
		_ = c.Conn.Close()
		delete(l.open, c)
	}
	return remaining
}

// conn is one caller's connection. A request begins with the first byte
// that is read after an answer.
type conn struct {
	net.Conn
	listener     *Listener
	requestStart atomic.Int64 // monotonic time in ns of the request's first byte, or 0
	idleSince    atomic.Int64 // monotonic time in ns of the accept or the last answer
	answering    atomic.Bool  // at least part of the answer has been written
	once         sync.Once
}

func (c *conn) idle() bool {
	return c.requestStart.Load() == 0 && since(c.idleSince.Load()) > c.listener.IdleGrace
}

// Read implements net.Conn. It fails once the current request has been arriving
// for longer than the listener's read timeout.
func (c *conn) Read(p []byte) (int, error) {
	start := c.requestStart.Load()
	if c.answering.Swap(false) {
		start = 0 // the answer was sent; this read waits for the next request
		c.requestStart.Store(0)
	}
	if limit := c.listener.ReadTimeout; start != 0 && limit > 0 && since(start) > limit {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestStart.CompareAndSwap(0, monotonic())
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.idleSince.Store(monotonic())
	c.answering.Store(true)
	return n, err
}

// Close implements net.Conn. After an answer it discards for a short time what
// the caller still sends: closing immediately would reset the connection, and the
// caller could lose the answer.
func (c *conn) Close() error {
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

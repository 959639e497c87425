// Package callerlisten accepts callers' connections for an HTTP server and knows
// which of them have a request without a complete answer, so that a server can stop
// without leaving a request unanswered.
package callerlisten

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits on what is read from a connection after its last answer.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// lingeringPart is the part of MaxConnections that may be closed and still read.
	lingeringPart = 4
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
	// AddressShare is the part of MaxConnections that one remote address may take; zero
	// for no limit.
	AddressShare float64

	guard  *Guard // nil for a listener without one
	limits func() Limits
	logger logrus.FieldLogger
	closed [numReasons]closedCount

	mu        sync.Mutex
	open      map[*conn]struct{}
	byAddress map[string]int // open connections
	lingering int            // closed connections that still receive
	stopped   bool
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
		accepted := &conn{Conn: inner, listener: l, address: host(inner.RemoteAddr())}
		accepted.idleSince.Store(monotonic())
		if l.add(accepted) {
			return accepted, nil
		}
		_ = inner.Close()
	}
}

// host returns the address without its port.
func host(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return string(tcp.IP)
	}
	return ""
}

// passes reports whether an accept may succeed later although it failed with err.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ECONNABORTED)
}

// add registers a connection. If there is no room for it, the connection that has gone
// without a complete request for too long makes room, or else the new one is refused.
func (l *Listener) add(accepted *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	if l.MaxConnections > 0 && l.AddressShare > 0 && accepted.address != "" &&
		float64(l.byAddress[accepted.address]) >= l.AddressShare*float64(l.MaxConnections) && !l.replace(accepted.address, reasonAddress) {
		return false
	}
	if l.MaxConnections > 0 && len(l.open) >= l.MaxConnections && !l.replace("", reasonFull) {
		return false
	}
	if l.open == nil {
		l.open, l.byAddress = map[*conn]struct{}{}, map[string]int{}
	}
	l.open[accepted] = struct{}{}
	l.byAddress[accepted.address]++
	return true
}

// replace closes a replaceable connection and counts that one, or the new one if there
// is none. The caller holds l.mu.
func (l *Listener) replace(address string, r reason) bool {
	l.count(r)
	if l.guard == nil {
		return false
	}
	oldest := l.replaceable(address)
	if oldest == nil || !oldest.setEvicted() {
		return false
	}
	l.forget(oldest)
	_ = oldest.Conn.Close()
	return true
}

// forget removes a connection. The caller holds l.mu.
func (l *Listener) forget(c *conn) {
	if _, open := l.open[c]; !open {
		return
	}
	delete(l.open, c)
	if l.byAddress[c.address]--; l.byAddress[c.address] <= 0 {
		delete(l.byAddress, c.address)
	}
}

func (l *Listener) remove(closed *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(closed)
}

// beginLinger reports whether one more closed connection may go on receiving.
func (l *Listener) beginLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxConnections > 0 && l.lingering >= l.MaxConnections/lingeringPart {
		return false
	}
	l.lingering++
	return true
}

func (l *Listener) endLinger() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
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
	l.stopped = true
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
		l.forget(c)
	}
	return remaining
}

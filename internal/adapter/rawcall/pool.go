package rawcall

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
)

var (
	connectionsOpened     = metrics.NewCounter("balsam_raw_connections_opened_total")
	connectionsDelayed    = metrics.NewCounter("balsam_raw_connections_delayed_total")
	connectionsUnanswered = metrics.NewCounter(`balsam_raw_connections_closed_total{reason="unanswered"}`)
	connectionsSuspect    = metrics.NewCounter(`balsam_raw_connections_closed_total{reason="host_silent"}`)
	connectionsSurplus    = metrics.NewCounter(`balsam_raw_connections_closed_total{reason="surplus"}`)
)

// use tells what became of a connection that a call had.
type use int

const (
	unused     use = iota // it may serve another call
	answered              // it may serve another call
	ended                 // it is closed after an answer
	broken                // it is closed
	unanswered            // it is closed, with a request sent
)

// pool holds the connections to all hosts within the limits.
type pool struct {
	limits httpcall.Limits
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	hosts   map[string]*host // with an open connection or a waiting call
	idle    idleList
	dials   dials
	silence silence
	// expiry closes connections that were idle for idleTimeout; nil while none is idle.
	expiry *time.Timer
}

// host holds the connections to one host.
type host struct {
	address string
	open    int           // connections, including those that are being opened
	dialing int           // connections that are being opened
	short   int           // calls that are not long and have a connection
	idle    []*connection // longest idle first
	waiting []*waiter     // longest waiting first
	// answered is the time of the latest answer; zero before the first.
	answered time.Time
}

// waiter is a call that waits for a connection, or for the permission to open one.
type waiter struct {
	address string
	long    bool
	forDial bool             // waits for the permission as well
	given   chan *connection // capacity 1; nil is the permission
}

// acquire returns a connection to the host for a call, with the context's deadline.
// Nothing has been sent on it for this call.
func (p *pool) acquire(ctx context.Context, address string, long bool) (*connection, error) {
	for {
		conn, w, may := p.take(address, long)
		if w != nil {
			var err error
			if conn, err = p.wait(ctx, address, w, may); err != nil {
				return nil, err
			}
		}
		if conn == nil {
			return p.open(ctx, address, long)
		}
		if p.reuse(ctx, conn, long) {
			return conn, nil
		}
	}
}

// acquireTo returns an idle connection to the process at the address, with the context's
// deadline, or nil if there is none.
func (p *pool) acquireTo(ctx context.Context, address string, process any, long bool) *connection {
	for {
		conn := p.takeTo(address, process, long)
		if conn == nil || p.reuse(ctx, conn, long) {
			return conn
		}
	}
}

// reuse prepares a connection for another call, or closes it if it is no longer usable.
func (p *pool) reuse(ctx context.Context, conn *connection, long bool) bool {
	deadline, _ := ctx.Deadline()
	conn.begun = time.Now()
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, which the probe finds
	if conn.silent.check() {
		conn.reused = true
		return true
	}
	p.release(conn, long, broken)
	return false
}

// takeTo returns the idle connection to the process that was used last, or nil.
func (p *pool) takeTo(address string, process any, long bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		return nil
	}
	for _, conn := range slices.Backward(h.idle) {
		if conn.process == process {
			p.removeIdle(conn)
			h.begin(long)
			return conn
		}
	}
	return nil
}

// take returns an idle connection, or a waiter for one, or neither if the caller is to
// open one. may reports that the waiter may give up waiting and open one.
func (p *pool) take(address string, long bool) (conn *connection, w *waiter, may bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{address: address}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		conn = h.idle[n-1]
		p.removeIdle(conn)
		h.begin(long)
		return conn, nil, false
	}
	below := !p.full(h)
	needed := below && (long || h.short == 0)
	if needed && p.beginDial(h, long) {
		h.begin(long)
		return nil, nil, false
	}
	w = &waiter{address: address, long: long, given: make(chan *connection, 1)}
	needed = needed && (long || !slices.ContainsFunc(h.waiting, func(other *waiter) bool { return !other.long }))
	h.waiting = append(h.waiting, w)
	if needed {
		p.awaitDial(w)
	}
	return nil, w, below && !needed
}

func (h *host) begin(long bool) {
	if !long {
		h.short++
	}
}

func (h *host) end(long bool) {
	if !long {
		h.short--
	}
}

// wait waits for a connection, or returns nil with the permission to open one.
func (p *pool) wait(ctx context.Context, address string, w *waiter, may bool) (*connection, error) {
	var patience <-chan time.Time
	if may {
		timer := time.NewTimer(shareWait)
		defer timer.Stop()
		patience = timer.C
	}
	for {
		select {
		case conn := <-w.given:
			return conn, nil
		case <-patience:
			patience = nil
			if p.permit(address, w) {
				return nil, nil
			}
		case <-ctx.Done():
			p.abandon(address, w)
			return nil, context.Cause(ctx)
		}
	}
}

// permit ends the wait of a waiter that may open a connection now. It returns false at
// the limits, or if the waiter was given something meanwhile.
func (p *pool) permit(address string, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || p.full(h) {
		return false
	}
	i := slices.Index(h.waiting, w)
	if i < 0 || w.forDial {
		return false
	}
	if !p.beginDial(h, w.long) {
		p.awaitDial(w)
		return false
	}
	h.waiting = slices.Delete(h.waiting, i, i+1)
	h.begin(w.long)
	return true
}

// abandon ends the wait of a waiter whose context has ended.
func (p *pool) abandon(address string, w *waiter) {
	p.mu.Lock()
	if h := p.hosts[address]; h != nil {
		if i := slices.Index(h.waiting, w); i >= 0 {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			p.forget(h)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	conn := <-w.given // it was given something at the same time
	if conn == nil {
		p.giveUp(address, w.long)
		return
	}
	p.release(conn, w.long, unused)
}

// open opens a connection that is counted already.
func (p *pool) open(ctx context.Context, address string, long bool) (*connection, error) {
	opened, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.giveUp(address, long)
		return nil, err
	}
	connectionsOpened.Inc()
	p.mu.Lock()
	conn := &connection{Conn: opened, host: p.hosts[address], begun: time.Now()}
	p.dials.current--
	conn.host.dialing--
	p.serveDials()
	p.mu.Unlock()
	if raw, ok := opened.(syscall.Conn); ok {
		if conn.silent.raw, err = raw.SyscallConn(); err != nil {
			p.release(conn, long, broken)
			return nil, err
		}
	}
	conn.silent.init()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		p.release(conn, long, broken)
		return nil, err
	}
	return conn, nil
}

// giveUp undoes the counting of a connection that was not opened.
func (p *pool) giveUp(address string, long bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.end(long)
	p.dials.current--
	h.dialing--
	p.closed(h)
	p.serveDials()
}

// closed is called when a connection to the host no longer counts. It lets a waiter
// open one. The caller holds mu.
func (p *pool) closed(h *host) {
	h.open--
	i := slices.IndexFunc(h.waiting, func(w *waiter) bool { return !w.forDial })
	if i >= 0 {
		if w := h.waiting[i]; p.beginDial(h, w.long) {
			h.give(w, nil)
		} else {
			p.awaitDial(w)
		}
	}
	p.forget(h)
}

// give gives the connection, or the permission to open one, to a waiter.
func (h *host) give(w *waiter, conn *connection) {
	i := slices.Index(h.waiting, w)
	h.waiting = slices.Delete(h.waiting, i, i+1)
	h.begin(w.long)
	w.given <- conn
}

// forget removes a host without connections and waiters. The caller holds mu.
func (p *pool) forget(h *host) {
	if h.open == 0 && len(h.waiting) == 0 {
		delete(p.hosts, h.address)
	}
}

// release returns a connection after a call. If the call got no answer, the host's idle
// connections may be as unresponsive: they are closed if the host answered no other call
// meanwhile, while most hosts answer.
func (p *pool) release(conn *connection, long bool, after use) {
	var surplus []*connection
	now := time.Now()
	p.mu.Lock()
	h := conn.host
	h.end(long)
	if after == answered || after == ended {
		h.answered = now
		p.silence.observe(true, now)
	}
	switch {
	case after == unanswered:
		p.silence.observe(false, now)
		connectionsUnanswered.Inc()
		surplus = append(p.closeSuspect(h, conn.begun), conn)
		p.closed(h)
	case after != unused && after != answered:
		surplus = append(surplus, conn)
		p.closed(h)
	case len(h.waiting) > 0:
		h.give(h.waiting[0], conn)
	default:
		_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection, which the probe finds
		surplus = p.addIdle(conn)
		connectionsSurplus.Add(len(surplus))
	}
	p.mu.Unlock()
	for _, c := range surplus {
		_ = c.Close()
	}
}

// closeSuspect removes the idle connections of a host that has not answered since the given
// time, while most hosts answer. The caller closes them and holds mu.
func (p *pool) closeSuspect(h *host, since time.Time) (suspect []*connection) {
	if h.answered.After(since) || p.silence.general() {
		return nil
	}
	for len(h.idle) > 0 {
		suspect = append(suspect, p.closeIdle(h.idle[0]))
	}
	connectionsSuspect.Add(len(suspect))
	return suspect
}

// addIdle keeps a connection until the next call and returns those that exceed the
// limits then. The caller holds mu.
func (p *pool) addIdle(conn *connection) (surplus []*connection) {
	h := conn.host
	conn.idleSince = time.Now()
	h.idle = append(h.idle, conn)
	p.idle.add(conn)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(idleTimeout, p.closeExpired)
	}
	tooMany := p.limits.Idle != 0 && p.idle.Len() > p.limits.Idle
	switch {
	case p.limits.IdlePerHost != 0 && len(h.idle) > p.limits.IdlePerHost,
		tooMany && len(h.idle) > 1: // rather than the only one of another host
		surplus = append(surplus, p.closeIdle(h.idle[0]))
	case tooMany:
		surplus = append(surplus, p.closeIdle(p.idle.oldest()))
	}
	return surplus
}

// closeIdle removes an idle connection, which the caller then closes. The caller holds
// mu.
func (p *pool) closeIdle(conn *connection) *connection {
	p.removeIdle(conn)
	p.closed(conn.host)
	return conn
}

func (p *pool) removeIdle(conn *connection) {
	h := conn.host
	i := slices.Index(h.idle, conn)
	h.idle = slices.Delete(h.idle, i, i+1)
	p.idle.remove(conn)
}

// closeExpired closes the connections that were idle for idleTimeout.
func (p *pool) closeExpired() {
	var expired []*connection
	p.mu.Lock()
	for p.idle.Len() > 0 && time.Since(p.idle.oldest().idleSince) >= idleTimeout {
		expired = append(expired, p.closeIdle(p.idle.oldest()))
	}
	p.expiry = nil
	if p.idle.Len() > 0 {
		p.expiry = time.AfterFunc(idleTimeout-time.Since(p.idle.oldest().idleSince), p.closeExpired)
	}
	p.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

package rawcall

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
)

// dials bounds the connections that are opened to all hosts together: how many at once,
// and how many a second, of which up to a second's may be opened in a burst.
type dials struct {
	limits  httpcall.Limits
	current int
	credit  float64 // connections that could be begun at the time since
	since   time.Time
	// Waiters for the permission to open a connection, longest waiting first. Some of them
	// may have ended their wait.
	long, short []*waiter
	retry       *time.Timer // serves the waiters when the rate allows it; nil while none is due
}

// begin counts a connection that is being opened, or returns false at the bounds.
func (d *dials) begin() bool {
	if d.limits.Dials != 0 && d.current >= d.limits.Dials {
		return false
	}
	if rate := float64(d.limits.DialsPerSecond); rate != 0 {
		now := time.Now()
		if d.since.IsZero() {
			d.credit = rate
		}
		d.credit = min(rate, d.credit+now.Sub(d.since).Seconds()*rate)
		d.since = now
		if d.credit < 1 {
			return false
		}
		d.credit--
	}
	d.current++
	return true
}

// queue returns the waiters of a kind of calls. Long ones go first: leases depend on polls.
func (d *dials) queue(long bool) *[]*waiter {
	if long {
		return &d.long
	}
	return &d.short
}

// beginDial counts a connection that a call is about to open, or returns false while others
// wait or the bounds are reached. The caller holds mu.
func (p *pool) beginDial(h *host, long bool) bool {
	if len(p.dials.long) > 0 || !long && len(p.dials.short) > 0 || !p.dials.begin() {
		return false
	}
	h.open++
	h.dialing++
	return true
}

// awaitDial makes a waiter wait for the permission to open a connection. The caller holds
// mu.
func (p *pool) awaitDial(w *waiter) {
	if w.forDial {
		return
	}
	w.forDial = true
	connectionsDelayed.Inc()
	queue := p.dials.queue(w.long)
	*queue = append(*queue, w)
	p.serveDials()
}

// serveDials gives waiters the permission to open a connection. Those to a host to which
// one is being opened stay, since they may share it. The caller holds mu.
func (p *pool) serveDials() {
	for _, long := range [...]bool{true, false} {
		queue := p.dials.queue(long)
		atBound := false
		*queue = slices.DeleteFunc(*queue, func(w *waiter) bool {
			h := p.hosts[w.address]
			if h == nil || !slices.Contains(h.waiting, w) {
				return true
			}
			if p.full(h) {
				w.forDial = false // until a connection to the host is closed
				return true
			}
			if atBound || h.dialing > 0 {
				return false
			}
			if atBound = !p.dials.begin(); atBound {
				return false
			}
			h.open++
			h.dialing++
			h.give(w, nil)
			return true
		})
		if atBound {
			p.retryDials()
			return
		}
	}
}

// retryDials serves the waiters again when the rate allows the next connection. At the
// bound of connections at once, the end of a dial does. The caller holds mu.
func (p *pool) retryDials() {
	d := &p.dials
	if d.retry != nil || d.limits.DialsPerSecond == 0 || d.credit >= 1 {
		return
	}
	pause := time.Duration((1 - d.credit) / float64(d.limits.DialsPerSecond) * float64(time.Second))
	d.retry = time.AfterFunc(max(pause, time.Millisecond), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dials.retry = nil
		p.serveDials()
	})
}

// full reports whether the host has as many connections as it may have.
func (p *pool) full(h *host) bool {
	return p.limits.PerHost != 0 && h.open >= p.limits.PerHost
}

// silence tells a host that does not answer from a node that receives few answers. It
// counts the calls of the last one to two windows.
type silence struct {
	answered, unanswered [2]int // in the current window and the one before
	since                time.Time
}

const silenceWindow = time.Second

func (s *silence) observe(answered bool, now time.Time) {
	switch elapsed := now.Sub(s.since); {
	case elapsed >= 2*silenceWindow:
		*s = silence{since: now}
	case elapsed >= silenceWindow:
		s.answered = [2]int{0, s.answered[0]}
		s.unanswered = [2]int{0, s.unanswered[0]}
		s.since = s.since.Add(silenceWindow)
	}
	if answered {
		s.answered[0]++
	} else {
		s.unanswered[0]++
	}
}

// general reports whether more than a third of the calls to all hosts were not answered.
func (s *silence) general() bool {
	return 2*(s.unanswered[0]+s.unanswered[1]) > s.answered[0]+s.answered[1]
}

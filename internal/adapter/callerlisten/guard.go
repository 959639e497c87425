package callerlisten

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// sweepInterval is the precision of all time limits.
	sweepInterval = time.Second
	// After the process has stood still for maxSweepGap, sweepsSkipped sweeps are left
	// out, so that what has arrived meanwhile is read first.
	maxSweepGap   = 2 * sweepInterval
	sweepsSkipped = 3
	// logInterval bounds the log lines on closed connections.
	logInterval = 10 * time.Second
	// replaceAfter is how long a connection without a complete request is safe from a
	// new one that finds the door full.
	replaceAfter = time.Second
	// roomAttempts and roomPause bound the wait for the memory of closed connections.
	// Another connection is closed only after attemptsPerVictim.
	roomAttempts      = 50
	attemptsPerVictim = 10
	roomPause         = 2 * time.Millisecond
)

// Limits are those of a door's connections. Zero means no limit.
type Limits struct {
	HeaderBytes   int // of the request line and the header fields together
	HeaderFields  int
	HeaderTimeout time.Duration // from the first byte to the end of the head
	IdleTimeout   time.Duration // from the accept or an answer to the next request
	AnswerTimeout time.Duration // for a write of an answer that the caller does not read
	BodyGrace     time.Duration // before BodyRate holds
	BodyRate      int           // least mean rate of a body, in bytes per second
}

// reason is why a guard closes a connection or refuses a request.
type reason int

const (
	reasonFull reason = iota
	reasonAddress
	reasonMemory
	reasonHeaderSize
	reasonBodySize
	reasonSlowHeader
	reasonSlowBody
	reasonIdle
	reasonUnreadAnswer
	numReasons
)

var reasonNames = [numReasons]string{
	"full", "address", "memory", "header_size", "body_size", "slow_header", "slow_body", "idle", "unread_answer",
}

// ErrNoRoom means that the budget is exhausted, so that the request was not read.
var ErrNoRoom = errors.New("no memory is left for the request")

// Guard keeps the connections of a process's doors within one Budget and each door's
// Limits. When the budget is exhausted, the youngest request that has not been read
// completely gives way.
type Guard struct {
	budget *Budget
	logger logrus.FieldLogger

	mu    sync.Mutex
	doors []*Listener
}

// NewGuard returns a guard, which works until the process ends.
func NewGuard(budget *Budget, logger logrus.FieldLogger) *Guard {
	g := &Guard{budget: budget, logger: logger}
	metrics.GetOrCreateGauge("balsam_door_held_bytes", func() float64 { return float64(budget.Held()) })
	go g.run()
	return g
}

// Protect applies the guard to the listener, which must not be in use yet. The limits
// are asked for again each time, so that they may change.
func (g *Guard) Protect(door string, l *Listener, limits func() Limits) {
	l.guard, l.limits = g, limits
	for r := range numReasons {
		l.closed[r].metric = metrics.GetOrCreateCounter(fmt.Sprintf("balsam_door_closed_total{door=%q,reason=%q}", door, reasonNames[r]))
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("balsam_door_connections{door=%q}", door), func() float64 { return float64(l.Open()) })
	l.logger = g.logger.WithField("door", door)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doors = append(g.doors, l)
}

func (g *Guard) protected() []*Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.doors[:len(g.doors):len(g.doors)]
}

func (g *Guard) run() {
	nextLog, swept, skip := time.Now(), monotonic(), 0
	for range time.Tick(sweepInterval) {
		doors := g.protected()
		if skip--; since(swept) > maxSweepGap {
			skip = sweepsSkipped
		}
		swept = monotonic()
		for _, l := range doors {
			if skip <= 0 {
				l.sweep()
			}
		}
		if now := time.Now(); !now.Before(nextLog) {
			for _, l := range doors {
				if l.logClosed(g.budget.Held()) {
					nextLog = now.Add(logInterval)
				}
			}
		}
	}
}

// reserve takes n bytes for a request that is being read. It returns false if this
// request is the one that gives way.
func (g *Guard) reserve(c *conn, n int64) bool {
	for attempt := range roomAttempts {
		if c.stage() == stageEvicted {
			return false
		}
		if g.budget.Reserve(n) {
			c.reserved.Add(n)
			return true
		}
		if attempt%attemptsPerVictim == 0 {
			victim := g.leastComplete()
			if victim == nil || victim == c {
				break
			}
			victim.evict(reasonMemory)
		}
		time.Sleep(roomPause) // the victim's own goroutine releases its memory
	}
	c.listener.count(reasonMemory)
	return false
}

// leastComplete returns the connection that gives way first: one whose head is
// incomplete, otherwise one whose body is, and the youngest of these.
func (g *Guard) leastComplete() *conn {
	var victim *conn
	stage, start := stage(0), int64(0)
	for _, l := range g.protected() {
		l.mu.Lock()
		for c := range l.open {
			s, began := c.stage(), c.requestStart.Load()
			if s != stageHead && s != stageBody || c.reserved.Load() == 0 {
				continue
			}
			if victim == nil || s < stage || s == stage && began > start {
				victim, stage, start = c, s, began
			}
		}
		l.mu.Unlock()
	}
	return victim
}

// closedCount counts the connections that were closed for one reason.
type closedCount struct {
	metric *metrics.Counter
	total  atomic.Int64
	logged int64 // value of total at the last log line
}

func (l *Listener) count(r reason) {
	if l.guard == nil {
		return
	}
	l.closed[r].metric.Inc()
	l.closed[r].total.Add(1)
}

// logClosed logs the connections that were closed since the last line, except idle ones,
// which is usual. It returns false if there are none.
func (l *Listener) logClosed(held int64) bool {
	fields := logrus.Fields{}
	for r := range numReasons {
		count := &l.closed[r]
		if r == reasonIdle {
			continue
		}
		if total := count.total.Load(); total != count.logged {
			fields[reasonNames[r]] = total - count.logged
			count.logged = total
		}
	}
	if len(fields) == 0 {
		return false
	}
	fields["open"], fields["held_bytes"] = l.Open(), held
	l.logger.WithFields(fields).Warn("callers exceeded the door's limits; their connections were closed")
	return true
}

// sweep closes the connections that are beyond a time limit.
func (l *Listener) sweep() {
	limits := l.limits()
	now := monotonic()
	type expired struct {
		conn   *conn
		reason reason
	}
	var list []expired
	l.mu.Lock()
	for c := range l.open {
		if r, late := c.late(now, &limits); late {
			list = append(list, expired{c, r})
		}
	}
	l.mu.Unlock()
	for _, e := range list {
		e.conn.evict(e.reason)
	}
}

// late reports whether the connection is beyond one of the time limits.
func (c *conn) late(now int64, limits *Limits) (reason, bool) {
	over := func(start int64, limit time.Duration) bool { return limit > 0 && now-start > int64(limit) }
	if start := c.writeStart.Load(); start != 0 {
		return reasonUnreadAnswer, over(start, limits.AnswerTimeout)
	}
	switch c.stage() {
	case stageNew, stageIdle:
		return reasonIdle, over(c.idleSince.Load(), limits.IdleTimeout)
	case stageHead:
		return reasonSlowHeader, over(c.requestStart.Load(), limits.HeaderTimeout)
	case stageBody:
		if limits.BodyRate <= 0 {
			return 0, false
		}
		allowed := limits.BodyGrace + time.Duration(float64(c.bodyBytes.Load())/float64(limits.BodyRate)*float64(time.Second))
		return reasonSlowBody, over(c.requestStart.Load(), limits.HeaderTimeout+allowed)
	}
	return 0, false
}

// replaceable returns the connection that has gone without a complete request for the
// longest time, at least replaceAfter, or nil. If address is not empty, only its
// connections count. The caller holds l.mu.
func (l *Listener) replaceable(address string) *conn {
	var oldest *conn
	since := int64(math.MaxInt64)
	now := monotonic()
	for c := range l.open {
		if address != "" && c.address != address {
			continue
		}
		start := c.requestStart.Load()
		switch c.stage() {
		case stageNew, stageIdle:
			start = c.idleSince.Load()
		case stageHead, stageBody:
		default:
			continue
		}
		if start < since && now-start > int64(replaceAfter) {
			oldest, since = c, start
		}
	}
	return oldest
}

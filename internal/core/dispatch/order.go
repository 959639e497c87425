package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Order under overload. In the order of slack each job starts when it is about to be late;
// if more steps wait than can start in time, nearly all of them become late. So the steps of
// a priority that are still on time are divided: those that can all start in time at the
// rate at which work of the priority and of less urgent ones starts, and the others, which
// are put back behind them. As few callers' jobs as possible are put back, and those that
// have begun last. The first part stays ordered by slack, so without overload nothing
// changes.

const (
	// startRateHalfLife is the half-life of the average of the rate at which work starts.
	startRateHalfLife = 2 * time.Second
	// timeMargin is the fraction of a step's remaining time by which it may take longer than
	// declared and still end in time.
	timeMargin = 0.3
	// begunCost is the cost of putting back a step of a job that has begun or that has
	// approvals, which are lost; that of any other is 1.
	begunCost = 2
	// settleTime is how long work must have started without a gap of startGap before the
	// rate is relied on: after an outage or by a new owner, what waited starts at once.
	settleTime = 2 * startRateHalfLife
	startGap   = time.Second
	// agedTurn is the time after which a job that is too late to be of use gets its turn, as
	// the oldest one at a time.
	agedTurn = time.Minute
)

// startRate is the average rate at which work starts, in core-seconds per second.
type startRate struct {
	perSecond float64
	at        time.Duration
}

// add counts core-seconds of work that starts now.
func (r *startRate) add(work float64, now time.Duration) {
	r.perSecond = r.current(now) + work*math.Ln2/startRateHalfLife.Seconds()
	r.at = now
}

// current returns the average now.
func (r *startRate) current(now time.Duration) float64 {
	return r.perSecond * math.Exp2(-float64(now-r.at)/float64(startRateHalfLife))
}

// noteStart counts the start of a task of the step.
func (e *Engine) noteStart(s *step, now time.Duration) {
	if !e.settings.Features.OrderByNeed {
		return
	}
	if now-e.lastStart > startGap {
		e.startsSince = now
	}
	e.lastStart = now
	priority := e.queue(s.occurrence.job).Priority
	r, ok := e.startRates[priority]
	if !ok {
		r = &startRate{at: now}
		e.startRates[priority] = r
	}
	r.add(s.taskWork(), now)
}

// taskWork returns the core-seconds of a task of the step by its declared run time.
func (s *step) taskWork() float64 {
	return float64(s.spec.footprint().MilliCPU) / 1000 * s.spec.DeclaredRunTime.Seconds()
}

// divideReady decides which of the ready steps are put back, and which aged one has its
// turn.
func (e *Engine) divideReady(now time.Duration, wall time.Time) {
	waiting := map[int][]slackStep{}
	e.aged = nil
	for s := range e.ready {
		o := s.occurrence
		s.putBack = false
		switch {
		case s.spec.LongRunning:
		case o.lateness(s, wall) == onTime:
			priority := e.queue(o.job).Priority
			waiting[priority] = append(waiting[priority], slackStep{s, o.deadline.Sub(wall) - s.remainingTime})
		case wall.Sub(o.usefulUntil()) > agedTurn && withinLimit(o.job.team, s.demand()) && (e.aged == nil || o.due.Before(e.aged.occurrence.due)):
			e.aged = s
		}
	}
	if now-e.lastStart > startGap || now-e.startsSince < settleTime {
		return
	}
	for priority, steps := range waiting {
		rate := e.availableRate(priority, now)
		slices.SortFunc(steps, slackStep.compare)
		needs := make([]need, len(steps))
		for i, w := range steps {
			needs[i] = w.need()
		}
		divide(needs, rate)
		for i := range needs {
			steps[i].step.putBack = needs[i].lost
		}
	}
}

// availableRate returns the rate at which work of the priority can start, in core-seconds per
// second: that of the priority and of all less urgent ones, which it precedes.
func (e *Engine) availableRate(priority int, now time.Duration) float64 {
	sum := 0.0
	for other, rate := range e.startRates {
		if other >= priority {
			sum += rate.current(now)
		}
	}
	return sum
}

// need is what a waiting step asks for and what is lost if it is put back.
type need struct {
	latest time.Duration // time until its latest start in time
	work   float64       // core-seconds of the pending tasks
	cost   float64       // of being put back
	lost   bool          // result: does not start in time together with the others
}

func (w slackStep) need() need {
	n := need{
		latest: w.slack - time.Duration(timeMargin*float64(w.step.remainingTime)),
		work:   float64(w.step.pending) * w.step.taskWork(),
		cost:   1,
	}
	if w.step.occurrence.begun() || len(w.step.tickets) > 0 {
		n.cost = begunCost
	}
	return n
}

// begun reports whether work of the occurrence is done or under way.
func (o *occurrence) begun() bool {
	for _, s := range o.steps {
		if s.pending < len(s.tasks) {
			return true
		}
	}
	return false
}

// divide marks the needs as lost that can't start in time if work starts at the rate, in
// core-seconds per second. The needs are sorted by latest start. Of those that can't all
// start in time it puts back the cheapest, and of equal ones the last.
func divide(needs []need, rate float64) {
	kept := costHeap{needs: needs}
	before := 0.0 // core-seconds that start before
	for i := range needs {
		if needs[i].latest < 0 {
			needs[i].lost = true
			continue
		}
		heap.Push(&kept, i)
		for !needs[i].lost && before > rate*needs[i].latest.Seconds() {
			last := heap.Pop(&kept).(int)
			needs[last].lost = true
			if last != i {
				before -= needs[last].work
			}
		}
		if !needs[i].lost {
			before += needs[i].work
		}
	}
}

// costHeap holds indexes of needs, the one to put back first on top.
type costHeap struct {
	needs []need
	index []int
}

func (h *costHeap) Len() int { return len(h.index) }

func (h *costHeap) Less(i, j int) bool {
	a, b := h.index[i], h.index[j]
	return h.needs[a].cost < h.needs[b].cost || h.needs[a].cost == h.needs[b].cost && a > b
}

func (h *costHeap) Swap(i, j int) { h.index[i], h.index[j] = h.index[j], h.index[i] }

func (h *costHeap) Push(x any) { h.index = append(h.index, x.(int)) }

func (h *costHeap) Pop() any {
	last := h.index[len(h.index)-1]
	h.index = h.index[:len(h.index)-1]
	return last
}

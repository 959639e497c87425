package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// adviceBatch is the number of workers named in one question to the
	// placement policy. Its answer takes longer for each.
	adviceBatch = 30
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 200 * time.Millisecond
	// reserveAfter is how long a gang waits until workers are kept free for it.
	reserveAfter = 300 * time.Millisecond
)

// Schedule places what can be placed. The orders are in the next batch.
func (e *Engine) Schedule(now time.Duration, wall time.Time) {
	e.pass++
	for j := range e.timed {
		e.openOccurrences(j, wall)
	}
	e.urgent.observe(now)
	e.free = e.freeRoom(now)
	e.room = e.free
	clear(e.claims)
	queue := e.order(wall)
	for s := queue.next(); s != nil; s = queue.next() {
		if !e.advised(s) && s.blocked == e.version && s.blocked != 0 {
			continue
		}
		version := e.version
		if e.placeStep(s, now, wall) {
			continue
		}
		s.blocked = version
		e.claim(s)
		e.tellWaiting(s, now, wall)
	}
}

// placeStep places what it can of the step and reports whether nothing of it
// is left to place.
func (e *Engine) placeStep(s *step, now time.Duration, wall time.Time) bool {
	if s.gang != nil {
		return e.placeGang(s, now, wall)
	}
	for _, t := range s.tasks {
		if t.phase != waiting {
			continue
		}
		w := e.choose(s, t, now, nil)
		if w == nil {
			e.ask(s, now)
			return false
		}
		e.place(t, w, t.run+1)
	}
	delete(e.ready, s)
	return true
}

func (e *Engine) place(t *task, w *worker, run uint64) {
	s := t.step
	t.run = run
	t.phase = placed
	e.free = e.free.Sub(s.spec.footprint())
	s.waiting--
	e.assign(t, w, w.life)
	e.record(t)
	e.event("run_placed", t, "")
	order := StartOrder{
		Task: t.name(), Run: run, Worker: w.info.ID, Incarnation: w.life,
		Payload: s.occurrence.job.spec.Payload, Ticket: s.tickets[w.info.ID].value,
	}
	if s.spec.Checkpoints {
		order.Checkpoint = t.checkpoint
	}
	e.batch.Starts = append(e.batch.Starts, order)
	if j := s.occurrence.job; j.state == Queued {
		j.state = Running
	}
}

// placeGang places all members or none.
func (e *Engine) placeGang(s *step, now time.Duration, wall time.Time) bool {
	planned := map[*worker]int{}
	chosen := make([]*worker, 0, len(s.tasks))
	owner := e.team(s.occurrence.job.spec.Team)
	fits := withinLimit(owner, s.spec.Size.Scale(int64(len(s.tasks))))
	for _, t := range s.tasks {
		if !fits {
			break
		}
		w := e.choose(s, t, now, planned)
		if w == nil {
			fits = false
			break
		}
		planned[w]++
		chosen = append(chosen, w)
	}
	if !fits {
		e.ask(s, now)
		if wall.Sub(s.occurrence.due) > reserveAfter {
			e.reserve(s, now)
		}
		return false
	}
	s.gang.run++
	for i, t := range s.tasks {
		t.checkpoint = s.gang.checkpoint
		e.place(t, chosen[i], s.gang.run)
	}
	delete(e.ready, s)
	return true
}

// reserve keeps workers free of less urgent tasks until the gang fits.
func (e *Engine) reserve(s *step, now time.Duration) {
	size := s.spec.footprint()
	candidates := make([]*worker, 0, len(e.workers))
	for _, w := range e.workers {
		if e.usable(s, w, now) && w.reserved != e.pass && e.allowed(s, w, now) && size.Fits(w.info.Capacity) {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		if c := cmp.Compare(b.free().MilliCPU, a.free().MilliCPU); c != 0 {
			return c
		}
		return cmp.Compare(a.info.ID, b.info.ID)
	})
	left := len(s.tasks)
	for _, w := range candidates {
		if left <= 0 {
			return
		}
		w.reserved = e.pass
		left -= copies(size, w.info.Capacity)
	}
}

// copies returns how many times size fits into capacity.
func copies(size, capacity model.Resources) int {
	count := int64(1 << 20)
	for _, d := range [...]struct{ size, all int64 }{
		{size.MilliCPU, capacity.MilliCPU},
		{size.MemoryMiB, capacity.MemoryMiB},
		{size.Accelerators, capacity.Accelerators},
	} {
		if d.size > 0 {
			count = min(count, d.all/d.size)
		}
	}
	return int(count)
}

// usable reports whether the worker may be given tasks of the step at all.
func (e *Engine) usable(s *step, w *worker, now time.Duration) bool {
	if !e.open(w, now) || w.info.Service != e.queue(s.occurrence.job).Service {
		return false
	}
	return s.spec.Requires == "" || slices.Contains(w.info.Labels, s.spec.Requires)
}

// open reports whether the worker takes new work.
func (e *Engine) open(w *worker, now time.Duration) bool {
	return w.listed && w.synced && !w.closed && !w.info.Draining && w.info.Incarnation == w.life &&
		!e.domains[w.info.Domain] && len(w.strange) == 0 &&
		now-w.reported <= e.settings.MaxReportAge && !w.health.suspected(now)
}

// choose returns the worker for the task, or nil if none can take it now.
// planned counts the members of a gang that are to be placed with it.
func (e *Engine) choose(s *step, t *task, now time.Duration, planned map[*worker]int) *worker {
	if planned == nil && !withinLimit(e.team(s.occurrence.job.spec.Team), s.spec.Size) {
		return nil
	}
	size := s.spec.footprint()
	if !size.Add(e.headroom(s)).Fits(e.free) {
		return nil
	}
	var best *worker
	bestScore := 0.0
	rack := ""
	if s.spec.SingleRack {
		rack = plannedRack(planned)
	}
	for _, w := range e.workers {
		if !e.usable(s, w, now) || w.reserved == e.pass || !e.allowed(s, w, now) {
			continue
		}
		free := w.free().Sub(size.Scale(int64(planned[w])))
		if !size.Fits(free) || !e.apart(s, w, planned[w]) {
			continue
		}
		score := score(s, t, w, free.Sub(size))
		if rack != "" && w.info.Rack != rack {
			score -= rackPenalty
		}
		if best == nil || score > bestScore || score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// apart reports whether the step may have one more task on the worker.
func (e *Engine) apart(s *step, w *worker, planned int) bool {
	if s.spec.MaxPerWorker == 0 {
		return true
	}
	count := planned
	for _, t := range w.tasks {
		if t.step == s {
			count++
		}
	}
	return count < s.spec.MaxPerWorker
}

// The weights of a placement, in parts of a worker's capacity left over.
const (
	rackPenalty   = 10.0 // far from the data or from the gang
	retryPenalty  = 5.0  // the task failed there
	doubtPenalty  = 0.5  // per failure in a row of the worker
	balancePoints = 0.2  // for processor time and memory left in proportion
)

// score rates the worker by how little it leaves unused.
func score(s *step, t *task, w *worker, left model.Resources) float64 {
	capacity := w.info.Capacity
	cpu := model.Fraction(left.MilliCPU, capacity.MilliCPU)
	memory := model.Fraction(left.MemoryMiB, capacity.MemoryMiB)
	points := -(cpu + memory) / 2
	if cpu > memory {
		points -= balancePoints * (cpu - memory)
	} else {
		points -= balancePoints * (memory - cpu)
	}
	if s.spec.PreferRack != "" && !slices.Contains(w.info.Labels, s.spec.PreferRack) {
		points -= rackPenalty
	}
	if t.failedOn == w.info.ID {
		points -= retryPenalty
	}
	return points - doubtPenalty*float64(w.health.failures)
}

func plannedRack(planned map[*worker]int) string {
	best, count := "", 0
	for w, n := range planned {
		if n > count || n == count && w.info.Rack < best {
			best, count = w.info.Rack, n
		}
	}
	return best
}

func withinLimit(t *team, more model.Resources) bool { return t.allows(t.used.Add(more)) }

// allows reports whether the team may have so much running.
func (t *team) allows(next model.Resources) bool {
	limit := t.policy.Limit
	return (limit.MilliCPU == 0 || next.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMiB == 0 || next.MemoryMiB <= limit.MemoryMiB) &&
		(limit.Accelerators == 0 || next.Accelerators <= limit.Accelerators)
}

// sortedTasks returns the worker's tasks in the order of their names, so that
// the same reports lead to the same decisions.
func (w *worker) sortedTasks() []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int {
		x, y := a.name(), b.name()
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence),
			cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
	return list
}

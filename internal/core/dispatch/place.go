package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// reserveDelay is how long a gang must have been due before workers are reserved
	// for it.
	reserveDelay = 300 * time.Millisecond
)

// Schedule runs one scheduling pass. The decisions are in the next batch. A full pass
// tries all ready steps in order of urgency. Its cost grows with their number, so the
// more steps are ready, the longer the time until the next one; the passes in between
// try only the steps that became ready or whose advice was answered since.
func (e *Engine) Schedule(now time.Duration, wall time.Time) {
	for j := range e.withFutureOccurrences {
		e.createDueOccurrences(j, wall)
	}
	e.topPriorityUsage.observe(now)
	if now < e.nextFullPass {
		e.schedule(e.buildReadyQueue(e.changed, wall), false, now, wall)
		return
	}
	if e.version == e.passVersion && len(e.changed) == 0 && now < e.lastFullPass+idlePassInterval {
		return
	}
	e.pass++
	e.refreshEstimates()
	e.countDoubted(now)
	e.nextFullPass, e.lastFullPass = now+time.Duration(len(e.ready))*passTimePerStep, now
	e.sumCapacity(now)
	if e.settings.Features.OrderByNeed {
		e.divideReady(now, wall)
	}
	e.unreserved = e.free
	clear(e.reserved)
	e.awaitingAdvisor = nil
	e.schedule(e.buildReadyQueue(e.ready, wall), true, now, wall)
	e.passVersion = e.version
}

const (
	// passTimePerStep is the time between two full passes for each ready step.
	passTimePerStep = 20 * time.Microsecond
	// idlePassInterval is the time between two full passes when nothing has changed:
	// the time alone ends pauses and makes tickets expire.
	idlePassInterval = 100 * time.Millisecond
)

// schedule tries the steps of the queue in a full pass or one of those in between.
func (e *Engine) schedule(queue *readyQueue, full bool, now time.Duration, wall time.Time) {
	clear(e.changed)
	if full {
		e.remainders = e.remainders[:0]
	}
	for s := queue.next(); s != nil; s = queue.next() {
		if full {
			e.noteRemainder(queue.tiers[0].urgency)
		} else {
			e.unreserved = e.remainderFor(queue.tiers[0].urgency)
		}
		if s.blockedVersion == e.version && s.blockedVersion != 0 && s.suspects == 0 && (!e.requiresAdvice(s) || s.awaitsAdvice(now)) {
			if s.gang != nil {
				e.reserveWorkers(s, now, wall)
			}
			e.reserveCapacity(s)
			continue
		}
		version := e.version
		s.heldBriefly = false
		if e.placeStep(s, now, wall) {
			continue
		}
		// An attempt between full passes does not mark the step as blocked: a worker may have
		// been paused in it and at neither of the full passes, which compare the workers.
		if s.blockedVersion = 0; full && !s.heldBriefly {
			s.blockedVersion = version
		}
		e.reserveCapacity(s)
		e.logWaiting(s, now, wall)
	}
}

// placeStep places as many pending tasks of the step as possible and reports
// whether none is left.
func (e *Engine) placeStep(s *step, now time.Duration, wall time.Time) bool {
	if s.gang != nil {
		return e.placeGang(s, now, wall)
	}
	for _, t := range s.tasks {
		if t.phase != pending {
			continue
		}
		w := e.selectWorker(s, t, now, nil)
		if w == nil && t.suspect {
			continue // another task may fit where this one must not run
		}
		if w == nil {
			break
		}
		e.placeTask(t, w, t.run+1, now)
	}
	if s.pending > 0 {
		e.requestAdvice(s, now)
		return false
	}
	delete(e.ready, s)
	return true
}

func (e *Engine) placeTask(t *task, w *worker, run uint64, now time.Duration) {
	s := t.step
	separated := t.awaitsSeparation(now)
	e.noteStart(s, now)
	t.run = run
	t.phase = placed
	e.free = e.free.Sub(s.spec.footprint())
	s.pending--
	e.assign(t, w, w.incarnation)
	if separated {
		e.separate(t)
	}
	e.record(t)
	e.event("run_placed", t, "")
	if t.suspect {
		e.event("suspect_placed", t, fmt.Sprintf("apart: %t, runs beside it: %d, after crashes of %s", separated, len(w.tasks)-1, t.crashes))
	}
	order := StartOrder{
		Task: t.name(), Run: run, Worker: w.info.ID, Incarnation: w.incarnation,
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

// placeGang places all members of the gang or none, and reports whether it placed
// them.
func (e *Engine) placeGang(s *step, now time.Duration, wall time.Time) bool {
	chosen := e.planGang(s, now)
	if chosen == nil {
		e.requestAdvice(s, now)
		e.reserveWorkers(s, now, wall)
		return false
	}
	s.gang.run++
	for i, t := range s.tasks {
		t.checkpoint = s.gang.checkpoint
		e.placeTask(t, chosen[i], s.gang.run, now)
	}
	delete(e.ready, s)
	return true
}

// planGang returns a worker for each member of the gang, or nil if not all can be placed
// now.
func (e *Engine) planGang(s *step, now time.Duration) []*worker {
	if !withinLimit(s.occurrence.job.team, s.demand()) {
		return nil
	}
	planned := map[*worker]int{}
	chosen := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := e.selectWorker(s, t, now, planned)
		if w == nil {
			return nil
		}
		planned[w]++
		chosen = append(chosen, w)
	}
	return chosen
}

// demand returns what the team's limit must admit at once for a start: all members of a
// gang, or one task.
func (s *step) demand() model.Resources {
	if s.gang == nil {
		return s.spec.Size
	}
	return s.spec.Size.Scale(int64(len(s.tasks)))
}

// gangReserveShare is the fraction of the listed workers that gangs together may have
// reserved. The most urgent gang of a pass reserves what it needs.
const gangReserveShare = 0.125

// reserveWorkers reserves workers until the next full pass for a gang that has waited for
// reserveDelay, so that they get no less urgent tasks and the gang eventually fits. It
// reserves none if the gang would not fit once they are idle, or if its team's limit does
// not admit it: the workers would stay idle for nothing.
func (e *Engine) reserveWorkers(s *step, now time.Duration, wall time.Time) {
	if wall.Sub(s.occurrence.due) <= reserveDelay || s.gang.reservedPass == e.pass {
		return
	}
	if e.gangReservePass != e.pass {
		e.gangReservePass, e.gangReserved = e.pass, 0
	}
	if e.gangReserved > int(gangReserveShare*float64(e.listedWorkers)) || !withinLimit(s.occurrence.job.team, s.demand()) {
		return
	}
	candidates := e.reservable(s, now)
	missing := len(s.tasks)
	for i, w := range candidates {
		if missing -= s.gangSlots(w); missing > 0 {
			continue
		}
		s.gang.reservedPass = e.pass
		for _, reserved := range candidates[:i+1] {
			reserved.reservedPass, reserved.reservedFor = e.pass, s
		}
		e.gangReserved += i + 1
		return
	}
}

// reservable returns the workers that may be reserved for the gang, those with the most
// free CPU first.
func (e *Engine) reservable(s *step, now time.Duration) []*worker {
	var candidates []*worker
	add := func(w *worker) {
		if w.reservedPass != e.pass && e.inUse(w, now) && e.suits(s, w) && e.allowed(s, w, now) && s.gangSlots(w) > 0 {
			candidates = append(candidates, w)
		}
	}
	if e.requiresAdvice(s) {
		for _, t := range s.tickets {
			add(t.worker)
		}
	} else {
		for _, w := range e.workers {
			add(w)
		}
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		if c := cmp.Compare(b.free().MilliCPU, a.free().MilliCPU); c != 0 {
			return c
		}
		return cmp.Compare(a.info.ID, b.info.ID)
	})
	return candidates
}

// gangSlots returns how many members of the gang fit on the worker once all tasks that
// end by themselves have left it.
func (s *step) gangSlots(w *worker) int {
	slots := fitCount(s.spec.footprint(), w.info.Capacity.Sub(w.longRunning).Max(model.Resources{}))
	if s.spec.MaxPerWorker > 0 {
		slots = min(slots, s.spec.MaxPerWorker)
	}
	return slots
}

// reservedForOther reports whether a gang other than the step has reserved the worker
// in this pass.
func (e *Engine) reservedForOther(s *step, w *worker) bool {
	return w.reservedPass == e.pass && w.reservedFor != s
}

// fitCount returns how many times size fits into capacity.
func fitCount(size, capacity model.Resources) int {
	count := int64(1 << 20)
	for _, d := range [...]struct{ size, available int64 }{
		{size.MilliCPU, capacity.MilliCPU},
		{size.MemoryMiB, capacity.MemoryMiB},
		{size.Accelerators, capacity.Accelerators},
	} {
		if d.size > 0 {
			count = min(count, d.available/d.size)
		}
	}
	return int(count)
}

// eligible reports whether the worker is schedulable, belongs to the service of the
// step's queue and has the label that the step requires.
func (e *Engine) eligible(s *step, w *worker, now time.Duration) bool {
	return e.schedulable(w, now) && e.suits(s, w)
}

// suits reports whether the worker belongs to the service of the step's queue and has the
// label that the step requires.
func (e *Engine) suits(s *step, w *worker) bool {
	return w.info.Service == e.queue(s.occurrence.job).Service &&
		(s.spec.Requires == "" || slices.Contains(w.info.Labels, s.spec.Requires))
}

// schedulable reports whether the worker may get new tasks now.
func (e *Engine) schedulable(w *worker, now time.Duration) bool {
	return e.inUse(w, now) && w.suspects == 0 && len(w.orphaned) == 0 && !w.health.paused(now) && !e.limited(w, now)
}

// inUse reports whether the worker may get new tasks, now or after what keeps it from
// them for a short time. The entry on the worker list must be that of its incarnation: the
// next one may be of another kind.
func (e *Engine) inUse(w *worker, now time.Duration) bool {
	return w.listed && w.synced && !w.cordoned && !w.info.Draining && w.info.Incarnation == w.incarnation &&
		!e.outOfService[w.info.Domain] && now-w.lastReport <= e.settings.MaxReportAge
}

// selectWorker returns the best worker for the task, or nil if none can run it now.
// planned is the number of members of the same gang already planned per worker, nil
// outside of gangs.
func (e *Engine) selectWorker(s *step, t *task, now time.Duration, planned map[*worker]int) *worker {
	if planned == nil && !withinLimit(s.occurrence.job.team, s.spec.Size) {
		return nil
	}
	if size := s.spec.footprint(); !size.Add(e.headroom(s)).Fits(e.free) {
		s.heldBriefly = s.heldBriefly || size.Fits(e.free) // the headroom decays
		return nil
	}
	find := search{engine: e, step: s, task: t, now: now, planned: planned}
	if s.spec.SingleRack {
		find.rack = plannedRack(planned)
	}
	return find.run()
}

// belowWorkerLimit reports whether MaxPerWorker allows one more task of the step on
// the worker, on which planned tasks are to be placed already.
func (e *Engine) belowWorkerLimit(s *step, w *worker, planned int) bool {
	if s.spec.MaxPerWorker == 0 {
		return true
	}
	return s.placedOn[w]+planned < s.spec.MaxPerWorker
}

// The weights of a placement score. They are relative to the fraction of the worker's
// capacity that a placement leaves unused, which lowers the score by up to 1.
const (
	rackPenalty       = 10.0 // outside the rack of the data or of the gang
	failedHerePenalty = 5.0  // the task's last failed run was on the worker
	failurePenalty    = 0.5  // per consecutive failed run of the worker
	balanceWeight     = 0.2  // for the imbalance between unused CPU and memory
)

// score rates a placement that leaves the given capacity free on the worker; higher
// is better. It prefers workers with little capacity left.
func score(s *step, t *task, w *worker, left model.Resources) float64 {
	capacity := w.info.Capacity
	cpu := model.Fraction(left.MilliCPU, capacity.MilliCPU)
	memory := model.Fraction(left.MemoryMiB, capacity.MemoryMiB)
	points := -(cpu + memory) / 2
	if cpu > memory {
		points -= balanceWeight * (cpu - memory)
	} else {
		points -= balanceWeight * (memory - cpu)
	}
	if s.spec.PreferRack != "" && !slices.Contains(w.info.Labels, s.spec.PreferRack) {
		points -= rackPenalty
	}
	if t.failedOn == w.info.ID {
		points -= failedHerePenalty
	}
	if t.suspect {
		points -= t.separationPenalty(w)
	}
	return points - failurePenalty*float64(w.health.failures)
}

// plannedRack returns the rack of the worker with the most planned gang members, or
// "" if there is none.
func plannedRack(planned map[*worker]int) string {
	best, count := "", 0
	for w, n := range planned {
		if n > count || n == count && w.info.Rack < best {
			best, count = w.info.Rack, n
		}
	}
	return best
}

// withinLimit reports whether the team's limit admits the resources in more, in
// addition to those in use.
func withinLimit(t *team, more model.Resources) bool { return t.allows(t.used.Add(more)) }

// allows reports whether the team's limit admits the total usage.
func (t *team) allows(total model.Resources) bool {
	limit := t.policy.UpperLimit
	return (limit.MilliCPU == 0 || total.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMiB == 0 || total.MemoryMiB <= limit.MemoryMiB) &&
		(limit.Accelerators == 0 || total.Accelerators <= limit.Accelerators)
}

// sortedTasks returns the worker's tasks sorted by name, so that equal reports lead
// to equal decisions.
func (w *worker) sortedTasks() []*task {
	return w.sortedTasksIf(func(*task) bool { return true })
}

// sortedTasksIf returns those of the worker's tasks for which the condition holds,
// sorted by name.
func (w *worker) sortedTasksIf(condition func(*task) bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if condition(t) {
			list = append(list, t)
		}
	}
	sortTasks(list)
	return list
}

// sortTasks sorts the tasks by name.
func sortTasks(list []*task) {
	slices.SortFunc(list, func(a, b *task) int {
		x, y := a.name(), b.name()
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence),
			cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
}

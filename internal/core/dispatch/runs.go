package dispatch

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// worker returns the worker with the id and adds it if needed.
func (e *Engine) worker(id model.VMID) *worker {
	found, ok := e.workers[id]
	if !ok {
		found = &worker{info: WorkerInfo{ID: id}, pace: fullPace, tasks: map[TaskName]*task{}, orphaned: map[TaskName]*orphan{}}
		e.workers[id] = found
	}
	return found
}

// assign assigns the task to the worker and adds its resources to the usage of the
// worker, the team and the top-priority queues.
func (e *Engine) assign(t *task, w *worker, incarnation int64) {
	t.worker, t.incarnation = w, incarnation
	t.confirmedAt, t.adopted, t.percent = 0, false, 0
	t.orderedPace = fullPace
	t.workedFrom, t.workedUntil, t.pendingSince = 0, 0, 0
	w.used = w.used.Add(t.step.spec.footprint())
	if t.step.spec.LongRunning {
		w.longRunning = w.longRunning.Add(t.step.spec.footprint())
	}
	w.tasks[t.name()] = t
	if t.phase == placed {
		w.starting++
	}
	if t.probe = w.trust.failures > 0 || w.trust.slowUntil > 0; t.probe {
		w.trust.probes++
	}
	if t.step.placedOn != nil {
		t.step.placedOn[w]++
	}
	e.reindex(w)
	jobTeam := t.step.occurrence.job.team
	jobTeam.used = jobTeam.used.Add(t.step.spec.Size)
	if t.topPriority = e.isTopPriority(t.step) && !t.step.spec.LongRunning; t.topPriority {
		e.topPriorityUsage.current = e.topPriorityUsage.current.Add(t.step.spec.footprint())
	}
}

// leavePlaced is called before the phase of an assigned task changes.
func (t *task) leavePlaced() {
	if t.phase == placed {
		t.worker.starting--
	}
}

// release is the inverse of assign; it does nothing for an unassigned task.
func (e *Engine) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	e.endSeparation(t)
	t.leavePlaced()
	if t.probe {
		t.probe = false
		w.trust.probes--
	}
	t.worker = nil
	w.used = w.used.Sub(t.step.spec.footprint())
	if t.step.spec.LongRunning {
		w.longRunning = w.longRunning.Sub(t.step.spec.footprint())
	}
	delete(w.tasks, t.name())
	if t.step.placedOn != nil {
		t.step.placedOn[w]--
	}
	e.reindex(w)
	if w.counted {
		e.free = e.free.Add(t.step.spec.footprint())
	}
	jobTeam := t.step.occurrence.job.team
	jobTeam.used = jobTeam.used.Sub(t.step.spec.Size)
	if t.topPriority {
		e.topPriorityUsage.current = e.topPriorityUsage.current.Sub(t.step.spec.footprint())
	}
	e.version++
}

// UpdateWorkers applies a complete worker list. Workers that are missing from it get no
// new tasks and are removed once no run can be active on them.
func (e *Engine) UpdateWorkers(list []WorkerInfo) {
	present := make(map[model.VMID]bool, len(list))
	for _, info := range list {
		present[info.ID] = true
		w := e.worker(info.ID)
		relabeled := !slices.Equal(w.info.Labels, info.Labels)
		if !w.listed || w.info.Draining != info.Draining || !info.Capacity.Fits(w.info.Capacity) ||
			relabeled || w.info.Service != info.Service || w.info.Incarnation != info.Incarnation {
			e.version++
		}
		if info.Draining && (info.Incarnation == w.incarnation || w.incarnation == 0) {
			w.plannedStop = true
		}
		if !w.sameClass(info) {
			e.addClass(classOf(info))
		}
		if !w.listed || w.info.Rack != info.Rack || relabeled {
			e.relabel(w, append(slices.Clone(info.Labels), info.Rack))
		}
		w.info, w.listed = info, true
		e.reindex(w)
	}
	for id, w := range e.workers {
		if present[id] {
			continue
		}
		w.listed, w.counted = false, false
		e.reindex(w)
		e.relabel(w, nil)
		if !w.occupied() {
			delete(e.workers, id)
		}
	}
}

// ApplyStarted applies a worker's answer that the run has started. clock is the
// reading of the worker's clock in the answer.
func (e *Engine) ApplyStarted(name TaskName, run uint64, id model.VMID, clock time.Duration) {
	t := e.currentRun(name, run, id)
	if t == nil || t.phase != placed {
		return
	}
	t.leavePlaced()
	t.phase = running
	e.runStarted(t)
	t.confirmedAt = clock
	e.noteWork(t, clock)
}

// runStarted records that a run of the task is known to have started.
func (e *Engine) runStarted(t *task) {
	t.started = true
	if j := t.step.occurrence.job; !j.runStarted {
		j.runStarted = true
		e.event(EventJobBegan, t, "")
	}
}

// ApplyStartRejected makes the task pending again. The caller must know that the
// start order has had no effect and never will. If reason is "ticket", the value of
// port.RejectTicket, it also discards the step's ticket for the worker.
func (e *Engine) ApplyStartRejected(name TaskName, run uint64, id model.VMID, reason string, now time.Duration) {
	t := e.currentRun(name, run, id)
	if t == nil || t.phase == running {
		return
	}
	e.event("start_rejected", t, reason)
	if reason == "ticket" {
		delete(t.step.tickets, id)
	}
	t.worker.health.startRejected(now)
	e.runEnded(t, EndStopped, "")
	e.afterRunEnd(t)
}

// ApplyStopped applies a worker's answer that it has accepted the stop order. clock
// is the reading of the worker's clock in the answer.
func (e *Engine) ApplyStopped(name TaskName, run uint64, id model.VMID, clock time.Duration) {
	if t := e.currentRun(name, run, id); t != nil && t.phase == stopping {
		t.confirmedAt = clock + e.settings.StopTimeout
		t.stopOrdered = false
	}
}

// ApplyStopUnsettled records that a stop order was given up without an answer that
// the worker accepted it. The worker's next report leads to another order if the
// run may still be active.
func (e *Engine) ApplyStopUnsettled(order StopOrder) {
	if t := e.currentRun(order.Task, order.Run, order.Worker); t != nil && t.phase == stopping {
		t.stopOrdered = false
		return
	}
	if w, ok := e.workers[order.Worker]; ok {
		if o := w.orphan(order.Task, order.Run); o != nil {
			o.stopOrdered = false
		}
	}
}

// orphan returns the worker's orphaned run, or nil if there is none.
func (w *worker) orphan(name TaskName, run uint64) *orphan {
	if o, ok := w.orphaned[name]; ok && o.run == run {
		return o
	}
	return nil
}

// currentRun returns the task if the run is its latest one and assigned to the
// worker, or nil otherwise.
func (e *Engine) currentRun(name TaskName, run uint64, id model.VMID) *task {
	t := e.findTask(name)
	if t == nil || t.run != run || t.worker == nil || t.worker.info.ID != id {
		return nil
	}
	return t
}

// AdoptPlaced marks all placed tasks as placed by a previous owner. Once a worker has
// seen this owner's fencing token, orders of the previous owner have no effect on it
// any more, so its report determines which of the runs exist.
func (e *Engine) AdoptPlaced() {
	for _, w := range e.workers {
		for _, t := range w.tasks {
			if t.phase == placed {
				t.adopted = true
				t.orderedPace = unknownPace
			}
		}
	}
}

// ApplyStartUnknown stops a run whose start has an unknown outcome. The stop order
// also keeps the start order from taking effect later. The other members of a gang
// are stopped too.
func (e *Engine) ApplyStartUnknown(name TaskName, run uint64, id model.VMID) {
	if t := e.currentRun(name, run, id); t != nil && t.phase == placed {
		e.event("start_doubtful", t, "")
		e.stopRun(t)
		e.record(t)
		if t.step.gang != nil { // the other members would wait for it forever
			t.step.gang.aborting = true
			e.finalizeGang(t.step)
		}
	}
}

// ExpireRuns ends all runs on a worker whose leases have certainly expired. Unless its
// stop was planned, the worker may have crashed.
func (e *Engine) ExpireRuns(id model.VMID) {
	w, ok := e.workers[id]
	if !ok {
		return
	}
	for _, t := range w.sortedTasks() {
		if !w.plannedStop {
			e.noteUnresolved(t)
		}
		e.runEnded(t, EndExpired, "")
		e.afterRunEnd(t)
		e.checkCrashes(t)
	}
	clear(w.orphaned)
}

// EndRunsOfStopped ends all runs on a worker that was stopped for upkeep.
func (e *Engine) EndRunsOfStopped(id model.VMID) {
	if w, ok := e.workers[id]; ok {
		w.plannedStop = true
		e.ExpireRuns(id)
	}
}

// HasTasks reports whether runs may be active on the worker.
func (e *Engine) HasTasks(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.occupied()
}

// runEnded applies the end of the task's current run. The caller calls afterRunEnd
// next.
func (e *Engine) runEnded(t *task, kind EndKind, checkpoint string) {
	s := t.step
	wasStopping := t.phase == stopping
	if kind == EndDone || kind == EndFailed {
		e.clearSuspect(t, "its run ended "+string(kind))
	}
	e.event("run_"+string(kind), t, "")
	e.release(t)
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	switch {
	case s.gang != nil:
		e.gangMemberEnded(t, kind)
	case kind == EndDone && !s.spec.LongRunning:
		t.phase = done
		s.unfinished--
	default:
		if kind == EndFailed && !s.spec.LongRunning {
			t.failures++
		}
		t.phase = pending
		s.pending++
	}
	if t.phase == done || !wasStopping || !s.occurrence.job.state.Ended() {
		e.record(t)
	}
}

// gangMemberEnded applies the end of one gang member's run to the task and the gang.
// A member that is done completes the gang; otherwise the gang is aborted until all
// members are pending.
func (e *Engine) gangMemberEnded(t *task, kind EndKind) {
	s, g := t.step, t.step.gang
	if kind == EndDone {
		g.done = true
	}
	if g.done {
		t.phase = done
		s.unfinished--
		return
	}
	if kind == EndFailed && g.failedRun != t.run {
		g.failedRun = t.run
		g.failures++
	}
	if t.checkpoint != "" {
		g.checkpoint = t.checkpoint
	}
	t.failures = g.failures
	t.phase = pending
	s.pending++
	g.aborting = s.pending < len(s.tasks)
}

// afterRunEnd updates the task's gang, job and ready steps after runEnded. It fails
// the job if the task's failures have reached its queue's MaxAttempts.
func (e *Engine) afterRunEnd(t *task) {
	s := t.step
	j := s.occurrence.job
	if s.gang != nil {
		e.finalizeGang(s)
	}
	queue := e.queue(j)
	if queue.MaxAttempts > 0 && t.failures >= queue.MaxAttempts && !s.spec.LongRunning && !j.state.Ended() && t.phase != done {
		e.endJob(j, Failed, "a task reached its queue's limit of failed runs")
		return
	}
	e.refreshReady(s.occurrence)
	e.finalizeIfDone(j)
}

// finalizeGang completes the pending members of a gang that is done, and stops the
// other members of one that is being aborted.
func (e *Engine) finalizeGang(s *step) {
	if s.gang.done {
		s.completePending()
		return
	}
	if !s.gang.aborting {
		return
	}
	for _, t := range s.tasks {
		e.stopRun(t)
	}
	if s.pending == len(s.tasks) {
		s.gang.aborting = false
	}
}

// completePending marks the pending members of a gang as done, because one completed
// member completes the gang.
func (s *step) completePending() {
	for _, t := range s.tasks {
		if t.phase == pending {
			t.phase = done
			s.unfinished--
			s.pending--
		}
	}
}

// Listed reports whether the worker is on the worker list.
func (e *Engine) Listed(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.listed
}

// WithinCapacity reports whether the worker offers what all runs assigned to it need,
// those being stopped included.
func (e *Engine) WithinCapacity(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.used.Fits(w.info.Capacity)
}

// StopPending reports whether the run is being stopped and may still be active.
func (e *Engine) StopPending(name TaskName, run uint64, id model.VMID) bool {
	if t := e.currentRun(name, run, id); t != nil {
		return t.phase == stopping
	}
	w, ok := e.workers[id]
	return ok && w.orphan(name, run) != nil
}

// WorkersWithTasks returns the workers on which runs may be active, in any order.
func (e *Engine) WorkersWithTasks() []model.VMID {
	var ids []model.VMID
	for id, w := range e.workers {
		if w.occupied() {
			ids = append(ids, id)
		}
	}
	return ids
}

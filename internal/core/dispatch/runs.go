package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func (e *Engine) worker(id model.VMID) *worker {
	found, ok := e.workers[id]
	if !ok {
		found = &worker{info: WorkerInfo{ID: id}, pace: fullPace, tasks: map[TaskName]*task{}, strange: map[TaskName]uint64{}}
		e.workers[id] = found
	}
	return found
}

// assign counts the task on the worker and for its team.
func (e *Engine) assign(t *task, w *worker, life int64) {
	t.worker, t.life = w, life
	t.seenAt, t.adopted, t.percent = 0, false, 0
	t.paced = fullPace
	w.used = w.used.Add(t.step.spec.footprint())
	w.tasks[t.name()] = t
	owner := e.team(t.step.occurrence.job.spec.Team)
	owner.used = owner.used.Add(t.step.spec.Size)
	if t.urgent = e.isUrgent(t.step) && !t.step.spec.LongRunning; t.urgent {
		e.urgent.now = e.urgent.now.Add(t.step.spec.footprint())
	}
}

// release is the inverse of assign.
func (e *Engine) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	t.worker = nil
	w.used = w.used.Sub(t.step.spec.footprint())
	delete(w.tasks, t.name())
	owner := e.team(t.step.occurrence.job.spec.Team)
	owner.used = owner.used.Sub(t.step.spec.Size)
	if t.urgent {
		e.urgent.now = e.urgent.now.Sub(t.step.spec.footprint())
	}
	e.version++
}

// UpdateWorkers takes the VM list. Workers that it no longer names take no new
// work, and are forgotten once nothing can run on them.
func (e *Engine) UpdateWorkers(list []WorkerInfo) {
	named := make(map[model.VMID]bool, len(list))
	for _, info := range list {
		named[info.ID] = true
		w := e.worker(info.ID)
		if !w.listed || w.info.Draining != info.Draining {
			e.version++
		}
		if info.Incarnation < w.life {
			info.Incarnation = w.life // the entry is older than the worker's own word
		}
		if !w.sameKind(info) {
			e.profiles[profileOf(info)] = struct{}{}
		}
		w.info, w.listed = info, true
	}
	for id, w := range e.workers {
		if named[id] {
			continue
		}
		w.listed = false
		if !w.occupied() {
			delete(e.workers, id)
		}
	}
}

// Started takes a worker's word that a run is at work.
func (e *Engine) ApplyStarted(name TaskName, run uint64, id model.VMID, clock time.Duration) {
	t := e.current(name, run, id)
	if t == nil || t.phase != placed {
		return
	}
	t.phase = running
	e.began(t)
	t.seenAt = clock
}

// began notes that a run of the task is known to have begun.
func (e *Engine) began(t *task) {
	t.ran = true
	if j := t.step.occurrence.job; !j.began {
		j.began = true
		e.event(EventJobBegan, t, "")
	}
}

// Rejected takes a worker's word, or the certainty, that a start had no effect
// and never will have.
func (e *Engine) ApplyStartRejected(name TaskName, run uint64, id model.VMID, reason string, now time.Duration) {
	t := e.current(name, run, id)
	if t == nil || t.phase == running {
		return
	}
	e.event("start_rejected", t, reason)
	if reason == "ticket" {
		delete(t.step.tickets, id)
	}
	t.worker.health.rejected(now)
	e.ended(t, EndStopped, "")
	e.finishRound(t)
}

// Stopped takes a worker's word that it has taken a stop.
func (e *Engine) ApplyStopped(name TaskName, run uint64, id model.VMID, clock time.Duration) {
	if t := e.current(name, run, id); t != nil && t.phase == stopping {
		t.seenAt = clock + e.settings.StopTimeout
	}
}

// current returns the task if the run on the worker is its latest one.
func (e *Engine) current(name TaskName, run uint64, id model.VMID) *task {
	t := e.find(name)
	if t == nil || t.run != run || t.worker == nil || t.worker.info.ID != id {
		return nil
	}
	return t
}

// Adopt marks everything that is placed as decided by an earlier owner. Once a
// worker has seen this tenure's token, no order of the earlier owner has an
// effect on it any more, and its list decides.
func (e *Engine) AdoptPlaced() {
	for _, w := range e.workers {
		for _, t := range w.tasks {
			if t.phase == placed {
				t.adopted = true
				t.paced = unknownPace
			}
		}
	}
}

// Doubt ends a run whose start has an unknown outcome: the worker is told to
// stop it, which also keeps the start from taking effect later.
func (e *Engine) ApplyStartUnknown(name TaskName, run uint64, id model.VMID) {
	if t := e.current(name, run, id); t != nil && t.phase == placed {
		e.event("start_doubtful", t, "")
		e.stop(t)
		e.record(t)
		if t.step.gang != nil { // the others would wait for it in vain
			t.step.gang.breaking = true
			e.finishGang(t.step)
		}
	}
}

// Lapse ends what ran on a worker whose leases have run out for certain.
func (e *Engine) ExpireRuns(id model.VMID) {
	w, ok := e.workers[id]
	if !ok {
		return
	}
	for _, t := range w.sortedTasks() {
		e.ended(t, EndExpired, "")
		e.finishRound(t)
	}
	clear(w.strange)
}

// HasTasks reports whether runs may be at work on the worker.
func (e *Engine) HasTasks(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.occupied()
}

// ended takes the end of the task's current run.
func (e *Engine) ended(t *task, how EndKind, checkpoint string) {
	s := t.step
	wasStopping := t.phase == stopping
	e.event("run_"+string(how), t, "")
	e.release(t)
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	switch {
	case s.gang != nil:
		e.memberEnded(t, how)
	case how == EndDone && !s.spec.LongRunning:
		t.phase = done
		s.left--
	default:
		if how == EndFailed && !s.spec.LongRunning {
			t.failures++
		}
		t.phase = waiting
		s.waiting++
	}
	if t.phase == done || !wasStopping || !s.occurrence.job.state.Ended() {
		e.record(t)
	}
}

// memberEnded takes the end of one member of a gang.
func (e *Engine) memberEnded(t *task, how EndKind) {
	s, g := t.step, t.step.gang
	if how == EndDone {
		g.done = true
	}
	if g.done {
		t.phase = done
		s.left--
		return
	}
	if how == EndFailed && g.failedRun != t.run {
		g.failedRun = t.run
		g.failures++
	}
	if t.checkpoint != "" {
		g.checkpoint = t.checkpoint
	}
	t.failures = g.failures
	t.phase = waiting
	s.waiting++
	g.breaking = s.waiting < len(s.tasks)
}

// finishRound draws the conclusions of an end for the task's gang and job.
func (e *Engine) finishRound(t *task) {
	s := t.step
	j := s.occurrence.job
	if s.gang != nil {
		e.finishGang(s)
	}
	queue := e.queue(j)
	if queue.MaxAttempts > 0 && t.failures >= queue.MaxAttempts && !s.spec.LongRunning && !j.state.Ended() && t.phase != done {
		e.end(j, Failed, "a task failed as often as its queue allows")
		return
	}
	e.refreshReady(s.occurrence)
	e.settle(j)
}

func (e *Engine) finishGang(s *step) {
	if s.gang.done {
		s.finishWaiting()
		return
	}
	if !s.gang.breaking {
		return
	}
	for _, t := range s.tasks {
		e.stop(t)
	}
	if s.waiting == len(s.tasks) {
		s.gang.breaking = false
	}
}

// finishWaiting counts the waiting members of a gang as done: one end stands for
// all of them.
func (s *step) finishWaiting() {
	for _, t := range s.tasks {
		if t.phase == waiting {
			t.phase = done
			s.left--
			s.waiting--
		}
	}
}

// Listed reports whether the VM list names the worker.
func (e *Engine) Listed(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.listed
}

// Stopping reports whether the run is to be stopped and may still be at work.
func (e *Engine) StopPending(name TaskName, run uint64, id model.VMID) bool {
	if t := e.current(name, run, id); t != nil {
		return t.phase == stopping
	}
	w, ok := e.workers[id]
	return ok && w.strange[name] == run && run > 0
}

// WorkersWithTasks returns the workers on which runs may be at work.
func (e *Engine) WorkersWithTasks() []model.VMID {
	var ids []model.VMID
	for id, w := range e.workers {
		if w.occupied() {
			ids = append(ids, id)
		}
	}
	return ids
}

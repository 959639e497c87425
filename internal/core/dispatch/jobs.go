package dispatch

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// AddJob adds a submitted job and creates its due occurrences. It does not change a
// job that it already holds. It reports false for a job that was purged recently.
func (e *Engine) AddJob(id model.JobID, spec JobSpec, now time.Time) bool {
	if e.purged[id] || e.purgedBefore[id] {
		return false
	}
	if _, known := e.jobs[id]; known {
		return true
	}
	j := &job{id: id, spec: spec, team: e.team(spec.Team), state: Queued, occurrences: map[int]*occurrence{}, completed: map[int]bool{}}
	e.jobs[id] = j
	e.withFutureOccurrences[j] = struct{}{}
	e.createDueOccurrences(j, now)
	return true
}

// RotatePurged discards the ids of the jobs that were purged before its previous call.
// Until then AddJob rejects these jobs.
func (e *Engine) RotatePurged() {
	e.purgedBefore = e.purged
	e.purged = map[model.JobID]bool{}
}

// Restore restores the durable state of a job that a previous owner decided. It
// must be called after AddJob and before the first worker report.
func (e *Engine) Restore(id model.JobID, state JobState, completed []int, tasks []TaskState, now time.Time) {
	j, ok := e.jobs[id]
	if !ok {
		return
	}
	for _, number := range completed {
		j.completed[number] = true
		e.dropOccurrence(j, number)
	}
	for _, saved := range tasks {
		e.restoreTask(j, saved)
	}
	for _, o := range j.occurrences {
		e.restoreGangs(o)
		e.refreshReady(o)
	}
	if state.Ended() {
		j.state = state
		e.stopAll(j)
	}
	e.createDueOccurrences(j, now)
	e.finalizeIfDone(j)
}

func (e *Engine) restoreTask(j *job, saved TaskState) {
	if j.completed[saved.Task.Occurrence] || saved.Task.Step >= len(j.spec.Steps) {
		return
	}
	o := e.occurrence(j, saved.Task.Occurrence)
	s := o.steps[saved.Task.Step]
	if saved.Task.Index >= len(s.tasks) {
		return
	}
	t := s.tasks[saved.Task.Index]
	t.run, t.failures, t.checkpoint = saved.Run, saved.Failures, saved.Checkpoint
	t.started = !saved.Unstarted
	if len(saved.Crashes) > 0 {
		t.crashes = slices.Clone(saved.Crashes)
		e.crashed[t] = struct{}{}
	}
	if saved.Suspect && saved.Phase != TaskDone {
		e.setSuspect(t)
	}
	j.runStarted = j.runStarted || t.started
	if s.gang != nil {
		s.gang.run = max(s.gang.run, saved.Run)
		s.gang.failures = max(s.gang.failures, saved.Failures)
		if saved.Checkpoint != "" {
			s.gang.checkpoint = saved.Checkpoint
		}
	}
	switch saved.Phase {
	case TaskDone:
		t.phase = done
		s.unfinished--
		s.pending--
		if s.gang != nil {
			s.gang.done = true
		}
	case TaskPlaced:
		s.pending--
		t.phase = placed
		e.assign(t, e.worker(saved.Worker), saved.Incarnation)
		if t.suspect {
			e.separate(t)
		}
	}
}

// restoreGangs finishes or aborts gangs of which only some members were placed.
func (e *Engine) restoreGangs(o *occurrence) {
	for _, s := range o.steps {
		if s.gang == nil || s.pending == len(s.tasks) {
			continue
		}
		if s.gang.done {
			s.completePending()
		} else if s.pending > 0 {
			s.gang.aborting = true
		}
	}
}

// createDueOccurrences creates the job's occurrences that are due.
func (e *Engine) createDueOccurrences(j *job, now time.Time) {
	if j.state.Ended() {
		delete(e.withFutureOccurrences, j)
		return
	}
	for j.nextOccurrence < j.spec.occurrences() {
		if j.spec.Repetitions > 0 && j.due(j.nextOccurrence).After(now) {
			return
		}
		if !j.completed[j.nextOccurrence] {
			e.occurrence(j, j.nextOccurrence)
		}
		j.nextOccurrence++
	}
	delete(e.withFutureOccurrences, j)
}

func (j *job) due(number int) time.Time {
	if j.spec.Repetitions == 0 {
		return j.spec.Submitted
	}
	return j.spec.FirstRun.Add(time.Duration(number) * j.spec.Interval)
}

// occurrence returns the job's occurrence with the number and creates it if needed.
func (e *Engine) occurrence(j *job, number int) *occurrence {
	if found, ok := j.occurrences[number]; ok {
		return found
	}
	o := &occurrence{job: j, number: number, due: j.due(number)}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStep(o, i))
	}
	e.estimateTimes(o)
	j.occurrences[number] = o
	e.refreshReady(o)
	return o
}

func newStep(o *occurrence, index int) *step {
	spec := &o.job.spec.Steps[index]
	s := &step{
		occurrence: o, index: index, spec: spec,
		unfinished: spec.Tasks, pending: spec.Tasks,
		tickets: map[model.VMID]ticket{}, denied: map[model.VMID]bool{},
	}
	if spec.Gang {
		s.gang = &gang{}
	}
	if spec.MaxPerWorker > 0 {
		s.placedOn = map[*worker]int{}
	}
	for i := range spec.Tasks {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s
}

// refreshReady updates which steps of the occurrence are in the ready set.
func (e *Engine) refreshReady(o *occurrence) {
	for _, s := range o.steps {
		if e.placeable(s) {
			e.ready[s] = struct{}{}
			e.changed[s] = struct{}{}
			s.blockedVersion = 0
		} else {
			delete(e.ready, s)
		}
	}
}

// placeable reports whether the step has pending tasks and its dependencies are
// done. A gang is placeable only if all its members are pending.
func (e *Engine) placeable(s *step) bool {
	if s.pending == 0 || s.occurrence.job.state.Ended() {
		return false
	}
	if s.gang != nil && (s.gang.done || s.pending < len(s.tasks)) {
		return false
	}
	for _, dependency := range s.spec.DependsOn {
		if s.occurrence.steps[dependency].unfinished > 0 {
			return false
		}
	}
	return true
}

// Cancel ends the job at its caller's request, unless it has ended.
func (e *Engine) Cancel(id model.JobID) {
	if j, ok := e.jobs[id]; ok && !j.state.Ended() {
		e.endJob(j, Cancelled, "cancelled by its caller")
	}
}

func (e *Engine) endJob(j *job, state JobState, detail string) {
	e.recordJobEnd(j, state, detail)
	e.stopAll(j)
	e.finalizeIfDone(j)
}

func (e *Engine) recordJobEnd(j *job, state JobState, detail string) {
	j.state = state
	e.batch.Ended = append(e.batch.Ended, JobEnd{Job: j.id, Team: j.spec.Team, State: state})
	e.jobEvent("job_"+string(state), j, detail)
}

// stopAll stops all active runs of the job and removes its steps from the ready set.
func (e *Engine) stopAll(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(e.ready, s)
			for _, t := range s.tasks {
				e.stopRun(t)
			}
		}
	}
	delete(e.withFutureOccurrences, j)
}

// stopRun queues a stop order for the task's run if it is placed or running.
func (e *Engine) stopRun(t *task) {
	if t.phase != placed && t.phase != running {
		return
	}
	t.leavePlaced()
	t.phase = stopping
	t.confirmedAt = 0
	e.orderStop(t)
}

// orderStop queues a stop order for a run in phase stopping.
func (e *Engine) orderStop(t *task) {
	t.stopOrdered = true
	e.stopOrders = append(e.stopOrders, StopOrder{Task: t.name(), Run: t.run, Worker: t.worker.info.ID, Incarnation: t.incarnation})
}

// finalizeIfDone completes the job's finished occurrences, ends the job after the
// last one, and purges an ended job once none of its runs can be active.
func (e *Engine) finalizeIfDone(j *job) {
	if !j.state.Ended() {
		e.completeOccurrences(j)
	}
	if !j.state.Ended() && len(j.completed) == j.spec.occurrences() && !j.spec.longRunning() {
		e.recordJobEnd(j, Completed, "")
	}
	if j.state.Ended() && !j.purged && !j.active() {
		j.purged = true
		e.batch.Purged = append(e.batch.Purged, PurgedJob{Job: j.id, Tasks: j.recordedTasks()})
		e.purged[j.id] = true
		delete(e.jobs, j.id)
		delete(e.withFutureOccurrences, j)
	}
}

func (e *Engine) completeOccurrences(j *job) {
	for number, o := range j.occurrences {
		if !o.allDone() || o.active() {
			continue
		}
		j.completed[number] = true
		e.dropOccurrence(j, number)
		if j.spec.Repetitions > 0 {
			e.batch.Occurrences = append(e.batch.Occurrences, CompletedOccurrence{Job: j.id, Number: number})
		}
	}
}

func (e *Engine) dropOccurrence(j *job, number int) {
	if o, ok := j.occurrences[number]; ok {
		for _, s := range o.steps {
			delete(e.ready, s)
		}
		j.completedTasks = append(j.completedTasks, o.recordedTasks()...)
		delete(j.occurrences, number)
	}
}

// allDone reports whether every task is done.
func (o *occurrence) allDone() bool {
	for _, s := range o.steps {
		if s.unfinished > 0 {
			return false
		}
	}
	return true
}

// active reports whether a run of the occurrence may be active.
func (o *occurrence) active() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.worker != nil {
				return true
			}
		}
	}
	return false
}

func (j *job) active() bool {
	for _, o := range j.occurrences {
		if o.active() {
			return true
		}
	}
	return false
}

// recordedTasks returns the names of the tasks that have a durable record.
func (o *occurrence) recordedTasks() []TaskName {
	var names []TaskName
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.run > 0 {
				names = append(names, t.name())
			}
		}
	}
	return names
}

func (j *job) recordedTasks() []TaskName {
	names := j.completedTasks
	for _, o := range j.occurrences {
		names = append(names, o.recordedTasks()...)
	}
	return names
}

// HasJob reports whether the engine holds the job.
func (e *Engine) HasJob(id model.JobID) bool {
	_, ok := e.jobs[id]
	return ok
}

// Counts returns the numbers of jobs, of pending tasks that can be placed and of
// tasks placed on workers.
func (e *Engine) Counts() (jobs, pendingTasks, placedTasks int) {
	for s := range e.ready {
		pendingTasks += s.pending
	}
	for _, w := range e.workers {
		placedTasks += len(w.tasks)
	}
	return len(e.jobs), pendingTasks, placedTasks
}

// findTask returns the task, or nil if it is unknown.
func (e *Engine) findTask(name TaskName) *task {
	j, ok := e.jobs[name.Job]
	if !ok {
		return nil
	}
	o, ok := j.occurrences[name.Occurrence]
	if !ok || name.Step >= len(o.steps) || name.Index >= len(o.steps[name.Step].tasks) {
		return nil
	}
	return o.steps[name.Step].tasks[name.Index]
}

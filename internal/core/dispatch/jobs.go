package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// AddJob takes a submission. A job that is known already is left as it is; it
// reports false for one that has ended and is forgotten.
func (e *Engine) AddJob(id model.JobID, spec JobSpec, now time.Time) bool {
	if e.forgotten[id] || e.forgottenBefore[id] {
		return false
	}
	if _, known := e.jobs[id]; known {
		return true
	}
	j := &job{id: id, spec: spec, state: Queued, occurrences: map[int]*occurrence{}, completed: map[int]bool{}}
	e.jobs[id] = j
	e.timed[j] = struct{}{}
	e.openOccurrences(j, now)
	return true
}

// AgeEnds begins a new generation of ended jobs and drops the one before the
// last.
func (e *Engine) RotatePurged() {
	e.forgottenBefore = e.forgotten
	e.forgotten = map[model.JobID]bool{}
}

// Restore brings back what an earlier owner decided about a job. It is called
// after AddJob and before the first report of a worker.
func (e *Engine) Restore(id model.JobID, state JobState, completed []int, facts []TaskState, now time.Time) {
	j, ok := e.jobs[id]
	if !ok {
		return
	}
	for _, number := range completed {
		j.completed[number] = true
		e.dropOccurrence(j, number)
	}
	for _, fact := range facts {
		e.restoreTask(j, fact)
	}
	for _, o := range j.occurrences {
		e.restoreSteps(o)
		e.refreshReady(o)
	}
	if state.Ended() {
		j.state = state
		e.stopAll(j)
	}
	e.openOccurrences(j, now)
	e.settle(j)
}

func (e *Engine) restoreTask(j *job, fact TaskState) {
	if j.completed[fact.Task.Occurrence] || fact.Task.Step >= len(j.spec.Steps) {
		return
	}
	o := e.occurrence(j, fact.Task.Occurrence)
	s := o.steps[fact.Task.Step]
	if fact.Task.Index >= len(s.tasks) {
		return
	}
	t := s.tasks[fact.Task.Index]
	t.run, t.failures, t.checkpoint = fact.Run, fact.Failures, fact.Checkpoint
	t.ran = !fact.Unstarted
	j.began = j.began || t.ran
	if s.gang != nil {
		s.gang.run = max(s.gang.run, fact.Run)
		s.gang.failures = max(s.gang.failures, fact.Failures)
		if fact.Checkpoint != "" {
			s.gang.checkpoint = fact.Checkpoint
		}
	}
	switch fact.Phase {
	case TaskDone:
		t.phase = done
		s.left--
		s.waiting--
		if s.gang != nil {
			s.gang.done = true
		}
	case TaskPlaced:
		s.waiting--
		t.phase = placed
		e.assign(t, e.worker(fact.Worker), fact.Incarnation)
	}
}

// restoreSteps finds gangs of which only some members have been placed.
func (e *Engine) restoreSteps(o *occurrence) {
	for _, s := range o.steps {
		if s.gang == nil || s.waiting == len(s.tasks) {
			continue
		}
		if s.gang.done {
			s.finishWaiting()
		} else if s.waiting > 0 {
			s.gang.breaking = true
		}
	}
}

// openOccurrences creates the occurrences that are due.
func (e *Engine) openOccurrences(j *job, now time.Time) {
	if j.state.Ended() {
		delete(e.timed, j)
		return
	}
	for j.next < j.spec.occurrences() {
		if j.spec.Repetitions > 0 && j.due(j.next).After(now) {
			return
		}
		if !j.completed[j.next] {
			e.occurrence(j, j.next)
		}
		j.next++
	}
	delete(e.timed, j)
}

func (j *job) due(number int) time.Time {
	if j.spec.Repetitions == 0 {
		return j.spec.Submitted
	}
	return j.spec.FirstRun.Add(time.Duration(number) * j.spec.Interval)
}

// occurrence returns the occurrence, which it creates when it is new.
func (e *Engine) occurrence(j *job, number int) *occurrence {
	if found, ok := j.occurrences[number]; ok {
		return found
	}
	o := &occurrence{job: j, number: number, due: j.due(number)}
	queue := e.queue(j)
	o.deadline = o.due.Add(time.Duration(queue.Slowdown*float64(j.spec.chain())) + queue.Target)
	tails := j.spec.tails()
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStep(o, i, tails[i]))
	}
	j.occurrences[number] = o
	e.refreshReady(o)
	return o
}

func newStep(o *occurrence, index int, tail time.Duration) *step {
	spec := &o.job.spec.Steps[index]
	s := &step{
		occurrence: o, index: index, spec: spec, tail: tail,
		left: spec.Tasks, waiting: spec.Tasks,
		tickets: map[model.VMID]ticket{}, refused: map[model.VMID]bool{},
	}
	if spec.Gang {
		s.gang = &gang{}
	}
	for i := range spec.Tasks {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s
}

// refreshReady notes which steps of the occurrence have tasks to place.
func (e *Engine) refreshReady(o *occurrence) {
	for _, s := range o.steps {
		if e.placeable(s) {
			e.ready[s] = struct{}{}
			s.blocked = 0
		} else {
			delete(e.ready, s)
		}
	}
}

func (e *Engine) placeable(s *step) bool {
	if s.waiting == 0 || s.occurrence.job.state.Ended() {
		return false
	}
	if s.gang != nil && (s.gang.done || s.waiting < len(s.tasks)) {
		return false
	}
	for _, earlier := range s.spec.DependsOn {
		if s.occurrence.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// Cancel ends a job at its caller's wish.
func (e *Engine) Cancel(id model.JobID) {
	if j, ok := e.jobs[id]; ok && !j.state.Ended() {
		e.end(j, Cancelled, "cancelled by its caller")
	}
}

func (e *Engine) end(j *job, state JobState, detail string) {
	e.setEnd(j, state, detail)
	e.stopAll(j)
	e.settle(j)
}

func (e *Engine) setEnd(j *job, state JobState, detail string) {
	j.state = state
	e.batch.Ended = append(e.batch.Ended, JobEnd{Job: j.id, Team: j.spec.Team, State: state})
	e.jobEvent("job_"+string(state), j, detail)
}

// stopAll stops everything that may run for the job.
func (e *Engine) stopAll(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(e.ready, s)
			for _, t := range s.tasks {
				e.stop(t)
			}
		}
	}
	delete(e.timed, j)
}

// stop orders the end of a run that may be at work.
func (e *Engine) stop(t *task) {
	if t.phase != placed && t.phase != running {
		return
	}
	t.phase = stopping
	t.seenAt = 0
	e.stops = append(e.stops, StopOrder{Task: t.name(), Run: t.run, Worker: t.worker.info.ID, Incarnation: t.life})
}

// settle completes the job's occurrences and forgets it once nothing of it can
// run any more.
func (e *Engine) settle(j *job) {
	if !j.state.Ended() {
		e.completeOccurrences(j)
	}
	if !j.state.Ended() && len(j.completed) == j.spec.occurrences() && !j.spec.longRunning() {
		e.setEnd(j, Completed, "")
	}
	if j.state.Ended() && !j.forgotten && !j.active() {
		j.forgotten = true
		e.batch.Purged = append(e.batch.Purged, PurgedJob{Job: j.id, Tasks: j.recorded()})
		e.forgotten[j.id] = true
		delete(e.jobs, j.id)
		delete(e.timed, j)
	}
}

func (e *Engine) completeOccurrences(j *job) {
	for number, o := range j.occurrences {
		if !o.done() || o.active() {
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
		j.dropped = append(j.dropped, o.recorded()...)
		delete(j.occurrences, number)
	}
}

// done reports whether every task has ended well.
func (o *occurrence) done() bool {
	for _, s := range o.steps {
		if s.left > 0 {
			return false
		}
	}
	return true
}

// active reports whether a run of the occurrence may be at work.
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

// recorded returns the names of the tasks that have a durable record.
func (o *occurrence) recorded() []TaskName {
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

func (j *job) recorded() []TaskName {
	names := j.dropped
	for _, o := range j.occurrences {
		names = append(names, o.recorded()...)
	}
	return names
}

// Known reports whether the engine holds the job.
func (e *Engine) HasJob(id model.JobID) bool {
	_, ok := e.jobs[id]
	return ok
}

// Counts returns the number of jobs and of tasks that wait, for the metrics.
func (e *Engine) Counts() (jobs, waitingTasks, placedTasks int) {
	for s := range e.ready {
		waitingTasks += s.waiting
	}
	for _, w := range e.workers {
		placedTasks += len(w.tasks)
	}
	return len(e.jobs), waitingTasks, placedTasks
}

// find returns the task, or nil if no job accounts for it.
func (e *Engine) find(name TaskName) *task {
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

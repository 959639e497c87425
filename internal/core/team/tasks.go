package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
)

const (
	// minOfferDelay is the first delay after a refusal for lack of capacity.
	minOfferDelay = 10 * time.Millisecond
	// maxOfferDelay bounds the delay between offers of a job.
	maxOfferDelay = 500 * time.Millisecond
	// maxDelayDoublings bounds the exponent of the offer delay.
	maxDelayDoublings = 6
)

// Candidate is a job with tasks that may be offered now.
type Candidate struct {
	Job      model.Job
	Waiting  int // tasks that wait
	Offered  int // tasks whose offers are unanswered
	Refusals int // in a row, for lack of capacity
	// RefusedBy is the rack that refused the next task last. It may hold a
	// worker for it.
	RefusedBy model.PartitionID
	Avoid     []model.VMID // where the next task has failed before
}

// Candidates returns up to limit jobs that may be offered now, in order. Jobs
// whose start deadline has passed are ended as not run.
func (s *State) Candidates(limit int, now time.Duration, wall time.Time) []Candidate {
	var found []Candidate
	for _, j := range s.ready.take(limit, gate{now: now, roomAt: s.roomAt, recovering: s.recovering}) {
		if s.endIfLate(j, wall) {
			continue
		}
		found = append(found, Candidate{
			Job:       j.Job,
			Offered:   j.counts[TaskOffered],
			Waiting:   len(j.waiting),
			Refusals:  j.refusals,
			RefusedBy: j.refusedBy,
			Avoid:     j.tasks[j.waiting[len(j.waiting)-1]].avoid,
		})
	}
	return found
}

// TaskOffer is a task with the permit under which it is offered.
type TaskOffer struct {
	Permit  model.Permit
	Task    model.TaskID
	Attempt int
	Job     model.Job
	Avoid   []model.VMID
}

// OfferTask grants a permit on the partition for the job's next waiting task.
// It returns an OverLimit error when the upper limit leaves no room.
func (s *State) OfferTask(id model.JobID, partition model.PartitionID, epoch model.Epoch, now time.Duration) (TaskOffer, error) {
	j := s.jobs[id]
	if j == nil || len(j.waiting) == 0 {
		return TaskOffer{}, permit.OverLimit.New("job %s has no waiting task", id)
	}
	p, err := s.grant(partition, epoch, j.Size, now)
	if err != nil {
		return TaskOffer{}, err
	}
	if j.active() == 0 {
		j.stopping = false
	}
	index := j.waiting[len(j.waiting)-1]
	j.waiting = j.waiting[:len(j.waiting)-1]
	s.waiting--
	t := &j.tasks[index]
	t.attempt++
	t.permit = p.ID
	j.set(index, TaskOffered)
	task := model.NewTask(id, index)
	s.ledger.Bind(p.ID, id, task, t.attempt)
	return TaskOffer{Permit: p, Task: task, Attempt: t.attempt, Job: j.Job, Avoid: t.avoid}, nil
}

// Started notes that an offered task runs.
func (s *State) ApplyStart(permitID string) {
	entry, ok := s.ledger.Lookup(permitID)
	if !ok {
		return
	}
	j, index := s.find(entry)
	if j == nil {
		return
	}
	j.refusals = 0
	j.refusedBy = ""
	j.notBefore = 0
	if j.tasks[index].state == TaskOffered {
		j.set(index, TaskRunning)
	}
	if j.stopping {
		s.toStop = append(s.toStop, permitID)
	}
}

// Refused takes back an offer that has certainly not started. With backoff the
// job's next offer is delayed.
func (s *State) ApplyRefusal(permitID string, backoff bool, now time.Duration) {
	entry, ok := s.ledger.Release(permitID)
	if !ok {
		return
	}
	j, index := s.find(entry)
	if j == nil {
		return
	}
	s.requeue(j, index)
	if backoff {
		j.refusedBy = entry.Permit.Partition
		j.delay(now)
	}
}

// delay doubles the time until the job's next offer.
func (j *job) delay(now time.Duration) {
	delay := minOfferDelay << min(j.refusals, maxDelayDoublings)
	j.refusals++
	j.delayedAt = now
	j.notBefore = now + min(delay, maxOfferDelay)
}

// Room notes that room has come up on some rack, so that jobs that wait for it
// are offered again before their delay is over.
func (s *State) NoteFreedCapacity(now time.Duration) {
	s.roomAt = now
}

// maxUnfit is the number of looks in a row, at most half a second apart, after
// which a job that fits no listed VM is given up. It outlasts a VM list that
// lacks a rack for a while.
const maxUnfit = 120

// Unfit notes that the job fits no VM, allowed failure domains considered,
// whatever else runs. It ends the job after a bounded number of looks and
// delays the next look otherwise.
func (s *State) RecordUnfit(id model.JobID, now time.Duration) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.unfit++
	if j.unfit >= maxUnfit {
		s.Fail(id, "not run: no worker in the allowed failure domains is large enough for a task")
		return
	}
	j.delay(now)
}

// Fits ends the count that Unfit keeps.
func (s *State) ClearUnfit(id model.JobID) {
	if j := s.jobs[id]; j != nil {
		j.unfit = 0
	}
}

// Delay postpones a job's next offer for lack of capacity.
func (s *State) Delay(id model.JobID, now time.Duration) {
	if j := s.jobs[id]; j != nil {
		j.delay(now)
	}
}

// End is the certain end of one attempt of a task.
type AttemptEnd struct {
	Permit  string
	Task    model.TaskID
	Attempt int
	VM      model.VMID
	Done    bool
	// Lost marks an attempt that ended without a result, as by a failed VM or
	// a checkpoint; it does not count as a failure of the task.
	Lost   bool
	Detail string
}

// Ended takes over the end of an attempt. Repeated ends have no effect.
func (s *State) ApplyEnd(end AttemptEnd) {
	s.ledger.Release(end.Permit)
	id, index, err := model.SplitTask(end.Task)
	j := s.jobs[id]
	if err != nil || j == nil || index >= len(j.tasks) {
		return
	}
	t := &j.tasks[index]
	if t.state == TaskWaiting {
		// An attempt of an earlier tenure may end before its rack has told of
		// it. One that this tenure has seen end stays as it is.
		s.AdoptAttempt(end.Task, end.Attempt, end.Permit)
	}
	if t.state != TaskOffered && t.state != TaskRunning && t.state != TaskUnknown {
		return
	}
	if t.state != TaskUnknown && t.attempt != end.Attempt {
		return
	}
	t.permit = ""
	switch {
	case end.Done:
		s.finishTask(j, index, TaskDone, "")
	case end.Lost:
		s.retryLost(j, index, end.Detail)
	default:
		s.retryFailed(j, index, end)
	}
}

// Adopt takes over an attempt that a partition reported as running or as ended
// with its end still to come. An attempt that this tenure has seen end is
// reported by an answer that was written before, and has no effect.
func (s *State) AdoptAttempt(task model.TaskID, attempt int, permitID string) {
	id, index, err := model.SplitTask(task)
	j := s.jobs[id]
	if err != nil || j == nil || index >= len(j.tasks) {
		return
	}
	t := &j.tasks[index]
	if t.state != TaskWaiting && t.state != TaskUnknown {
		return
	}
	if attempt <= t.attempt {
		return
	}
	if t.state == TaskWaiting {
		j.dropWaiting(index)
		s.waiting--
	}
	t.attempt = max(t.attempt, attempt)
	t.permit = permitID
	j.set(index, TaskRunning)
}

// Vanished takes over permits that have certainly ended without a report, as
// returned by the ledger's Settle.
func (s *State) ApplyUnreportedEnds(entries []permit.Entry) {
	for _, entry := range entries {
		j, index := s.find(entry)
		if j == nil || j.tasks[index].permit != entry.Permit.ID {
			continue
		}
		s.retryLost(j, index, "the attempt ended without a report")
	}
}

// Cancel ends a job's waiting tasks and returns the permits of those that
// must be stopped.
func (s *State) Cancel(id model.JobID) []string {
	j := s.jobs[id]
	if j == nil || !j.open() || j.cancelled {
		return nil
	}
	j.cancelled = true
	s.waiting -= len(j.waiting)
	for _, index := range j.waiting {
		j.set(index, TaskCancelled)
	}
	j.waiting = nil
	var permits []string
	for index := range j.tasks {
		if p := j.tasks[index].permit; p != "" {
			permits = append(permits, p)
		}
	}
	s.endIfFinal(j)
	return permits
}

// Fail ends a job that can never run. Its waiting tasks count as failed.
func (s *State) Fail(id model.JobID, detail string) {
	j := s.jobs[id]
	if j == nil || !j.open() {
		return
	}
	s.waiting -= len(j.waiting)
	waiting := j.waiting
	j.waiting = nil
	j.detail = detail
	for _, index := range waiting {
		s.finishTask(j, index, TaskFailed, detail)
	}
	s.endIfFinal(j)
}

func (s *State) retryFailed(j *job, index int, end AttemptEnd) {
	t := &j.tasks[index]
	t.tries++
	if end.VM != "" && len(t.avoid) < maxAvoided {
		t.avoid = append(t.avoid, end.VM)
	}
	if j.NonIdempotent || t.tries >= maxTries {
		s.finishTask(j, index, TaskFailed, end.Detail)
		return
	}
	s.requeue(j, index)
}

// retryLost queues a lost attempt again unless that could run a non-idempotent
// task twice.
func (s *State) retryLost(j *job, index int, detail string) {
	if j.NonIdempotent {
		s.finishTask(j, index, TaskUnknown, detail)
		return
	}
	s.requeue(j, index)
}

func (s *State) requeue(j *job, index int) {
	j.tasks[index].permit = ""
	if j.cancelled {
		j.set(index, TaskCancelled)
		s.endIfFinal(j)
		return
	}
	j.set(index, TaskWaiting)
	s.waiting++
	s.ready.push(j)
	s.stopRest(j)
}

// stopRest stops the other members of a gang that lost one, so that it does
// not hold capacity while it waits to start again as a whole.
func (s *State) stopRest(j *job) {
	if j.Kind != model.WorkGang {
		return
	}
	if j.active() == 0 {
		j.stopping = false
		return
	}
	if j.stopping {
		return
	}
	j.stopping = true
	for i := range j.tasks {
		if j.tasks[i].state == TaskRunning {
			s.toStop = append(s.toStop, j.tasks[i].permit)
		}
	}
}

// TakeStops returns the permits of gang members that must be stopped and
// forgets them.
func (s *State) TakeStops() []string {
	stops := s.toStop
	s.toStop = nil
	return stops
}

func (s *State) finishTask(j *job, index int, state TaskState, detail string) {
	j.tasks[index].permit = ""
	if detail != "" {
		j.detail = detail
	}
	j.set(index, state)
	s.outbox.taskEnded(j.ID, index, state, detail)
	s.endIfFinal(j)
}

func (s *State) endIfFinal(j *job) {
	if !j.open() {
		return
	}
	if state := j.finalState(); state != "" {
		j.state = state
		s.outbox.jobEnded(j.ID, state, j.detail)
	}
}

// endIfLate fails the waiting tasks of a job whose start deadline has passed.
func (s *State) endIfLate(j *job, wall time.Time) bool {
	if j.Deadline.IsZero() || wall.Before(j.Deadline) {
		return false
	}
	s.Fail(j.ID, "not run: the start deadline passed")
	return true
}

func (s *State) find(entry permit.Entry) (*job, int) {
	if entry.Task == "" {
		return nil, 0
	}
	id, index, err := model.SplitTask(entry.Task)
	j := s.jobs[id]
	if err != nil || j == nil || index >= len(j.tasks) {
		return nil, 0
	}
	return j, index
}

func (j *job) dropWaiting(index int) {
	for i, waiting := range j.waiting {
		if waiting == index {
			j.waiting = append(j.waiting[:i], j.waiting[i+1:]...)
			return
		}
	}
}

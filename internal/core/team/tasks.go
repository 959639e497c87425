package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
)

const (
	// minOfferDelay is the delay after the first refusal for lack of capacity.
	minOfferDelay = 10 * time.Millisecond
	// maxOfferDelay is the longest delay between offers of a job.
	maxOfferDelay = 500 * time.Millisecond
	// maxDelayDoublings limits the exponent of the offer delay.
	maxDelayDoublings = 6
)

// Candidate is a job with tasks that may be offered now.
type OfferableJob struct {
	Job     model.Job
	Waiting int // waiting tasks
	Offered int // tasks with an offer in flight
	Delays  int // consecutive, for lack of capacity
	// RefusedBy is the rack that last refused a task of the job. It may hold a
	// worker for it.
	RefusedBy model.PartitionID
	Avoid     []model.VMID // where the next task has failed before
}

// Candidates returns up to limit jobs that may be offered now, in order. It fails
// the waiting tasks of jobs whose start deadline has passed.
func (s *State) OfferableJobs(limit int, now time.Duration, wall time.Time) []OfferableJob {
	var found []OfferableJob
	for _, j := range s.ready.offerable(limit, offerConditions{now: now, freedAt: s.freedAt, recovering: s.recovering}) {
		if s.failIfOverdue(j, wall) {
			continue
		}
		found = append(found, OfferableJob{
			Job:       j.Job,
			Offered:   j.counts[TaskOffered],
			Waiting:   len(j.waiting),
			Delays:    j.refusals,
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
// It returns an OverLimit error if the job has no waiting task, the upper limit
// has no headroom or the partition is not reconciled for the epoch.
func (s *State) OfferTask(id model.JobID, partition model.PartitionID, epoch model.Epoch, now time.Duration) (TaskOffer, error) {
	j := s.jobs[id]
	if j == nil || len(j.waiting) == 0 {
		return TaskOffer{}, permit.NotGranted.New("job %s has no waiting task", id)
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
	j.setState(index, TaskOffered)
	task := model.NewTask(id, index)
	s.ledger.Bind(p.ID, id, task, t.attempt)
	return TaskOffer{Permit: p, Task: task, Attempt: t.attempt, Job: j.Job, Avoid: t.avoid}, nil
}

// ApplyStart records that an offered task runs.
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
		j.setState(index, TaskRunning)
	}
	if j.stopping {
		s.pendingStops = append(s.pendingStops, permitID)
	}
}

// ApplyRefusal withdraws an offer whose task has certainly not started. With
// backoff the job's next offer is delayed.
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

// delay postpones the job's next offer with exponential backoff.
func (j *job) delay(now time.Duration) {
	delay := minOfferDelay << min(j.refusals, maxDelayDoublings)
	j.refusals++
	j.delayedAt = now
	j.notBefore = now + min(delay, maxOfferDelay)
}

// RecordFreedCapacity records that some rack has new free capacity. Jobs that were
// delayed for lack of capacity may be offered again at once.
func (s *State) RecordFreedCapacity(now time.Duration) {
	s.freedAt = now
}

// maxUnfitChecks is the number of consecutive checks, at most half a second
// apart, after which a job that fits no listed VM fails. It tolerates a VM list
// that temporarily lacks a rack.
const maxUnfitChecks = 120

// RecordUnfit records that a task of the job would fit no VM of the allowed
// failure domains even if the VM were empty. It fails the job after
// maxUnfitChecks consecutive calls and delays its next offer otherwise.
func (s *State) RecordUnfit(id model.JobID, now time.Duration) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.unfitChecks++
	if j.unfitChecks >= maxUnfitChecks {
		s.Fail(id, "not run: no worker in the allowed failure domains is large enough for a task")
		return
	}
	j.delay(now)
}

// ClearUnfit resets the count of RecordUnfit.
func (s *State) ClearUnfit(id model.JobID) {
	if j := s.jobs[id]; j != nil {
		j.unfitChecks = 0
	}
}

// Delay postpones a job's next offer for lack of capacity.
func (s *State) Delay(id model.JobID, now time.Duration) {
	if j := s.jobs[id]; j != nil {
		j.delay(now)
	}
}

// AttemptEnd is the confirmed end of one attempt of a task.
type AttemptEnd struct {
	Permit  string
	Task    model.TaskID
	Attempt int
	VM      model.VMID
	Done    bool
	// Lost marks an attempt that ended without a result, for example because
	// its VM failed or it was checkpointed. It does not count as a failure of
	// the task.
	Lost   bool
	Detail string
}

// ApplyEnd applies the end of an attempt. Repeated ends have no effect.
func (s *State) ApplyEnd(end AttemptEnd) {
	s.ledger.Release(end.Permit)
	id, index, err := model.SplitTask(end.Task)
	j := s.jobs[id]
	if err != nil || j == nil || index >= len(j.tasks) {
		return
	}
	t := &j.tasks[index]
	if t.state == TaskWaiting {
		// An attempt of an earlier session may end before its rack has reported
		// it as running. AdoptAttempt ignores attempts that this session has
		// seen end.
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

// AdoptAttempt records an attempt that a partition reports as running, or as
// ended with its end not yet delivered. An attempt that has ended in this session
// may still appear in a report written earlier and is ignored.
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
	j.setState(index, TaskRunning)
}

// ApplyUnreportedEnds applies the end of attempts that have certainly ended
// without a report, as returned by the ledger's Reconcile.
func (s *State) ApplyUnreportedEnds(entries []permit.Entry) {
	for _, entry := range entries {
		j, index := s.find(entry)
		if j == nil || j.tasks[index].permit != entry.Permit.ID {
			continue
		}
		s.retryLost(j, index, "the attempt ended without a report")
	}
}

// Cancel cancels a job's waiting tasks and returns the permits of the offered and
// running ones, which the caller must stop.
func (s *State) Cancel(id model.JobID) []string {
	j := s.jobs[id]
	if j == nil || !j.open() || j.cancelled {
		return nil
	}
	j.cancelled = true
	s.waiting -= len(j.waiting)
	for _, index := range j.waiting {
		j.setState(index, TaskCancelled)
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

// Fail fails the waiting tasks of a job that cannot run.
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

// retryFailed queues a failed task again, to avoid the VM it failed on. A task
// that is non-idempotent or has failed too often fails for good.
func (s *State) retryFailed(j *job, index int, end AttemptEnd) {
	t := &j.tasks[index]
	t.failures++
	if end.VM != "" && len(t.avoid) < maxAvoided {
		t.avoid = append(t.avoid, end.VM)
	}
	if j.NonIdempotent || t.failures >= maxFailures {
		s.finishTask(j, index, TaskFailed, end.Detail)
		return
	}
	s.requeue(j, index)
}

// retryLost queues the task of a lost attempt again. A non-idempotent task
// becomes unknown instead, because it could run twice.
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
		j.setState(index, TaskCancelled)
		s.endIfFinal(j)
		return
	}
	j.setState(index, TaskWaiting)
	s.waiting++
	s.ready.push(j)
	s.stopOtherMembers(j)
}

// stopOtherMembers stops the running members of a gang that lost one, so that it
// holds no capacity until the complete gang can start again.
func (s *State) stopOtherMembers(j *job) {
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
			s.pendingStops = append(s.pendingStops, j.tasks[i].permit)
		}
	}
}

// TakeStops removes and returns the permits of gang members that must be stopped.
func (s *State) TakeStops() []string {
	stops := s.pendingStops
	s.pendingStops = nil
	return stops
}

func (s *State) finishTask(j *job, index int, state TaskState, detail string) {
	j.tasks[index].permit = ""
	if detail != "" {
		j.detail = detail
	}
	j.setState(index, state)
	s.outbox.taskEnded(j.ID, index, state, detail)
	s.endIfFinal(j)
}

// endIfFinal ends an open job none of whose tasks can still change.
func (s *State) endIfFinal(j *job) {
	if !j.open() {
		return
	}
	if state := j.finalState(); state != "" {
		j.state = state
		s.outbox.jobEnded(j.ID, state, j.detail)
	}
}

// failIfOverdue fails the waiting tasks of a job whose start deadline has passed
// and reports whether it has.
func (s *State) failIfOverdue(j *job, wall time.Time) bool {
	if j.StartBy.IsZero() || wall.Before(j.StartBy) {
		return false
	}
	s.Fail(j.ID, "not run: the start deadline passed")
	return true
}

// find returns the job and the task index of a ledger entry, or a nil job.
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

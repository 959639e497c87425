package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// TaskState is the state of a task as known to the team's owner.
type TaskState uint8

// The states of a task.
const (
	TaskWaiting TaskState = iota
	TaskOffered
	TaskRunning
	TaskDone
	TaskFailed
	TaskUnknown
	TaskCancelled
)

// maxAvoided limits the VMs that a task avoids because it failed there.
const maxAvoided = 8

// task is one task of a job.
type task struct {
	state    TaskState
	attempt  int
	failures int // failed attempts
	permit   string
	avoid    []model.VMID
}

// job is an accepted job and the state of its tasks.
type job struct {
	model.Job
	tasks       []task
	waiting     []int // indexes of waiting tasks; the last is offered next
	counts      [TaskCancelled + 1]int
	cancelled   bool
	state       string // empty while open
	detail      string
	notBefore   time.Duration     // earliest time of the next offer
	delays      int               // consecutive delays since the last start
	delayedAt   time.Duration     // when notBefore was set
	refusedBy   model.PartitionID // the rack of the last offer that was refused or withdrawn
	unfitChecks int               // consecutive checks in which a task of the job fitted no listed VM
	queued      bool              // in the ready queue
	// restored marks a job of an earlier session. Its waiting tasks may be
	// running on a partition that has not reported yet.
	restored bool
	// stopping marks a gang that lost a member. The other members are stopped
	// before the complete gang is offered again.
	stopping bool
}

func newJob(state *journal.JobState) *job {
	j := &job{
		Job:       state.Job,
		tasks:     make([]task, state.Job.Tasks),
		cancelled: state.Cancelled,
		state:     state.State,
		detail:    state.Detail,
	}
	for i := len(state.Progress) - 1; i >= 0; i-- {
		j.restoreTask(i, state.Progress[i])
	}
	return j
}

// restoreTask sets a task's state from the journal. A non-idempotent task that
// may have started is unknown until a rack reports it.
func (j *job) restoreTask(index int, progress journal.TaskProgress) {
	state := TaskWaiting
	switch progress {
	case journal.TaskDone:
		state = TaskDone
	case journal.TaskFailed:
		state = TaskFailed
	case journal.TaskUnknown:
		state = TaskUnknown
	case journal.TaskIntended:
		if j.NonIdempotent {
			state = TaskUnknown
		}
	case journal.TaskPending:
	}
	if state == TaskWaiting && j.cancelled {
		state = TaskCancelled
	}
	j.tasks[index].state = state
	j.counts[state]++
	if state == TaskWaiting {
		j.waiting = append(j.waiting, index)
	}
}

// setState changes a task's state and updates the counts. A task that becomes
// waiting joins the waiting list; callers remove a task from the list when it is no
// longer waiting.
func (j *job) setState(index int, state TaskState) {
	t := &j.tasks[index]
	if t.state == state {
		return
	}
	j.counts[t.state]--
	j.counts[state]++
	t.state = state
	if state == TaskWaiting {
		j.waiting = append(j.waiting, index)
	}
}

// open reports whether the job has not ended.
func (j *job) open() bool {
	return j.state == ""
}

// active returns how many tasks are offered or running.
func (j *job) active() int {
	return j.counts[TaskOffered] + j.counts[TaskRunning]
}

// offerable reports whether the job's waiting tasks may be offered now.
// Capacity that was freed since the job was delayed ends the delay.
func (j *job) offerable(c offerConditions) bool {
	if j.notBefore > c.now && j.delayedAt >= c.freedAt {
		return false
	}
	if j.restored && c.recovering {
		return false
	}
	return j.Kind != model.WorkGang || j.active() == 0
}

// finalState returns the state in which the job ends, or "" while any of its
// tasks is waiting, offered or running.
func (j *job) finalState() string {
	if j.counts[TaskWaiting]+j.active() > 0 {
		return ""
	}
	switch {
	case j.counts[TaskUnknown] > 0:
		return JobUnknown
	case j.counts[TaskFailed] > 0:
		return JobFailed
	case j.counts[TaskCancelled] > 0:
		return JobCancelled
	default:
		return JobDone
	}
}

// The states of a job as reported to callers.
const (
	JobWaiting   = "waiting"
	JobRunning   = "running"
	JobDone      = "done"
	JobFailed    = "failed"
	JobCancelled = "cancelled"
	JobUnknown   = "unknown"
)

// reportedState returns the state of the job as reported to callers.
func (j *job) reportedState() string {
	switch {
	case j.state != "":
		return j.state
	case j.active() > 0:
		return JobRunning
	default:
		return JobWaiting
	}
}

package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// TaskState is what a team's owner knows of a task.
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

// maxAvoided bounds the VMs that a task remembers to have failed on.
const maxAvoided = 8

// task is one task of a job.
type task struct {
	state   TaskState
	attempt int
	tries   int // attempts that failed
	permit  string
	avoid   []model.VMID
}

// job is an accepted job and the state of its tasks.
type job struct {
	model.Job
	tasks     []task
	waiting   []int // indexes of waiting tasks, taken from the end
	counts    [TaskCancelled + 1]int
	cancelled bool
	state     string // empty while open
	detail    string
	notBefore time.Duration     // offers wait until then
	refusals  int               // in a row, for lack of capacity
	delayedAt time.Duration     // when notBefore was set
	refusedBy model.PartitionID // the last rack without room
	unfit     int               // looks in a row at which it fitted no listed VM
	queued    bool              // in the ready queue
	// restored marks a job of an earlier tenure, whose waiting tasks may run on
	// a partition that has not reported yet.
	restored bool
	// stopping marks a gang that lost a member: the others are stopped before
	// it starts again as a whole.
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
	for i := len(state.Marks) - 1; i >= 0; i-- {
		j.restore(i, state.Marks[i])
	}
	return j
}

// restore sets a task's state from the journal. A non-idempotent task that may
// have started is unknown until a rack reports it.
func (j *job) restore(index int, mark journal.TaskMark) {
	state := TaskWaiting
	switch mark {
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
	case journal.TaskOpen:
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

// set moves a task to a state and keeps the counts and the waiting list.
func (j *job) set(index int, state TaskState) {
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
// Room that came up since its last refusal ends the wait.
func (j *job) offerable(g gate) bool {
	if j.notBefore > g.now && j.delayedAt >= g.roomAt {
		return false
	}
	if j.restored && g.recovering {
		return false
	}
	return j.Kind != model.WorkGang || j.active() == 0
}

// finalState returns the state of a job none of whose tasks can change any
// more, or "" while one can.
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

// The states of a job as callers see them.
const (
	JobWaiting   = "waiting"
	JobRunning   = "running"
	JobDone      = "done"
	JobFailed    = "failed"
	JobCancelled = "cancelled"
	JobUnknown   = "unknown"
)

// describe returns the state of the job as callers see it.
func (j *job) describe() string {
	switch {
	case j.state != "":
		return j.state
	case j.active() > 0:
		return JobRunning
	default:
		return JobWaiting
	}
}

// Package dispatch decides which tasks of the cell's jobs run on which worker.
//
// Engine is a state machine without input or output: it takes submissions,
// reports of workers and the policy in force, and returns batches of facts to
// make durable and the orders that may be sent once they are. It is not safe
// for concurrent use; the caller holds a lock around it.
package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// TaskName identifies one task over the life of a job.
type TaskName struct {
	Job        model.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name in the form JOB.OCCURRENCE.STEP.INDEX.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, errs.New("task name %q has not the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskName{}, errs.New("task name %q: %q is not a count", text, part)
		}
		numbers[i] = number
	}
	return TaskName{Job: model.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// StepSpec declares the tasks of one step of a job.
type StepSpec struct {
	Tasks             int
	Size              model.Resources // of each task
	Estimate          time.Duration   // rough run time of one task
	DependsOn         []int           // earlier steps that must be done first
	Checkpoints       bool
	Gang              bool          // the tasks run together or not at all
	SingleRack        bool          // much slower when spread over racks
	Requires          string        // label that the worker must have
	PreferRack        string        // where the data is
	MaxPerWorker      int           // zero for no bound
	Speculative       bool          // copies may run in parallel
	LongRunning       bool          // restarted however it ends, until cancelled
	Image             string        // what the tasks run
	TailLatencyTarget time.Duration // of a long-running task's own response times
	BestEffortCPU     bool          // uses processor time that other tasks leave over
	MaxUnavailable    int           // tasks that the system may take away at a time
}

// footprint returns what one task takes of a worker's capacity.
func (s *StepSpec) footprint() model.Resources {
	size := s.Size
	if s.BestEffortCPU {
		size.MilliCPU = 0
	}
	return size
}

// Queue is the policy of one queue.
type Queue struct {
	Name           string
	Service        string // whose workers run the tasks
	Priority       int    // zero comes first
	MaxAttempts    int    // failures of a task until its job has failed; zero for no bound
	Slowdown       float64
	Target         time.Duration
	RequiresAdvice bool // a placement policy names the workers that may run a step
	// AdviceDecision and AdvicePerWorker tell how long one call to the
	// placement policy takes.
	AdviceDecision  time.Duration
	AdvicePerWorker time.Duration
}

// Team is the policy of one team.
type Team struct {
	Name   string
	Weight float64
	Limit  model.Resources // of all that runs; a zero dimension has no limit
}

// JobSpec is an accepted job.
type JobSpec struct {
	Team        string
	Queue       Queue // as known when the job was accepted
	Payload     string
	Steps       []StepSpec
	Submitted   time.Time
	FirstRun    time.Time // of a repeated job
	Interval    time.Duration
	Repetitions int // zero for a job that runs once, at once
}

// occurrences returns how often the steps run.
func (s *JobSpec) occurrences() int { return max(1, s.Repetitions) }

// longRunning reports whether a step of the job runs until it is cancelled.
func (s *JobSpec) longRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// tails returns for each step the longest estimated path from its start to the
// end of the job.
func (s *JobSpec) tails() []time.Duration {
	tails := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		tails[i] += s.Steps[i].Estimate
		if s.Queue.RequiresAdvice {
			tails[i] += s.Queue.AdviceDecision + adviceBatch*s.Queue.AdvicePerWorker
		}
		for _, earlier := range s.Steps[i].DependsOn {
			tails[earlier] = max(tails[earlier], tails[i])
		}
	}
	return tails
}

// chain returns the longest estimated path through the steps.
func (s *JobSpec) chain() time.Duration {
	longest := time.Duration(0)
	for _, tail := range s.tails() {
		longest = max(longest, tail)
	}
	return longest
}

// JobState is what a caller sees of a job.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// EndKind tells how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndExpired        EndKind = "lapsed" // its lease ran out
	EndGangBroken     EndKind = "broken" // another member of its gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of its gang did not come
	EndLost           EndKind = "lost"   // its worker is gone or no longer knows it
)

// WorkerInfo is what the VM list says of a worker.
type WorkerInfo struct {
	ID          model.VMID
	Incarnation int64 // start of the worker's process, Unix ms
	Service     string
	Address     string
	Domain      model.FailureDomain
	Labels      []string
	Rack        string
	Capacity    model.Resources
	Draining    bool
}

// RunningTask is a row of a worker's list of what runs on it.
type RunningTask struct {
	Task       TaskName
	Run        uint64
	Checkpoint string
	Percent    int
	Load       int // tail in ms of a serving task, else the processor time in use
}

// FinishedTask is a row of a worker's list of ends.
type FinishedTask struct {
	Sequence   uint64 // counts the ends of one life of the worker
	Task       TaskName
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a look.
type WorkerReport struct {
	Incarnation int64
	Clock       time.Duration // the worker's own steady clock
	Running     []RunningTask
	Finished    []FinishedTask
	Partial     bool // more ends are to come
}

// Approval allows one worker to run a step.
type Approval struct {
	Worker model.VMID
	Ticket string
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task        TaskName
	Run         uint64
	Worker      model.VMID
	Incarnation int64
	Payload     string
	Checkpoint  string
	Ticket      string
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Task        TaskName
	Run         uint64
	Worker      model.VMID
	Incarnation int64
}

// AdviceQuery asks which of the workers may run the step.
type AdviceRequest struct {
	Job        model.JobID
	Occurrence int
	Step       int
	Workers    []model.VMID
	// Expected is how long the policy takes to answer.
	ExpectedLatency time.Duration
}

// StepName returns the name of the step in the form JOB.OCCURRENCE.STEP.
func (q AdviceRequest) StepName() string {
	return fmt.Sprintf("%s.%d.%d", q.Job, q.Occurrence, q.Step)
}

// TaskPhase is the durable part of a task's state.
type TaskPhase int

// The phases of a task.
const (
	TaskPending TaskPhase = iota
	TaskPlaced
	TaskDone
)

// TaskFact is a durable decision about a task.
type TaskState struct {
	Task        TaskName
	Phase       TaskPhase
	Run         uint64
	Worker      model.VMID
	Incarnation int64
	Failures    int
	Checkpoint  string
	// Unstarted tells that no run of the task is known to have begun, though
	// one was placed.
	Unstarted bool
}

// Batch is what a round of decisions asks for: facts that must be durable
// before the orders are sent and the acknowledgements given.
type Batch struct {
	Tasks       []TaskState
	Ended       []JobEnd
	Purged      []PurgedJob
	Occurrences []CompletedOccurrence
	Starts      []StartOrder
	Acks        []Ack
}

// Empty reports whether nothing has to be done.
func (b *Batch) Empty() bool {
	return len(b.Tasks) == 0 && len(b.Ended) == 0 && len(b.Purged) == 0 &&
		len(b.Occurrences) == 0 && len(b.Starts) == 0 && len(b.Acks) == 0
}

// ForgottenJob is an ended job of which nothing can run any more. Its records,
// but for the end, may go.
type PurgedJob struct {
	Job   model.JobID
	Tasks []TaskName // that have records
}

// CompletedOccurrence is one completed run of a repeated job's steps.
type CompletedOccurrence struct {
	Job    model.JobID
	Number int
}

// JobEnd is the final state of a job.
type JobEnd struct {
	Job   model.JobID
	Team  string
	State JobState
}

// Ack lets a worker forget its ends up to the sequence number.
type Ack struct {
	Worker      model.VMID
	Incarnation int64
	Sequence    uint64
}

// Package dispatch decides which tasks of the cell's jobs run on which worker.
//
// Engine is a state machine without I/O: it consumes submissions, worker reports and
// the active policy, and returns batches of records to persist and of orders that may
// be sent once the records are durable. It is not safe for concurrent use; the caller
// must serialize all calls with a lock.
//
// A run is one start of a task; packages port and health call it an attempt.
package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// TaskName identifies one task of a job. It is the counterpart of model.TaskID,
// which has no occurrences and steps.
type TaskName struct {
	Job        model.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name in the form JOB.OCCURRENCE.STEP.INDEX.
func (n TaskName) String() string {
	var buffer [64]byte
	text := append(buffer[:0], n.Job...)
	for _, number := range [...]int{n.Occurrence, n.Step, n.Index} {
		text = strconv.AppendInt(append(text, '.'), int64(number), 10)
	}
	return string(text)
}

// ParseTaskName parses a name in the form that TaskName.String returns.
func ParseTaskName(text string) (TaskName, error) {
	job, rest, _ := strings.Cut(text, ".")
	if strings.Count(rest, ".") != 2 || job == "" {
		return TaskName{}, errs.New("task name %q does not have the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i := range numbers {
		var part string
		part, rest, _ = strings.Cut(rest, ".")
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskName{}, errs.New("task name %q: %q is not a non-negative integer", text, part)
		}
		numbers[i] = number
	}
	return TaskName{Job: model.JobID(job), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// StepSpec describes the tasks of one step of a job.
type StepSpec struct {
	Tasks           int
	Size            model.Resources // of each task
	DeclaredRunTime time.Duration   // run time of one task as declared by the caller
	DependsOn       []int           // indexes of earlier steps that must be done first
	Checkpoints     bool
	Gang            bool   // all tasks are placed together or none
	SingleRack      bool   // much slower when spread over several racks
	Requires        string // label that the worker must have
	PreferRack      string // label of the rack that holds the data
	MaxPerWorker    int    // zero for no limit
	Speculative     bool   // copies could run in parallel; decoded and stored, not used
	LongRunning     bool   // restarted after every end, until cancelled
	Image           string // name of the program that the tasks run; decoded and stored, not used
	// TailLatencyTarget is the target for the tail latency of a long-running task's
	// responses; zero for none. A task with such a target is called a serving task.
	TailLatencyTarget time.Duration
	// BestEffortCPU reports that the tasks reserve no CPU and use what other tasks
	// leave idle. They are called best-effort tasks.
	BestEffortCPU  bool
	MaxUnavailable int // tasks that may be unavailable at a time during upkeep; zero for no limit
}

// footprint returns the worker capacity that one task occupies.
func (s *StepSpec) footprint() model.Resources {
	size := s.Size
	if s.BestEffortCPU {
		size.MilliCPU = 0
	}
	return size
}

// Queue is the policy of one queue.
type Queue struct {
	Name        string
	Service     string // kind of worker that runs the tasks; unrelated to model.ServiceID
	Priority    int    // lower values are more urgent
	MaxAttempts int    // failed runs of a task after which its job fails; zero for no limit
	// Slowdown and BaseLatency define the latency objective of a job: Slowdown times
	// its critical path plus BaseLatency.
	Slowdown       float64
	BaseLatency    time.Duration
	RequiresAdvice bool // the placement policy must approve the workers of a step
	// AdviceDecision and AdvicePerWorker are the fixed and the per-worker latency of
	// one call to the placement policy.
	AdviceDecision  time.Duration
	AdvicePerWorker time.Duration
}

// Team is the policy of one team.
type Team struct {
	Name   string
	Weight float64
	// UpperLimit is the limit on the resources of all running tasks. A zero dimension
	// has no limit, the opposite of model.WorkspaceTemplate.UpperLimit.
	UpperLimit model.Resources
}

// JobSpec is an accepted job.
type JobSpec struct {
	Team        string
	Queue       Queue // policy at the time the job was accepted
	Payload     string
	Steps       []StepSpec
	Submitted   time.Time
	FirstRun    time.Time // of a repeated job
	Interval    time.Duration
	Repetitions int // zero for a job that runs once, immediately
}

// occurrences returns the number of occurrences of the job.
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

// remainingTimes returns for each step the estimated time from its start to the end
// of the job, along the longest path, by the declared run times.
func (s *JobSpec) remainingTimes() []time.Duration {
	return s.remainingTimesBy(func(i int) time.Duration { return s.Steps[i].DeclaredRunTime })
}

// remainingTimesBy is remainingTimes by the given run times of one task of each step.
func (s *JobSpec) remainingTimesBy(runTime func(step int) time.Duration) []time.Duration {
	remainingTimes := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		remainingTimes[i] += runTime(i)
		if s.Queue.RequiresAdvice {
			remainingTimes[i] += s.Queue.AdviceDecision + adviceBatchSize*s.Queue.AdvicePerWorker
		}
		for _, dependency := range s.Steps[i].DependsOn {
			remainingTimes[dependency] = max(remainingTimes[dependency], remainingTimes[i])
		}
	}
	return remainingTimes
}

// criticalPath returns the estimated time of the longest path through the steps, by the
// declared run times.
func (s *JobSpec) criticalPath() time.Duration { return longest(s.remainingTimes()) }

// longest returns the estimated time of the longest path through the steps.
func longest(remainingTimes []time.Duration) time.Duration {
	path := time.Duration(0)
	for _, remaining := range remainingTimes {
		path = max(path, remaining)
	}
	return path
}

// JobState is the state of a job as callers see it.
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

// EndKind is the way in which a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndExpired        EndKind = "lapsed" // its lease expired
	EndGangBroken     EndKind = "broken" // another member of its gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of its gang did not start
	EndLost           EndKind = "lost"   // its worker restarted or no longer reports it
)

// WorkerInfo is the worker list's entry of a worker.
type WorkerInfo struct {
	ID          model.VMID
	Incarnation int64 // start time of the worker's process, Unix ms
	Service     string
	Address     string
	Domain      model.FailureDomain
	Labels      []string
	Rack        string
	Capacity    model.Resources
	Draining    bool
}

// ActiveRun is an entry of a worker's list of active runs.
type ActiveRun struct {
	Task       TaskName
	Run        uint64
	Checkpoint string
	Percent    int // current share of the full work rate
	Metric     int // tail latency in ms of a serving task; CPU usage of any other task, which is not used
}

// EndedRun is an entry of a worker's list of ended runs.
type EndedRun struct {
	Sequence   uint64 // numbers the ends of one incarnation of the worker
	Task       TaskName
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a poll.
type WorkerReport struct {
	Incarnation int64
	Clock       time.Duration // the worker's monotonic clock
	ActiveRuns  []ActiveRun
	EndedRuns   []EndedRun
	Partial     bool // more ended runs follow in later reports
}

// Approval is the placement policy's approval for one worker to run a step.
type Approval struct {
	Worker model.VMID
	Ticket string
}

// StartOrder is an order to a worker to start a run.
type StartOrder struct {
	Task        TaskName
	Run         uint64
	Worker      model.VMID
	Incarnation int64
	Payload     string
	Checkpoint  string
	Ticket      string
}

// StopOrder is an order to a worker to stop a run.
type StopOrder struct {
	Task        TaskName
	Run         uint64
	Worker      model.VMID
	Incarnation int64
}

// AdviceRequest asks the placement policy which of the workers may run the step.
type AdviceRequest struct {
	Job        model.JobID
	Occurrence int
	Step       int
	Workers    []model.VMID
	// ExpectedLatency is the expected time until the placement policy answers.
	ExpectedLatency time.Duration

	asked []model.Resources // by worker, the capacity that the step is expected to use
}

// StepName returns the name of the step in the form JOB.OCCURRENCE.STEP.
func (r AdviceRequest) StepName() string {
	return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step)
}

// RecordedPhase is a task's phase in its durable record. While the task runs, the
// engine distinguishes more phases.
type RecordedPhase int

// The recorded phases of a task.
const (
	TaskPending RecordedPhase = iota
	TaskPlaced
	TaskDone
)

// TaskState is the durable state of a task, which its record holds.
type TaskState struct {
	Task        TaskName
	Phase       RecordedPhase
	Run         uint64
	Worker      model.VMID
	Incarnation int64
	Failures    int
	Checkpoint  string
	// Unstarted reports that no run of the task is known to have started and that the
	// task is pending again or being stopped. It is false while a start is awaited, so
	// that a placed task counts as started.
	Unstarted bool
	Crashes   []Crash // of workers under runs of the task, oldest first
	Suspect   bool    // a run of the task may have crashed its worker
}

// Batch holds the results of a round of decisions: records that must be durable
// before the start orders and acknowledgements are sent.
type Batch struct {
	Tasks       []TaskState
	Ended       []JobEnd
	Purged      []PurgedJob
	Occurrences []CompletedOccurrence
	Starts      []StartOrder
	Acks        []Ack
}

// Empty reports whether the batch holds neither records nor orders.
func (b *Batch) Empty() bool {
	return len(b.Tasks) == 0 && len(b.Ended) == 0 && len(b.Purged) == 0 &&
		len(b.Occurrences) == 0 && len(b.Starts) == 0 && len(b.Acks) == 0
}

// PurgedJob is an ended job of which no run can be active any more. All its records
// except that of its end can be deleted.
type PurgedJob struct {
	Job   model.JobID
	Tasks []TaskName // with durable records
}

// CompletedOccurrence is a completed occurrence of a repeated job.
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

// Ack allows a worker to discard its ends up to the sequence number.
type Ack struct {
	Worker      model.VMID
	Incarnation int64
	Sequence    uint64
}

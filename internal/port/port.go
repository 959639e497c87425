// Package port holds the interfaces through which the core meets the platform,
// the targets, other members and time. Adapters implement them.
package port

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Clock tells time. Implementations must keep running while the VM is
// suspended.
type Clock interface {
	// Now returns a monotonic reading that is comparable only with other
	// readings of the same clock.
	Now() time.Duration
	// Wall returns the wall-clock time, for callers' deadlines and ids only.
	Wall() time.Time
}

// Record is one entry of a log stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	Records  []Record
	Earliest uint64 // offset of the oldest record still kept
	Next     uint64 // offset that the next append will get
}

// Log is the platform's log service.
type Log interface {
	// Append adds the records in order and returns the offset of the first.
	// After an error the records may or may not be on the log.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns up to limit records at or after from. It waits up to wait
	// for the first one. With an error of type LogTruncated the batch still
	// states Earliest.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	List(ctx context.Context) ([]model.VM, error)
}

// TaskState is what a worker says of a task.
type TaskState string

// The states of a task on a worker.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed"
	TaskExpired      TaskState = "expired" // stopped because its lease ran out
)

// StartTask asks a worker to start one attempt of a task.
type StartTask struct {
	Task    model.TaskID
	Attempt int
	Job     model.JobID
	Team    model.TeamID
	Permit  string
	Size    model.Resources
	// ExpectedRun is the declared run time.
	ExpectedRun time.Duration
	Epoch       model.Epoch // of the rack partition
	// StartBefore and LeaseUntil are readings of the worker's own clock, as
	// last reported by it. The worker refuses a start that arrives later than
	// StartBefore and stops the task once LeaseUntil has passed.
	StartBefore time.Duration
	LeaseUntil  time.Duration
	Payload     []byte
}

// TaskStatus is a worker's report of one attempt.
type TaskStatus struct {
	Task     model.TaskID
	Attempt  int
	Job      model.JobID
	Team     model.TeamID
	Permit   string
	State    TaskState
	Declared model.Resources
	Used     model.Resources // lags
	Detail   string
}

// WorkerReport is a worker's answer to a heartbeat.
type WorkerReport struct {
	Clock   time.Duration // the worker's own monotonic clock
	Epoch   model.Epoch   // highest epoch the worker has seen
	Tasks   []TaskStatus  // running ones and ended ones not yet acknowledged
	Leaving bool
}

// Heartbeat renews the leases of a worker's tasks.
type Heartbeat struct {
	Epoch      model.Epoch
	LeaseUntil time.Duration // worker clock; zero on first contact
	// Acknowledged lists ended attempts that the worker may forget.
	Acknowledged []TaskAttempt
}

// TaskAttempt names one attempt of a task.
type TaskAttempt struct {
	Task    model.TaskID
	Attempt int
}

// TaskAction is what a worker can do with a running task.
type TaskAction string

// The actions on a running task.
const (
	ActionStop       TaskAction = "stop"
	ActionCheckpoint TaskAction = "checkpoint"
	ActionThrottle   TaskAction = "throttle"
)

// Worker is the control protocol of a worker VM. Errors of type NotStarted
// prove that the call had no effect; after any other error the effect is
// unknown.
type Worker interface {
	Heartbeat(ctx context.Context, address string, beat Heartbeat) (WorkerReport, error)
	Start(ctx context.Context, address string, start StartTask) error
	Act(ctx context.Context, address string, attempt TaskAttempt, epoch model.Epoch, action TaskAction) error
}

// Runner sends quick requests to runner VMs.
type Runner interface {
	// Do sends the request once. An error of type NotStarted proves that the
	// runner did not begin it; after any other error the outcome is unknown.
	Do(ctx context.Context, address string, request model.Request, attempt int) (model.Answer, error)
}

// Package port declares the interfaces between the core and its environment:
// the platform, the targets, other processes and the clock. Adapters implement
// them.
//
// There are two sets. Log, VMList, Worker and Runner serve balsam-sched and
// balsam-entry; KeyedLog, CellWorker, Advisor, WorkerDirectory and MachineManager
// serve balsam-node. Both use Clock, Peer and PeerHandler.
package port

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Clock is the process's time source. Implementations must count the time that
// the VM is suspended.
type Clock interface {
	// Now returns a monotonic reading. Only readings of the same clock may be
	// compared.
	Now() time.Duration
	// Wall returns the wall-clock time, to be used only for times that are shared
	// with callers or other processes, such as callers' deadlines, ids and the
	// timestamps of records.
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
	Earliest uint64 // offset of the oldest retained record
	Next     uint64 // offset of the next append
}

// Log is the platform's log service.
type Log interface {
	// Append appends the records in order and returns the offset of the first.
	// After an error the outcome is unknown.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns up to limit records with offsets of at least from. If there
	// are none, it waits for the first one for at most wait. Earliest is also
	// set with an error of class LogTruncated.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// VMList is the platform's list of VMs; it lags behind their state.
type VMList interface {
	List(ctx context.Context) ([]model.VM, error)
}

// TaskState is the state of a task as reported by its worker.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed" // stopped after it wrote a checkpoint
	TaskExpired      TaskState = "expired"      // stopped because its lease expired
)

// StartTask asks a worker to start one attempt of a task.
type StartTask struct {
	Task    model.TaskID
	Attempt int
	Job     model.JobID
	Team    model.TeamID
	Permit  string
	Size    model.Resources
	// DeclaredRunTime is called ExpectedRun on the wire.
	DeclaredRunTime time.Duration `json:"ExpectedRun"`
	Epoch           model.Epoch   // of the rack partition
	// StartBefore and LeaseUntil are readings of the worker's own clock, derived
	// from its last report. The worker rejects a start that arrives after
	// StartBefore and stops the task after LeaseUntil.
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
	Used     model.Resources // lags behind the actual use
	Detail   string
}

// WorkerReport is a worker's answer to a heartbeat. balsam-node uses
// dispatch.WorkerReport instead.
type WorkerReport struct {
	Clock   time.Duration // the worker's own monotonic clock
	Epoch   model.Epoch   // highest epoch the worker has seen
	Tasks   []TaskStatus  // running attempts and ended ones not yet acknowledged
	Leaving bool          // the VM is shutting down; balsam-sched uses model.VM.Leaving instead
}

// Heartbeat polls a worker and renews the leases of its tasks. balsam-node uses
// PollRequest instead, and calls its owner's periodic records heartbeats.
type Heartbeat struct {
	Epoch      model.Epoch
	LeaseUntil time.Duration // reading of the worker's clock; zero in the first call
	// Acknowledged lists ended attempts that the worker may drop.
	Acknowledged []TaskAttempt
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Task    model.TaskID
	Attempt int
}

// TaskAction is an action on a running task.
type TaskAction string

// Actions on a running task.
const (
	ActionStop       TaskAction = "stop"
	ActionCheckpoint TaskAction = "checkpoint"
	ActionThrottle   TaskAction = "throttle"
)

// Worker is the control protocol of the worker VMs that balsam-sched manages.
// Errors of class NotStarted prove that the call had no effect; after any other
// error the outcome is unknown.
type Worker interface {
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (WorkerReport, error)
	Start(ctx context.Context, address string, start StartTask) error
	Act(ctx context.Context, address string, attempt TaskAttempt, epoch model.Epoch, action TaskAction) error
}

// Runner sends quick requests to the runner VMs.
type Runner interface {
	// Do sends the request once. An error of class NotStarted proves that the
	// runner did not start it; after any other error the outcome is unknown.
	Do(ctx context.Context, address string, request model.Request, attempt int) (model.Answer, error)
}

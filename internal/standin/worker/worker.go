// Package worker is a stand-in of a worker VM. It starts every task that it
// receives, without checking its own capacity, runs it under a lease measured by
// its own clock, and records every start and end in the history.
package worker

import (
	"context"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
)

const (
	// DefaultUsageLag is the time after a start in which no use is reported.
	DefaultUsageLag = time.Second
	// failAfter is the run time of a task on a worker that fails all tasks.
	failAfter = 5 * time.Millisecond
	// throttleFactor divides the processor use of a throttled task and multiplies
	// its remaining run time.
	throttleFactor = 2
	// maxTombstones limits the memory for acknowledged attempts: from this
	// number on, tombstones past their StartBefore are deleted.
	maxTombstones = 100_000
)

// stateLost is the recorded end state of tasks whose VM is gone.
const stateLost = "lost"

// Options configures a worker.
type Options struct {
	VM       model.VM
	UsageLag time.Duration
	// ClockOffset is the reading of the worker's clock at creation.
	ClockOffset time.Duration
	Faults      *fault.Injector
	History     *history.Recorder
	// Progress records the completed run time of checkpointed tasks; if it is
	// nil, they start from the beginning.
	Progress *Progress
}

// Worker is one worker VM. It is safe for concurrent use.
type Worker struct {
	options Options
	origin  time.Time

	mu         sync.Mutex
	epoch      model.Epoch
	leaving    bool
	gone       bool
	tasks      map[port.TaskAttempt]*task
	tombstones map[port.TaskAttempt]time.Duration // acknowledged attempts, to be kept until their StartBefore
	timer      *time.Timer
}

type task struct {
	start   port.StartTask
	payload Payload
	state   port.TaskState
	detail  string
	// startedAt, endsAt and leaseUntil are readings of the worker's clock.
	startedAt  time.Duration
	endsAt     time.Duration // negative if the task runs until it is stopped
	leaseUntil time.Duration
	use        model.Resources
}

// New returns a worker without tasks.
func New(options Options) *Worker {
	if options.UsageLag == 0 {
		options.UsageLag = DefaultUsageLag
	}
	if options.Faults == nil {
		options.Faults = fault.NewInjector()
	}
	if options.History == nil {
		options.History = &history.Recorder{}
	}
	w := &Worker{
		options:    options,
		origin:     time.Now(),
		tasks:      make(map[port.TaskAttempt]*task),
		tombstones: make(map[port.TaskAttempt]time.Duration),
	}
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
	w.timer.Stop()
	options.History.Add(history.Event{
		Kind: history.VMSeen, VM: options.VM.ID, Domain: options.VM.FailureDomain, Size: options.VM.Capacity,
	})
	return w
}

// now returns the reading of the worker's own clock.
func (w *Worker) now() time.Duration {
	return time.Since(w.origin) + w.options.ClockOffset
}

// SetLeaving sets whether the worker reports that its VM is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetGone sets whether the VM is gone. A worker whose VM is gone drops all tasks,
// including ended ones that were not acknowledged; when the VM comes back, the worker
// has none.
func (w *Worker) SetGone(gone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = gone
	if !gone {
		w.epoch = 0
		return
	}
	for key, t := range w.tasks {
		if t.state == port.TaskRunning {
			w.end(t, stateLost, "the VM is gone")
		}
		delete(w.tasks, key)
	}
	w.timer.Stop()
}

// Heartbeat renews the leases of running tasks and returns the state of all
// tasks; see port.Worker.
func (w *Worker) Heartbeat(_ context.Context, heartbeat port.Heartbeat) (port.WorkerReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(heartbeat.Epoch); err != nil {
		return port.WorkerReport{}, err
	}
	now := w.now()
	w.endDue(now)
	for _, acknowledged := range heartbeat.Acknowledged {
		w.acknowledge(acknowledged, now)
	}
	report := port.WorkerReport{Clock: now, Epoch: w.epoch, Leaving: w.leaving}
	for _, t := range w.tasks {
		if t.state == port.TaskRunning {
			t.leaseUntil = max(t.leaseUntil, heartbeat.LeaseUntil)
		}
		report.Tasks = append(report.Tasks, w.status(t, now))
	}
	w.resetTimer(now)
	return report, nil
}

// Start starts an attempt; see port.Worker. It is idempotent.
func (w *Worker) Start(_ context.Context, start port.StartTask) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(start.Epoch); err != nil {
		return err
	}
	now := w.now()
	key := port.TaskAttempt{Task: start.Task, Attempt: start.Attempt}
	if _, known := w.tasks[key]; known {
		return nil
	}
	if _, ended := w.tombstones[key]; ended {
		return port.NotStarted.New("attempt %d of %s has ended and was acknowledged", start.Attempt, start.Task)
	}
	if now > start.StartBefore {
		return port.NotStarted.New("start of %s came %s too late", start.Task, now-start.StartBefore)
	}
	if now > start.LeaseUntil {
		return port.NotStarted.New("lease of %s ran out %s ago", start.Task, now-start.LeaseUntil)
	}
	w.begin(key, start, now)
	return nil
}

// Act stops, checkpoints or throttles a running attempt; see port.Worker.
func (w *Worker) Act(_ context.Context, attempt port.TaskAttempt, epoch model.Epoch, action port.TaskAction) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(epoch); err != nil {
		return err
	}
	now := w.now()
	w.endDue(now)
	t, ok := w.tasks[attempt]
	if !ok || t.state != port.TaskRunning {
		return port.NotStarted.New("attempt %d of %s does not run", attempt.Attempt, attempt.Task)
	}
	switch action {
	case port.ActionStop:
		w.end(t, port.TaskFailed, "stopped")
	case port.ActionCheckpoint:
		w.options.Progress.add(t.start.Task, now-t.startedAt)
		w.end(t, port.TaskCheckpointed, "")
	case port.ActionThrottle:
		throttle(t, now)
	default:
		return port.NotStarted.New("unknown action %q", action)
	}
	w.resetTimer(now)
	return nil
}

// admit refuses calls from previous owners and calls to a VM that is gone. It
// records the highest epoch seen.
func (w *Worker) admit(epoch model.Epoch) error {
	if w.gone {
		return port.NotStarted.New("the VM is gone")
	}
	if epoch < w.epoch {
		return port.NotStarted.New("epoch %d is older than %d", epoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

// acknowledge deletes an attempt whose end was acknowledged. A tombstone remains,
// so that a delayed copy of the start does not run the task again.
func (w *Worker) acknowledge(attempt port.TaskAttempt, now time.Duration) {
	t, ok := w.tasks[attempt]
	if !ok || t.state == port.TaskRunning {
		return
	}
	delete(w.tasks, attempt)
	w.tombstones[attempt] = t.start.StartBefore
	if len(w.tombstones) < maxTombstones {
		return
	}
	for key, until := range w.tombstones {
		if until < now {
			delete(w.tombstones, key)
		}
	}
}

func (w *Worker) status(t *task, now time.Duration) port.TaskStatus {
	used := model.Resources{}
	if t.state == port.TaskRunning && now-t.startedAt >= w.options.UsageLag {
		used = t.use
	}
	if t.state != port.TaskRunning {
		used = t.use
	}
	return port.TaskStatus{
		Task:     t.start.Task,
		Attempt:  t.start.Attempt,
		Job:      t.start.Job,
		Team:     t.start.Team,
		Permit:   t.start.Permit,
		State:    t.state,
		Declared: t.start.Size,
		Used:     used,
		Detail:   t.detail,
	}
}

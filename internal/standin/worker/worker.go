// Package worker is a stand-in of a worker VM. It starts what it is given,
// whether it fits or not, runs it under a lease in its own clock, and records
// every start and end.
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
	// DefaultUsageLag is how far the reported use trails the true one.
	DefaultUsageLag = time.Second
	// failAfter is how long a task runs on a worker that fails everything.
	failAfter = 5 * time.Millisecond
	// throttleFactor divides the use and stretches the rest of the run time.
	throttleFactor = 2
	// maxTombstones bounds the memory of acknowledged attempts.
	maxTombstones = 100_000
)

// stateLost is the recorded end of tasks whose VM went away.
const stateLost = "lost"

// Options sets up a worker.
type Options struct {
	VM       model.VM
	UsageLag time.Duration
	// ClockOffset is the reading of the worker's clock at creation.
	ClockOffset time.Duration
	Faults      *fault.Injector
	History     *history.Recorder
	// Progress keeps what checkpointed tasks have done; nil keeps nothing.
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
	tombstones map[port.TaskAttempt]time.Duration // acknowledged; until StartBefore
	timer      *time.Timer
}

type task struct {
	start     port.StartTask
	payload   Payload
	state     port.TaskState
	detail    string
	startedAt time.Duration
	endsAt    time.Duration // untilStopped if negative
	lease     time.Duration
	use       model.Resources
}

// New returns a worker that runs nothing.
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

// SetLeaving tells the worker whether its VM is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetGone ends all tasks without a report, as a VM that is removed does, or
// brings the VM back with nothing on it.
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

// Heartbeat renews the leases and reports the tasks; see port.Worker.
func (w *Worker) Heartbeat(_ context.Context, beat port.Heartbeat) (port.WorkerReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(beat.Epoch); err != nil {
		return port.WorkerReport{}, err
	}
	now := w.now()
	w.reap(now)
	for _, acknowledged := range beat.Acknowledged {
		w.forget(acknowledged, now)
	}
	report := port.WorkerReport{Clock: now, Epoch: w.epoch, Leaving: w.leaving}
	for _, t := range w.tasks {
		if t.state == port.TaskRunning {
			t.lease = max(t.lease, beat.LeaseUntil)
		}
		report.Tasks = append(report.Tasks, w.status(t, now))
	}
	w.arm(now)
	return report, nil
}

// Start starts one attempt; see port.Worker. It is idempotent.
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
	w.run(key, start, now)
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
	w.reap(now)
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
	w.arm(now)
	return nil
}

// admit refuses calls of former owners and calls to a VM that is gone.
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

func (w *Worker) forget(attempt port.TaskAttempt, now time.Duration) {
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

package worker

import (
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Progress records the run time that checkpointed tasks of a cell have completed,
// so that a later attempt continues on any worker. It is safe for concurrent
// use; a nil Progress records nothing.
type Progress struct {
	mu   sync.Mutex
	done map[model.TaskID]time.Duration
}

// NewProgress returns an empty Progress.
func NewProgress() *Progress {
	return &Progress{done: make(map[model.TaskID]time.Duration)}
}

func (p *Progress) add(id model.TaskID, run time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done[id] += run
}

func (p *Progress) completed(id model.TaskID) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done[id]
}

// begin starts an attempt. The caller holds w.mu.
func (w *Worker) begin(key port.TaskAttempt, start port.StartTask, now time.Duration) {
	payload := parsePayload(start.Payload)
	t := &task{
		start:     start,
		payload:   payload,
		state:     port.TaskRunning,
		startedAt: now,
		endsAt:    untilStopped,
		lease:     start.LeaseUntil,
		use:       payload.use(start),
	}
	if run := payload.runTime(start.DeclaredRunTime); run != untilStopped {
		t.endsAt = now + max(0, run-w.options.Progress.completed(start.Task))
	}
	if w.options.Faults.Get().FailTasks {
		t.payload.Fail = true
		t.endsAt = now + failAfter
	}
	w.tasks[key] = t
	w.record(history.TaskStart, t, "", "")
	w.resetTimer(now)
}

// end ends a running attempt. The caller holds w.mu.
func (w *Worker) end(t *task, state port.TaskState, detail string) {
	t.state = state
	t.detail = detail
	w.record(history.TaskEnd, t, string(state), detail)
}

func (w *Worker) record(kind history.Kind, t *task, state, detail string) {
	w.options.History.Add(history.Event{
		Kind:    kind,
		VM:      w.options.VM.ID,
		Domain:  w.options.VM.FailureDomain,
		Team:    t.start.Team,
		Task:    t.start.Task,
		Job:     t.start.Job,
		Attempt: t.start.Attempt,
		Size:    t.start.Size,
		Permit:  t.start.Permit,
		Call:    t.payload.Call,
		State:   state,
		Detail:  detail,
	})
}

// endDue ends the running attempts whose run time is over or whose lease has
// expired; if both apply, whichever came first counts. The caller holds w.mu.
func (w *Worker) endDue(now time.Duration) {
	for _, t := range w.tasks {
		if t.state != port.TaskRunning {
			continue
		}
		finished := t.endsAt >= 0 && t.endsAt <= now
		expired := t.lease < now
		switch {
		case finished && (!expired || t.endsAt <= t.lease):
			w.finish(t)
		case expired:
			w.end(t, port.TaskExpired, "the lease ran out")
		}
	}
}

func (w *Worker) finish(t *task) {
	if t.payload.Fail {
		w.end(t, port.TaskFailed, "failed as told")
		return
	}
	w.end(t, port.TaskDone, "")
}

// resetTimer sets the timer to the next end of a task or expiry of a lease. The
// caller holds w.mu.
func (w *Worker) resetTimer(now time.Duration) {
	next := time.Duration(-1)
	for _, t := range w.tasks {
		if t.state != port.TaskRunning {
			continue
		}
		at := t.lease + time.Nanosecond
		if t.endsAt >= 0 {
			at = min(at, t.endsAt)
		}
		if next < 0 || at < next {
			next = at
		}
	}
	if next < 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(max(0, next-now))
}

func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	now := w.now()
	w.endDue(now)
	w.resetTimer(now)
}

func throttle(t *task, now time.Duration) {
	t.use.MilliCPU /= throttleFactor
	if t.endsAt >= 0 {
		t.endsAt = now + (t.endsAt-now)*throttleFactor
	}
}

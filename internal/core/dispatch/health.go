package dispatch

import "time"

// The limits of worker health. Failed runs and rejected starts only lower a worker's
// placement score and delay new tasks on it; they never exclude it for good.
// balsam-node uses this simple rule, balsam-sched uses package health.
const (
	// suspectFailures is the number of consecutive failed runs after which a worker
	// is suspected to be faulty.
	suspectFailures = 3
	// suspectPause is how long a suspected worker gets no new tasks.
	suspectPause = 3 * time.Second
	// rejectPause is how long a worker gets no new tasks after it rejected a start.
	rejectPause = 250 * time.Millisecond
)

// workerHealth tracks the failed runs and rejected starts of a worker.
type workerHealth struct {
	failures    int // consecutive
	pausedUntil time.Duration
}

func (h *workerHealth) startRejected(now time.Duration) {
	h.pausedUntil = max(h.pausedUntil, now+rejectPause)
}

func (h *workerHealth) runEnded(kind EndKind, t *task, now time.Duration) {
	switch kind {
	case EndDone:
		h.failures = 0
	case EndFailed:
		if t.failures > 0 {
			return // the task failed before, so it is the more likely cause
		}
		h.failures++
		if h.failures >= suspectFailures {
			h.pausedUntil = now + suspectPause
		}
	}
}

func (h *workerHealth) paused(now time.Duration) bool { return now < h.pausedUntil }

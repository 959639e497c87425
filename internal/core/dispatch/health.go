package dispatch

import "time"

// The bounds of a worker's record. They only order and delay placements.
const (
	// suspectFailures is how many ends in a row must have failed for a worker
	// to be suspected of failing what it starts.
	suspectFailures = 3
	// suspectTime is how long a suspected worker gets no work.
	suspectTime = 3 * time.Second
	// rejectPause is how long a worker that rejected a start gets no other.
	rejectPause = 250 * time.Millisecond
)

// workerHealth is how a worker has treated what it was given.
type workerHealth struct {
	failures    int // in a row
	pausedUntil time.Duration
}

func (h *workerHealth) rejected(now time.Duration) {
	h.pausedUntil = max(h.pausedUntil, now+rejectPause)
}

func (h *workerHealth) ended(how EndKind, t *task, now time.Duration) {
	switch how {
	case EndDone:
		h.failures = 0
	case EndFailed:
		if t.failures > 0 {
			return // the task has failed elsewhere: it is the more likely cause
		}
		h.failures++
		if h.failures >= suspectFailures {
			h.pausedUntil = now + suspectTime
		}
	}
}

func (h *workerHealth) suspected(now time.Duration) bool { return now < h.pausedUntil }

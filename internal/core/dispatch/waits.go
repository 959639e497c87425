package dispatch

import (
	"fmt"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// WaitReason is what held up a ready step in its last try.
type WaitReason string

// The reasons why a step waits. All but WaitCapacity and WaitNear are of steps that need advice and
// say what became of a request for it.
const (
	WaitCapacity  WaitReason = "free capacity"
	WaitAnswer    WaitReason = "answer of the placement policy"
	WaitRetry     WaitReason = "pause after a failed advice request"
	WaitTeamLimit WaitReason = "limit of the team"
	WaitReserved  WaitReason = "capacity reserved for more urgent steps"
	WaitAdvisor   WaitReason = "node that is free to call the placement policy"
	WaitCandidate WaitReason = "worker to ask the placement policy about"
	WaitNear      WaitReason = "place near the data"
)

// WaitReasons lists all reasons.
var WaitReasons = []WaitReason{WaitCapacity, WaitAnswer, WaitRetry, WaitTeamLimit, WaitReserved, WaitAdvisor, WaitCandidate, WaitNear}

// wait describes why a step could not be placed completely in its last try.
type wait struct {
	reason     WaitReason
	unreserved model.Resources // free capacity that was left for the step
	loggedAt   time.Duration   // when it was last logged
}

// waits records the reason why the step waits.
func (e *Engine) waits(s *step, reason WaitReason) {
	if s.nearPass == e.pass && reason == WaitCapacity {
		reason = WaitNear
	}
	s.wait.reason, s.wait.unreserved = reason, e.unreserved
}

// Waits returns the number of ready steps by what held them up in their last try. Steps
// that have not been tried yet are not counted.
func (e *Engine) Waits() map[WaitReason]int {
	counts := make(map[WaitReason]int, len(WaitReasons))
	for s := range e.ready {
		if s.wait.reason != "" {
			counts[s.wait.reason]++
		}
	}
	return counts
}

// PutBack returns the number of ready steps that are put back behind others, because not
// all can start in time.
func (e *Engine) PutBack() int {
	count := 0
	for s := range e.ready {
		if s.putBack {
			count++
		}
	}
	return count
}

const (
	// waitLogDelay is how long a step must have been due before the reason for its
	// waiting is logged.
	waitLogDelay = time.Second
	// waitLogInterval is the minimum time between two such log lines of one step.
	waitLogInterval = 5 * time.Second
)

// logWaiting emits an event with the reason why the step could not be placed
// completely.
func (e *Engine) logWaiting(s *step, now time.Duration, wall time.Time) {
	if wall.Sub(s.occurrence.due) < waitLogDelay || s.wait.loggedAt != 0 && now-s.wait.loggedAt < waitLogInterval {
		return
	}
	s.wait.loggedAt = now
	size := s.spec.footprint()
	eligible, fitting, allowed, slots := 0, 0, 0, 0
	for _, w := range e.workers {
		if !e.eligible(s, w, now) {
			continue
		}
		eligible++
		if !size.Fits(w.free()) {
			continue
		}
		fitting++
		if e.allowed(s, w, now) {
			allowed++
			slots += s.adviceSlots(w, w.free())
		}
	}
	jobTeam := s.occurrence.job.team
	detail := fmt.Sprintf(
		"step %d: %d tasks pending, waits for: %s, team within limit: %t, workers eligible/with free capacity/approved: %d/%d/%d, advice request in flight: %t, free: %s, not reserved for more urgent steps: %s, kept free for top priority: %s",
		s.index, s.pending, s.wait.reason, withinLimit(jobTeam, s.spec.Size), eligible, fitting, allowed, s.adviceCalls > 0,
		amount(e.free), amount(s.wait.unreserved), amount(e.headroom(s)))
	if s.gang != nil {
		detail += fmt.Sprintf(", gang: room for %d of %d members on approved workers", slots, len(s.tasks))
	}
	if s.putBack {
		detail += ", put back: it can't start in time together with others"
	}
	e.jobEvent("job_waits", s.occurrence.job, detail)
}

// amount returns the CPU and the memory in a short form for the log.
func amount(r model.Resources) string {
	return fmt.Sprintf("%dm CPU %d MiB", r.MilliCPU, r.MemoryMiB)
}

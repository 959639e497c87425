package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/admission"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// backlogInterval is the shortest time between two snapshots of what waits.
const backlogInterval = 200 * time.Millisecond

// observeBacklog gives the admission controller a new snapshot when one is due. The
// caller holds mu.
func (s *ownerSession) observeBacklog(now time.Duration) {
	if s.lastObserved != 0 && now-s.lastObserved < backlogInterval {
		return
	}
	s.lastObserved = now
	s.admission.Observe(s.engine.Backlog(now, s.Clock.Wall()))
	snapshot := s.Policy.Get()
	if snapshot == nil {
		return
	}
	for _, queue := range snapshot.Queues() {
		wait := s.admission.ExpectedWait(queue.Priority)
		metrics.GetOrCreateCounter(fmt.Sprintf("balsam_admission_wait_ms{queue=%q}", queue.Name)).Set(uint64(wait.Milliseconds()))
	}
}

// admit returns an error of type *port.OverloadedError if the job could not be served
// in time. The caller holds mu.
func (s *ownerSession) admit(id model.JobID, spec *dispatch.JobSpec, now time.Duration) error {
	arrival := s.engine.Arrival(id, spec)
	decision := s.admission.Decide(arrival, now)
	outcome := "admitted"
	if !decision.Admitted {
		outcome = "refused"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("balsam_admissions_total{queue=%q,outcome=%q}", spec.Queue.Name, outcome)).Inc()
	if decision.Admitted {
		return nil
	}
	s.logRefusal(arrival, spec.Queue.Name, decision)
	return &port.OverloadedError{RetryAfter: decision.RetryAfter}
}

func (s *ownerSession) logRefusal(arrival admission.Job, queue string, decision admission.Decision) {
	s.Logger.WithFields(logrus.Fields{
		"job": arrival.ID, "team": arrival.Team, "queue": queue, "epoch": s.epoch, "outcome": "refused",
		"waiting_tasks": int(decision.Ahead.Tasks), "waiting_cpu_s": int(decision.Ahead.Work / 1000), "starts_in_flight": int(decision.InFlight),
		"starts_per_s": int(decision.Rate.Tasks), "cpu_s_per_s": int(decision.Rate.Work / 1000), "bound": decision.Bound, "crowd": decision.Crowd,
		"expected_wait_ms": decision.Wait.Milliseconds(), "wait_limit_ms": decision.Limit.Milliseconds(),
		"objective_ms": arrival.Objective.Milliseconds(), "snapshot_age_ms": decision.Age.Milliseconds(),
		"retry_after_s": int(decision.RetryAfter.Seconds()),
	}).Info("job refused, since it could not be served in time")
}

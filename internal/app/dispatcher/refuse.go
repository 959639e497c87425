package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/admission"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// forecastInterval is the least time between two forecasts of the cell's room. The jobs
	// accepted in between are counted on top of the last one.
	forecastInterval = 50 * time.Millisecond
	// refusalLogInterval is the least time between two log lines about refusals.
	refusalLogInterval = 50 * time.Millisecond
)

// admit returns an error if a job that the records submit is refused for want of room. It
// is called before the records become part of a batch, so that the answer waits for no
// append. Known jobs and those that never fit are left to the batch.
func (s *ownerSession) admit(records []port.KeyedRecord) error {
	if s.admission == nil {
		return nil
	}
	for _, record := range records {
		id, submission, ok := replica.ParseSubmission(record)
		if !ok {
			continue
		}
		if _, known := s.Replica.State(id); known {
			continue
		}
		spec := replica.Spec(submission)
		if refusal := s.judge(id, &spec); refusal != nil {
			detail := fmt.Sprintf("job of queue %q and team %q would start in %v and has to in %v, with %v of the workers' time ahead of it (%s)", spec.Queue.Name, spec.Team,
				refusal.Start.Round(time.Millisecond), refusal.Deadline.Round(time.Millisecond), refusal.Ahead.Round(time.Millisecond), refusal.Reason)
			return port.NotStarted.Wrap(&port.OverloadedError{Detail: detail, RetryAfter: refusal.RetryAfter})
		}
	}
	return nil
}

// judge returns the refusal of a job, nil if it is accepted.
func (s *ownerSession) judge(id model.JobID, spec *dispatch.JobSpec) *admission.Refusal {
	ready := s.halfReported() && s.listIsCurrent() // the room is not known otherwise
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ready || s.engine.HasJob(id) || s.admission.Known(id) || s.engine.NeverFits(*spec) != "" {
		return nil
	}
	now, wall := s.Clock.Now(), s.Clock.Wall()
	if s.admission.ForecastAge(now) >= forecastInterval {
		s.admission.Update(s.engine.Forecast(now, wall), now, s.engine.HasJob)
	}
	refusal := s.admission.Judge(id, spec, now, wall)
	if refusal != nil {
		s.logRefusal(id, spec, refusal, now)
	}
	return refusal
}

// logRefusal counts a refusal and logs it unless one was logged a moment ago. The caller
// holds mu.
func (s *ownerSession) logRefusal(id model.JobID, spec *dispatch.JobSpec, refusal *admission.Refusal, now time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsam_owner_refused_total{reason=%q}", refusal.Reason)).Inc()
	if s.refusalLoggedAt != 0 && now-s.refusalLoggedAt < refusalLogInterval {
		s.refusalsNotLogged++
		return
	}
	s.Logger.WithFields(logrus.Fields{
		"job": id, "team": spec.Team, "queue": spec.Queue.Name, "reason": refusal.Reason,
		"start_ms": refusal.Start.Milliseconds(), "deadline_ms": refusal.Deadline.Milliseconds(), "queue_ahead_ms": refusal.Ahead.Milliseconds(),
		"carried": fmt.Sprintf("%.2f", refusal.Carried), "urgent": fmt.Sprintf("%.2f", refusal.Taken),
		"retry_after_ms": refusal.RetryAfter.Milliseconds(), "not_logged": s.refusalsNotLogged,
	}).Info("job refused for want of room")
	s.refusalLoggedAt, s.refusalsNotLogged = now, 0
}

// Package intake serves callers: it checks who they are and where their call
// leads, makes submissions and cancellations durable, and tells the state of
// jobs from the node's replica.
package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Outcome is what becomes of a call.
type Outcome int

// The outcomes of a call.
const (
	Done        Outcome = iota
	Unavailable         // had no effect and never will; worth another try
	Unknown             // may have an effect; to be repeated with the same id
	NoKey               // the key is not in force
	NoRoute             // nothing is configured there
	NoJob               // no such job
	Invalid             // the call can't be read
	Impossible          // larger than any worker or than the team's limit
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	return [...]string{"accepted", "unavailable", "unknown", "no_key", "no_route", "no_job", "invalid", "impossible"}[o]
}

const (
	// forwardTime bounds the way through the owner: a few batches of a slow log.
	forwardTime = 1200 * time.Millisecond
	// ownerWait is how long a record is kept for an owner to come; nothing can
	// start without one, and a takeover is over within it unless the log fails.
	ownerWait  = 1500 * time.Millisecond
	ownerCheck = 25 * time.Millisecond // between two looks for an owner
	retryPause = 40 * time.Millisecond
	// giveUpAfter is how long the log is tried for a call that may have had an
	// effect; one that certainly had none is refused sooner, so that the caller
	// can come back within its own deadline.
	giveUpAfter = 2200 * time.Millisecond
	refuseAfter = 500 * time.Millisecond
	// staleAfter is how old the replica may be for "no such job".
	staleAfter = 1500 * time.Millisecond
)

// Options are what a Service needs. All fields are required.
type Options struct {
	Policy  *policy.Current
	Log     port.KeyedLog
	Replica *replica.Replica
	Tail    *logtail.Tail
	Clock   port.Clock
	Logger  logrus.FieldLogger
	// Forward hands a record to the cell's owner, which makes it durable with
	// its next batch. An error of type NotStarted proves that it will not; one of
	// type NoOwner tells besides that another owner is to be expected.
	Forward func(ctx context.Context, record port.KeyedRecord) error
}

// Service serves the callers of one node. It is safe for concurrent use.
type Service struct {
	Options
	direct writer
}

// New returns a Service.
func New(options Options) *Service {
	return &Service{Options: options, direct: writer{log: options.Log, clock: options.Clock, tail: options.Tail}}
}

// Call is a caller's call to a route.
type Call struct {
	Host string
	Path string
	Key  string
}

// Ready reports whether the node can serve callers.
func (s *Service) Ready() bool {
	return s.Policy.Get() != nil && s.Tail.LastRead() != 0
}

// Authorize finds the route of the call and the caller's team.
func (s *Service) Authorize(call Call) (*policy.Route, string, Outcome) {
	snapshot := s.Policy.Get()
	if snapshot == nil {
		return nil, "", Unavailable
	}
	route, ok := snapshot.MatchRoute(call.Host, call.Path)
	if !ok {
		return nil, "", NoRoute
	}
	team, known := snapshot.TeamByKey[call.Key]
	if !known && !route.Open {
		return nil, "", NoKey
	}
	return route, team, Done
}

// Submit makes the job durable. A job that is known already is left as it is.
func (s *Service) Submit(ctx context.Context, id model.JobID, spec dispatch.JobSpec) Outcome {
	if _, known := s.Replica.State(id); known {
		return Done
	}
	spec.Submitted = s.Clock.Wall()
	record, err := replica.SubmissionRecord(id, spec)
	if err != nil {
		s.Logger.WithError(err).WithField("job", id).Warn("submission can't be encoded")
		return Invalid
	}
	began := s.Clock.Now()
	outcome := s.append(ctx, id, record, func() bool {
		_, known := s.Replica.State(id)
		return known
	})
	s.decided("submission", id, outcome, spec.Team)
	metrics.GetOrCreateHistogram(fmt.Sprintf("balsam_submission_seconds{team=%q,outcome=%q}", spec.Team, outcome)).
		Update((s.Clock.Now() - began).Seconds())
	return outcome
}

// Cancel makes the end of the job durable. The owner ignores it for a job that
// it does not know.
func (s *Service) Cancel(ctx context.Context, id model.JobID, team string) Outcome {
	if state, known := s.Replica.State(id); known && state.Ended() {
		return Done
	}
	record, err := replica.CancellationRecord(id, s.Clock.Wall())
	if err != nil {
		s.Logger.WithError(err).WithField("job", id).Warn("cancellation can't be encoded")
		return Invalid
	}
	outcome := s.append(ctx, id, record, func() bool {
		state, known := s.Replica.State(id)
		return known && state.Ended()
	})
	s.decided("cancellation", id, outcome, team)
	return outcome
}

// append hands the record to the owner, waits for one if there is none, and
// tries the log itself where that fails, until one answers or the time is up.
// The record is the same each time, so that a late effect of an earlier try does
// no harm. durable reports whether the replica has read such an effect.
func (s *Service) append(ctx context.Context, id model.JobID, record port.KeyedRecord, durable func() bool) Outcome {
	began := s.Clock.Now()
	unknown := false
	for {
		doubt, err := s.forward(ctx, record, began)
		unknown = unknown || doubt
		if port.NeverFits.Has(err) && !unknown {
			s.Logger.WithError(err).WithField("job", id).Info("job can't ever run")
			return Impossible
		}
		if err != nil {
			err = s.direct.append(ctx, s.Replica.MemberCount(), record)
			unknown = unknown || err != nil && !port.Refused.Has(err) && !port.NotStarted.Has(err)
		}
		if err == nil || durable() {
			return Done
		}
		tried := s.Clock.Now() - began
		if ctx.Err() != nil || tried > giveUpAfter || !unknown && tried > refuseAfter {
			s.Logger.WithError(err).WithField("job", id).Debug("log did not take the record")
			break
		}
		pause.Sleep(ctx, retryPause)
	}
	if unknown {
		return Unknown
	}
	return Unavailable
}

// forward hands the record to the owner, or to the next one. After an error,
// unknown tells that the record may become durable all the same.
func (s *Service) forward(ctx context.Context, record port.KeyedRecord, began time.Duration) (unknown bool, err error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, forwardTime)
		err = s.Forward(callCtx, record)
		cancel()
		if err == nil {
			return false, nil
		}
		unknown = unknown || !port.NotStarted.Has(err)
		if !port.NoOwner.Has(err) || ctx.Err() != nil || s.Clock.Now()-began > ownerWait {
			return unknown, err
		}
		pause.Sleep(ctx, ownerCheck)
	}
}

func (s *Service) decided(what string, id model.JobID, outcome Outcome, team string) {
	fields := logrus.Fields{"job": id, "team": team, "policy_version": s.Policy.Get().Version, "owner": s.Replica.Owner().Node, "replica_age_ms": (s.Clock.Now() - s.Tail.LastRead()).Milliseconds()}
	switch outcome {
	case Done:
		s.Logger.WithFields(fields).Info(what + " accepted")
	case Unknown:
		s.Logger.WithFields(fields).Warn(what + " has an unknown outcome: the log did not answer")
	case Impossible:
		s.Logger.WithFields(fields).Warn(what + " refused: it is larger than any worker or than its team's limit")
	default:
		s.Logger.WithFields(fields).Warn(what + " refused: the log took no record")
	}
}

// State tells the state of a job.
func (s *Service) State(id model.JobID) (dispatch.JobState, Outcome) {
	state, known := s.Replica.State(id)
	if known {
		return state, Done
	}
	if s.Clock.Now()-s.Tail.LastRead() > staleAfter {
		return "", Unavailable
	}
	return "", NoJob
}

// Pending counts the queue's jobs of which nothing has started.
func (s *Service) Pending(queue string) int { return s.Replica.Pending(queue) }

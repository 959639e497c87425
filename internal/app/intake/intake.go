// Package intake serves callers: it authenticates and routes their calls, makes
// submissions and cancellations durable, and returns the state of jobs from the
// node's replica.
package intake

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
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

// Outcome is the result of a call.
type Outcome int

// The outcomes of a call.
const (
	Done         Outcome = iota
	Unavailable          // had no effect and never will; can be retried
	Unknown              // may have an effect; must be retried with the same id
	NoKey                // the API key is not valid
	NoRoute              // no route is configured for the host and path
	NoJob                // job does not exist
	Invalid              // the call can't be decoded or encoded
	JobNeverFits         // a task fits no known kind of worker, or a task or gang exceeds the team's limit
	Overloaded           // the job would end too late for want of room; it had no effect and never will
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	return [...]string{"accepted", "unavailable", "unknown", "no_key", "no_route", "no_job", "invalid", "impossible", "overloaded"}[o]
}

const (
	// forwardTimeout bounds a write through the owner, which waits for the append in
	// flight and the next one. On a slow log it is longer by forwardAnswers answers, up to
	// giveUpAfter.
	forwardTimeout = 1200 * time.Millisecond
	forwardAnswers = 4
	// ownerWait is how long a record waits for an owner before it is appended
	// directly. The wait delays no task, since none starts without an owner. A
	// takeover takes less time unless the log fails.
	ownerWait          = 1500 * time.Millisecond
	ownerCheckInterval = 25 * time.Millisecond // between two attempts to reach an owner
	retryPause         = 40 * time.Millisecond
	// giveUpAfter bounds the retries of a call that may have had an effect, and
	// refuseAfter those of a call that certainly had none: it is refused early, so
	// that the caller can retry within its own deadline.
	giveUpAfter = 2200 * time.Millisecond
	refuseAfter = 500 * time.Millisecond
	// minAttempt is the time that a further attempt must have: one that the call's
	// deadline cuts off would leave its outcome unknown.
	minAttempt = 150 * time.Millisecond
	// staleAfter is how old the replica may be for the answer that a job does not
	// exist.
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
	// MaxAppendBytes limits the records of one append together, in bytes.
	MaxAppendBytes int
	// Forward sends a record to the cell's owner, which makes it durable with its
	// next batch. An error of class NotStarted proves that it will not; one of class
	// NoOwner means in addition that a new owner is expected.
	Forward func(ctx context.Context, record port.KeyedRecord) error
}

// Service serves the callers of one node. It is safe for concurrent use.
type Service struct {
	Options
	direct writer // appends to the log without the owner
	// refusing reports that new submissions and cancellations are refused at once,
	// because the node stops before they could be answered.
	refusing atomic.Bool
}

// LongestWrite is the longest time from a submission or cancellation to its answer.
const LongestWrite = giveUpAfter + appendTimeout

// RefuseWrites makes the service refuse all further submissions and cancellations at
// once, except those of known jobs that need no write.
func (s *Service) RefuseWrites() { s.refusing.Store(true) }

// New returns a Service.
func New(options Options) *Service {
	return &Service{Options: options, direct: writer{log: options.Log, clock: options.Clock, tail: options.Tail, replica: options.Replica, maxBytes: options.MaxAppendBytes}}
}

// Call is a caller's call to a route.
type Call struct {
	Host string
	Path string
	Key  string // API key
}

// Ready reports whether the node can serve callers.
func (s *Service) Ready() bool {
	return s.Policy.Get() != nil && s.Tail.LastRead() != 0
}

// Authorize returns the route of the call and the caller's team. The team is empty
// if an open route is called without a valid key. The outcome is Done, NoRoute, NoKey,
// or Unavailable if the node has not read a policy yet.
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

// Submit makes the job durable. It returns Done without a write if the job is already
// known.
func (s *Service) Submit(ctx context.Context, id model.JobID, spec dispatch.JobSpec) Outcome {
	outcome, _ := s.TrySubmit(ctx, id, spec)
	return outcome
}

// TrySubmit is Submit. With Overloaded it also returns the time until there is expected to
// be room for the job.
func (s *Service) TrySubmit(ctx context.Context, id model.JobID, spec dispatch.JobSpec) (Outcome, time.Duration) {
	if _, known := s.Replica.State(id); known {
		return Done, 0
	}
	spec.Submitted = s.Clock.Wall()
	record, err := replica.SubmissionRecord(id, spec)
	if err != nil {
		s.Logger.WithError(err).WithField("job", id).Warn("encoding the submission failed; refusing it")
		return Invalid, 0
	}
	start := s.Clock.Now()
	outcome, retryAfter := s.write(ctx, id, record, func() bool {
		_, known := s.Replica.State(id)
		return known
	})
	s.logOutcome("submission", id, outcome, spec.Team, start)
	metrics.GetOrCreateHistogram(fmt.Sprintf("balsam_submission_seconds{team=%q,outcome=%q}", spec.Team, outcome)).
		Update((s.Clock.Now() - start).Seconds())
	return outcome, retryAfter
}

// Cancel makes the job's cancellation durable. The owner ignores it for a job that it
// does not know.
func (s *Service) Cancel(ctx context.Context, id model.JobID, team string) Outcome {
	if state, known := s.Replica.State(id); known && state.Ended() {
		return Done
	}
	record, err := replica.CancellationRecord(id, s.Clock.Wall())
	if err != nil {
		s.Logger.WithError(err).WithField("job", id).Warn("encoding the cancellation failed; refusing it")
		return Invalid
	}
	start := s.Clock.Now()
	outcome, _ := s.write(ctx, id, record, func() bool {
		state, known := s.Replica.State(id)
		return known && state.Ended()
	})
	s.logOutcome("cancellation", id, outcome, team, start)
	return outcome
}

// write makes the record durable, or refuses it while the service refuses writes.
func (s *Service) write(ctx context.Context, id model.JobID, record port.KeyedRecord, durable func() bool) (Outcome, time.Duration) {
	if s.refusing.Load() {
		return Unavailable, 0
	}
	return s.append(ctx, id, record, durable)
}

// append makes the record durable. Each attempt sends it to the owner, waiting for one
// if there is none, and appends it to the log directly if that fails. Attempts are
// repeated until one succeeds or the time is up. A delayed effect of an earlier attempt
// does no harm, since the record is the same each time. durable reports whether the
// replica shows that the record has taken effect. With Overloaded it also returns the time
// until there is expected to be room.
func (s *Service) append(ctx context.Context, id model.JobID, record port.KeyedRecord, durable func() bool) (Outcome, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, LongestWrite)
	defer cancel()
	start := s.Clock.Now()
	unknown := false
	for {
		forwardUnknown, err := s.forward(ctx, record, start)
		unknown = unknown || forwardUnknown
		if outcome, retryAfter, refused := s.refusal(err, id, unknown, durable); refused {
			return outcome, retryAfter
		}
		if err != nil {
			err = s.direct.append(ctx, s.Replica.NodeCount(), record)
			unknown = unknown || err != nil && !port.Refused.Has(err) && !port.NotStarted.Has(err)
		}
		if err == nil || durable() {
			return Done, 0
		}
		elapsed := s.Clock.Now() - start
		if ctx.Err() != nil || elapsed > giveUpAfter || !unknown && (elapsed > refuseAfter || remaining(ctx) < retryPause+minAttempt) {
			s.Logger.WithError(err).WithField("job", id).Debug("writing the record failed; giving up")
			break
		}
		pause.Sleep(ctx, retryPause)
	}
	if unknown {
		return Unknown, 0
	}
	return Unavailable, 0
}

// remaining returns the time until the context's deadline.
func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline() // set by append
	return time.Until(deadline)
}

// refusal returns the outcome if the owner's error is a refusal of the job itself, with the
// time until there is expected to be room. unknown reports that an earlier attempt may still
// take effect, of which a refusal proves nothing.
func (s *Service) refusal(err error, id model.JobID, unknown bool, durable func() bool) (outcome Outcome, retryAfter time.Duration, refused bool) {
	if port.NeverFits.Has(err) && !unknown {
		s.Logger.WithError(err).WithField("job", id).Info("job fits no known kind of worker or exceeds its team's limit; refusing it")
		return JobNeverFits, 0, true
	}
	var overloaded *port.OverloadedError
	switch {
	case !errors.As(err, &overloaded):
		return 0, 0, false
	case durable():
		return Done, 0, true
	case unknown:
		return Unknown, 0, true
	}
	s.Logger.WithError(err).WithFields(logrus.Fields{"job": id, "retry_after_ms": overloaded.RetryAfter.Milliseconds()}).
		Info("job would end too late for want of room; refusing it")
	return Overloaded, overloaded.RetryAfter, true
}

// forward sends the record to the owner, or to the next one within ownerWait of
// start. After an error, unknown reports whether the record may still become
// durable.
func (s *Service) forward(ctx context.Context, record port.KeyedRecord, start time.Duration) (unknown bool, err error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, min(forwardTimeout+forwardAnswers*s.Tail.AnswerTime(), giveUpAfter))
		err = s.Forward(callCtx, record)
		cancel()
		if err == nil {
			return false, nil
		}
		unknown = unknown || !port.NotStarted.Has(err)
		if !port.NoOwner.Has(err) || ctx.Err() != nil || s.Clock.Now()-start > ownerWait {
			return unknown, err
		}
		pause.Sleep(ctx, ownerCheckInterval)
	}
}

// logOutcome logs the result of a write call that began at start; what names the call.
func (s *Service) logOutcome(what string, id model.JobID, outcome Outcome, team string, start time.Duration) {
	fields := logrus.Fields{"took_ms": (s.Clock.Now() - start).Milliseconds(), "job": id, "team": team, "policy_version": s.Policy.Get().Version, "owner": s.Replica.Owner().Node, "replica_age_ms": (s.Clock.Now() - s.Tail.LastRead()).Milliseconds()}
	switch outcome {
	case Done:
		s.Logger.WithFields(fields).Info(what + " accepted")
	case Unknown:
		s.Logger.WithFields(fields).Warn(what + " has an unknown outcome; the caller must retry it with the same id")
	case JobNeverFits:
		s.Logger.WithFields(fields).Warn(what + " refused, since the job does not fit any known kind of worker or its team's limit; the caller can change it or retry later")
	case Overloaded:
		s.Logger.WithFields(fields).Info(what + " refused for want of room; the caller can retry")
	default:
		s.Logger.WithFields(fields).Warn(what + " refused, since the record was not stored; the caller can retry")
	}
}

// State returns the state of a job. The outcome is Unavailable if the job is not
// known and the replica is too old to show that it does not exist.
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

// Pending returns the number of the queue's jobs in state Queued, without cancelled
// ones.
func (s *Service) Pending(queue string) int { return s.Replica.Pending(queue) }

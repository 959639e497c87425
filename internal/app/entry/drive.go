package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// answerGrace is how long after the deadline a call still waits for the
	// outcome of a request.
	answerGrace  = 250 * time.Millisecond
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// driver performs the actions of one request's state machine.
type driver struct {
	*Server
	q       *quick
	machine *request.Machine
	delays  *backoff.ExponentialBackOff
	sentAt  time.Duration
}

// drive runs the request's state machine and returns the single result.
func (s *Server) drive(ctx context.Context, q *quick) request.Result {
	d := &driver{Server: s, q: q, machine: request.New(request.Request{
		ID: q.ID, NonIdempotent: q.NonIdempotent, CallerKey: q.callerKey,
	})}
	s.retryBudgets.recordAttempt(q.Team)
	action := d.machine.Start()
	for action.Kind != request.Reply {
		action = d.perform(ctx, action)
	}
	s.stats.droppedAnswers.Add(d.machine.Ignored())
	return action.Result
}

func (d *driver) perform(ctx context.Context, action request.Action) request.Action {
	if !d.waitBackoff(ctx, action.Retries) {
		return d.machine.ApplyDeadline()
	}
	switch action.Kind {
	case request.Admit:
		return d.machine.ApplyAdmission(action.Attempt, d.admit(ctx, action))
	case request.Execute:
		return d.execute(ctx, action)
	default:
		return d.machine.ApplyDeadline()
	}
}

// waitBackoff waits before a retry; the delay grows with each retry of the
// request. It returns false once ctx has ended.
func (d *driver) waitBackoff(ctx context.Context, retries int) bool {
	if retries == 0 {
		return ctx.Err() == nil
	}
	if d.delays == nil {
		d.delays = backoff.NewExponentialBackOff()
		d.delays.InitialInterval = firstBackoff
		d.delays.MaxInterval = maxBackoff
	}
	timer := time.NewTimer(d.delays.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit requests a permit from the team's owner.
func (d *driver) admit(ctx context.Context, action request.Action) request.Admission {
	avoid := make([]string, 0, len(action.Avoid))
	for _, partition := range action.Avoid {
		avoid = append(avoid, string(partition))
	}
	response, err := d.callOwner(ctx, model.TeamPartition(d.q.Team), ownerChangePolicy{}, &peerpb.Request{
		Body: &peerpb.Request_AdmitQuick{AdmitQuick: &peerpb.AdmitQuick{
			Team:           string(d.q.Team),
			RequestId:      string(d.q.ID),
			IdempotencyKey: d.q.IdempotencyKey,
			Service:        string(d.q.Service),
			NonIdempotent:  d.q.NonIdempotent,
			Urgent:         d.q.Urgent,
			DeadlineMs:     remainingMS(ctx),
			Attempt:        int32(action.Attempt),
			Avoid:          avoid,
		}},
	})
	reply := response.GetAdmitQuick()
	if err != nil || reply == nil {
		return request.Admission{Refusal: noAnswerRefusal("the team's owner", err)}
	}
	return admissionOf(reply)
}

func admissionOf(reply *peerpb.AdmitQuickReply) request.Admission {
	switch {
	case reply.GetPermit() != nil:
		permit := convert.Permit(reply.GetPermit())
		return request.Admission{Permit: &permit}
	case reply.GetKnown() != nil:
		return request.Admission{Replayed: replayedResult(reply.GetKnown())}
	default:
		return request.Admission{Refusal: refusalOf(reply.GetRefusal())}
	}
}

// replayedResult returns the recorded result of an earlier request. Its outcome
// is unknown if the record holds no complete answer.
func replayedResult(recorded *peerpb.KnownAnswer) *request.Result {
	result := &request.Result{Outcome: model.Outcome(recorded.GetOutcome()), Answer: convert.Answer(recorded.GetAnswer())}
	ended := result.Outcome == model.OutcomeDone || result.Outcome == model.OutcomeFailed
	if !ended || result.Answer.Status == 0 {
		result.Outcome = model.OutcomeUnknown
		result.Refusal = request.Refusal{
			Reason: request.Conflict,
			Detail: "a request with this idempotency key came before; its answer is not known",
		}
	}
	return result
}

// execute sends the request to the owner of the permit's target group.
func (d *driver) execute(ctx context.Context, action request.Action) request.Action {
	budget := func() bool { return d.retryBudgets.allow(d.q.Team) }
	if !d.ownerUnchanged(action.Permit) {
		return d.machine.ApplyAttempt(action.Attempt, request.AttemptResult{
			NotSent: true,
			Refusal: request.Refusal{Reason: request.StaleEpoch, Detail: "the target group has changed its owner"},
		}, budget)
	}
	now := d.options.Clock.Now()
	if d.sentAt == 0 {
		d.stats.waited(d.q.Team, d.q.class, now-d.q.arrived)
	}
	d.sentAt = now
	response, err := d.callOwner(ctx, action.Permit.Partition, ownerChangePolicy{awaitPrevious: true, untilDeadline: d.q.NonIdempotent}, &peerpb.Request{
		Body: &peerpb.Request_ExecuteQuick{ExecuteQuick: &peerpb.ExecuteQuick{
			Permit:        convert.PermitPB(action.Permit),
			RequestId:     string(d.q.ID),
			Attempt:       int32(action.Attempt),
			Service:       string(d.q.Service),
			NonIdempotent: d.q.NonIdempotent,
			Urgent:        d.q.Urgent,
			DeadlineMs:    remainingMS(ctx),
			ContentType:   d.q.ContentType,
			Body:          d.q.Body,
		}},
	})
	d.stats.served(d.q.Team, d.q.class, d.options.Clock.Now()-d.sentAt)
	reply := response.GetExecuteQuick()
	if reply != nil && int(reply.GetAttempt()) == action.Attempt {
		next := d.machine.ApplyAttempt(action.Attempt, attemptOf(reply), budget)
		if next.Kind != request.Ignore {
			return next
		}
	}
	// No answer, or one to another request: the outcome is unknown unless the call
	// was certainly not sent.
	return d.machine.ApplyAttempt(action.Attempt, request.AttemptResult{
		Request: d.q.ID,
		Outcome: model.OutcomeUnknown,
		Refusal: noAnswerRefusal("the target group's owner", err),
		NotSent: port.NotStarted.Has(err),
	}, budget)
}

// ownerUnchanged reports whether the permit is bound to the partition owner that
// this entry would send to now.
func (d *driver) ownerUnchanged(permit model.Permit) bool {
	_, epoch, ok := d.options.Directory.Owner(permit.Partition)
	return ok && epoch == permit.PartitionEpoch
}

func attemptOf(reply *peerpb.ExecuteQuickReply) request.AttemptResult {
	return request.AttemptResult{
		Request: model.RequestID(reply.GetRequestId()),
		Outcome: model.Outcome(reply.GetOutcome()),
		Answer:  convert.Answer(reply.GetAnswer()),
		Refusal: refusalOf(reply.GetRefusal()),
	}
}

func refusalOf(refusal *peerpb.Refusal) request.Refusal {
	return request.Refusal{
		Reason:     request.Reason(refusal.GetReason()),
		Detail:     refusal.GetDetail(),
		RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
	}
}

// noAnswerRefusal returns the refusal for a call without an answer.
func noAnswerRefusal(who string, err error) request.Refusal {
	detail := who + " did not answer"
	if err != nil {
		detail += ": " + err.Error()
	}
	return request.Refusal{Reason: request.Unavailable, Detail: detail}
}

// remainingMS returns the milliseconds until the deadline of ctx, rounded down so
// that the called member times out before its caller.
func remainingMS(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return max(1, time.Until(deadline).Milliseconds())
}

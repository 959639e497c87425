package teamowner

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	core "github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// intentTimeout limits the wait for an intent to be read back.
	intentTimeout = 500 * time.Millisecond
	// clockSkew is the largest assumed difference between the wall clocks of
	// callers and members.
	clockSkew = 2 * time.Second
	// keyRecheckInterval is the time between checks whether an earlier request
	// with the same key has ended.
	keyRecheckInterval = 20 * time.Millisecond
	// limitRecheckInterval is the time after which the first waiting request
	// checks the upper limit again without being woken.
	limitRecheckInterval = 20 * time.Millisecond
)

// admit replies to one quick request with a permit, the recorded result of an
// earlier request or a refusal.
func (o *Owner) admit(ctx context.Context, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	admission := o.awaitKey(ctx, call)
	switch admission.KeyState {
	case team.KeyEnded:
		return recordedReply(admission)
	case team.KeyInFlight:
		return refuseQuick(peerpb.Refusal_CONFLICT, "a request with this idempotency key is running")
	case team.KeyNew, team.KeySameRequest:
	}
	if admission.NeedsIntent {
		if reply := o.appendIntent(ctx, call); reply != nil {
			return reply
		}
	}
	return o.grant(ctx, call)
}

// awaitKey records the request. While another request with its key runs, it waits
// for the end of that request, the context or this owner's session.
func (o *Owner) awaitKey(ctx context.Context, call *peerpb.AdmitQuick) team.Admission {
	quick := team.QuickRequest{
		Request:       model.RequestID(call.GetRequestId()),
		Key:           call.GetIdempotencyKey(),
		NonIdempotent: call.GetNonIdempotent(),
	}
	ticker := time.NewTicker(keyRecheckInterval)
	defer ticker.Stop()
	for {
		o.mu.Lock()
		admission := o.state.Admit(quick, o.env.Clock().Now())
		o.mu.Unlock()
		if admission.KeyState != team.KeyInFlight || o.inFlight.Draining() || !o.mayAct() {
			return admission
		}
		select {
		case <-ctx.Done():
			return admission
		case <-ticker.C:
		}
	}
}

// recordedReply returns the reply with the recorded result of the request that the
// key belongs to.
func recordedReply(admission team.Admission) *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Known: &peerpb.KnownAnswer{
		RequestId: string(admission.Request),
		Outcome:   string(admission.Outcome),
		Answer:    convert.AnswerPB(admission.Answer),
	}}
}

func refuseQuick(reason peerpb.Refusal_Reason, detail string) *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Refusal: convert.NewRefusal(reason, detail)}
}

// appendIntent appends the intent of a non-idempotent request to the journal and waits
// until it is read back. It returns nil if the request may run, or the reply to send
// instead.
func (o *Owner) appendIntent(ctx context.Context, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
	record := &logpb.JournalRecord{
		Id: ulid.Make().String(),
		Body: &logpb.JournalRecord_Intent{Intent: &logpb.Intent{
			Team:           string(o.team),
			RequestId:      call.GetRequestId(),
			IdempotencyKey: call.GetIdempotencyKey(),
			UnixMs:         o.env.Clock().Wall().UnixMilli(),
			TeamEpoch:      uint64(o.epoch),
		}},
	}
	timeout, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	event, err := o.appendAndRead(timeout, record)
	if err == nil {
		return o.checkIntent(call, event)
	}
	if o.createdInSession(call.GetIdempotencyKey()) {
		// No previous owner can have admitted a request with this key, and this
		// owner remembers the key.
		return nil
	}
	if port.NotStarted.Has(err) {
		o.releaseKey(call)
	}
	return &peerpb.AdmitQuickReply{Refusal: convert.NewRefusalWithRetry(peerpb.Refusal_UNAVAILABLE,
		"the log is down: a non-idempotent request needs a fresh ULID as its idempotency key", time.Second)}
}

// checkIntent returns nil if the intent that was read back is that of the request.
// Otherwise an earlier request has used the key, and checkIntent returns a reply
// with the unknown outcome of that request.
func (o *Owner) checkIntent(call *peerpb.AdmitQuick, event core.Event) *peerpb.AdmitQuickReply {
	if event.Intent.GetRequestId() == call.GetRequestId() {
		return nil
	}
	return recordedReply(team.Admission{
		Request: model.RequestID(event.Intent.GetRequestId()),
		Outcome: model.OutcomeUnknown,
	})
}

// createdInSession reports whether the key is a ULID created after this owner's
// session began, even if the caller's clock is ahead by clockSkew.
func (o *Owner) createdInSession(key string) bool {
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return false
	}
	return ulid.Time(id.Time()).After(o.started.Add(clockSkew))
}

// releaseKey releases the key of a request that has certainly not been sent.
func (o *Owner) releaseKey(call *peerpb.AdmitQuick) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordOutcome(call.GetIdempotencyKey(), model.RequestID(call.GetRequestId()),
		model.OutcomeNotRun, model.Answer{}, o.env.Clock().Now())
}

// grant waits for headroom under the upper limit and returns a permit for the
// less loaded of a few target groups, or a refusal.
func (o *Owner) grant(ctx context.Context, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
	w := &waiter{urgent: call.GetUrgent(), retry: make(chan struct{}, 1)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit := o.state.Template().MaxQueued; o.waiters.len() >= limit && limit > 0 {
		return refuseQuick(peerpb.Refusal_QUEUE_FULL, "the team's queue is full")
	}
	element := o.waiters.push(w)
	defer o.waiters.remove(element)
	mayTry := false
	for {
		if mayTry || o.waiters.isFirst(element) {
			if p, ok := o.tryGrant(call); ok {
				// There may be headroom for the next waiter too.
				o.waiters.wake(1)
				return &peerpb.AdmitQuickReply{Permit: convert.PermitPB(p)}
			}
		}
		o.mu.Unlock()
		woken, err := awaitRetry(ctx, w.retry)
		o.mu.Lock()
		if err != nil {
			return refuseQuick(peerpb.Refusal_DEADLINE, "no room under the upper limit before the deadline")
		}
		if o.inFlight.Draining() || !o.mayAct() {
			return refuseQuick(peerpb.Refusal_NOT_OWNER, "the team changes its owner")
		}
		mayTry = woken
	}
}

// awaitRetry returns true when the waiter is woken, false when
// limitRecheckInterval has passed, and an error when the context is done.
func awaitRetry(ctx context.Context, retry <-chan struct{}) (bool, error) {
	timer := time.NewTimer(limitRecheckInterval)
	defer timer.Stop()
	select {
	case <-retry:
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// tryGrant returns a permit if the upper limit has headroom and a target group of
// the service is known. The caller holds o.mu.
func (o *Owner) tryGrant(call *peerpb.AdmitQuick) (model.Permit, bool) {
	group, ok := o.view.pickTargetGroup(model.ServiceID(call.GetService()), call.GetAvoid())
	if !ok {
		return model.Permit{}, false
	}
	p, err := o.state.GrantQuick(group.id, group.epoch, o.env.Clock().Now())
	if err != nil {
		return model.Permit{}, false
	}
	return p, true
}

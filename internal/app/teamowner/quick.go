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
	// intentTimeout bounds the wait for an intent to be read back.
	intentTimeout = 500 * time.Millisecond
	// clockSkew is the most by which wall clocks of callers and members are
	// taken to differ.
	clockSkew = 2 * time.Second
	// recheckKey is how often a request looks for the end of an earlier one
	// with the same key.
	recheckKey = 20 * time.Millisecond
	// recheckLimit is how often the first waiting request looks at the limit
	// again even when it is not told to.
	recheckLimit = 20 * time.Millisecond
)

// admit decides about one quick request: a permit, the known answer, or a
// refusal.
func (o *Owner) admit(ctx context.Context, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	admission := o.awaitKey(ctx, call)
	switch admission.KeyState {
	case team.KeyEnded:
		return known(admission)
	case team.KeyInFlight:
		return refuseQuick(peerpb.Refusal_CONFLICT, "a request with this idempotency key is running")
	case team.KeyNew, team.KeySameRequest:
	}
	if admission.NeedsIntent {
		if reply := o.intend(ctx, call); reply != nil {
			return reply
		}
	}
	return o.grant(ctx, call)
}

// awaitKey notes the request. While another one with its key runs, it waits for
// that one's end.
func (o *Owner) awaitKey(ctx context.Context, call *peerpb.AdmitQuick) team.Admission {
	quick := team.QuickRequest{
		Request:       model.RequestID(call.GetRequestId()),
		Key:           call.GetIdempotencyKey(),
		NonIdempotent: call.GetNonIdempotent(),
	}
	ticker := time.NewTicker(recheckKey)
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

func known(admission team.Admission) *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Known: &peerpb.KnownAnswer{
		RequestId: string(admission.Request),
		Outcome:   string(admission.Outcome),
		Answer:    convert.AnswerPB(admission.Answer),
	}}
}

func refuseQuick(reason peerpb.Refusal_Reason, detail string) *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Refusal: convert.Refuse(reason, detail)}
}

// intend puts the intent of a non-idempotent request on the log and waits
// until it has been read back. It returns nil when the request may run.
func (o *Owner) intend(ctx context.Context, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
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
	if o.youngerThanTenure(call.GetIdempotencyKey()) {
		// No former owner can have seen the key, and this one remembers it.
		return nil
	}
	if port.NotStarted.Has(err) {
		o.forgetKey(call)
	}
	return &peerpb.AdmitQuickReply{Refusal: convert.RefuseAfter(peerpb.Refusal_UNAVAILABLE,
		"the log is down: a non-idempotent request needs a fresh ULID as its idempotency key", time.Second)}
}

// checkIntent refuses a request whose key another request has used first.
func (o *Owner) checkIntent(call *peerpb.AdmitQuick, event core.Event) *peerpb.AdmitQuickReply {
	if event.Intent.GetRequestId() == call.GetRequestId() {
		return nil
	}
	return known(team.Admission{
		Request: model.RequestID(event.Intent.GetRequestId()),
		Outcome: model.OutcomeUnknown,
	})
}

// youngerThanTenure reports whether the key is a ULID made after this owner's
// tenure began, by any clock within the allowed skew.
func (o *Owner) youngerThanTenure(key string) bool {
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return false
	}
	return ulid.Time(id.Time()).After(o.started.Add(clockSkew))
}

// forgetKey frees the key of a request that has certainly not been sent.
func (o *Owner) forgetKey(call *peerpb.AdmitQuick) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordOutcome(call.GetIdempotencyKey(), model.RequestID(call.GetRequestId()),
		model.OutcomeNotRun, model.Answer{}, o.env.Clock().Now())
}

// grant waits for room under the upper limit and returns a permit for the less
// loaded of a few target groups.
func (o *Owner) grant(ctx context.Context, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
	w := &waiter{urgent: call.GetUrgent(), turn: make(chan struct{}, 1)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit := o.state.Template().MaxQueued; o.waiters.len() >= limit && limit > 0 {
		return refuseQuick(peerpb.Refusal_QUEUE_FULL, "the team's queue is full")
	}
	place := o.waiters.push(w)
	defer o.waiters.remove(place)
	myTurn := false
	for {
		if myTurn || o.waiters.isFirst(place) {
			if p, ok := o.tryGrant(call); ok {
				// There may be room for the next one too.
				o.waiters.wake(1)
				return &peerpb.AdmitQuickReply{Permit: convert.PermitPB(p)}
			}
		}
		o.mu.Unlock()
		told, err := wait(ctx, w.turn)
		o.mu.Lock()
		if err != nil {
			return refuseQuick(peerpb.Refusal_DEADLINE, "no room under the upper limit before the deadline")
		}
		if o.inFlight.Draining() || !o.mayAct() {
			return refuseQuick(peerpb.Refusal_NOT_OWNER, "the team changes its owner")
		}
		myTurn = told
	}
}

// wait returns whether the waiter was told to try, or an error when the
// context ends first.
func wait(ctx context.Context, turn <-chan struct{}) (bool, error) {
	timer := time.NewTimer(recheckLimit)
	defer timer.Stop()
	select {
	case <-turn:
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// tryGrant returns a permit if the limit has room and a group is known. The
// owner is locked.
func (o *Owner) tryGrant(call *peerpb.AdmitQuick) (model.Permit, bool) {
	group, ok := o.view.pickTargets(model.ServiceID(call.GetService()), call.GetAvoid())
	if !ok {
		return model.Permit{}, false
	}
	p, err := o.state.GrantQuick(group.id, group.epoch, o.env.Clock().Now())
	if err != nil {
		return model.Permit{}, false
	}
	return p, true
}

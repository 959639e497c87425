package targetowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	core "github.com/balsamhitch/balsamhitch/internal/core/targets"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Serve implements port.PeerHandler.
func (o *Owner) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_ExecuteQuick:
		return o.execute(ctx, body.ExecuteQuick)
	case *peerpb.Request_UsageQuery:
		return &peerpb.Response{Body: &peerpb.Response_Usage{Usage: o.usage(body.UsageQuery)}}
	default:
		return host.Refusal(request, convert.NewRefusal(peerpb.Refusal_INVALID, "not a call for a target group"))
	}
}

// execute runs one attempt of a quick request and answers truthfully what
// became of it.
func (o *Owner) execute(ctx context.Context, call *peerpb.ExecuteQuick) *peerpb.Response {
	left := time.Duration(call.GetDeadlineMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	now := o.env.Clock().Now()
	work := &core.Work{
		Permit:   convert.Permit(call.GetPermit()),
		Request:  model.RequestID(call.GetRequestId()),
		Urgent:   call.GetUrgent(),
		Arrived:  now,
		Deadline: now + left,
	}
	wait, refusal := o.begin(work)
	if refusal != nil {
		return notRun(call, refusal)
	}
	defer o.inFlight.Done()
	return o.attempts(ctx, call, work, wait)
}

// begin counts the call as in flight and queues its work, or refuses it. The
// fence is checked and the work queued under one lock: a team's owner that
// raises the fence sees the permit as held or knows that it is refused.
func (o *Owner) begin(work *core.Work) (<-chan turn, *peerpb.Refusal) {
	p := work.Permit
	if p.Partition != o.id || p.PartitionEpoch != o.epoch {
		return nil, convert.NewRefusalWithRetry(peerpb.Refusal_STALE_EPOCH, "the permit is for another tenure", retryAfterTakeover)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.fence.Check(p); err != nil {
		return nil, convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
	}
	if o.draining || !o.mayAct() {
		o.release.add(p)
		return nil, convert.NewRefusalWithRetry(peerpb.Refusal_NOT_OWNER, "the target group changes its owner", retryAfterTakeover)
	}
	if !o.env.ConfigFresh() {
		o.release.add(p)
		return nil, convert.NewRefusalWithRetry(peerpb.Refusal_UNAVAILABLE, "the configuration may be out of date", time.Second)
	}
	if !o.group.Servable(work) {
		o.release.add(p)
		return nil, refuseUnservable()
	}
	wait, err := o.enqueue(work)
	if err != nil {
		return nil, convert.NewRefusal(peerpb.Refusal_CONFLICT, err.Error())
	}
	o.inFlight.Add(1)
	return wait, nil
}

// enqueue queues the work and hands out what can run. The owner is locked.
func (o *Owner) enqueue(work *core.Work) (<-chan turn, error) {
	wait := make(chan turn, 1)
	shed, err := o.group.Push(work)
	if err != nil {
		return nil, err
	}
	o.waiting[work] = wait
	if shed != nil {
		o.end(shed, turn{refusal: convert.NewRefusalWithRetry(peerpb.Refusal_QUEUE_FULL, "the target group's queue is full", retryAfterTakeover)})
	}
	o.dispatch()
	return wait, nil
}

// attempts tries runners until one has begun the request. Only idempotent
// requests go to a second one.
func (o *Owner) attempts(ctx context.Context, call *peerpb.ExecuteQuick, work *core.Work, wait <-chan turn) *peerpb.Response {
	for attempt := 1; ; attempt++ {
		vm, refusal := o.wait(ctx, work, wait)
		if refusal != nil {
			o.release.add(work.Permit)
			return notRun(call, refusal)
		}
		answer, err := o.send(ctx, call, work, vm)
		if !port.NotStarted.Has(err) {
			return o.ended(call, work, answer, err)
		}
		again := !call.GetNonIdempotent() && attempt < maxAttempts && ctx.Err() == nil
		wait = o.refused(work, vm, again)
		if wait == nil {
			o.release.add(work.Permit)
			return notRun(call, convert.NewRefusalWithRetry(peerpb.Refusal_UNAVAILABLE, err.Error(), retryAfterTakeover))
		}
	}
}

// refused frees the runner that did not begin the work and queues the work
// again if it may go to another one. Both happen under one lock, so that the
// permit is never seen as ended in between.
func (o *Owner) refused(work *core.Work, vm model.VM, again bool) <-chan turn {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.group.ApplyRefused(work.Permit.ID, o.env.Clock().Now())
	work.Avoid = append(work.Avoid, vm.ID)
	if !again || !o.group.Servable(work) {
		o.dispatch()
		return nil
	}
	wait, err := o.enqueue(work)
	if err != nil {
		return nil
	}
	return wait
}

// wait returns the runner that is to serve the work.
func (o *Owner) wait(ctx context.Context, work *core.Work, wait <-chan turn) (model.VM, *peerpb.Refusal) {
	select {
	case t := <-wait:
		return t.vm, t.refusal
	case <-ctx.Done():
		return o.withdraw(work, wait)
	}
}

// withdraw gives up waiting at the deadline. The work may have got its turn in
// the same moment.
func (o *Owner) withdraw(work *core.Work, wait <-chan turn) (model.VM, *peerpb.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.group.Remove(work) {
		delete(o.waiting, work)
	} else if t := <-wait; t.refusal == nil {
		o.group.ApplyDone(work.Permit.ID)
		o.dispatch()
	}
	return model.VM{}, convert.NewRefusal(peerpb.Refusal_DEADLINE, "no runner was free before the deadline")
}

// send checks once more that this member may act, then sends.
func (o *Owner) send(ctx context.Context, call *peerpb.ExecuteQuick, work *core.Work, vm model.VM) (model.Answer, error) {
	if !o.mayAct() {
		return model.Answer{}, port.NotStarted.New("the target group changes its owner")
	}
	if !o.env.ConfigFresh() || o.env.Config().DomainOut(vm.FailureDomain) {
		return model.Answer{}, port.NotStarted.New("the failure domain gets no work")
	}
	deadline, _ := ctx.Deadline()
	return o.runner.Do(ctx, vm.Address, model.Request{
		ID:            work.Request,
		Team:          work.Permit.Team,
		Service:       model.ServiceID(call.GetService()),
		NonIdempotent: call.GetNonIdempotent(),
		Urgent:        work.Urgent,
		Deadline:      deadline,
		Body:          call.GetBody(),
		ContentType:   call.GetContentType(),
	}, int(call.GetAttempt()))
}

// ended frees the slot, unless the request may still be running, and reports
// the outcome.
func (o *Owner) ended(call *peerpb.ExecuteQuick, work *core.Work, answer model.Answer, err error) *peerpb.Response {
	o.mu.Lock()
	if err == nil {
		o.group.ApplyDone(work.Permit.ID)
		o.release.add(work.Permit)
	} else {
		o.lost(work)
	}
	o.dispatch()
	o.mu.Unlock()

	reply := &peerpb.ExecuteQuickReply{RequestId: call.GetRequestId(), Attempt: call.GetAttempt()}
	switch {
	case err != nil:
		reply.Outcome = string(model.OutcomeUnknown)
		reply.Refusal = convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, err.Error())
	case answer.Status >= firstServerError:
		reply.Outcome = string(model.OutcomeFailed)
		reply.Answer = convert.AnswerPB(answer)
	default:
		reply.Outcome = string(model.OutcomeDone)
		reply.Answer = convert.AnswerPB(answer)
	}
	return &peerpb.Response{Body: &peerpb.Response_ExecuteQuick{ExecuteQuick: reply}}
}

// lost keeps the slot and the permit of work that may still be running. The
// owner is locked.
func (o *Owner) lost(work *core.Work) {
	until := work.Deadline + lostMargin
	o.group.ApplyOutcomeUnknown(work.Permit.ID, until)
	time.AfterFunc(until-o.env.Clock().Now(), func() { o.release.add(work.Permit) })
}

// firstServerError is the first status by which a runner says that the request
// failed.
const firstServerError = 500

func notRun(call *peerpb.ExecuteQuick, refusal *peerpb.Refusal) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_ExecuteQuick{ExecuteQuick: &peerpb.ExecuteQuickReply{
		RequestId: call.GetRequestId(),
		Attempt:   call.GetAttempt(),
		Outcome:   string(model.OutcomeNotRun),
		Refusal:   refusal,
	}}}
}

// usage answers a team owner's question for everything held for the team.
// Ended permits that the owner has not acknowledged count as held.
func (o *Owner) usage(call *peerpb.UsageQuery) *peerpb.UsageReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &peerpb.UsageReply{Partition: string(o.id), PartitionEpoch: uint64(o.epoch)}
	team := model.TeamID(call.GetTeam())
	if err := o.fence.Raise(team, model.Epoch(call.GetTeamEpoch()), call.GetMinSequence()); err != nil {
		reply.Refusal = convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
		return reply
	}
	held := append(o.group.Held(team, o.env.Clock().Now()), o.release.of(team)...)
	for _, p := range held {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{Permit: convert.PermitPB(p)})
	}
	uncertain := o.group.Uncertain(o.env.Clock().Now())
	reply.Certain = uncertain == 0
	reply.Uncertain = &peerpb.Resources{Slots: uncertain}
	return reply
}

package targetowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/targets"
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

// execute sends a quick request to a runner and returns its outcome.
func (o *Owner) execute(ctx context.Context, call *peerpb.ExecuteQuick) *peerpb.Response {
	timeout := time.Duration(call.GetDeadlineMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	now := o.env.Clock().Now()
	work := &targets.Work{
		Permit:   convert.Permit(call.GetPermit()),
		Request:  model.RequestID(call.GetRequestId()),
		Urgent:   call.GetUrgent(),
		Arrived:  now,
		Deadline: now + timeout,
	}
	results, refusal := o.accept(work)
	if refusal != nil {
		return notRunResponse(call, refusal)
	}
	defer o.inFlight.Done()
	return o.tryRunners(ctx, call, work, results)
}

// accept counts the call as in flight and queues its work, or refuses it. It
// returns the channel of the result. The fence is checked and the work queued
// under one lock: after a team's owner has raised the fence, the permit is
// either reported as held or will be refused.
func (o *Owner) accept(work *targets.Work) (<-chan dispatchResult, *peerpb.Refusal) {
	p := work.Permit
	if p.Partition != o.id || p.PartitionEpoch != o.epoch {
		return nil, convert.NewRefusalWithRetry(peerpb.Refusal_STALE_EPOCH, "the permit is for another tenure", refusalRetryAfter)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.fence.Check(p); err != nil {
		return nil, convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
	}
	if o.draining || !o.mayAct() {
		o.releases.add(p)
		return nil, convert.NewRefusalWithRetry(peerpb.Refusal_NOT_OWNER, "the target group changes its owner", refusalRetryAfter)
	}
	if !o.env.ConfigFresh() {
		o.releases.add(p)
		return nil, convert.NewRefusalWithRetry(peerpb.Refusal_UNAVAILABLE, "the configuration may be out of date", time.Second)
	}
	if !o.group.Servable(work) {
		o.releases.add(p)
		return nil, unservableRefusal()
	}
	results, err := o.enqueue(work)
	if err != nil {
		return nil, convert.NewRefusal(peerpb.Refusal_CONFLICT, err.Error())
	}
	o.inFlight.Add(1)
	return results, nil
}

// enqueue queues the work, dispatches what can run and returns the channel of the
// work's result. If the queue is full, it refuses the work that the group sheds.
// The caller holds o.mu.
func (o *Owner) enqueue(work *targets.Work) (<-chan dispatchResult, error) {
	results := make(chan dispatchResult, 1)
	shed, err := o.group.Push(work)
	if err != nil {
		return nil, err
	}
	o.waiters[work] = results
	if shed != nil {
		o.resolve(shed, dispatchResult{refusal: convert.NewRefusalWithRetry(peerpb.Refusal_QUEUE_FULL, "the target group's queue is full", refusalRetryAfter)})
	}
	o.dispatch()
	return results, nil
}

// tryRunners sends the request to runners in turn until one has started it. A
// non-idempotent request is sent to one runner only.
func (o *Owner) tryRunners(ctx context.Context, call *peerpb.ExecuteQuick, work *targets.Work, results <-chan dispatchResult) *peerpb.Response {
	for tried := 1; ; tried++ {
		vm, refusal := o.awaitRunner(ctx, work, results)
		if refusal != nil {
			o.releases.add(work.Permit)
			return notRunResponse(call, refusal)
		}
		answer, err := o.send(ctx, call, work, vm)
		if !port.NotStarted.Has(err) {
			return o.finish(call, work, answer, err)
		}
		retry := !call.GetNonIdempotent() && tried < maxRunnersTried && ctx.Err() == nil
		results = o.applyRefusal(work, vm, retry)
		if results == nil {
			o.releases.add(work.Permit)
			return notRunResponse(call, convert.NewRefusalWithRetry(peerpb.Refusal_UNAVAILABLE, err.Error(), refusalRetryAfter))
		}
	}
}

// applyRefusal frees the slot of the runner that refused the work and, if retry is
// set and another runner may serve it, queues the work again. Both happen under one lock,
// so that the permit is never reported as ended in between. It returns the channel
// of the new result, or nil if the work is not queued.
func (o *Owner) applyRefusal(work *targets.Work, vm model.VM, retry bool) <-chan dispatchResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.group.ApplyRefused(work.Permit.ID, o.env.Clock().Now())
	work.Avoid = append(work.Avoid, vm.ID)
	if !retry || !o.group.Servable(work) {
		o.dispatch()
		return nil
	}
	results, err := o.enqueue(work)
	if err != nil {
		return nil
	}
	return results
}

// awaitRunner waits for the result of queued work and returns the assigned runner
// or a refusal.
func (o *Owner) awaitRunner(ctx context.Context, work *targets.Work, results <-chan dispatchResult) (model.VM, *peerpb.Refusal) {
	select {
	case result := <-results:
		return result.vm, result.refusal
	case <-ctx.Done():
		return o.cancelWait(work, results)
	}
}

// cancelWait removes the work from the queue at its deadline. If a runner was
// assigned concurrently, it frees that slot.
func (o *Owner) cancelWait(work *targets.Work, results <-chan dispatchResult) (model.VM, *peerpb.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.group.Remove(work) {
		delete(o.waiters, work)
	} else if result := <-results; result.refusal == nil {
		o.group.ApplyDone(work.Permit.ID)
		o.dispatch()
	}
	return model.VM{}, convert.NewRefusal(peerpb.Refusal_DEADLINE, "no runner was free before the deadline")
}

// send sends the work to the runner. It first checks again that the lease is
// valid, the configuration is fresh and the runner's failure domain is in
// service.
func (o *Owner) send(ctx context.Context, call *peerpb.ExecuteQuick, work *targets.Work, vm model.VM) (model.Answer, error) {
	if !o.mayAct() {
		return model.Answer{}, port.NotStarted.New("the target group changes its owner")
	}
	if !o.env.ConfigFresh() || o.env.Config().IsDomainOut(vm.FailureDomain) {
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

// finish frees the slot, unless the request may still be running, and returns
// the outcome.
func (o *Owner) finish(call *peerpb.ExecuteQuick, work *targets.Work, answer model.Answer, err error) *peerpb.Response {
	o.mu.Lock()
	if err == nil {
		o.group.ApplyDone(work.Permit.ID)
		o.releases.add(work.Permit)
	} else {
		o.applyUnknownOutcome(work)
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

// applyUnknownOutcome keeps the slot and the permit of work that may still be
// running until after its deadline. The caller holds o.mu.
func (o *Owner) applyUnknownOutcome(work *targets.Work) {
	until := work.Deadline + unknownOutcomeMargin
	o.group.ApplyOutcomeUnknown(work.Permit.ID, until)
	time.AfterFunc(until-o.env.Clock().Now(), func() { o.releases.add(work.Permit) })
}

// firstServerError is the lowest status with which a runner reports that the
// request failed.
const firstServerError = 500

func notRunResponse(call *peerpb.ExecuteQuick, refusal *peerpb.Refusal) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_ExecuteQuick{ExecuteQuick: &peerpb.ExecuteQuickReply{
		RequestId: call.GetRequestId(),
		Attempt:   call.GetAttempt(),
		Outcome:   string(model.OutcomeNotRun),
		Refusal:   refusal,
	}}}
}

// usage raises the team's fence and returns the team's permits in use. Ended
// permits that the team's owner has not acknowledged count as in use.
func (o *Owner) usage(call *peerpb.UsageQuery) *peerpb.UsageReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &peerpb.UsageReply{Partition: string(o.id), PartitionEpoch: uint64(o.epoch)}
	team := model.TeamID(call.GetTeam())
	if err := o.fence.Raise(team, model.Epoch(call.GetTeamEpoch()), call.GetMinSequence()); err != nil {
		reply.Refusal = convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
		return reply
	}
	held := append(o.group.Held(team, o.env.Clock().Now()), o.releases.unacknowledged(team)...)
	for _, p := range held {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{Permit: convert.PermitPB(p)})
	}
	uncertain := o.group.Uncertain(o.env.Clock().Now())
	reply.Certain = uncertain == 0
	reply.Uncertain = &peerpb.Resources{Slots: uncertain}
	return reply
}

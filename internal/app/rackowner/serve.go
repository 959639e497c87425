package rackowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Serve handles the calls to the rack's partition.
func (o *Owner) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	if body, ok := request.GetBody().(*peerpb.Request_UsageQuery); ok {
		return &peerpb.Response{Body: &peerpb.Response_Usage{Usage: o.usage(body.UsageQuery)}}
	}
	if o.inFlight.Draining() || !o.mayAct() {
		return host.Refusal(request, convert.NewRefusal(peerpb.Refusal_NOT_OWNER, "the rack changes its owner"))
	}
	switch body := request.GetBody().(type) {
	case *peerpb.Request_OfferTasks:
		return offerResponse(o.offer(ctx, body.OfferTasks))
	case *peerpb.Request_EndGang:
		return o.endGang(ctx, body.EndGang)
	case *peerpb.Request_StopTasks:
		o.stopTasks(ctx, body.StopTasks)
		return host.Ack(nil)
	default:
		return host.Refusal(request, convert.NewRefusal(peerpb.Refusal_INVALID, "not a call for a rack"))
	}
}

func offerResponse(reply *peerpb.OfferTasksReply) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_OfferTasks{OfferTasks: reply}}
}

// offer places tasks and returns once each has been started or refused, or the
// context has ended. Offers of a gang are only reserved.
func (o *Owner) offer(ctx context.Context, call *peerpb.OfferTasks) *peerpb.OfferTasksReply {
	if call.GetGang() {
		return o.reserveGang(call)
	}
	o.mu.Lock()
	pending := make([]*pendingOffer, 0, len(call.GetTasks()))
	for _, message := range call.GetTasks() {
		pending = append(pending, o.enqueue(message))
	}
	o.mu.Unlock()
	o.signal()
	return o.collect(ctx, pending)
}

// collect waits for the results of offers. Offers without one when the context
// is done are reported as unknown, because they may still be started.
func (o *Owner) collect(ctx context.Context, pending []*pendingOffer) *peerpb.OfferTasksReply {
	reply := &peerpb.OfferTasksReply{}
	for _, p := range pending {
		select {
		case result := <-p.result:
			reply.Results = append(reply.Results, result)
		case <-ctx.Done():
			reply.Results = append(reply.Results, &peerpb.OfferResult{
				TaskId:  p.message.GetTaskId(),
				Unknown: true,
			})
		}
	}
	reply.Summary = o.Summary()
	return reply
}

// reserveGang reserves capacity for as many members of a gang as fit. It passes
// them to rack.ReserveGang one by one, because the gang may span racks. The team's
// owner commits or releases them once every member has a reservation or no rack
// is left.
func (o *Owner) reserveGang(call *peerpb.OfferTasks) *peerpb.OfferTasksReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &peerpb.OfferTasksReply{}
	now := o.env.Clock().Now()
	for _, message := range call.GetTasks() {
		reply.Results = append(reply.Results, o.reserveMember(message, now))
	}
	reply.Summary = o.summary()
	return reply
}

func (o *Owner) reserveMember(message *peerpb.TaskOffer, now time.Duration) *peerpb.OfferResult {
	result := &peerpb.OfferResult{TaskId: message.GetTaskId()}
	offer := o.newOffer(message)
	if refusal := o.checkPermit(offer.Permit); refusal != nil {
		result.Refusal = refusal
		return result
	}
	decisions, complete := o.rack.ReserveGang([]rack.Offer{offer}, now, now+gangExpiry)
	if !complete {
		result.Refusal = newRefusal(decisions[0])
		return result
	}
	o.gangOffers[offer.Permit.ID] = message
	result.Vm = string(decisions[0].VM)
	return result
}

// endGang starts the members that reserveGang reserved, or releases them.
func (o *Owner) endGang(ctx context.Context, call *peerpb.EndGang) *peerpb.Response {
	o.mu.Lock()
	if !call.GetCommit() {
		o.rack.ReleaseGang(call.GetPermitIds())
		o.dropGangOffers(call.GetPermitIds())
		o.mu.Unlock()
		return host.Ack(nil)
	}
	now := o.env.Clock().Now()
	if !o.rack.CommitGang(call.GetPermitIds(), now) {
		o.dropGangOffers(call.GetPermitIds())
		o.mu.Unlock()
		refusal := convert.NewRefusal(peerpb.Refusal_NO_CAPACITY, "the gang's reservation expired")
		return offerResponse(&peerpb.OfferTasksReply{Refusal: refusal})
	}
	pending := make([]*pendingOffer, 0, len(call.GetPermitIds()))
	orders := make([]startOrder, 0, len(call.GetPermitIds()))
	for _, id := range call.GetPermitIds() {
		reservation, _ := o.rack.Lookup(id)
		message := o.gangOffers[id]
		p := &pendingOffer{offer: o.newOffer(message), message: message, result: make(chan *peerpb.OfferResult, 1)}
		pending = append(pending, p)
		orders = append(orders, o.newStartOrder(p, reservation.VM, now))
	}
	o.dropGangOffers(call.GetPermitIds())
	o.mu.Unlock()
	for _, s := range orders {
		if err := o.pool.Submit(func() { o.send(ctx, s) }); err != nil {
			o.notStarted(s, err)
		}
	}
	return offerResponse(o.collect(ctx, pending))
}

func (o *Owner) dropGangOffers(permits []string) {
	for _, id := range permits {
		delete(o.gangOffers, id)
	}
}

// stopTasks asks workers to stop tasks. Their ends arrive with later reports.
func (o *Owner) stopTasks(ctx context.Context, call *peerpb.StopTasks) {
	for _, id := range call.GetPermitIds() {
		o.mu.Lock()
		reservation, ok := o.rack.Lookup(id)
		state := o.workers[reservation.VM]
		if ok && state != nil {
			state.nextHeartbeat = o.env.Clock().Now()
		}
		o.mu.Unlock()
		if !ok || state == nil {
			continue
		}
		attempt := port.TaskAttempt{Task: reservation.Task, Attempt: reservation.Attempt}
		o.executeActions(ctx, state.vm.Address, []rack.Action{{VM: reservation.VM, Task: attempt, Action: port.ActionStop}})
	}
}

package rackowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/estimate"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// maxPendingTime is how long an offer that does not fit stays pending, in case
	// a task ends. Freed capacity then goes to the pending offer of the team
	// furthest below its share.
	maxPendingTime = 100 * time.Millisecond
	// maxPending bounds the number of pending offers.
	maxPending = 4096
)

// pendingOffer is an offer whose caller waits for the decision.
type pendingOffer struct {
	offer   rack.Offer
	message *peerpb.TaskOffer
	arrived time.Duration
	result  chan *peerpb.OfferResult
}

// start is the state of an attempt that was sent to a worker or reported by one.
type start struct {
	startBefore time.Duration // worker clock: the start deadline
	answered    bool          // the call to the worker has returned, with or without an error
	confirmed   bool          // the worker confirmed that it runs
	confirmedAt time.Duration // own clock
	expectedEnd time.Duration // own clock: the declared end; zero for unknown
}

// enqueue adds an offer to the pending ones or refuses it. The owner is locked.
func (o *Owner) enqueue(message *peerpb.TaskOffer) *pendingOffer {
	offer := o.newOffer(message)
	p := &pendingOffer{
		offer:   offer,
		message: message,
		arrived: o.env.Clock().Now(),
		result:  make(chan *peerpb.OfferResult, 1),
	}
	if refusal := o.checkPermit(offer.Permit); refusal != nil {
		p.refuse(refusal)
		return p
	}
	if len(o.pending) >= maxPending {
		p.refuse(convert.NewRefusal(peerpb.Refusal_QUEUE_FULL, "too many offers wait"))
		return p
	}
	o.pending = append(o.pending, p)
	return p
}

// newOffer returns the offer with its size and run time corrected by the usage
// and run times of earlier tasks of the same template. The owner is locked.
func (o *Owner) newOffer(message *peerpb.TaskOffer) rack.Offer {
	p := convert.Permit(message.GetPermit())
	avoid := make([]model.VMID, 0, len(message.GetAvoidVms()))
	for _, vm := range message.GetAvoidVms() {
		avoid = append(avoid, model.VMID(vm))
	}
	name := templateName(p.Team, message.GetTemplate())
	declaredRun := time.Duration(message.GetExpectedRunMs()) * time.Millisecond
	return rack.Offer{
		Permit:      p,
		Task:        model.TaskID(message.GetTaskId()),
		Attempt:     int(message.GetAttempt()),
		Job:         model.JobID(message.GetJobId()),
		Size:        o.correctedSize(name, p.Size),
		ExpectedRun: o.estimates.RunTime(name, declaredRun),
		Domains:     convert.Domains(message.GetFailureDomains()),
		Urgent:      message.GetUrgent(),
		Template:    name,
		Avoid:       avoid,

		NonIdempotent: message.GetNonIdempotent(),
		Preemptible:   message.GetPreemptible(),
	}
}

// templateName returns a name that is unique among the templates of all teams.
func templateName(team model.TeamID, name string) string {
	return string(team) + "/" + name
}

// correctedSize returns what to reserve for a task. A correction is limited to
// the largest worker, so that a task that fits as declared still fits.
func (o *Owner) correctedSize(name string, declared model.Resources) model.Resources {
	corrected := o.estimates.Size(name, declared)
	if !declared.Fits(o.largestVM) {
		return corrected
	}
	return model.Resources{
		MilliCPU:     min(corrected.MilliCPU, o.largestVM.MilliCPU),
		MemoryMiB:    min(corrected.MemoryMiB, o.largestVM.MemoryMiB),
		Accelerators: corrected.Accelerators,
		Slots:        corrected.Slots,
	}
}

// recordUsage adds the actual usage and run time of an ended attempt to the
// estimates. The sample's DeclaredRunTime is the run time expected at placement,
// which newOffer has corrected by earlier estimates.
func (o *Owner) recordUsage(reservation rack.Reservation, status port.TaskStatus, now time.Duration) {
	if reservation.Template == "" {
		return
	}
	o.estimates.Observe(reservation.Template, estimate.Sample{
		Declared:        status.Declared,
		Peak:            reservation.Peak.Max(status.Used),
		DeclaredRunTime: reservation.ExpectedEnd - reservation.Placed,
		RunTime:         now - reservation.Placed,
		EndedEarly:      status.State != port.TaskDone,
	})
}

// checkPermit returns why a permit is not valid for this owner, or nil.
func (o *Owner) checkPermit(p model.Permit) *peerpb.Refusal {
	if p.Partition != o.id || p.PartitionEpoch != o.epoch {
		return convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, "the permit is bound to a former owner of the rack")
	}
	if err := o.fence.Check(p); err != nil {
		return convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
	}
	return nil
}

func (p *pendingOffer) refuse(refusal *peerpb.Refusal) {
	p.result <- &peerpb.OfferResult{TaskId: p.message.GetTaskId(), Refusal: refusal}
}

// place decides on all pending offers and starts the attempts that got a worker.
func (o *Owner) place(ctx context.Context) {
	if o.inFlight.Draining() || !o.mayAct() || !o.env.ConfigFresh() {
		o.refusePending()
		return
	}
	orders, checkpoints := o.decide()
	for _, action := range checkpoints {
		o.submitAction(ctx, action)
	}
	for _, s := range orders {
		if err := o.pool.Submit(func() { o.send(ctx, s) }); err != nil {
			o.notStarted(s, err)
		}
	}
}

// refusePending refuses the offers that have been pending for maxPendingTime
// while this process may not start tasks.
func (o *Owner) refusePending() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	kept := o.pending[:0]
	for _, p := range o.pending {
		if now-p.arrived < maxPendingTime {
			kept = append(kept, p)
			continue
		}
		p.refuse(convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, "the rack's owner may not start work now"))
	}
	o.pending = kept
}

// startOrder is a reserved attempt to be started on a worker.
type startOrder struct {
	pending *pendingOffer
	vm      model.VM
	message port.StartTask
}

// decide returns the start orders of offers that got a worker, and the checkpoints
// that free capacity for urgent offers that got none.
func (o *Owner) decide() ([]startOrder, []rack.Action) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rack.Expire(o.env.Clock().Now())
	if len(o.pending) == 0 {
		return nil, nil
	}
	now := o.env.Clock().Now()
	offers := make([]rack.Offer, 0, len(o.pending))
	queued := make([]*pendingOffer, 0, len(o.pending))
	for _, p := range o.pending {
		// The permit may have become invalid while the offer was pending.
		if refusal := o.checkPermit(p.offer.Permit); refusal != nil {
			p.refuse(refusal)
			continue
		}
		offers = append(offers, p.offer)
		queued = append(queued, p)
	}
	o.pending = nil
	var orders []startOrder
	var checkpoints []rack.Action
	for i, decision := range o.rack.PlaceBatch(offers, now) {
		p := queued[i]
		switch {
		case decision.Reserved:
			orders = append(orders, o.newStartOrder(p, decision.VM, now))
		case staysPending(decision.Reason) && now-p.arrived < maxPendingTime:
			o.pending = append(o.pending, p)
			checkpoints = append(checkpoints, o.rack.Preempt(p.offer, now)...)
		default:
			p.refuse(newRefusal(decision))
		}
	}
	return orders, checkpoints
}

// staysPending reports whether an offer refused for the reason may stay pending.
func staysPending(reason rack.Reason) bool {
	return reason == rack.ReasonNoCapacity
}

// newRefusal returns the refusal sent to the team's owner for a decision.
func newRefusal(decision rack.Decision) *peerpb.Refusal {
	reason := peerpb.Refusal_NO_CAPACITY
	switch decision.Reason {
	case rack.ReasonNeverFits:
		reason = peerpb.Refusal_NEVER_FITS
	case rack.ReasonDomainOut, rack.ReasonWrongDomain:
		reason = peerpb.Refusal_DOMAIN_OUT
	case rack.ReasonDuplicate:
		reason = peerpb.Refusal_CONFLICT
	case rack.ReasonInvalid:
		reason = peerpb.Refusal_INVALID
	case rack.ReasonNone, rack.ReasonNoCapacity, rack.ReasonQuarantined, rack.ReasonUnavailable:
	}
	return convert.NewRefusalWithRetry(reason, decision.Reason.String(), decision.RetryAfter)
}

// newStartOrder returns the order to start a reserved attempt and records the
// start. The owner is locked.
func (o *Owner) newStartOrder(p *pendingOffer, vm model.VMID, now time.Duration) startOrder {
	state := o.workers[vm]
	clock := state.clockAt(now)
	message := port.StartTask{
		Task:            p.offer.Task,
		Attempt:         p.offer.Attempt,
		Job:             p.offer.Job,
		Team:            p.offer.Permit.Team,
		Permit:          p.offer.Permit.ID,
		Size:            p.offer.Permit.Size,
		DeclaredRunTime: time.Duration(p.message.GetExpectedRunMs()) * time.Millisecond,
		Epoch:           o.epoch,
		StartBefore:     clock + o.startTimeout(now),
		LeaseUntil:      clock + o.lease,
		Payload:         p.message.GetPayload(),
	}
	state.leaseUntil = max(state.leaseUntil, message.LeaseUntil)
	record := &start{startBefore: message.StartBefore}
	if message.DeclaredRunTime > 0 {
		record.expectedEnd = now + message.DeclaredRunTime
	}
	o.starts[p.offer.Permit.ID] = record
	return startOrder{pending: p, vm: state.vm, message: message}
}

// startTimeout returns how long a worker may still accept a start: no longer than
// this owner may act, so that a start delayed beyond its ownership is rejected.
func (o *Owner) startTimeout(now time.Duration) time.Duration {
	until, ok := o.env.ActUntil(o.id, o.epoch)
	if !ok {
		return 0
	}
	return max(min(startWindow, until-now), 0)
}

// send starts a reserved attempt on its worker and answers the offer. A failed
// call is either known not to have started the attempt or has an unknown
// outcome.
func (o *Owner) send(ctx context.Context, s startOrder) {
	if !o.inFlight.Begin() {
		o.notStarted(s, port.NotStarted.New("the rack changes its owner"))
		return
	}
	defer o.inFlight.End()
	if !o.mayAct() || !o.env.ConfigFresh() || o.env.Config().IsDomainOut(s.vm.FailureDomain) {
		o.notStarted(s, port.NotStarted.New("not allowed to start any more"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := o.worker.Start(ctx, s.vm.Address, s.message)
	switch {
	case err == nil:
		o.confirmed(s)
	case port.NotStarted.Has(err):
		o.notStarted(s, err)
	default:
		o.unconfirmed(s, err)
	}
}

// confirmed records that the worker accepted the start and answers the offer.
func (o *Owner) confirmed(s startOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	if known := o.starts[s.message.Permit]; known != nil {
		known.answered = true
		known.confirmed = true
		known.confirmedAt = now
	}
	o.rack.Started(s.message.Permit)
	if state := o.workers[s.vm.ID]; state != nil {
		state.nextHeartbeat = min(state.nextHeartbeat, now+o.heartbeatDelay(s.vm.ID, now))
	}
	s.answer(&peerpb.OfferResult{Vm: string(s.vm.ID)})
}

// notStarted releases the reservation of an attempt that was not started and
// refuses the offer.
func (o *Owner) notStarted(s startOrder, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.starts, s.message.Permit)
	o.rack.Ended(s.message.Permit, rack.ResultNotStarted, o.env.Clock().Now())
	s.answer(&peerpb.OfferResult{Refusal: convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, err.Error())})
}

// unconfirmed answers the offer of a start with an unknown outcome. It keeps the
// reservation until the worker's reports show whether the attempt runs.
func (o *Owner) unconfirmed(s startOrder, err error) {
	o.logger.WithError(err).WithField("vm", s.vm.ID).Warn("start has an unknown outcome; keeping the reservation until the worker reports")
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.starts[s.message.Permit]; known != nil {
		known.answered = true
	}
	o.rack.Unknown(s.message.Permit)
	s.answer(&peerpb.OfferResult{Vm: string(s.vm.ID), Unknown: true})
}

func (s startOrder) answer(result *peerpb.OfferResult) {
	result.TaskId = s.pending.message.GetTaskId()
	s.pending.result <- result
}

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
	// parkTime is how long an offer without room waits for a task to end, so
	// that the team furthest below its share gets the room.
	parkTime = 100 * time.Millisecond
	// maxPending bounds the offers that wait.
	maxPending = 4096
)

// pendingOffer is an offer whose caller waits for the decision.
type pendingOffer struct {
	offer   rack.Offer
	message *peerpb.TaskOffer
	arrived time.Duration
	result  chan *peerpb.OfferResult
}

// start is what is known of an attempt sent to a worker.
type start struct {
	before      time.Duration // worker clock: the start deadline
	answered    bool          // the call has returned, by an error or not
	confirmed   bool          // the worker confirmed that it runs
	confirmedAt time.Duration // own clock
	dueAt       time.Duration // own clock: the declared end; zero for unknown
}

// enqueue adds an offer to those that wait for a decision.
func (o *Owner) enqueue(message *peerpb.TaskOffer) *pendingOffer {
	offer := o.offerOf(message)
	p := &pendingOffer{
		offer:   offer,
		message: message,
		arrived: o.env.Clock().Now(),
		result:  make(chan *peerpb.OfferResult, 1),
	}
	if refusal := o.refusePermit(offer.Permit); refusal != nil {
		p.refuse(refusal)
		return p
	}
	if len(o.pending) >= maxPending {
		p.refuse(convert.Refuse(peerpb.Refusal_QUEUE_FULL, "too many offers wait"))
		return p
	}
	o.pending = append(o.pending, p)
	return p
}

// offerOf returns the offer with its size and run time corrected by what tasks
// of the same template took. The owner is locked.
func (o *Owner) offerOf(message *peerpb.TaskOffer) rack.Offer {
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
		ExpectedRun: o.learned.RunTime(name, declaredRun),
		Domains:     convert.Domains(message.GetFailureDomains()),
		Urgent:      message.GetUrgent(),
		Template:    name,
		Avoid:       avoid,

		NonIdempotent: message.GetNonIdempotent(),
		Preemptible:   message.GetPreemptible(),
	}
}

// templateName keeps the templates of teams apart.
func templateName(team model.TeamID, name string) string {
	return string(team) + "/" + name
}

// correctedSize returns what to reserve for a task. A correction beyond the
// largest worker stops there, so that a task that fits as declared still fits.
func (o *Owner) correctedSize(name string, declared model.Resources) model.Resources {
	corrected := o.learned.Size(name, declared)
	if !declared.Fits(o.largest) {
		return corrected
	}
	return model.Resources{
		MilliCPU:     min(corrected.MilliCPU, o.largest.MilliCPU),
		MemoryMiB:    min(corrected.MemoryMiB, o.largest.MemoryMiB),
		Accelerators: corrected.Accelerators,
		Slots:        corrected.Slots,
	}
}

// learn takes over what an ended attempt really took.
func (o *Owner) learn(held rack.Reservation, status port.TaskStatus, now time.Duration) {
	if held.Template == "" {
		return
	}
	o.learned.Observe(held.Template, estimate.Sample{
		Declared:        status.Declared,
		Peak:            held.Peak.Max(status.Used),
		DeclaredRunTime: held.ExpectedEnd - held.Placed,
		RunTime:         now - held.Placed,
		EndedEarly:      status.State != port.TaskDone,
	})
}

// refusePermit returns why a permit is not good here, or nil.
func (o *Owner) refusePermit(p model.Permit) *peerpb.Refusal {
	if p.Partition != o.id || p.PartitionEpoch != o.epoch {
		return convert.Refuse(peerpb.Refusal_STALE_EPOCH, "the permit is bound to a former owner of the rack")
	}
	if err := o.fence.Check(p); err != nil {
		return convert.Refuse(peerpb.Refusal_STALE_EPOCH, err.Error())
	}
	return nil
}

func (p *pendingOffer) refuse(refusal *peerpb.Refusal) {
	p.result <- &peerpb.OfferResult{TaskId: p.message.GetTaskId(), Refusal: refusal}
}

// place decides about all offers that wait and starts what found a worker.
func (o *Owner) place(ctx context.Context) {
	if o.inFlight.Draining() || !o.mayAct() || !o.env.ConfigFresh() {
		o.refusePending()
		return
	}
	sends, checkpoints := o.decide()
	for _, action := range checkpoints {
		o.startAction(ctx, action)
	}
	for _, s := range sends {
		if err := o.pool.Submit(func() { o.send(ctx, s) }); err != nil {
			o.notStarted(s, err)
		}
	}
}

// refusePending refuses the offers that have waited long enough while this
// process may not start anything.
func (o *Owner) refusePending() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	kept := o.pending[:0]
	for _, p := range o.pending {
		if now-p.arrived < parkTime {
			kept = append(kept, p)
			continue
		}
		p.refuse(convert.Refuse(peerpb.Refusal_UNAVAILABLE, "the rack's owner may not start work now"))
	}
	o.pending = kept
}

// sending is a reserved attempt on its way to a worker.
type sending struct {
	pending *pendingOffer
	vm      model.VM
	message port.StartTask
}

// decide returns the attempts that found a worker, and the checkpoints that
// make room for urgent offers that found none.
func (o *Owner) decide() ([]sending, []rack.Action) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rack.Expire(o.env.Clock().Now())
	if len(o.pending) == 0 {
		return nil, nil
	}
	now := o.env.Clock().Now()
	offers := make([]rack.Offer, 0, len(o.pending))
	waiting := make([]*pendingOffer, 0, len(o.pending))
	for _, p := range o.pending {
		// The permit may have been given up while the offer waited.
		if refusal := o.refusePermit(p.offer.Permit); refusal != nil {
			p.refuse(refusal)
			continue
		}
		offers = append(offers, p.offer)
		waiting = append(waiting, p)
	}
	o.pending = nil
	var sends []sending
	var checkpoints []rack.Action
	for i, decision := range o.rack.PlaceBatch(offers, now) {
		p := waiting[i]
		switch {
		case decision.Reserved:
			sends = append(sends, o.prepare(p, decision.VM, now))
		case mayPark(decision.Reason) && now-p.arrived < parkTime:
			o.pending = append(o.pending, p)
			checkpoints = append(checkpoints, o.rack.Preempt(p.offer, now)...)
		default:
			p.refuse(refusalOf(decision))
		}
	}
	return sends, checkpoints
}

func mayPark(reason rack.Reason) bool {
	return reason == rack.ReasonNoCapacity
}

func refusalOf(decision rack.Decision) *peerpb.Refusal {
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
	return convert.RefuseAfter(reason, decision.Reason.String(), decision.RetryAfter)
}

// prepare fills in the start of a reserved attempt. The owner is locked.
func (o *Owner) prepare(p *pendingOffer, vm model.VMID, now time.Duration) sending {
	state := o.vms[vm]
	clock := state.estimate(now)
	message := port.StartTask{
		Task:        p.offer.Task,
		Attempt:     p.offer.Attempt,
		Job:         p.offer.Job,
		Team:        p.offer.Permit.Team,
		Permit:      p.offer.Permit.ID,
		Size:        p.offer.Permit.Size,
		ExpectedRun: time.Duration(p.message.GetExpectedRunMs()) * time.Millisecond,
		Epoch:       o.epoch,
		StartBefore: clock + o.timeToStart(now),
		LeaseUntil:  clock + o.lease,
		Payload:     p.message.GetPayload(),
	}
	state.until = max(state.until, message.LeaseUntil)
	known := &start{before: message.StartBefore}
	if message.ExpectedRun > 0 {
		known.dueAt = now + message.ExpectedRun
	}
	o.starts[p.offer.Permit.ID] = known
	return sending{pending: p, vm: state.vm, message: message}
}

// timeToStart returns how long a start may be on its way: no longer than this
// owner may act, so that one held up beyond its tenure is refused.
func (o *Owner) timeToStart(now time.Duration) time.Duration {
	until, ok := o.env.ActUntil(o.id, o.epoch)
	if !ok {
		return 0
	}
	return max(min(startWindow, until-now), 0)
}

// send starts a reserved attempt on its worker and answers the offer.
func (o *Owner) send(ctx context.Context, s sending) {
	if !o.inFlight.Begin() {
		o.notStarted(s, port.NotStarted.New("the rack changes its owner"))
		return
	}
	defer o.inFlight.End()
	if !o.mayAct() || !o.env.ConfigFresh() || o.env.Config().DomainOut(s.vm.FailureDomain) {
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

func (o *Owner) confirmed(s sending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	if known := o.starts[s.message.Permit]; known != nil {
		known.answered = true
		known.confirmed = true
		known.confirmedAt = now
	}
	o.rack.Started(s.message.Permit)
	if state := o.vms[s.vm.ID]; state != nil {
		state.nextAt = min(state.nextAt, now+o.beatDelay(s.vm.ID, now))
	}
	s.answer(&peerpb.OfferResult{Vm: string(s.vm.ID)})
}

func (o *Owner) notStarted(s sending, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.starts, s.message.Permit)
	o.rack.Ended(s.message.Permit, rack.ResultNotStarted, o.env.Clock().Now())
	s.answer(&peerpb.OfferResult{Refusal: convert.Refuse(peerpb.Refusal_UNAVAILABLE, err.Error())})
}

// unconfirmed keeps the reservation until the worker's reports tell whether
// the attempt runs.
func (o *Owner) unconfirmed(s sending, err error) {
	o.logger.WithError(err).WithField("vm", s.vm.ID).Warn("Start was not confirmed.")
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.starts[s.message.Permit]; known != nil {
		known.answered = true
	}
	o.rack.Unknown(s.message.Permit)
	s.answer(&peerpb.OfferResult{Vm: string(s.vm.ID), Unknown: true})
}

func (s sending) answer(result *peerpb.OfferResult) {
	result.TaskId = s.pending.message.GetTaskId()
	s.pending.result <- result
}

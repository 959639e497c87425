package teamowner

import (
	"context"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// maxCandidates limits the jobs of one scheduling pass.
	maxCandidates = 32
	// maxOffersInFlight is the number of tasks with an offer in flight from which
	// no further job is offered.
	maxOffersInFlight = 512
	// maxTasksPerJob limits the tasks of one job offered in one pass.
	maxTasksPerJob = 64
)

// offerSet holds offers by partition.
type offerSet map[model.PartitionID][]team.TaskOffer

// schedule runs one scheduling pass, which offers waiting tasks to racks.
func (o *Owner) schedule(ctx context.Context) {
	if o.inFlight.Draining() || !o.mayAct() || !o.env.ConfigFresh() {
		return
	}
	offers, gangs := o.plan()
	for _, g := range gangs {
		o.startGang(ctx, g)
	}
	for partition, tasks := range offers {
		o.startOffer(ctx, partition, tasks)
	}
}

// plan grants permits for the next tasks and returns their offers and the gangs
// to start.
func (o *Owner) plan() (offerSet, []*gangStart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	offers := offerSet{}
	var gangs []*gangStart
	if o.state.Waiting() == 0 {
		return offers, nil
	}
	now := o.env.Clock().Now()
	for _, candidate := range o.state.OfferableJobs(maxCandidates, now, o.env.Clock().Wall()) {
		if o.offersInFlight >= maxOffersInFlight {
			break
		}
		if !o.view.canEverFit(candidate.Job) {
			o.state.RecordUnfit(candidate.Job.ID, now)
			o.signal(o.flush)
			continue
		}
		o.state.ClearUnfit(candidate.Job.ID)
		if candidate.Job.Kind == model.WorkGang {
			if o.shareAllows(candidate.Job.Size.Scale(int64(candidate.Waiting))) {
				gangs = append(gangs, o.planGang(candidate))
			}
			continue
		}
		o.planJob(candidate, offers)
	}
	return offers, gangs
}

// planJob grants permits for as many tasks of a job as fit now and adds their
// offers. The caller holds o.mu.
func (o *Owner) planJob(candidate team.OfferableJob, offers offerSet) {
	now := o.env.Clock().Now()
	job := candidate.Job
	domainOut := o.env.Config().IsDomainOut
	for range min(candidate.Waiting, maxTasksPerJob) {
		if !o.shareAllows(job.Size) {
			return
		}
		rack, fits, ok := o.view.pickRack(job, domainOut)
		if !ok {
			o.state.Delay(job.ID, now)
			return
		}
		if !fits && candidate.Offered > 0 {
			// A rack may hold a worker for the task in flight. A second
			// task would alternate with it, and neither would get the worker.
			o.state.Delay(job.ID, now)
			return
		}
		if !fits {
			rack = o.view.chooseFullRack(rack, candidate)
		}
		offer, err := o.state.OfferTask(job.ID, rack.id, rack.epoch, now)
		if err != nil {
			return
		}
		offers[rack.id] = append(offers[rack.id], offer)
		o.offersInFlight++
		if !fits {
			// One offer keeps the job's place at a full rack, which may hold a
			// worker for it. Further offers would only tie up permits.
			o.state.Delay(job.ID, now)
			return
		}
	}
}

// startOffer sends the offers for one rack on the pool.
func (o *Owner) startOffer(ctx context.Context, partition model.PartitionID, tasks []team.TaskOffer) {
	address, _, ok := o.env.Owner(partition)
	if !ok {
		o.withdrawOffers(tasks)
		return
	}
	if err := o.call(func() { o.sendOffer(ctx, partition, address, tasks) }); err != nil {
		o.withdrawOffers(tasks)
	}
}

// sendOffer offers tasks to one rack and applies the results.
func (o *Owner) sendOffer(ctx context.Context, partition model.PartitionID, address string, tasks []team.TaskOffer) {
	if err := o.intendTasks(ctx, tasks); err != nil || !o.mayAct() {
		o.withdrawOffers(tasks)
		return
	}
	reply, err := o.offer(ctx, partition, address, tasks, false)
	if port.NotStarted.Has(err) || reply.GetRefusal() != nil {
		o.withdrawOffers(tasks)
		return
	}
	if err != nil {
		o.markOffersUnknown(len(tasks), partition)
		return
	}
	o.applyResults(tasks, reply)
}

// intendTasks appends the intents of non-idempotent tasks to the journal.
func (o *Owner) intendTasks(ctx context.Context, tasks []team.TaskOffer) error {
	var records []*logpb.JournalRecord
	for _, task := range tasks {
		if !task.Job.NonIdempotent {
			continue
		}
		records = append(records, &logpb.JournalRecord{
			Body: &logpb.JournalRecord_Intent{Intent: &logpb.Intent{
				Team:      string(o.team),
				TaskId:    string(task.Task),
				UnixMs:    o.env.Clock().Wall().UnixMilli(),
				TeamEpoch: uint64(o.epoch),
			}},
		})
	}
	if len(records) == 0 {
		return nil
	}
	return o.journal.Append(ctx, records...)
}

// offer sends one OfferTasks call to the rack's owner.
func (o *Owner) offer(ctx context.Context, partition model.PartitionID, address string, tasks []team.TaskOffer, gang bool) (*peerpb.OfferTasksReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := &peerpb.OfferTasks{Partition: string(partition), Gang: gang}
	for _, task := range tasks {
		message.Tasks = append(message.Tasks, offerMessage(task))
	}
	response, err := o.env.Peer().Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_OfferTasks{OfferTasks: message},
	})
	return response.GetOfferTasks(), err
}

func offerMessage(task team.TaskOffer) *peerpb.TaskOffer {
	avoid := make([]string, 0, len(task.Avoid))
	for _, vm := range task.Avoid {
		avoid = append(avoid, string(vm))
	}
	return &peerpb.TaskOffer{
		Permit:         convert.PermitPB(task.Permit),
		TaskId:         string(task.Task),
		Attempt:        int32(task.Attempt),
		JobId:          string(task.Job.ID),
		ExpectedRunMs:  task.Job.DeclaredRunTime.Milliseconds(),
		FailureDomains: convert.DomainsPB(task.Job.FailureDomains),
		Payload:        task.Job.Payload,
		Urgent:         task.Job.Urgent,
		Template:       task.Job.Template,
		AvoidVms:       avoid,
		NonIdempotent:  task.Job.NonIdempotent,
		Preemptible:    preemptible(task.Job),
	}
}

// preemptible reports whether tasks of the job may be checkpointed and stopped.
// Gang members may not, because the other members would be stopped too, and
// non-idempotent tasks may not, because they must not start twice.
func preemptible(job model.Job) bool {
	return job.Kind == model.WorkBatch && !job.Urgent && !job.NonIdempotent
}

// applyResults applies the rack's result of each offer.
func (o *Owner) applyResults(tasks []team.TaskOffer, reply *peerpb.OfferTasksReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offersInFlight -= len(tasks)
	now := o.env.Clock().Now()
	for i, task := range tasks {
		if i >= len(reply.GetResults()) {
			// The outcome of the other offers is unknown until the next usage
			// query.
			break
		}
		result := reply.GetResults()[i]
		switch {
		case result.GetRefusal() != nil:
			o.state.ApplyRefusal(task.Permit.ID, true, now)
			o.countRefusal(result.GetRefusal().GetReason())
		case result.GetVm() != "" && !result.GetUnknown():
			o.state.ApplyStart(task.Permit.ID)
			o.recordWait(task, o.env.Clock().Wall())
		}
	}
	if reply.GetSummary() != nil {
		o.view.update(reply.GetSummary(), o.state.Ledger().PartitionEpoch)
	}
	o.signal(o.wake)
}

// withdrawOffers withdraws offers whose tasks have certainly not started.
func (o *Owner) withdrawOffers(tasks []team.TaskOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offersInFlight -= len(tasks)
	now := o.env.Clock().Now()
	for _, task := range tasks {
		o.state.ApplyRefusal(task.Permit.ID, true, now)
	}
}

// markOffersUnknown takes offers with an unknown outcome out of those in flight and
// marks their partition as unreconciled, so that its usage is queried. Their
// permits count as used until the answer is applied.
func (o *Owner) markOffersUnknown(count int, partition model.PartitionID) {
	bounds := partitionBounds(o.env.VMs())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offersInFlight -= count
	o.state.Ledger().MarkUnreconciled(partition, bounds[partition])
}

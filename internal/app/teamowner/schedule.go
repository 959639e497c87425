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
	// maxCandidates bounds the jobs of one scheduling pass.
	maxCandidates = 32
	// maxOutstanding bounds the tasks whose offers are unanswered.
	maxOutstanding = 512
	// maxPerJob bounds the tasks of one job offered in one pass.
	maxPerJob = 64
)

// offerSet gathers the offers of one pass by partition.
type offerSet map[model.PartitionID][]team.TaskOffer

// schedule offers waiting tasks to racks.
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

// plan grants permits for the tasks that come next.
func (o *Owner) plan() (offerSet, []*gang) {
	o.mu.Lock()
	defer o.mu.Unlock()
	offers := offerSet{}
	var gangs []*gang
	if o.state.Waiting() == 0 {
		return offers, nil
	}
	now := o.env.Clock().Now()
	for _, candidate := range o.state.Candidates(maxCandidates, now, o.env.Clock().Wall()) {
		if o.offered >= maxOutstanding {
			break
		}
		if !o.view.canEverFit(candidate.Job) {
			o.state.RecordUnfit(candidate.Job.ID, now)
			o.signal(o.flush)
			continue
		}
		o.state.ClearUnfit(candidate.Job.ID)
		if candidate.Job.Kind == model.WorkGang {
			if o.mayUse(candidate.Job.Size.Scale(int64(candidate.Waiting))) {
				gangs = append(gangs, o.planGang(candidate))
			}
			continue
		}
		o.planJob(candidate, offers)
	}
	return offers, gangs
}

// planJob grants permits for as many tasks of a job as fit now.
func (o *Owner) planJob(candidate team.Candidate, offers offerSet) {
	now := o.env.Clock().Now()
	job := candidate.Job
	domainOut := o.env.Config().DomainOut
	for range min(candidate.Waiting, maxPerJob) {
		if !o.mayUse(job.Size) {
			return
		}
		rack, room, ok := o.view.pickRack(job, domainOut)
		if !ok {
			o.state.Delay(job.ID, now)
			return
		}
		if !room && candidate.Offered > 0 {
			// Another task would take turns with the one that a rack may hold a
			// worker for, and neither would get it.
			o.state.Delay(job.ID, now)
			return
		}
		if !room {
			rack = o.view.stay(rack, candidate)
		}
		offer, err := o.state.OfferTask(job.ID, rack.id, rack.epoch, now)
		if err != nil {
			return
		}
		offers[rack.id] = append(offers[rack.id], offer)
		o.offered++
		if !room {
			// One task keeps the job's place at a full rack, which may hold a
			// worker for it; more would only carry permits around.
			o.state.Delay(job.ID, now)
			return
		}
	}
}

// startOffer sends the offers of one rack on the pool.
func (o *Owner) startOffer(ctx context.Context, partition model.PartitionID, tasks []team.TaskOffer) {
	address, _, ok := o.env.Owner(partition)
	if !ok {
		o.refuseAll(tasks)
		return
	}
	if err := o.call(func() { o.sendOffer(ctx, partition, address, tasks) }); err != nil {
		o.refuseAll(tasks)
	}
}

// sendOffer offers tasks to one rack and takes over the results.
func (o *Owner) sendOffer(ctx context.Context, partition model.PartitionID, address string, tasks []team.TaskOffer) {
	if err := o.intendTasks(ctx, tasks); err != nil || !o.mayAct() {
		o.refuseAll(tasks)
		return
	}
	reply, err := o.offer(ctx, partition, address, tasks, false)
	if port.NotStarted.Has(err) || reply.GetRefusal() != nil {
		o.refuseAll(tasks)
		return
	}
	if err != nil {
		o.forgetOffers(len(tasks), partition)
		return
	}
	o.takeResults(tasks, reply)
}

// intendTasks puts the intents of non-idempotent tasks on the log.
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
		ExpectedRunMs:  task.Job.ExpectedRun.Milliseconds(),
		FailureDomains: convert.DomainsPB(task.Job.FailureDomains),
		Payload:        task.Job.Payload,
		Urgent:         task.Job.Urgent,
		Template:       task.Job.Template,
		AvoidVms:       avoid,
		NonIdempotent:  task.Job.NonIdempotent,
		Preemptible:    preemptible(task.Job),
	}
}

// preemptible reports whether tasks of the job may be checkpointed: a member of
// a gang would stop the others, and non-idempotent work must not start twice.
func preemptible(job model.Job) bool {
	return job.Kind == model.WorkBatch && !job.Urgent && !job.NonIdempotent
}

// takeResults takes over the rack's answer to each offer.
func (o *Owner) takeResults(tasks []team.TaskOffer, reply *peerpb.OfferTasksReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offered -= len(tasks)
	now := o.env.Clock().Now()
	for i, task := range tasks {
		if i >= len(reply.GetResults()) {
			// A short answer says nothing of the rest; the next usage query
			// will.
			break
		}
		result := reply.GetResults()[i]
		switch {
		case result.GetRefusal() != nil:
			o.state.ApplyRefusal(task.Permit.ID, true, now)
			o.countRefusal(result.GetRefusal().GetReason())
		case result.GetVm() != "" && !result.GetUnknown():
			o.state.ApplyStart(task.Permit.ID)
			o.countStart(task, o.env.Clock().Wall())
		}
	}
	if reply.GetSummary() != nil {
		o.view.update(reply.GetSummary(), o.state.Ledger().PartitionEpoch)
	}
	o.signal(o.wake)
}

// refuseAll takes back offers that were certainly not sent.
func (o *Owner) refuseAll(tasks []team.TaskOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offered -= len(tasks)
	now := o.env.Clock().Now()
	for _, task := range tasks {
		o.state.ApplyRefusal(task.Permit.ID, true, now)
	}
}

// forgetOffers counts offers with a lost answer as answered. Their permits
// stay used until the partition's next usage report settles them.
func (o *Owner) forgetOffers(count int, partition model.PartitionID) {
	bounds := partitionBounds(o.env.VMs())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.offered -= count
	o.state.Ledger().MarkUnreconciled(partition, bounds[partition])
}

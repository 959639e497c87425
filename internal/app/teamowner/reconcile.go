package teamowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// unreleasedPermitAge is the age from which an unreleased permit of a quick request
// causes its partition to be queried.
const unreleasedPermitAge = 5 * time.Second

// refresh applies the newest template, VM list, summaries and partition owners,
// and queries the partitions whose usage is not completely reconciled.
func (o *Owner) refresh(ctx context.Context) {
	vms := o.env.VMs()
	capacities := partitionCapacities(vms)
	racks := o.env.Summaries(model.KindRack)
	targets := o.env.Summaries(model.KindTargets)
	o.mu.Lock()
	defer o.mu.Unlock()
	if template, ok := o.env.Config().Template(o.team); ok {
		o.state.SetTemplate(template)
	}
	ledger := o.state.Ledger()
	for id, capacity := range capacities {
		ledger.AddPartition(id, capacity)
		o.detectOwnerChange(id, capacity)
	}
	o.view.refresh(racks, targets, ledger.PartitionEpoch)
	if o.view.takeFreed() {
		o.state.RecordFreedCapacity(o.env.Clock().Now())
	}
	o.view.setWorkers(vms)
	o.state.SetCellCapacity(o.view.total)
	o.updateFairShare(racks)
	now := o.env.Clock().Now()
	incomplete := ledger.Incomplete()
	for _, id := range incomplete {
		o.queryUsage(ctx, id, 0)
	}
	if len(incomplete) == 0 && o.state.Recovering() {
		o.state.FinishRecovery()
		o.logger.Info("all partitions reported; recovery finished")
	}
	// A gang member whose stop order is lost runs to its end.
	o.stopTasks(o.state.TakeStops())
	minSequence := ledger.MinSequenceSince(now - unreleasedPermitAge)
	for _, id := range ledger.PartitionsWithTasklessPermitsBefore(now - unreleasedPermitAge) {
		o.queryUsage(ctx, id, minSequence)
	}
}

// detectOwnerChange marks a partition as unreconciled if its owner has changed
// since it was reconciled. The caller holds o.mu.
func (o *Owner) detectOwnerChange(id model.PartitionID, capacity model.Resources) {
	ledger := o.state.Ledger()
	known, ok := ledger.PartitionEpoch(id)
	if !ok {
		return
	}
	_, epoch, ok := o.env.Owner(id)
	if ok && epoch != known {
		ledger.MarkUnreconciled(id, capacity)
	}
}

// partitionCapacities returns the capacity of each rack and target group.
func partitionCapacities(vms []model.VM) map[model.PartitionID]model.Resources {
	capacities := map[model.PartitionID]model.Resources{}
	for _, vm := range vms {
		if id := vm.Partition(); id != "" {
			capacities[id] = capacities[id].Add(vm.Capacity)
		}
	}
	return capacities
}

// queryUsage asks a partition's owner which permits of the team it holds and
// reconciles the partition with the answer. One query per partition runs at a time.
// The caller holds o.mu.
func (o *Owner) queryUsage(ctx context.Context, id model.PartitionID, minSequence uint64) {
	address, epoch, ok := o.env.Owner(id)
	if !ok || o.querying[id] || !o.mayAct() {
		return
	}
	o.querying[id] = true
	o.state.Ledger().BeginQuery()
	err := o.call(func() {
		reply := o.fetchUsage(ctx, id, address, minSequence)
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.querying, id)
		if reply != nil && model.Epoch(reply.GetPartitionEpoch()) == epoch {
			o.reconcile(id, epoch, minSequence, reply)
		}
		o.state.Ledger().EndQuery()
	})
	if err != nil {
		delete(o.querying, id)
		o.state.Ledger().EndQuery()
	}
}

// fetchUsage returns the partition's answer to a usage query, or nil if there is
// none.
func (o *Owner) fetchUsage(ctx context.Context, id model.PartitionID, address string, minSequence uint64) *peerpb.UsageReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.env.Peer().Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_UsageQuery{UsageQuery: &peerpb.UsageQuery{
			Team:        string(o.team),
			Partition:   string(id),
			TeamEpoch:   uint64(o.epoch),
			MinSequence: minSequence,
		}},
	})
	usage := response.GetUsage()
	if err != nil || usage == nil || usage.GetRefusal() != nil {
		return nil
	}
	return usage
}

// reconcile applies a partition's answer to a usage query. The caller holds o.mu.
func (o *Owner) reconcile(id model.PartitionID, epoch model.Epoch, minSequence uint64, reply *peerpb.UsageReply) {
	if !reply.GetCertain() && reply.GetUncertain() == nil {
		// The answer may be incomplete and does not say by how much.
		return
	}
	held := make([]permit.Entry, 0, len(reply.GetHeld()))
	for _, h := range reply.GetHeld() {
		held = append(held, permit.Entry{
			Permit:  convert.Permit(h.GetPermit()),
			Task:    model.TaskID(h.GetTaskId()),
			Job:     model.JobID(h.GetJobId()),
			Attempt: int(h.GetAttempt()),
			Ended:   h.GetEnded(),
		})
	}
	uncertain := convert.Resources(reply.GetUncertain())
	ended := o.state.Ledger().Reconcile(id, epoch, minSequence, held, uncertain)
	for _, entry := range held {
		if _, known := o.state.Ledger().Lookup(entry.Permit.ID); known && entry.Task != "" {
			o.state.AdoptAttempt(entry.Task, entry.Attempt, entry.Permit.ID)
		}
	}
	o.state.ApplyUnreportedEnds(ended)
	o.waiters.wake(len(ended) + 1)
	o.signal(o.wake)
}

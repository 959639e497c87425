package teamowner

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// fairShareInterval is the time between computations of the team's fair share.
const fairShareInterval = 200 * time.Millisecond

// shareState is what limits the team's tasks while other teams have pending work,
// and the demand that the owner reports. Owner.mu guards it.
type shareState struct {
	cap       *fairness.Cap
	total     model.Resources // capacity of all workers, without slots
	fairShare float64         // dominant share
	nextAt    time.Duration
	demand    *peerpb.TeamDemand
}

func newShareState() shareState {
	return shareState{cap: fairness.NewCap(fairness.CapPolicy{})}
}

// Demand implements host.Demander. It returns the demand as of the last update.
func (o *Owner) Demand() *peerpb.TeamDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.share.demand
}

// updateFairShare recomputes the team's fair share from the last received demands
// of all teams. Every team owner does the same computation. The caller holds
// o.mu.
func (o *Owner) updateFairShare(racks []*peerpb.PartitionSummary) {
	now := o.env.Clock().Now()
	if now < o.share.nextAt {
		return
	}
	o.share.nextAt = now + fairShareInterval
	o.share.demand = o.ownDemand()
	total, free := workerTotals(racks)
	o.share.total = total
	demands := []fairness.Demand{toDemand(o.share.demand)}
	for _, demand := range o.env.Demands() {
		if demand.GetTeam() != string(o.team) && demand.GetTasks() > 0 {
			demands = append(demands, toDemand(demand))
		}
	}
	o.share.fairShare = 0
	if o.share.demand.GetTasks() > 0 {
		tasks := fairness.WaterFill(total, demands)
		o.share.fairShare = tasks[0] * demands[0].Task.DominantShare(total)
	}
	o.share.cap.Update(1-total.Sub(free).DominantShare(total), now)
}

func (o *Owner) ownDemand() *peerpb.TeamDemand {
	tasks, mean := o.state.Demand()
	template := o.state.Template()
	return &peerpb.TeamDemand{
		Team:   string(o.team),
		Epoch:  uint64(o.epoch),
		Weight: template.ShareWeight,
		Task:   convert.ResourcesPB(mean),
		Tasks:  tasks,
		Limit:  convert.ResourcesPB(template.UpperLimit),
	}
}

func toDemand(demand *peerpb.TeamDemand) fairness.Demand {
	return fairness.Demand{
		Team:   model.TeamID(demand.GetTeam()),
		Weight: demand.GetWeight(),
		Task:   withoutSlots(convert.Resources(demand.GetTask())),
		Tasks:  float64(demand.GetTasks()),
		Limit:  withoutSlots(convert.Resources(demand.GetLimit())),
	}
}

// workerTotals returns the total and the free capacity of all workers, without
// slots.
func workerTotals(racks []*peerpb.PartitionSummary) (total, free model.Resources) {
	for _, summary := range racks {
		total = total.Add(convert.Resources(summary.GetCapacity()))
		free = free.Add(convert.Resources(summary.GetFree()))
	}
	return withoutSlots(total), withoutSlots(free)
}

func withoutSlots(r model.Resources) model.Resources {
	r.Slots = 0
	return r
}

// shareAllows reports whether the cap on the team's share allows its use to grow by
// the size. The caller holds o.mu.
func (o *Owner) shareAllows(size model.Resources) bool {
	used := withoutSlots(o.state.Ledger().KnownUse())
	total := o.share.total
	return o.share.cap.Allows(used.DominantShare(total), used.Add(size).DominantShare(total), o.share.fairShare)
}

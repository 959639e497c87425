package teamowner

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// aimEvery is the time between computations of the team's exact share.
const aimEvery = 200 * time.Millisecond

// share is the part of the workers that the team's tasks may use while others
// wait. The owner's lock guards it.
type share struct {
	cap    *fairness.Cap
	total  model.Resources // of all workers, without slots
	target float64         // dominant share
	nextAt time.Duration
	demand *peerpb.TeamDemand
}

func newShare() share {
	return share{cap: fairness.NewCap(fairness.CapPolicy{})}
}

// Demand implements host.Demander.
func (o *Owner) Demand() *peerpb.TeamDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.share.demand
}

// aim recomputes the team's exact share from the last heard demands of all
// teams. Every owner does the same computation. The owner is locked.
func (o *Owner) aim(racks []*peerpb.PartitionSummary) {
	now := o.env.Clock().Now()
	if now < o.share.nextAt {
		return
	}
	o.share.nextAt = now + aimEvery
	o.share.demand = o.ownDemand()
	total, free := workerTotals(racks)
	o.share.total = total
	demands := []fairness.Demand{demandOf(o.share.demand)}
	for _, demand := range o.env.Demands() {
		if demand.GetTeam() != string(o.team) && demand.GetTasks() > 0 {
			demands = append(demands, demandOf(demand))
		}
	}
	o.share.target = 0
	if o.share.demand.GetTasks() > 0 {
		tasks := fairness.WaterFill(total, demands)
		o.share.target = tasks[0] * demands[0].Task.DominantShare(total)
	}
	o.share.cap.Update(1-total.Sub(free).DominantShare(total), now)
}

func (o *Owner) ownDemand() *peerpb.TeamDemand {
	tasks, mean := o.state.Demand()
	template := o.state.Template()
	return &peerpb.TeamDemand{
		Team:   string(o.team),
		Epoch:  uint64(o.epoch),
		Weight: template.Share,
		Task:   convert.ResourcesPB(mean),
		Tasks:  tasks,
		Limit:  convert.ResourcesPB(template.UpperLimit),
	}
}

func demandOf(demand *peerpb.TeamDemand) fairness.Demand {
	return fairness.Demand{
		Team:   model.TeamID(demand.GetTeam()),
		Weight: demand.GetWeight(),
		Task:   withoutSlots(convert.Resources(demand.GetTask())),
		Tasks:  float64(demand.GetTasks()),
		Limit:  withoutSlots(convert.Resources(demand.GetLimit())),
	}
}

// workerTotals returns what all workers hold and have free.
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

// mayUse reports whether the team's share leaves room for more tasks of the
// size while others wait. The owner is locked.
func (o *Owner) mayUse(size model.Resources) bool {
	used := withoutSlots(o.state.Ledger().KnownUse())
	total := o.share.total
	return o.share.cap.Allows(used.DominantShare(total), used.Add(size).DominantShare(total), o.share.target)
}

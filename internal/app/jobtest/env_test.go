package jobtest

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// env implements host.Env for one owner.
type env struct {
	cell  *cell
	owner *owner
	id    model.PartitionID
	clock port.Clock
}

func (e *env) Owner(id model.PartitionID) (string, model.Epoch, bool) {
	e.cell.mu.Lock()
	defer e.cell.mu.Unlock()
	o := e.cell.owners[id]
	if o == nil {
		return "", 0, false
	}
	return o.address, o.epoch, true
}

func (e *env) MayAct(model.PartitionID, model.Epoch) bool {
	e.cell.mu.Lock()
	defer e.cell.mu.Unlock()
	return !e.owner.killed
}

func (e *env) ActUntil(id model.PartitionID, epoch model.Epoch) (time.Duration, bool) {
	return e.clock.Now() + time.Second, e.MayAct(id, epoch)
}

func (e *env) Config() host.Config { return (*configView)(e.cell) }

func (e *env) ConfigFresh() bool { return true }

func (e *env) VMs() []model.VM {
	e.cell.mu.Lock()
	defer e.cell.mu.Unlock()
	return append([]model.VM(nil), e.cell.vms...)
}

func (e *env) Summaries(kind model.PartitionKind) []*peerpb.PartitionSummary {
	e.cell.mu.Lock()
	owners := make([]*owner, 0, len(e.cell.owners))
	for id, o := range e.cell.owners {
		if id.Kind() == kind && !o.killed {
			owners = append(owners, o)
		}
	}
	e.cell.mu.Unlock()
	var summaries []*peerpb.PartitionSummary
	for _, o := range owners {
		if summary := o.partition.Summary(); summary != nil {
			summaries = append(summaries, summary)
		}
	}
	return summaries
}

func (e *env) Demands() []*peerpb.TeamDemand {
	e.cell.mu.Lock()
	defer e.cell.mu.Unlock()
	demands := make([]*peerpb.TeamDemand, 0, len(e.cell.demands))
	for _, demand := range e.cell.demands {
		demands = append(demands, demand)
	}
	return demands
}

// publishDemand makes a team's demand visible to all owners, with a lag of up to
// 100 ms, until ctx is done.
func (c *cell) publishDemand(ctx context.Context, id model.PartitionID, demander host.Demander) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		demand := demander.Demand()
		c.mu.Lock()
		if demand != nil {
			c.demands[id] = demand
		}
		c.mu.Unlock()
	}
}

func (e *env) Peer() port.Peer { return e.cell.peers.Client(e.owner.address, nil) }

func (e *env) Clock() port.Clock { return e.clock }

// configView is the configuration of the cell.
type configView cell

func (v *configView) Revision() uint64 { return 1 }

func (v *configView) Template(name model.TeamID) (model.WorkspaceTemplate, bool) {
	c := (*cell)(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	template := c.template
	template.Team = name
	if name == urgentTeam && c.urgentShareWeight > 0 {
		template.ShareWeight = c.urgentShareWeight
	}
	return template, true
}

func (v *configView) Teams() []model.TeamID { return []model.TeamID{testTeam} }

func (v *configView) IsDomainOut(domain model.FailureDomain) bool {
	c := (*cell)(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domainsOut[domain]
}

package jobtest

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// env is the environment of one holder.
type env struct {
	cell  *cell
	owner *ownerProcess
	id    model.PartitionID
	clock port.Clock
}

func (e *env) Owner(id model.PartitionID) (string, model.Epoch, bool) {
	e.cell.mu.Lock()
	defer e.cell.mu.Unlock()
	h := e.cell.owners[id]
	if h == nil {
		return "", 0, false
	}
	return h.address, h.epoch, true
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
	holders := make([]*ownerProcess, 0, len(e.cell.owners))
	for id, h := range e.cell.owners {
		if id.Kind() == kind && !h.killed {
			holders = append(holders, h)
		}
	}
	e.cell.mu.Unlock()
	var found []*peerpb.PartitionSummary
	for _, h := range holders {
		if summary := h.partition.Summary(); summary != nil {
			found = append(found, summary)
		}
	}
	return found
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

// spreadDemand tells all owners of a team's demand, with a lag.
func (c *cell) publishDemand(ctx context.Context, id model.PartitionID, owner host.Demander) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		demand := owner.Demand()
		c.mu.Lock()
		if demand != nil {
			c.demands[id] = demand
		}
		c.mu.Unlock()
	}
}

func (e *env) Peer() port.Peer { return e.cell.peers.Client(e.owner.address, nil) }

func (e *env) Clock() port.Clock { return e.clock }

// configView is the cell's configuration.
type configView cell

func (v *configView) Revision() uint64 { return 1 }

func (v *configView) Template(name model.TeamID) (model.WorkspaceTemplate, bool) {
	c := (*cell)(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	template := c.template
	template.Team = name
	if name == urgentTeam && c.urgentShare > 0 {
		template.Share = c.urgentShare
	}
	return template, true
}

func (v *configView) Teams() []model.TeamID { return []model.TeamID{testTeam} }

func (v *configView) DomainOut(domain model.FailureDomain) bool {
	c := (*cell)(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domainsOut[domain]
}

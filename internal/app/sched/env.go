// Package sched wires one balsam-sched process: membership, configuration, the
// journal and the partitions that it holds.
package sched

import (
	"context"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// listEvery is the time between reads of the VM list.
	listEvery = 300 * time.Millisecond
	// summaryTTL is how long a summary that is not renewed counts.
	summaryTTL = 2 * time.Second
)

// heardSummary is a partition's report and when it arrived.
type heardSummary struct {
	summary *peerpb.PartitionSummary
	at      time.Duration
}

// summaryCache keeps the last report of every partition.
type summaryCache struct {
	clock port.Clock

	mu      sync.RWMutex
	heard   map[model.PartitionID]heardSummary
	demands map[model.TeamID]heardDemand
}

func newSummaryCache(clock port.Clock) *summaryCache {
	return &summaryCache{
		clock:   clock,
		heard:   map[model.PartitionID]heardSummary{},
		demands: map[model.TeamID]heardDemand{},
	}
}

// heardDemand is a team's demand and when it arrived.
type heardDemand struct {
	demand *peerpb.TeamDemand
	at     time.Duration
}

// addDemands takes over demands, but none of a former owner.
func (c *summaryCache) addDemands(demands []*peerpb.TeamDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, demand := range demands {
		name := model.TeamID(demand.GetTeam())
		if known := c.demands[name].demand; known.GetEpoch() > demand.GetEpoch() {
			continue
		}
		c.demands[name] = heardDemand{demand: demand, at: now}
	}
}

// Demands returns the demands that are not too old.
func (c *summaryCache) Demands() []*peerpb.TeamDemand {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.clock.Now()
	var found []*peerpb.TeamDemand
	for _, heard := range c.demands {
		if now-heard.at < summaryTTL {
			found = append(found, heard.demand)
		}
	}
	return found
}

// add takes over reports, but none of a former holder.
func (c *summaryCache) add(summaries []*peerpb.PartitionSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, summary := range summaries {
		id := model.PartitionID(summary.GetPartition())
		if known := c.heard[id].summary; known.GetEpoch() > summary.GetEpoch() {
			continue
		}
		c.heard[id] = heardSummary{summary: summary, at: now}
	}
}

// Summaries returns the reports of a kind that are not too old.
func (c *summaryCache) Summaries(kind model.PartitionKind) []*peerpb.PartitionSummary {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.clock.Now()
	var found []*peerpb.PartitionSummary
	for id, heard := range c.heard {
		if id.Kind() == kind && now-heard.at < summaryTTL {
			found = append(found, heard.summary)
		}
	}
	return found
}

// localPeer answers calls to the process's own address without the network.
type localPeer struct {
	port.Peer
	address string
	handler port.PeerHandler
}

// Call implements port.Peer.
func (p *localPeer) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	if address == p.address {
		return p.handler.Serve(ctx, request), nil
	}
	return p.Peer.Call(ctx, address, request)
}

// env is the environment of the partitions.
type env struct {
	*summaryCache
	sched *Sched
}

var _ host.Env = env{}

// Owner implements host.Directory.
func (e env) Owner(id model.PartitionID) (string, model.Epoch, bool) {
	return e.sched.member.Owner(id)
}

// VMs implements host.Env.
func (e env) VMs() []model.VM {
	return e.sched.listed()
}

// MayAct implements host.Env.
func (e env) MayAct(id model.PartitionID, epoch model.Epoch) bool {
	return e.sched.member.MayAct(id, epoch)
}

// ActUntil implements host.Env.
func (e env) ActUntil(id model.PartitionID, epoch model.Epoch) (time.Duration, bool) {
	return e.sched.member.ActUntil(id, epoch)
}

// Config implements host.Env.
func (e env) Config() host.Config {
	return e.sched.config.Snapshot()
}

// ConfigFresh implements host.Env.
func (e env) ConfigFresh() bool {
	return e.sched.config.Fresh()
}

// Peer implements host.Env.
func (e env) Peer() port.Peer {
	return e.sched.peer
}

// Clock implements host.Env.
func (e env) Clock() port.Clock {
	return e.sched.clock
}

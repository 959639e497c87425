// Package sched wires one balsam-sched process: membership, configuration, the
// journal and the partitions that it owns.
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
	// vmListInterval is the time between reads of the VM list.
	vmListInterval = 300 * time.Millisecond
	// reportTTL is how long a received summary or demand is used.
	reportTTL = 2 * time.Second
)

// cachedSummary is a partition's summary and the time of its receipt.
type cachedSummary struct {
	summary    *peerpb.PartitionSummary
	receivedAt time.Duration
}

// reportCache stores the latest summary of each partition and the latest demand
// of each team. It is safe for concurrent use.
type reportCache struct {
	clock port.Clock

	mu        sync.RWMutex
	summaries map[model.PartitionID]cachedSummary
	demands   map[model.TeamID]cachedDemand
}

func newReportCache(clock port.Clock) *reportCache {
	return &reportCache{
		clock:     clock,
		summaries: map[model.PartitionID]cachedSummary{},
		demands:   map[model.TeamID]cachedDemand{},
	}
}

// cachedDemand is a team's demand and the time of its receipt.
type cachedDemand struct {
	demand     *peerpb.TeamDemand
	receivedAt time.Duration
}

// addDemands stores demands, except those of an older epoch than the stored one.
func (c *reportCache) addDemands(demands []*peerpb.TeamDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, demand := range demands {
		name := model.TeamID(demand.GetTeam())
		if stored := c.demands[name].demand; stored.GetEpoch() > demand.GetEpoch() {
			continue
		}
		c.demands[name] = cachedDemand{demand: demand, receivedAt: now}
	}
}

// Demands returns the demands received within reportTTL.
func (c *reportCache) Demands() []*peerpb.TeamDemand {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.clock.Now()
	var found []*peerpb.TeamDemand
	for _, cached := range c.demands {
		if now-cached.receivedAt < reportTTL {
			found = append(found, cached.demand)
		}
	}
	return found
}

// addSummaries stores summaries, except those of an older epoch than the stored one.
func (c *reportCache) addSummaries(summaries []*peerpb.PartitionSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, summary := range summaries {
		id := model.PartitionID(summary.GetPartition())
		if stored := c.summaries[id].summary; stored.GetEpoch() > summary.GetEpoch() {
			continue
		}
		c.summaries[id] = cachedSummary{summary: summary, receivedAt: now}
	}
}

// Summaries returns the summaries of a kind received within reportTTL.
func (c *reportCache) Summaries(kind model.PartitionKind) []*peerpb.PartitionSummary {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.clock.Now()
	var found []*peerpb.PartitionSummary
	for id, cached := range c.summaries {
		if id.Kind() == kind && now-cached.receivedAt < reportTTL {
			found = append(found, cached.summary)
		}
	}
	return found
}

// localPeer serves calls to the process's own address without the network.
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

// env implements the environment of the partitions.
type env struct {
	*reportCache
	sched *Sched
}

var _ host.Env = env{}

// Owner implements host.Directory.
func (e env) Owner(id model.PartitionID) (string, model.Epoch, bool) {
	return e.sched.member.Owner(id)
}

// VMs implements host.Env.
func (e env) VMs() []model.VM {
	return e.sched.listVMs()
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

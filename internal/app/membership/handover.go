package membership

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// NotHandedOver is the class of errors returned when HandoverAll does not finish
// in time.
var NotHandedOver = errs.Class("not handed over")

const handoverPollInterval = 20 * time.Millisecond

// rebalance starts the release of the partitions that the plan assigns to other
// members and of those that are no longer wanted, or of all partitions while this
// member is leaving.
func (c *controlPass) rebalance(ctx context.Context) {
	if c.leaving {
		c.startReleaseAll(ctx)
		return
	}
	c.startReleaseUnwanted(ctx)
	if len(c.expired) > 0 || c.now-c.membersChangedAt < rebalanceDelay {
		return
	}
	for p, to := range c.plan {
		_, mine := c.owned[p]
		if mine && to != c.opt.ID && len(c.releases) < maxDrains {
			c.startRelease(ctx, p, &pendingRelease{to: to})
		}
	}
}

func (c *controlPass) startReleaseAll(ctx context.Context) {
	if !c.self.Leaving {
		return // members that have not read the leaving flag may still hand over partitions to this member
	}
	for p := range c.owned {
		to := c.plan[p]
		c.startRelease(ctx, p, &pendingRelease{to: to})
	}
}

func (c *controlPass) startReleaseUnwanted(ctx context.Context) {
	if len(c.wanted) == 0 {
		return
	}
	wanted := make(map[model.PartitionID]bool, len(c.wanted))
	for _, p := range c.wanted {
		wanted[p] = true
		delete(c.unwantedSince, p)
	}
	for p := range c.owned {
		if wanted[p] {
			continue
		}
		since, ok := c.unwantedSince[p]
		if !ok {
			c.unwantedSince[p] = c.now
			continue
		}
		if c.now-since >= unwantedGrace && len(c.releases) < maxDrains {
			c.startRelease(ctx, p, &pendingRelease{forget: true})
		}
	}
}

// startRelease starts draining the partition. Once it is drained, the control loop
// sends its release.
func (c *controlPass) startRelease(ctx context.Context, p model.PartitionID, pending *pendingRelease) {
	if c.releases[p] != nil {
		return
	}
	pending.epoch = c.owned[p]
	c.releases[p] = pending
	m := c.Member
	m.drains.Go(func() { m.drain(ctx, p, pending) })
}

func (m *Member) drain(ctx context.Context, p model.PartitionID, pending *pendingRelease) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	m.opt.Drain(ctx, p, pending.epoch)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.releases[p] != pending {
		return // the partition was lost while it was drained
	}
	pending.drained = true
	m.publish()
	notify(m.wake)
}

// enqueueRelease enqueues the release of all drained partitions in one record. A
// release contains the epoch, so a duplicate has no effect.
func (c *controlPass) enqueueRelease() {
	release := &logpb.Release{Member: string(c.opt.ID)}
	for p, pending := range c.releases {
		if !pending.drained || (pending.sent && c.now-pending.sentAt < appendRetry) {
			continue
		}
		pending.sent = true
		pending.sentAt = c.now
		release.Partitions = append(release.Partitions, &logpb.ReleasedPartition{
			Partition: string(p),
			Epoch:     uint64(pending.epoch),
			To:        string(pending.to),
			Forget:    pending.forget,
		})
	}
	if len(release.GetPartitions()) > 0 {
		c.enqueue(release, nil)
	}
}

// HandoverAll drains every partition, hands it over to another member and leaves
// the cluster. Run must still be running. If the context is done first it returns
// an error of class NotHandedOver; other members take over the remaining
// partitions when the lease expires.
func (m *Member) HandoverAll(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.renew(ctx) // sends the leaving flag at once
	notify(m.wake)
	if err := m.waitUntil(ctx, func() bool { return len(m.owned) == 0 && m.selfLeaving() }); err != nil {
		return err
	}
	return m.leave(ctx)
}

// selfLeaving reports whether this member is leaving or removed in the state, or
// the state is unknown. mu must be held.
func (m *Member) selfLeaving() bool {
	state := m.state()
	if state == nil {
		return true
	}
	self, joined := state.Member(m.opt.ID)
	return !joined || self.Leaving
}

func (m *Member) leave(ctx context.Context) error {
	for {
		m.mu.Lock()
		done := m.selfRemoved()
		m.mu.Unlock()
		if done {
			return nil
		}
		record := ownership.NewRecord(newID(), &logpb.Leave{Member: string(m.opt.ID)})
		m.send(ctx, record, nil)
		attempt, cancel := context.WithTimeout(ctx, appendRetry)
		err := m.waitUntil(attempt, m.selfRemoved)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// selfRemoved reports whether this member is not in the state, or the state is
// unknown. mu must be held.
func (m *Member) selfRemoved() bool {
	state := m.state()
	if state == nil {
		return true
	}
	_, joined := state.Member(m.opt.ID)
	return !joined
}

// waitUntil polls done until it returns true or the context is done. done is
// called with the lock held.
func (m *Member) waitUntil(ctx context.Context, done func() bool) error {
	for {
		m.mu.Lock()
		ok := done()
		remaining := len(m.owned)
		m.mu.Unlock()
		if ok {
			return nil
		}
		if ctx.Err() != nil {
			return NotHandedOver.New("the member has not left the cluster; it still owns %d partitions: %w", remaining, ctx.Err())
		}
		pause.Sleep(ctx, handoverPollInterval)
	}
}

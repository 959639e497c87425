package membership

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// controlLoop joins the cluster, claims and releases partitions and writes
// checkpoints. It runs a pass after each change and at least every controlEvery.
func (m *Member) controlLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		next := m.control(ctx)
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// controlPass is one pass of the control loop.
type controlPass struct {
	*Member
	now     time.Duration
	state   *ownership.State
	self    ownership.Member
	vms     []model.VM
	wanted  []model.PartitionID
	expired map[model.MemberID]ownership.Member
	plan    ownership.Plan
	toSend  []outgoing
}

// outgoing is a record that is sent after the lock has been released.
type outgoing struct {
	record     *logpb.MembersRecord
	notStarted func() // called if the record certainly does not reach the log; may be nil
}

// control runs one pass and returns how long to wait before the next one.
func (m *Member) control(ctx context.Context) time.Duration {
	c := &controlPass{Member: m, vms: m.opt.VMs(), wanted: m.opt.Wanted()}
	c.now = m.clock.Now()
	m.mu.Lock()
	next := c.run(ctx)
	m.mu.Unlock()
	for _, o := range c.toSend {
		m.send(ctx, o.record, o.notStarted)
	}
	return next
}

func (c *controlPass) run(ctx context.Context) time.Duration {
	c.state = c.Member.state()
	if c.state == nil || c.left {
		return controlEvery
	}
	c.recordListedVMs()
	self, joined := c.state.Member(c.opt.ID)
	if !joined {
		c.join()
		return controlEvery
	}
	if !c.joinSent {
		c.removePreviousIncarnation()
		return controlEvery
	}
	c.self = self
	c.enqueueRelease()
	if !c.upToDate() {
		return controlEvery
	}
	next := c.findExpired()
	c.makePlan()
	c.claim()
	c.rebalance(ctx)
	c.writeCheckpoint()
	return next
}

// upToDate reports whether this member's lease, renewed through the log, is active
// and it has recently read to the end of the log. Only such a member treats the
// leases of others as expired, claims and rebalances partitions, and writes
// checkpoints.
func (c *controlPass) upToDate() bool {
	return c.now < c.lease.Expiry() && c.now-c.caughtUpAt < c.opt.Lease
}

func (c *controlPass) enqueue(body any, notStarted func()) string {
	id := newID()
	c.toSend = append(c.toSend, outgoing{ownership.NewRecord(id, body), notStarted})
	return id
}

func (c *controlPass) join() {
	if c.leaving || (c.joinSent && c.now-c.joinSentAt < appendRetry) {
		return
	}
	c.joinSent = true
	c.joinSentAt = c.now
	id := c.enqueue(&logpb.Join{
		Member:        string(c.opt.ID),
		Address:       c.opt.Address,
		FailureDomain: string(c.opt.Domain),
	}, nil)
	c.lease.RenewalSent(id, c.now)
}

// removePreviousIncarnation removes the member that an earlier process registered
// under this id, once its lease has expired. Its membership cannot be continued,
// because the promises and claims of that process are unknown here.
func (c *controlPass) removePreviousIncarnation() {
	if !c.leases.Expired(c.opt.ID, c.now) || (c.joinSentAt > 0 && c.now-c.joinSentAt < appendRetry) {
		return
	}
	c.joinSentAt = c.now
	c.logger.Warn("member id is registered by an earlier process; removing the earlier member")
	c.enqueue(&logpb.Leave{Member: string(c.opt.ID)}, nil)
}

// findExpired collects the members whose lease has expired and returns how long
// to wait until the next lease may expire, at most controlEvery.
func (c *controlPass) findExpired() time.Duration {
	next := controlEvery
	c.expired = make(map[model.MemberID]ownership.Member)
	for _, other := range c.state.Members() {
		if other.ID == c.opt.ID {
			continue
		}
		if at := c.leases.ExpiresAt(other.ID, c.now); at > c.now {
			next = min(next, at-c.now)
			continue
		}
		c.expired[other.ID] = other
	}
	return next
}

// eligible returns the members that can be assigned partitions.
func (c *controlPass) eligible() []ownership.Member {
	var eligible []ownership.Member
	for _, other := range c.state.Members() {
		if _, expired := c.expired[other.ID]; expired || other.Leaving {
			continue
		}
		if other.ID == c.opt.ID && c.leaving {
			continue
		}
		eligible = append(eligible, other)
	}
	return eligible
}

func (c *controlPass) makePlan() {
	partitions := append(c.state.Partitions(), c.wanted...)
	c.plan = ownership.MakePlan(partitions, c.eligible(), func(p model.PartitionID) model.MemberID {
		return c.state.Assignment(p).Owner
	})
}

// claim claims the partitions that the plan assigns to this member and that have
// no owner with an unexpired lease, and removes expired members.
func (c *controlPass) claim() {
	c.promises.Prune(c.state, c.now)
	claim := &logpb.Claim{Member: string(c.opt.ID), Joined: c.self.Joined}
	for p, to := range c.plan {
		if to == c.opt.ID && c.claimable(p) {
			c.claimSentAt[p] = c.now
			claim.Partitions = append(claim.Partitions, c.partitionClaim(p))
		}
	}
	for id, other := range c.expired {
		if c.removable(other, len(claim.GetPartitions()) > 0) {
			c.removalSentAt[id] = c.now
			removals.Inc()
			expired := &logpb.LapsedMember{Member: string(id), Renewal: other.Renewed}
			claim.Lapsed = append(claim.Lapsed, expired)
		}
	}
	c.enqueueClaim(claim)
}

func (c *controlPass) claimable(p model.PartitionID) bool {
	a := c.state.Assignment(p)
	if a.Owner != "" {
		owner, expired := c.expired[a.Owner]
		if !expired || !c.mayTakeOver(owner) {
			return false
		}
	}
	if at, ok := c.claimSentAt[p]; ok && c.now-at < appendRetry && c.promises.ClaimPending(p) {
		return false
	}
	return !c.promises.BlocksClaim(p, c.now)
}

func (c *controlPass) partitionClaim(p model.PartitionID) *logpb.PartitionClaim {
	a := c.state.Assignment(p)
	owner, _ := c.state.Member(a.Owner)
	return &logpb.PartitionClaim{
		Partition:     string(p),
		Epoch:         uint64(a.Epoch),
		Holder:        string(a.Owner),
		HolderRenewal: owner.Renewed,
	}
}

// mayTakeOver reports whether the expired owner's lease certainly cannot be
// extended without a promise of this member: this member is in the owner's view,
// or the owner's process has ended. BlocksClaim and BlocksRemoval cover the
// promises that this member has granted.
func (c *controlPass) mayTakeOver(owner ownership.Member) bool {
	return ownership.InView(owner, c.self) ||
		owner.Address == c.opt.Address ||
		c.replaced[owner.ID] ||
		c.vmEnded(owner)
}

// removable reports whether this member should remove the expired one. It does so
// along with a claim, or if it has the lowest id of the eligible members
// that may do so; the others do so only appendRetry after the lease has expired.
func (c *controlPass) removable(other ownership.Member, claiming bool) bool {
	if !c.mayTakeOver(other) || c.promises.BlocksRemoval(other.ID, c.now) {
		return false
	}
	if at, ok := c.removalSentAt[other.ID]; ok && c.now-at < appendRetry {
		return false
	}
	if claiming {
		return true
	}
	for _, m := range c.eligible() {
		if m.ID < c.opt.ID && ownership.InView(other, m) {
			fallbackAt := c.leases.ExpiresAt(other.ID, c.now) + appendRetry
			return c.now >= fallbackAt
		}
	}
	return true
}

// enqueueClaim enqueues the claim in chunks. The log may receive them in any
// order, since a claim stays valid after the removal of the previous owner.
func (c *controlPass) enqueueClaim(claim *logpb.Claim) {
	partitions := claim.GetPartitions()
	for len(partitions) > claimChunkSize {
		c.enqueueClaimChunk(&logpb.Claim{
			Member:     claim.GetMember(),
			Joined:     claim.GetJoined(),
			Partitions: partitions[:claimChunkSize],
		})
		partitions = partitions[claimChunkSize:]
	}
	claim.Partitions = partitions
	if len(partitions) > 0 || len(claim.GetLapsed()) > 0 {
		c.enqueueClaimChunk(claim)
	}
}

func (c *controlPass) enqueueClaimChunk(claim *logpb.Claim) {
	var id string
	m := c.Member
	id = c.enqueue(claim, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.promises.ClaimSettled(id)
	})
	c.promises.ClaimSent(id, claim)
}

// writeCheckpoint writes a checkpoint if this member owns the system partition
// and one is due. Checkpoints must stay well within the log's retention.
func (c *controlPass) writeCheckpoint() {
	epoch, isOwner := c.owned[model.SystemPartition]
	if !isOwner {
		return
	}
	latest := max(c.checkpointRead, c.checkpointSent)
	fresh := latest > uint64(epoch) && c.now-c.checkpointSentAt < checkpointEvery
	if fresh && c.state.Next()-latest < checkpointRecords {
		return
	}
	if c.checkpointSentAt > 0 && c.now-c.checkpointSentAt < appendRetry {
		return
	}
	c.checkpointSentAt = c.now
	c.checkpointSent = c.state.Next()
	c.enqueue(c.state.Checkpoint(), nil)
}

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
	notStarted func()
}

// control runs one pass and returns how long to wait before the next one.
func (m *Member) control(ctx context.Context) time.Duration {
	t := &controlPass{Member: m, vms: m.opt.VMs(), wanted: m.opt.Wanted()}
	t.now = m.clock.Now()
	m.mu.Lock()
	next := t.run(ctx)
	m.mu.Unlock()
	for _, o := range t.toSend {
		m.send(ctx, o.record, o.notStarted)
	}
	return next
}

func (t *controlPass) run(ctx context.Context) time.Duration {
	t.state = t.Member.state()
	if t.state == nil || t.left {
		return controlEvery
	}
	t.recordListedVMs()
	self, joined := t.state.Member(t.opt.ID)
	if !joined {
		t.join()
		return controlEvery
	}
	if !t.joinSent {
		t.removePreviousIncarnation()
		return controlEvery
	}
	t.self = self
	t.release()
	if !t.upToDate() {
		return controlEvery
	}
	next := t.findExpired()
	t.makePlan()
	t.claim()
	t.rebalance(ctx)
	t.writeCheckpoint()
	return next
}

// upToDate reports whether this member holds its lease through the log and has
// recently read to the end of the log. Only such a member judges the leases of
// others, claims and rebalances partitions, and writes checkpoints.
func (t *controlPass) upToDate() bool {
	return t.now < t.lease.Expiry() && t.now-t.caughtUpAt < t.opt.Lease
}

func (t *controlPass) enqueue(body any, notStarted func()) string {
	id := newID()
	t.toSend = append(t.toSend, outgoing{ownership.NewRecord(id, body), notStarted})
	return id
}

func (t *controlPass) join() {
	if t.leaving || (t.joinSent && t.now-t.joinSentAt < appendRetry) {
		return
	}
	t.joinSent = true
	t.joinSentAt = t.now
	id := t.enqueue(&logpb.Join{
		Member:        string(t.opt.ID),
		Address:       t.opt.Address,
		FailureDomain: string(t.opt.Domain),
	}, nil)
	t.lease.RenewalSent(id, t.now)
}

// removePreviousIncarnation removes the member that another process joined under
// the same id, once its lease has expired. Its membership cannot be continued,
// because the promises and claims of the ended process are unknown here.
func (t *controlPass) removePreviousIncarnation() {
	if !t.leases.Expired(t.opt.ID, t.now) || (t.joinSentAt > 0 && t.now-t.joinSentAt < appendRetry) {
		return
	}
	t.joinSentAt = t.now
	t.logger.Warn("member id was used by another process, ids must not be reused; removing the old member")
	t.enqueue(&logpb.Leave{Member: string(t.opt.ID)}, nil)
}

// findExpired collects the members whose lease has expired and returns how long
// to wait until the next lease may expire, at most controlEvery.
func (t *controlPass) findExpired() time.Duration {
	next := controlEvery
	t.expired = make(map[model.MemberID]ownership.Member)
	for _, other := range t.state.Members() {
		if other.ID == t.opt.ID {
			continue
		}
		if at := t.leases.ExpiresAt(other.ID, t.now); at > t.now {
			next = min(next, at-t.now)
			continue
		}
		t.expired[other.ID] = other
	}
	return next
}

// eligible returns the members that can be assigned partitions.
func (t *controlPass) eligible() []ownership.Member {
	var eligible []ownership.Member
	for _, other := range t.state.Members() {
		if _, expired := t.expired[other.ID]; expired || other.Leaving {
			continue
		}
		if other.ID == t.opt.ID && t.leaving {
			continue
		}
		eligible = append(eligible, other)
	}
	return eligible
}

func (t *controlPass) makePlan() {
	partitions := append(t.state.Partitions(), t.wanted...)
	t.plan = ownership.MakePlan(partitions, t.eligible(), func(p model.PartitionID) model.MemberID {
		return t.state.Assignment(p).Owner
	})
}

// claim claims the partitions that the plan assigns to this member and that have
// no owner with an unexpired lease, and removes expired members.
func (t *controlPass) claim() {
	t.promises.Prune(t.state, t.now)
	claim := &logpb.Claim{Member: string(t.opt.ID), Joined: t.self.Joined}
	for p, to := range t.plan {
		if to == t.opt.ID && t.claimable(p) {
			t.claimSentAt[p] = t.now
			claim.Partitions = append(claim.Partitions, t.partitionClaim(p))
		}
	}
	for id, other := range t.expired {
		if t.removable(other, len(claim.GetPartitions()) > 0) {
			t.removalSentAt[id] = t.now
			removals.Inc()
			expired := &logpb.LapsedMember{Member: string(id), Renewal: other.Renewed}
			claim.Lapsed = append(claim.Lapsed, expired)
		}
	}
	t.enqueueClaim(claim)
}

func (t *controlPass) claimable(p model.PartitionID) bool {
	h := t.state.Assignment(p)
	if h.Owner != "" {
		owner, expired := t.expired[h.Owner]
		if !expired || !t.mayTakeOver(owner) {
			return false
		}
	}
	if at, ok := t.claimSentAt[p]; ok && t.now-at < appendRetry && t.promises.ClaimPending(p) {
		return false
	}
	return !t.promises.BlocksClaim(p, t.now)
}

func (t *controlPass) partitionClaim(p model.PartitionID) *logpb.PartitionClaim {
	h := t.state.Assignment(p)
	owner, _ := t.state.Member(h.Owner)
	return &logpb.PartitionClaim{
		Partition:     string(p),
		Epoch:         uint64(h.Epoch),
		Holder:        string(h.Owner),
		HolderRenewal: owner.Renewed,
	}
}

// mayTakeOver reports whether the expired owner certainly does not act on
// promises: it would need the promise of this member, or its process has ended.
func (t *controlPass) mayTakeOver(owner ownership.Member) bool {
	return ownership.InView(owner, t.self) ||
		owner.Address == t.opt.Address ||
		t.replaced[owner.ID] ||
		t.vmEnded(owner)
}

// removable reports whether this member should remove the expired one. It does so
// along with a claim, or if it has the lowest id of the eligible members
// that may do so; the others wait for another appendRetry.
func (t *controlPass) removable(other ownership.Member, claiming bool) bool {
	if !t.mayTakeOver(other) || t.promises.BlocksRemoval(other.ID, t.now) {
		return false
	}
	if at, ok := t.removalSentAt[other.ID]; ok && t.now-at < appendRetry {
		return false
	}
	if claiming {
		return true
	}
	for _, m := range t.eligible() {
		if m.ID < t.opt.ID && ownership.InView(other, m) {
			fallbackAt := t.leases.ExpiresAt(other.ID, t.now) + appendRetry
			return t.now >= fallbackAt
		}
	}
	return true
}

// enqueueClaim enqueues the claim in chunks. The log may receive them in any
// order, since a claim stays valid after the removal of the previous owner.
func (t *controlPass) enqueueClaim(claim *logpb.Claim) {
	partitions := claim.GetPartitions()
	for len(partitions) > claimChunkSize {
		t.enqueueClaimChunk(&logpb.Claim{
			Member:     claim.GetMember(),
			Joined:     claim.GetJoined(),
			Partitions: partitions[:claimChunkSize],
		})
		partitions = partitions[claimChunkSize:]
	}
	claim.Partitions = partitions
	if len(partitions) > 0 || len(claim.GetLapsed()) > 0 {
		t.enqueueClaimChunk(claim)
	}
}

func (t *controlPass) enqueueClaimChunk(claim *logpb.Claim) {
	var id string
	m := t.Member
	id = t.enqueue(claim, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.promises.ClaimSettled(id)
	})
	t.promises.ClaimSent(id, claim)
}

// writeCheckpoint writes a checkpoint if this member owns the system partition
// and one is due. Checkpoints must stay well within the log's retention.
func (t *controlPass) writeCheckpoint() {
	epoch, holds := t.held[model.SystemPartition]
	if !holds {
		return
	}
	latest := max(t.checkpointRead, t.checkpointSent)
	fresh := latest > uint64(epoch) && t.now-t.checkpointSentAt < checkpointEvery
	if fresh && t.state.Next()-latest < checkpointRecords {
		return
	}
	if t.checkpointSentAt > 0 && t.now-t.checkpointSentAt < appendRetry {
		return
	}
	t.checkpointSentAt = t.now
	t.checkpointSent = t.state.Next()
	t.enqueue(t.state.Checkpoint(), nil)
}

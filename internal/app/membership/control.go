package membership

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// controlLoop joins, claims, gives up and checkpoints, whenever something
// changed and at least every controlEvery.
func (m *Member) controlLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		next := m.control(ctx)
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-m.kick:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// turn is one pass of the control loop.
type turn struct {
	*Member
	now    time.Duration
	state  *ownership.State
	self   ownership.Member
	vms    []model.VM
	wanted []model.PartitionID
	lapsed map[model.MemberID]ownership.Member
	plan   ownership.Plan
	out    []outgoing
}

// outgoing is a record to be sent once the lock is free.
type outgoing struct {
	record     *logpb.MembersRecord
	notStarted func()
}

// control does one pass and returns how long to wait for the next.
func (m *Member) control(ctx context.Context) time.Duration {
	t := &turn{Member: m, vms: m.opt.VMs(), wanted: m.opt.Wanted()}
	t.now = m.clock.Now()
	m.mu.Lock()
	next := t.pass(ctx)
	m.mu.Unlock()
	for _, o := range t.out {
		m.send(ctx, o.record, o.notStarted)
	}
	return next
}

func (t *turn) pass(ctx context.Context) time.Duration {
	t.state = t.Member.state()
	if t.state == nil || t.left {
		return controlEvery
	}
	t.noteVMs()
	self, joined := t.state.Member(t.opt.ID)
	if !joined {
		t.join()
		return controlEvery
	}
	if !t.ours {
		t.removePredecessor()
		return controlEvery
	}
	t.self = self
	t.release()
	if !t.current() {
		return controlEvery
	}
	next := t.findLapsed()
	t.makePlan()
	t.claim()
	t.rebalance(ctx)
	t.writeCheckpoint()
	return next
}

// current reports whether this member holds its lease through the log and has
// lately read up to the log's end. Others decide by the log only then.
func (t *turn) current() bool {
	return t.now < t.lease.Expiry() && t.now-t.readEnd < t.opt.Lease
}

func (t *turn) emit(body any, notStarted func()) string {
	id := newID()
	t.out = append(t.out, outgoing{ownership.NewRecord(id, body), notStarted})
	return id
}

func (t *turn) join() {
	if t.leaving || (t.ours && t.now-t.joinSent < appendRetry) {
		return
	}
	t.ours = true
	t.joinSent = t.now
	id := t.emit(&logpb.Join{
		Member:        string(t.opt.ID),
		Address:       t.opt.Address,
		FailureDomain: string(t.opt.Domain),
	}, nil)
	t.lease.RenewalSent(id, t.now)
}

// removePredecessor removes the member of this process's id that it did not
// join as. An ended process's promises and claims are not known here, so its
// membership cannot be continued.
func (t *turn) removePredecessor() {
	if !t.watch.Expired(t.opt.ID, t.now) || (t.joinSent > 0 && t.now-t.joinSent < appendRetry) {
		return
	}
	t.joinSent = t.now
	t.logger.Warn("the member id was used before; ids must not be reused")
	t.emit(&logpb.Leave{Member: string(t.opt.ID)}, nil)
}

// findLapsed collects the members whose lease has run out and returns when
// the next one may.
func (t *turn) findLapsed() time.Duration {
	next := controlEvery
	t.lapsed = make(map[model.MemberID]ownership.Member)
	for _, other := range t.state.Members() {
		if other.ID == t.opt.ID {
			continue
		}
		if at := t.watch.ExpiresAt(other.ID, t.now); at > t.now {
			next = min(next, at-t.now)
			continue
		}
		t.lapsed[other.ID] = other
	}
	return next
}

// live returns the members that can take partitions.
func (t *turn) live() []ownership.Member {
	var live []ownership.Member
	for _, other := range t.state.Members() {
		if _, lapsed := t.lapsed[other.ID]; lapsed || other.Leaving {
			continue
		}
		if other.ID == t.opt.ID && t.leaving {
			continue
		}
		live = append(live, other)
	}
	return live
}

func (t *turn) makePlan() {
	partitions := append(t.state.Partitions(), t.wanted...)
	t.plan = ownership.MakePlan(partitions, t.live(), func(p model.PartitionID) model.MemberID {
		return t.state.Assignment(p).Owner
	})
}

// claim takes what the plan gives to this member and nobody holds any more.
func (t *turn) claim() {
	t.promises.Prune(t.state, t.now)
	claim := &logpb.Claim{Member: string(t.opt.ID), Joined: t.self.Joined}
	for p, to := range t.plan {
		if to == t.opt.ID && t.claimable(p) {
			t.claimed[p] = t.now
			claim.Partitions = append(claim.Partitions, t.partitionClaim(p))
		}
	}
	for id, other := range t.lapsed {
		if t.removable(other, len(claim.GetPartitions()) > 0) {
			t.removed[id] = t.now
			removals.Inc()
			lapsed := &logpb.LapsedMember{Member: string(id), Renewal: other.Renewed}
			claim.Lapsed = append(claim.Lapsed, lapsed)
		}
	}
	t.emitClaim(claim)
}

func (t *turn) claimable(p model.PartitionID) bool {
	h := t.state.Assignment(p)
	if h.Owner != "" {
		holder, lapsed := t.lapsed[h.Owner]
		if !lapsed || !t.mayTakeFrom(holder) {
			return false
		}
	}
	if at, ok := t.claimed[p]; ok && t.now-at < appendRetry && t.promises.ClaimPending(p) {
		return false
	}
	return !t.promises.BlocksClaim(p, t.now)
}

func (t *turn) partitionClaim(p model.PartitionID) *logpb.PartitionClaim {
	h := t.state.Assignment(p)
	holder, _ := t.state.Member(h.Owner)
	return &logpb.PartitionClaim{
		Partition:     string(p),
		Epoch:         uint64(h.Epoch),
		Holder:        string(h.Owner),
		HolderRenewal: holder.Renewed,
	}
}

// mayTakeFrom reports whether the lapsed holder cannot be acting on promises
// of others: either it would need this member's, or it has certainly ended.
func (t *turn) mayTakeFrom(holder ownership.Member) bool {
	return ownership.InView(holder, t.self) ||
		holder.Address == t.opt.Address ||
		t.gone[holder.ID] ||
		t.unlisted(holder)
}

// removable reports whether this member is to remove the lapsed one: along
// with a claim, or else if it is the first that may.
func (t *turn) removable(other ownership.Member, claiming bool) bool {
	if !t.mayTakeFrom(other) || t.promises.BlocksRemoval(other.ID, t.now) {
		return false
	}
	if at, ok := t.removed[other.ID]; ok && t.now-at < appendRetry {
		return false
	}
	if claiming {
		return true
	}
	for _, m := range t.live() {
		if m.ID < t.opt.ID && ownership.InView(other, m) {
			late := t.watch.ExpiresAt(other.ID, t.now) + appendRetry
			return t.now >= late
		}
	}
	return true
}

// emitClaim sends the claim in chunks. They may land in any order: a claim
// stands as well after its holder's removal.
func (t *turn) emitClaim(claim *logpb.Claim) {
	partitions := claim.GetPartitions()
	for len(partitions) > claimChunk {
		t.emitChunk(&logpb.Claim{
			Member:     claim.GetMember(),
			Joined:     claim.GetJoined(),
			Partitions: partitions[:claimChunk],
		})
		partitions = partitions[claimChunk:]
	}
	claim.Partitions = partitions
	if len(partitions) > 0 || len(claim.GetLapsed()) > 0 {
		t.emitChunk(claim)
	}
}

func (t *turn) emitChunk(claim *logpb.Claim) {
	var id string
	m := t.Member
	id = t.emit(claim, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.promises.ClaimRead(id)
	})
	t.promises.ClaimSent(id, claim)
}

// writeCheckpoint keeps a checkpoint well within the log's retention.
func (t *turn) writeCheckpoint() {
	epoch, holds := t.held[model.SystemPartition]
	if !holds {
		return
	}
	newest := max(t.checkpoint, t.ckptNext)
	fresh := newest > uint64(epoch) && t.now-t.ckptSent < checkpointEvery
	if fresh && t.state.Next()-newest < checkpointAfter {
		return
	}
	if t.ckptSent > 0 && t.now-t.ckptSent < appendRetry {
		return
	}
	t.ckptSent = t.now
	t.ckptNext = t.state.Next()
	t.emit(t.state.Checkpoint(), nil)
}

package membership

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"golang.org/x/sync/errgroup"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Member is this process's membership in the cluster. It is safe for concurrent
// use.
type Member struct {
	*follower
	opt       Options
	events    *eventQueue
	wake      chan struct{}                 // wakes the control loop
	published atomic.Pointer[leaseSnapshot] // read by MayAct and ActUntil
	appends   *ants.Pool                    // runs appends
	drains    sync.WaitGroup

	promised bool // the last round of promises succeeded; used only by outageLoop

	// The follower's mu guards everything below.
	lease            *ownership.Lease
	promises         *ownership.Promises
	extension        ownership.Extension
	owned            ownership.OwnedPartitions
	releases         map[model.PartitionID]*pendingRelease
	claimSentAt      map[model.PartitionID]time.Duration // when a claim was last sent
	removalSentAt    map[model.MemberID]time.Duration    // when a removal was last sent
	unwantedSince    map[model.PartitionID]time.Duration // first pass in which the partition was not wanted
	replaced         map[model.MemberID]bool             // another process answered at the member's address
	everListed       map[model.MemberID]bool             // the VM list has contained the member's VM
	membersChangedAt time.Duration                       // when a member last joined, left or started leaving
	membersChanged   bool                                // set membersChangedAt at the end of the read
	joinSent         bool                                // this process has sent a Join
	joinSentAt       time.Duration                       // of the last Join, or Leave of the previous incarnation
	checkpointSentAt time.Duration
	checkpointSent   uint64 // next offset of the last checkpoint sent
	leaving          bool
	left             bool
}

// pendingRelease is an owned partition that is being released.
type pendingRelease struct {
	epoch   model.Epoch
	to      model.MemberID // next owner; empty for none
	forget  bool           // the partition is no longer wanted; its release deletes it from the state
	drained bool           // this member no longer acts for the partition
	sentAt  time.Duration  // when the release was last sent
	sent    bool
}

// leaseSnapshot is the immutable state that MayAct and ActUntil read.
type leaseSnapshot struct {
	owned     ownership.OwnedPartitions // without drained partitions
	logExpiry time.Duration
	extension ownership.Extension
}

// New returns a member that joins the cluster when Run is called.
func New(opt Options) *Member {
	opt.setDefaults()
	m := &Member{
		opt:           opt,
		events:        newEventQueue(),
		wake:          make(chan struct{}, 1),
		lease:         ownership.NewLease(opt.Lease),
		promises:      ownership.NewPromises(),
		owned:         make(ownership.OwnedPartitions),
		releases:      make(map[model.PartitionID]*pendingRelease),
		claimSentAt:   make(map[model.PartitionID]time.Duration),
		removalSentAt: make(map[model.MemberID]time.Duration),
		unwantedSince: make(map[model.PartitionID]time.Duration),
		replaced:      make(map[model.MemberID]bool),
		everListed:    make(map[model.MemberID]bool),
	}
	t := leaseTiming{opt.Lease, opt.RenewEvery, opt.DriftMargin}
	m.follower = newFollower(opt.Log, opt.Clock, opt.Logger, t, m)
	m.published.Store(&leaseSnapshot{})
	return m
}

// Run runs the member until the context is done and then returns nil. It may be
// called once. Call HandoverAll before the context is done to hand over all
// partitions.
func (m *Member) Run(ctx context.Context) error {
	appends, err := ants.NewPool(maxAppendsInFlight, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	defer appends.Release()
	m.appends = appends
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.follow(ctx) })
	group.Go(func() error { return m.renewLoop(ctx) })
	group.Go(func() error { return m.controlLoop(ctx) })
	group.Go(func() error { return m.outageLoop(ctx) })
	group.Go(func() error { return m.events.run(ctx, m.handleEvent) })
	err = group.Wait()
	m.drains.Wait()
	return err
}

func (m *Member) handleEvent(e ownershipEvent) {
	log := m.logger.WithField("partition", e.partition).WithField("epoch", e.epoch)
	if e.acquired {
		acquisitions.Inc()
		log.Debug("partition acquired")
		m.opt.Acquired(e.partition, e.epoch)
		return
	}
	log.Debug("partition lost")
	m.opt.Lost(e.partition, e.epoch)
}

// Owner returns the peer address of the partition's owner and the epoch of the
// assignment, as last read from the log. ok is false if there is no owner.
func (m *Member) Owner(p model.PartitionID) (address string, epoch model.Epoch, ok bool) {
	return m.dir.get(p)
}

// Members returns all members as last read from the log, sorted by id.
func (m *Member) Members() []Info { return m.infos(m.clock.Now()) }

// MayAct reports whether this member owns the partition under the epoch and its
// lease has not expired. Call it immediately before each effect.
func (m *Member) MayAct(p model.PartitionID, e model.Epoch) bool {
	_, ok := m.ActUntil(p, e)
	return ok
}

// ActUntil returns the reading of this member's clock from which on it may no
// longer act; ok is the result of MayAct. If an effect carries the reading as a
// deadline and its target rejects it after the deadline, no effect of a previous
// owner is accepted, however long this process pauses after the call.
func (m *Member) ActUntil(p model.PartitionID, e model.Epoch) (until time.Duration, ok bool) {
	// Load the snapshot before reading the clock, so that a pause in between
	// results in false rather than in an outdated true.
	snapshot := m.published.Load()
	if owned, ok := snapshot.owned[p]; !ok || owned != e {
		return 0, false
	}
	until = max(snapshot.logExpiry, snapshot.extension.Expiry(p, e))
	return until, m.clock.Now() < until
}

// Ready reports whether the process has joined, is not leaving, and its lease,
// renewed through the log or extended by promises, has not expired.
func (m *Member) Ready() bool {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.state()
	if state == nil || m.leaving {
		return false
	}
	_, joined := state.Member(m.opt.ID)
	return joined && (now < m.lease.Expiry() || m.extensionActive(now))
}

// extensionActive reports whether promises extend the lease at now.
func (m *Member) extensionActive(now time.Duration) bool {
	for p, e := range m.owned {
		return now < m.extension.Expiry(p, e)
	}
	return false
}

func (m *Member) onRecord(record *logpb.MembersRecord, change ownership.Change, now time.Duration) {
	m.applyOwnRecord(record, now)
	if change.Joined != "" && change.Joined != m.opt.ID {
		m.extension.Invalidate()
	}
	if change.MembersChanged {
		m.membersChanged = true
	}
	for _, p := range change.Partitions {
		m.reconcile(p)
	}
	if change.MembersChanged || len(change.Partitions) > 0 {
		m.publish()
		notify(m.wake)
	}
}

// applyOwnRecord records which of this member's own records have reached the log.
func (m *Member) applyOwnRecord(record *logpb.MembersRecord, now time.Duration) {
	switch body := record.GetBody().(type) {
	case *logpb.MembersRecord_Renewal:
		m.ownRenewalRead(record.GetId(), body.Renewal.GetMember(), now)
	case *logpb.MembersRecord_Join:
		m.ownRenewalRead(record.GetId(), body.Join.GetMember(), now)
	case *logpb.MembersRecord_Claim:
		m.promises.ClaimSettled(record.GetId())
	case *logpb.MembersRecord_Leave:
		m.left = m.left || (m.leaving && body.Leave.GetMember() == string(m.opt.ID))
	}
}

func (m *Member) ownRenewalRead(record, member string, now time.Duration) {
	if member != string(m.opt.ID) {
		return
	}
	sentAt, ok := m.lease.RenewalRead(record)
	if !ok {
		return
	}
	renewalSeconds.Update((now - sentAt).Seconds())
	m.extension.LeaseRenewed()
	m.publish()
}

func (m *Member) onRebuilt() {
	m.extension.Invalidate()
	m.membersChanged = true
	state := m.state()
	for p := range m.owned {
		m.reconcile(p)
	}
	for p := range state.OwnedBy(m.opt.ID) {
		m.reconcile(p)
	}
	m.publish()
	notify(m.wake)
}

func (m *Member) onRead(now time.Duration) {
	if m.membersChanged {
		m.membersChangedAt = now
		m.membersChanged = false
	}
}

// reconcile updates owned for the partition's current assignment and queues the
// events of a loss or an acquisition.
func (m *Member) reconcile(p model.PartitionID) {
	a := m.state().Assignment(p)
	mine := m.joinSent && a.Owner == m.opt.ID
	epoch, wasOwned := m.owned[p]
	if wasOwned && (!mine || a.Epoch != epoch) {
		delete(m.owned, p)
		delete(m.releases, p)
		delete(m.unwantedSince, p)
		m.events.push(ownershipEvent{p, epoch, false})
		wasOwned = false
	}
	if mine && !wasOwned {
		m.owned[p] = a.Epoch
		m.events.push(ownershipEvent{p, a.Epoch, true})
	}
}

// publish makes the current state visible to MayAct and ActUntil.
func (m *Member) publish() {
	snapshot := &leaseSnapshot{
		owned:     maps.Clone(m.owned),
		logExpiry: m.lease.Expiry(),
		extension: m.extension,
	}
	for p, r := range m.releases {
		if r.drained {
			delete(snapshot.owned, p)
		}
	}
	m.published.Store(snapshot)
}

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

// Member is this process's membership of the cluster. It is safe for
// concurrent use.
type Member struct {
	*follower
	opt    Options
	events *eventQueue
	kick   chan struct{} // wakes the control loop
	acts   atomic.Pointer[actView]
	tasks  *ants.Pool // appends in flight
	drains sync.WaitGroup

	promised bool // the last round of promises succeeded; of the outage loop

	// The follower's mu guards everything below.
	lease     *ownership.Lease
	promises  *ownership.Promises
	extension ownership.Extension
	held      ownership.Held
	tenures   map[model.PartitionID]*tenure
	claimed   map[model.PartitionID]time.Duration // when a claim was last sent
	removed   map[model.MemberID]time.Duration    // when a removal was last sent
	unwanted  map[model.PartitionID]time.Duration // since when nobody wants it
	gone      map[model.MemberID]bool             // another process answers at the address
	seen      map[model.MemberID]bool             // the VM list has named the VM
	changed   time.Duration                       // when the set of members last changed
	stale     bool                                // changed is to be set at the end of the read
	ours      bool                                // a Join of this process, not of one before it, was sent
	joinSent  time.Duration
	ckptSent  time.Duration
	ckptNext  uint64 // Next of the last checkpoint sent
	leaving   bool
	left      bool
}

// tenure is what becomes of a held partition that is to be given up.
type tenure struct {
	epoch    model.Epoch
	to       model.MemberID // next holder; empty for none
	forget   bool
	released bool          // this member acts for it no more
	sentAt   time.Duration // when the release was last sent
	sent     bool
}

// actView is what MayAct reads. It is immutable.
type actView struct {
	held      ownership.Held // without released partitions
	logUntil  time.Duration
	extension ownership.Extension
}

// New returns a member that joins once Run is called.
func New(opt Options) *Member {
	opt.setDefaults()
	m := &Member{
		opt:      opt,
		events:   newEventQueue(),
		kick:     make(chan struct{}, 1),
		lease:    ownership.NewLease(opt.Lease),
		promises: ownership.NewPromises(),
		held:     make(ownership.Held),
		tenures:  make(map[model.PartitionID]*tenure),
		claimed:  make(map[model.PartitionID]time.Duration),
		removed:  make(map[model.MemberID]time.Duration),
		unwanted: make(map[model.PartitionID]time.Duration),
		gone:     make(map[model.MemberID]bool),
		seen:     make(map[model.MemberID]bool),
	}
	t := timing{opt.Lease, opt.RenewEvery, opt.DriftMargin}
	m.follower = newFollower(opt.Log, opt.Clock, opt.Logger, t, m)
	m.acts.Store(&actView{})
	return m
}

// Run takes part in the cluster until the context ends; it returns nil then.
// It may be called once. An orderly exit calls HandoverAll first.
func (m *Member) Run(ctx context.Context) error {
	tasks, err := ants.NewPool(appendsAtOnce, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	defer tasks.Release()
	m.tasks = tasks
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.follow(ctx) })
	group.Go(func() error { return m.renewLoop(ctx) })
	group.Go(func() error { return m.controlLoop(ctx) })
	group.Go(func() error { return m.outageLoop(ctx) })
	group.Go(func() error { return m.events.run(ctx, m.tell) })
	err = group.Wait()
	m.drains.Wait()
	return err
}

func (m *Member) tell(e tenureEvent) {
	log := m.logger.WithField("partition", e.partition).WithField("epoch", e.epoch)
	if e.acquired {
		tenures.Inc()
		log.Debug("partition acquired")
		m.opt.Acquired(e.partition, e.epoch)
		return
	}
	log.Debug("partition lost")
	m.opt.Lost(e.partition, e.epoch)
}

// Owner returns the peer address of the partition's holder and the epoch of
// its claim, as last read.
func (m *Member) Owner(p model.PartitionID) (address string, epoch model.Epoch, ok bool) {
	return m.dir.get(p)
}

// Members describes all members as last read, sorted by id.
func (m *Member) Members() []Info { return m.infos(m.clock.Now()) }

// MayAct reports whether this member holds the partition under the epoch and
// its lease still runs. It is checked right before each effect.
func (m *Member) MayAct(p model.PartitionID, e model.Epoch) bool {
	_, ok := m.ActUntil(p, e)
	return ok
}

// ActUntil is MayAct and returns besides the reading of this member's clock
// from which on it may no longer act. An effect that carries it as a deadline
// and is refused by its target later than that cannot come from a former
// owner, however long this process pauses after the call.
func (m *Member) ActUntil(p model.PartitionID, e model.Epoch) (until time.Duration, ok bool) {
	// The view is loaded before the clock is read: a pause in between then
	// makes the answer no, not a late yes.
	view := m.acts.Load()
	if held, ok := view.held[p]; !ok || held != e {
		return 0, false
	}
	until = max(view.logUntil, view.extension.Expiry(p, e))
	return until, m.clock.Now() < until
}

// Ready reports whether the process has joined and its lease on the log or on
// the promises of others still runs.
func (m *Member) Ready() bool {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.state()
	if state == nil || m.leaving {
		return false
	}
	_, joined := state.Member(m.opt.ID)
	return joined && (now < m.lease.Expiry() || m.extended(now))
}

// extended reports whether promises stand in for the log.
func (m *Member) extended(now time.Duration) bool {
	for p, e := range m.held {
		return now < m.extension.Expiry(p, e)
	}
	return false
}

func (m *Member) onRecord(record *logpb.MembersRecord, change ownership.Change, now time.Duration) {
	m.readBack(record, now)
	if change.Joined != "" && change.Joined != m.opt.ID {
		m.extension.MemberJoined()
	}
	if change.MembersChanged {
		m.stale = true
	}
	for _, p := range change.Partitions {
		m.reconcile(p)
	}
	if change.MembersChanged || len(change.Partitions) > 0 {
		m.publish()
		notify(m.kick)
	}
}

// readBack notes which of this member's own records have reached the log.
func (m *Member) readBack(record *logpb.MembersRecord, now time.Duration) {
	switch body := record.GetBody().(type) {
	case *logpb.MembersRecord_Renewal:
		m.renewed(record.GetId(), body.Renewal.GetMember(), now)
	case *logpb.MembersRecord_Join:
		m.renewed(record.GetId(), body.Join.GetMember(), now)
	case *logpb.MembersRecord_Claim:
		m.promises.ClaimRead(record.GetId())
	case *logpb.MembersRecord_Leave:
		m.left = m.left || (m.leaving && body.Leave.GetMember() == string(m.opt.ID))
	}
}

func (m *Member) renewed(record, member string, now time.Duration) {
	if member != string(m.opt.ID) {
		return
	}
	sent, ok := m.lease.RenewalRead(record)
	if !ok {
		return
	}
	renewalSeconds.Update((now - sent).Seconds())
	m.extension.LeaseRenewed()
	m.publish()
}

func (m *Member) onRebuilt() {
	m.extension.MemberJoined()
	m.stale = true
	state := m.state()
	for p := range m.held {
		m.reconcile(p)
	}
	for p := range state.HeldBy(m.opt.ID) {
		m.reconcile(p)
	}
	m.publish()
	notify(m.kick)
}

func (m *Member) onRead(now time.Duration) {
	if m.stale {
		m.changed = now
		m.stale = false
	}
}

// reconcile follows a change of who holds the partition.
func (m *Member) reconcile(p model.PartitionID) {
	h := m.state().Assignment(p)
	mine := m.ours && h.Owner == m.opt.ID
	epoch, had := m.held[p]
	if had && (!mine || h.Epoch != epoch) {
		delete(m.held, p)
		delete(m.tenures, p)
		delete(m.unwanted, p)
		m.events.push(tenureEvent{p, epoch, false})
		had = false
	}
	if mine && !had {
		m.held[p] = h.Epoch
		m.events.push(tenureEvent{p, h.Epoch, true})
	}
}

// publish shows MayAct the current state.
func (m *Member) publish() {
	view := &actView{
		held:      maps.Clone(m.held),
		logUntil:  m.lease.Expiry(),
		extension: m.extension,
	}
	for p, t := range m.tenures {
		if t.released {
			delete(view.held, p)
		}
	}
	m.acts.Store(view)
}

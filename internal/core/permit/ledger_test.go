package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/proptest"
)

const (
	teamA  = model.TeamID("quotes")
	rackA  = model.PartitionID("rack/a")
	rackB  = model.PartitionID("rack/b")
	epoch1 = model.Epoch(10)
	epoch2 = model.Epoch(20)
)

func TestMain(m *testing.M) {
	proptest.Main(m, proptest.Settings{Checks: 2000, Steps: 100})
}

func slots(n int64) model.Resources {
	return model.Resources{Slots: n}
}

func reconciledLedger(limit int64) *Ledger {
	l := NewLedger(teamA, epoch1)
	l.SetLimit(slots(limit))
	l.Reconcile(rackA, epoch1, 0, nil, model.Resources{})
	return l
}

func TestUnreconciledPartitionCountsWithItsBound(t *testing.T) {
	l := reconciledLedger(10)
	l.AddPartition(rackB, slots(8))
	for range 2 {
		_, err := l.Grant(rackA, epoch1, slots(1), 0)
		require.NoError(t, err)
	}
	_, err := l.Grant(rackA, epoch1, slots(1), 0)
	assert.True(t, NotGranted.Has(err), "the unreconciled rack may hold the other 8")
	l.Reconcile(rackB, epoch1, 0, nil, model.Resources{})
	_, err = l.Grant(rackA, epoch1, slots(1), 0)
	assert.NoError(t, err)
}

func TestPermitsOfPreviousOwnerStayUsedUntilListIsComplete(t *testing.T) {
	l := reconciledLedger(2)
	p, err := l.Grant(rackA, epoch1, slots(2), 0)
	require.NoError(t, err)
	l.MarkUnreconciled(rackA, slots(8))
	ended := l.Reconcile(rackA, epoch2, 0, nil, slots(8))
	assert.Empty(t, ended, "a worker that has not reported may still run it")
	_, err = l.Grant(rackA, epoch2, slots(1), 0)
	assert.True(t, NotGranted.Has(err))
	assert.Equal(t, []model.PartitionID{rackA}, l.Incomplete(), "the partition must be queried again")
	ended = l.Reconcile(rackA, epoch2, 0, nil, model.Resources{})
	require.Len(t, ended, 1)
	assert.Equal(t, p.ID, ended[0].Permit.ID)
	_, err = l.Grant(rackA, epoch2, slots(2), 0)
	assert.NoError(t, err)
}

func TestNewOwnerOfReconciledPartitionAddsNoUnknownUse(t *testing.T) {
	l := reconciledLedger(4)
	l.Reconcile(rackB, epoch1, 0, nil, model.Resources{})
	_, err := l.Grant(rackA, epoch1, slots(1), 0)
	require.NoError(t, err)
	l.MarkUnreconciled(rackA, slots(8))
	_, err = l.Grant(rackB, epoch1, slots(3), 0)
	assert.NoError(t, err, "only granted permits can run on the other rack")
	_, err = l.Grant(rackB, epoch1, slots(1), 0)
	assert.True(t, NotGranted.Has(err))
}

func TestFenceRejectsRevokedPermits(t *testing.T) {
	l := reconciledLedger(4)
	old, err := l.Grant(rackA, epoch1, slots(1), 0)
	require.NoError(t, err)
	recent, err := l.Grant(rackA, epoch1, slots(1), time.Second)
	require.NoError(t, err)
	fence := NewFence()
	minSequence := l.MinSequenceSince(time.Second)
	require.NoError(t, fence.Raise(teamA, epoch1, minSequence))
	assert.True(t, Stale.Has(fence.Check(old)))
	assert.NoError(t, fence.Check(recent))
	require.NoError(t, fence.Raise(teamA, epoch2, 0))
	assert.True(t, Stale.Has(fence.Check(recent)), "a new team owner revokes all unused permits")
	assert.True(t, Stale.Has(fence.Raise(teamA, epoch1, 0)), "a previous owner may not raise the fence")
}

func TestParseIDReversesNewID(t *testing.T) {
	p, err := ParseID(newID("a.team", 7, 9))
	require.NoError(t, err)
	assert.Equal(t, model.Permit{ID: "a.team.7.9", Team: "a.team", TeamEpoch: 7, Sequence: 9}, p)
	_, err = ParseID("nothing")
	assert.Error(t, err)
}

// testPartition is a reference rack or target group: it starts every permit that
// its fence accepts.
type testPartition struct {
	epoch   model.Epoch
	fence   *Fence
	running map[string]Entry
	// uncertain is set while not all VMs have reported to a new owner.
	uncertain bool
}

// cell simulates changing team owners, two partitions and messages that arrive
// late or never.
type cell struct {
	limit       int64
	ledger      *Ledger
	epoch       model.Epoch
	partitions  map[model.PartitionID]*testPartition
	undelivered []model.Permit // granted and not yet delivered
	replies     map[model.PartitionID]*reply
	// unreported are ended permits whose end the team's owner does not know.
	unreported []string
	now        time.Duration
}

func (c *cell) used() int64 {
	var sum int64
	for _, partition := range c.partitions {
		for _, entry := range partition.running {
			sum += entry.Permit.Size.Slots
		}
	}
	return sum
}

func (c *cell) grant(t *rapid.T, id model.PartitionID) {
	size := slots(rapid.Int64Range(1, 3).Draw(t, "size"))
	for {
		p, err := c.ledger.Grant(id, c.partitions[id].epoch, size, c.now)
		if err != nil {
			return
		}
		c.undelivered = append(c.undelivered, p)
	}
}

func (c *cell) deliverAll(t *rapid.T) {
	for len(c.undelivered) > 0 {
		c.deliver(t)
	}
}

func (c *cell) deliver(t *rapid.T) {
	if len(c.undelivered) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.undelivered)-1).Draw(t, "message")
	p := c.undelivered[i]
	c.undelivered = append(c.undelivered[:i], c.undelivered[i+1:]...)
	partition := c.partitions[p.Partition]
	if p.PartitionEpoch != partition.epoch || partition.fence.Check(p) != nil {
		return
	}
	partition.running[p.ID] = Entry{Permit: p}
}

func (c *cell) end(t *rapid.T, id model.PartitionID) {
	for permitID := range c.partitions[id].running {
		delete(c.partitions[id].running, permitID)
		if rapid.Bool().Draw(t, "report arrives") {
			c.ledger.Release(permitID)
		} else {
			c.unreported = append(c.unreported, permitID)
		}
		return
	}
}

func (c *cell) replaceTeamOwner() {
	c.epoch++
	c.ledger = NewLedger(teamA, c.epoch)
	c.ledger.SetLimit(slots(c.limit))
	for id := range c.partitions {
		c.ledger.AddPartition(id, slots(c.limit))
	}
}

// replacePartitionOwner gives a rack to a new owner, which adopts what runs.
func (c *cell) replacePartitionOwner(id model.PartitionID) {
	partition := c.partitions[id]
	partition.epoch++
	partition.fence = NewFence()
	partition.uncertain = true
	c.ledger.MarkUnreconciled(id, slots(c.limit))
}

// reply is a partition's answer in transit to the team's owner.
type reply struct {
	epoch, teamEpoch model.Epoch
	minSequence      uint64
	held             []Entry
	uncertain        model.Resources
}

func (c *cell) queryAll(t *rapid.T) {
	for id := range c.partitions {
		c.query(t, id)
		c.deliverReply(id)
	}
}

// query makes the partition write its answer; deliverReply delivers it later.
func (c *cell) query(t *rapid.T, id model.PartitionID) {
	minSequence := uint64(0)
	if rapid.Bool().Draw(t, "revoke old permits") {
		minSequence = c.ledger.MinSequenceSince(c.now - 2*time.Second)
	}
	c.queryWithMinSequence(id, minSequence, func() bool { return rapid.Bool().Draw(t, "worker has not reported") })
}

func (c *cell) queryWithMinSequence(id model.PartitionID, minSequence uint64, uncertain func() bool) {
	if c.replies[id] != nil {
		return
	}
	partition := c.partitions[id]
	r := &reply{epoch: partition.epoch, teamEpoch: c.epoch, minSequence: minSequence}
	c.ledger.BeginQuery()
	c.replies[id] = r
	if partition.fence.Raise(teamA, c.epoch, r.minSequence) != nil {
		r.epoch = 0 // refused: deliverReply ignores it
		return
	}
	for _, entry := range partition.running {
		if partition.uncertain && uncertain() {
			r.uncertain = slots(c.limit)
			continue
		}
		r.held = append(r.held, entry)
	}
	partition.uncertain = partition.uncertain && !r.uncertain.IsZero()
}

func (c *cell) deliverReply(id model.PartitionID) {
	r := c.replies[id]
	delete(c.replies, id)
	if r == nil || r.teamEpoch != c.epoch {
		return
	}
	if r.epoch == c.partitions[id].epoch {
		c.ledger.Reconcile(id, r.epoch, r.minSequence, r.held, r.uncertain)
	}
	c.ledger.EndQuery()
}

// checkKnownUse delivers and reports everything, queries incomplete partitions
// and requires that the ledger then counts exactly what runs.
func (c *cell) checkKnownUse(t *rapid.T) {
	c.deliverAll(t)
	for id, partition := range c.partitions {
		c.deliverReply(id)
		partition.uncertain = false
	}
	for _, id := range c.unreported {
		c.ledger.Release(id)
	}
	c.now += time.Minute
	for range 3 {
		for _, id := range append(c.ledger.Incomplete(), c.ledger.PartitionsWithTasklessPermitsBefore(c.now)...) {
			c.queryWithMinSequence(id, c.ledger.MinSequenceSince(c.now), func() bool { return false })
			c.deliverReply(id)
		}
	}
	if known := c.ledger.KnownUse().Slots; known != c.used() {
		t.Fatalf("%d slots are in use, but the ledger counts %d", c.used(), known)
	}
}

// TestUseNeverExceedsUpperLimit checks that what runs stays within the upper limit
// in every interleaving of grants, late deliveries, lost reports and owner changes.
func TestUseNeverExceedsUpperLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cell{limit: 6, epoch: epoch1, partitions: map[model.PartitionID]*testPartition{}, replies: map[model.PartitionID]*reply{}}
		for _, id := range []model.PartitionID{rackA, rackB} {
			c.partitions[id] = &testPartition{epoch: epoch1, fence: NewFence(), running: map[string]Entry{}}
		}
		c.replaceTeamOwner()
		pick := func() model.PartitionID {
			return rapid.SampledFrom([]model.PartitionID{rackA, rackB}).Draw(t, "partition")
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant":        func(t *rapid.T) { c.grant(t, pick()) },
			"deliver":      func(t *rapid.T) { c.deliver(t) },
			"deliver all":  func(t *rapid.T) { c.deliverAll(t) },
			"end":          func(t *rapid.T) { c.end(t, pick()) },
			"ask":          func(t *rapid.T) { c.query(t, pick()) },
			"answer":       func(*rapid.T) { c.deliverReply(pick()) },
			"query all":    func(t *rapid.T) { c.queryAll(t) },
			"team owner":   func(*rapid.T) { c.replaceTeamOwner() },
			"partition":    func(*rapid.T) { c.replacePartitionOwner(pick()) },
			"time goes by": func(*rapid.T) { c.now += time.Second },
			"": func(t *rapid.T) {
				if err := c.ledger.Check(); err != nil {
					t.Fatal(err)
				}
				if c.used() > c.limit {
					t.Fatalf("%d slots are in use; the upper limit is %d", c.used(), c.limit)
				}
			},
		})
		c.checkKnownUse(t)
	})
}

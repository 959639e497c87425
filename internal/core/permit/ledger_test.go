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

func settledLedger(limit int64) *Ledger {
	l := NewLedger(teamA, epoch1)
	l.SetLimit(slots(limit))
	l.Reconcile(rackA, epoch1, 0, nil, model.Resources{})
	return l
}

func TestUnknownPartitionCountsWithItsBound(t *testing.T) {
	l := settledLedger(10)
	l.AddPartition(rackB, slots(8))
	for range 2 {
		_, err := l.Grant(rackA, epoch1, slots(1), 0)
		require.NoError(t, err)
	}
	_, err := l.Grant(rackA, epoch1, slots(1), 0)
	assert.True(t, OverLimit.Has(err), "the unknown rack may hold the other 8")
	l.Reconcile(rackB, epoch1, 0, nil, model.Resources{})
	_, err = l.Grant(rackA, epoch1, slots(1), 0)
	assert.NoError(t, err)
}

func TestPermitsOfAFormerHolderStayUsedUntilTheListIsComplete(t *testing.T) {
	l := settledLedger(2)
	p, err := l.Grant(rackA, epoch1, slots(2), 0)
	require.NoError(t, err)
	l.MarkUnreconciled(rackA, slots(8))
	ended := l.Reconcile(rackA, epoch2, 0, nil, slots(8))
	assert.Empty(t, ended, "a worker that was not heard may still run it")
	_, err = l.Grant(rackA, epoch2, slots(1), 0)
	assert.True(t, OverLimit.Has(err))
	assert.Equal(t, []model.PartitionID{rackA}, l.Unreconciled(), "it is asked again")
	ended = l.Reconcile(rackA, epoch2, 0, nil, model.Resources{})
	require.Len(t, ended, 1)
	assert.Equal(t, p.ID, ended[0].Permit.ID)
	_, err = l.Grant(rackA, epoch2, slots(2), 0)
	assert.NoError(t, err)
}

func TestNewHolderOfASettledPartitionHidesNothing(t *testing.T) {
	l := settledLedger(4)
	l.Reconcile(rackB, epoch1, 0, nil, model.Resources{})
	_, err := l.Grant(rackA, epoch1, slots(1), 0)
	require.NoError(t, err)
	l.MarkUnreconciled(rackA, slots(8))
	_, err = l.Grant(rackB, epoch1, slots(3), 0)
	assert.NoError(t, err, "only what was granted can run on the other")
	_, err = l.Grant(rackB, epoch1, slots(1), 0)
	assert.True(t, OverLimit.Has(err))
}

func TestFenceRefusesGivenUpPermits(t *testing.T) {
	l := settledLedger(4)
	old, err := l.Grant(rackA, epoch1, slots(1), 0)
	require.NoError(t, err)
	young, err := l.Grant(rackA, epoch1, slots(1), time.Second)
	require.NoError(t, err)
	fence := NewFence()
	floor := l.MinSequenceSince(time.Second)
	require.NoError(t, fence.Raise(teamA, epoch1, floor))
	assert.True(t, Stale.Has(fence.Check(old)))
	assert.NoError(t, fence.Check(young))
	require.NoError(t, fence.Raise(teamA, epoch2, 0))
	assert.True(t, Stale.Has(fence.Check(young)), "a new team owner gives up all unused permits")
	assert.True(t, Stale.Has(fence.Raise(teamA, epoch1, 0)), "a former owner may not ask")
}

func TestParseIDReversesNewID(t *testing.T) {
	p, err := ParseID(newID("a.team", 7, 9))
	require.NoError(t, err)
	assert.Equal(t, model.Permit{ID: "a.team.7.9", Team: "a.team", TeamEpoch: 7, Sequence: 9}, p)
	_, err = ParseID("nothing")
	assert.Error(t, err)
}

// holder is a naive rack or target group: it keeps every permit that it was
// ever shown and lets one start unless its fence refuses it.
type holder struct {
	epoch   model.Epoch
	fence   *Fence
	running map[string]Entry
	// unheard is set while a new holder has not heard from all its VMs.
	unheard bool
}

// cell drives team owners that come and go against two holders and messages
// that arrive late or never.
type cell struct {
	limit   int64
	ledger  *Ledger
	epoch   model.Epoch
	holders map[model.PartitionID]*holder
	transit []model.Permit // granted and not yet delivered
	replies map[model.PartitionID]*reply
	// unreported are ended permits whose team has not heard so.
	unreported []string
	now        time.Duration
}

func (c *cell) used() int64 {
	var sum int64
	for _, h := range c.holders {
		for _, entry := range h.running {
			sum += entry.Permit.Size.Slots
		}
	}
	return sum
}

func (c *cell) grant(t *rapid.T, id model.PartitionID) {
	size := slots(rapid.Int64Range(1, 3).Draw(t, "size"))
	for {
		p, err := c.ledger.Grant(id, c.holders[id].epoch, size, c.now)
		if err != nil {
			return
		}
		c.transit = append(c.transit, p)
	}
}

func (c *cell) deliverAll(t *rapid.T) {
	for len(c.transit) > 0 {
		c.deliver(t)
	}
}

func (c *cell) deliver(t *rapid.T) {
	if len(c.transit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.transit)-1).Draw(t, "message")
	p := c.transit[i]
	c.transit = append(c.transit[:i], c.transit[i+1:]...)
	h := c.holders[p.Partition]
	if p.PartitionEpoch != h.epoch || h.fence.Check(p) != nil {
		return
	}
	h.running[p.ID] = Entry{Permit: p}
}

func (c *cell) end(t *rapid.T, id model.PartitionID) {
	for permitID := range c.holders[id].running {
		delete(c.holders[id].running, permitID)
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
	for id := range c.holders {
		c.ledger.AddPartition(id, slots(c.limit))
	}
}

// replaceHolder hands a rack to a new owner, which adopts what runs.
func (c *cell) replaceHolder(id model.PartitionID) {
	h := c.holders[id]
	h.epoch++
	h.fence = NewFence()
	h.unheard = true
	c.ledger.MarkUnreconciled(id, slots(c.limit))
}

// reply is a partition's answer on its way to the team's owner.
type reply struct {
	epoch, teamEpoch model.Epoch
	floor            uint64
	held             []Entry
	unheard          model.Resources
}

func (c *cell) queryAll(t *rapid.T) {
	for id := range c.holders {
		c.ask(t, id)
		c.answer(id)
	}
}

// ask lets the partition write its answer; answer delivers it later.
func (c *cell) ask(t *rapid.T, id model.PartitionID) {
	floor := uint64(0)
	if rapid.Bool().Draw(t, "give up old permits") {
		floor = c.ledger.MinSequenceSince(c.now - 2*time.Second)
	}
	c.askFor(id, floor, func() bool { return rapid.Bool().Draw(t, "not heard yet") })
}

func (c *cell) askFor(id model.PartitionID, floor uint64, unheard func() bool) {
	if c.replies[id] != nil {
		return
	}
	h := c.holders[id]
	r := &reply{epoch: h.epoch, teamEpoch: c.epoch, floor: floor}
	c.ledger.BeginQuery()
	c.replies[id] = r
	if h.fence.Raise(teamA, c.epoch, r.floor) != nil {
		r.epoch = 0
		return
	}
	for _, entry := range h.running {
		if h.unheard && unheard() {
			r.unheard = slots(c.limit)
			continue
		}
		r.held = append(r.held, entry)
	}
	h.unheard = h.unheard && !r.unheard.IsZero()
}

func (c *cell) answer(id model.PartitionID) {
	r := c.replies[id]
	delete(c.replies, id)
	if r == nil || r.teamEpoch != c.epoch {
		return
	}
	if r.epoch == c.holders[id].epoch {
		c.ledger.Reconcile(id, r.epoch, r.floor, r.held, r.unheard)
	}
	c.ledger.EndQuery()
}

// checkSettled delivers and reports everything, asks as long as the ledger
// wants to and requires that it then counts what runs, no more and no less.
func (c *cell) checkSettled(t *rapid.T) {
	c.deliverAll(t)
	for id, h := range c.holders {
		c.answer(id)
		h.unheard = false
	}
	for _, id := range c.unreported {
		c.ledger.Release(id)
	}
	c.now += time.Minute
	for range 3 {
		for _, id := range append(c.ledger.Unreconciled(), c.ledger.PartitionsWithUnboundBefore(c.now)...) {
			c.askFor(id, c.ledger.MinSequenceSince(c.now), func() bool { return false })
			c.answer(id)
		}
	}
	if known := c.ledger.KnownUse().Slots; known != c.used() {
		t.Fatalf("%d slots run and %d are counted for good", c.used(), known)
	}
}

// TestNeverOverTheUpperLimit is the property behind the brief's fourth promise:
// in every interleaving of grants, late deliveries, lost reports and changes
// of owners, what runs stays within the upper limit.
func TestNeverOverTheUpperLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cell{limit: 6, epoch: epoch1, holders: map[model.PartitionID]*holder{}, replies: map[model.PartitionID]*reply{}}
		for _, id := range []model.PartitionID{rackA, rackB} {
			c.holders[id] = &holder{epoch: epoch1, fence: NewFence(), running: map[string]Entry{}}
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
			"ask":          func(t *rapid.T) { c.ask(t, pick()) },
			"answer":       func(*rapid.T) { c.answer(pick()) },
			"query all":    func(t *rapid.T) { c.queryAll(t) },
			"team owner":   func(*rapid.T) { c.replaceTeamOwner() },
			"partition":    func(*rapid.T) { c.replaceHolder(pick()) },
			"time goes by": func(*rapid.T) { c.now += time.Second },
			"": func(t *rapid.T) {
				if err := c.ledger.Check(); err != nil {
					t.Fatal(err)
				}
				if c.used() > c.limit {
					t.Fatalf("%d slots run, the upper limit is %d", c.used(), c.limit)
				}
			},
		})
		c.checkSettled(t)
	})
}

// Package permit keeps a team's upper limit exact across the fleet: the ledger
// of the team's owner counts every permit as used until the partition that it
// is bound to has told its end, and the fence of that partition refuses
// permits that the team's owner has given up.
package permit

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// OverLimit is the class of errors for grants that the upper limit forbids.
var OverLimit = errs.Class("over the upper limit")

// Entry is one permit that counts as used.
type Entry struct {
	Permit  model.Permit
	Granted time.Duration // reading of the owner's clock
	Task    model.TaskID  // empty for quick requests
	Job     model.JobID
	Attempt int
	// Ended marks a listed attempt that no longer runs and whose end has yet to
	// be acknowledged. It uses nothing.
	Ended bool
	// Adopted marks a permit that a former owner granted and a partition
	// reported as held.
	Adopted bool
}

// partitionState is what the ledger knows of a partition.
type partitionState struct {
	epoch   model.Epoch
	settled bool // the present holder has answered
	// complete is set when the holder's answer listed everything it holds.
	complete bool
	// hidden is the most that the partition could hold for the team besides
	// its known permits.
	hidden model.Resources
	used   model.Resources // by permits known to be bound to the partition
}

// Ledger counts what one team uses across the fleet. It is not safe for
// concurrent use.
type Ledger struct {
	team       model.TeamID
	epoch      model.Epoch
	limit      model.Resources
	sequence   uint64
	used       model.Resources
	entries    map[string]Entry
	partitions map[model.PartitionID]*partitionState
	queries    int             // in flight
	released   map[string]bool // while queries are in flight
}

// NewLedger returns the ledger for the tenure that epoch names. Until every
// partition that Expect names has been settled, what it could hold counts as
// used.
func NewLedger(team model.TeamID, epoch model.Epoch) *Ledger {
	return &Ledger{
		team:       team,
		epoch:      epoch,
		entries:    map[string]Entry{},
		partitions: map[model.PartitionID]*partitionState{},
		released:   map[string]bool{},
	}
}

// SetLimit replaces the upper limit. A limit below the present use lets no new
// permit through until enough have ended.
func (l *Ledger) SetLimit(limit model.Resources) {
	l.limit = limit
}

// Limit returns the upper limit.
func (l *Ledger) Limit() model.Resources {
	return l.limit
}

// Expect names a partition that may hold permits of former owners, and the
// most that it could hold. It has no effect on a partition already known.
func (l *Ledger) AddPartition(id model.PartitionID, bound model.Resources) {
	if _, ok := l.partitions[id]; ok {
		return
	}
	l.partitions[id] = &partitionState{hidden: bound}
}

// Unsettled returns the partitions whose use is not certain.
func (l *Ledger) Unreconciled() []model.PartitionID {
	var ids []model.PartitionID
	for id, state := range l.partitions {
		if !state.settled || !state.complete {
			ids = append(ids, id)
		}
	}
	return ids
}

// Used returns what counts as used: all entries, and what each partition could
// hold besides.
func (l *Ledger) Used() model.Resources {
	total := l.used
	for _, state := range l.partitions {
		total = total.Add(state.hidden)
	}
	return total
}

// Known returns the sum of all entries.
func (l *Ledger) KnownUse() model.Resources {
	return l.used
}

// Grant returns a new permit for size on the partition, or an OverLimit error.
// The partition must be settled for the epoch.
func (l *Ledger) Grant(id model.PartitionID, epoch model.Epoch, size model.Resources, now time.Duration) (model.Permit, error) {
	state := l.partitions[id]
	if state == nil || !state.settled || state.epoch != epoch {
		return model.Permit{}, OverLimit.New("partition %s is not settled for epoch %d", id, epoch)
	}
	if !l.Used().Add(size).Fits(l.limit) {
		return model.Permit{}, OverLimit.New("team %s", l.team)
	}
	l.sequence++
	p := model.Permit{
		ID:             newID(l.team, l.epoch, l.sequence),
		Team:           l.team,
		TeamEpoch:      l.epoch,
		Partition:      id,
		PartitionEpoch: epoch,
		Sequence:       l.sequence,
		Size:           size,
	}
	l.insert(Entry{Permit: p, Granted: now})
	return p, nil
}

// Bind notes which task a granted permit is for.
func (l *Ledger) Bind(id string, job model.JobID, task model.TaskID, attempt int) {
	entry, ok := l.entries[id]
	if !ok {
		return
	}
	entry.Job = job
	entry.Task = task
	entry.Attempt = attempt
	l.entries[id] = entry
}

// Release ends a permit. It returns its entry and false if the permit is not
// known, as after a repeated release.
func (l *Ledger) Release(id string) (Entry, bool) {
	if l.queries > 0 {
		l.released[id] = true
	}
	entry, ok := l.entries[id]
	if !ok {
		return Entry{}, false
	}
	delete(l.entries, id)
	l.used = l.used.Sub(entry.Permit.Size)
	if state := l.partitions[entry.Permit.Partition]; state != nil {
		state.used = state.used.Sub(entry.Permit.Size)
	}
	return entry, true
}

// Lookup returns the entry of a permit.
func (l *Ledger) Lookup(id string) (Entry, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}

// Unsettle marks a partition that a new owner holds: its permits stay used and
// nothing more is granted on it until Settle. The bound counts only for a
// partition that this tenure has never settled completely; on others everything
// that could run was granted by this ledger and is in it.
func (l *Ledger) MarkUnreconciled(id model.PartitionID, bound model.Resources) {
	state := l.partitions[id]
	if state == nil {
		l.AddPartition(id, bound)
		return
	}
	state.settled = false
}

// Epoch returns the epoch for which the partition is settled.
func (l *Ledger) PartitionEpoch(id model.PartitionID) (model.Epoch, bool) {
	state := l.partitions[id]
	if state == nil || !state.settled {
		return 0, false
	}
	return state.epoch, true
}

// BeginQuery notes that a partition is asked what it holds. Until the matching
// EndQuery the ledger remembers which permits are released, because an answer
// written before a release still lists the permit.
func (l *Ledger) BeginQuery() {
	l.queries++
}

// EndQuery notes that an answer has been settled or will not come.
func (l *Ledger) EndQuery() {
	l.queries--
	if l.queries == 0 {
		clear(l.released)
	}
}

// Settle takes over what a partition holds for the team. Permits that the
// ledger does not know are adopted. Uncertain is the most that VMs which the
// partition has not heard from could hold besides.
//
// Only when that is zero is the list complete: then permits missing from it
// that are bound to an earlier epoch of the partition, or whose sequence is
// below minSequence, the floor that the query raised, have certainly ended.
// Settle releases and returns them.
func (l *Ledger) Reconcile(id model.PartitionID, epoch model.Epoch, minSequence uint64, held []Entry, uncertain model.Resources) []Entry {
	state := l.partitions[id]
	if state == nil {
		state = &partitionState{hidden: uncertain}
		l.partitions[id] = state
	}
	state.epoch = epoch
	state.settled = true
	state.complete = uncertain.IsZero()
	listed := make(map[string]bool, len(held))
	for _, entry := range held {
		listed[entry.Permit.ID] = true
		l.adopt(entry)
	}
	missing := l.missing(id, listed, epoch, minSequence)
	if state.complete {
		state.hidden = model.Resources{}
		for _, entry := range missing {
			l.Release(entry.Permit.ID)
		}
		return missing
	}
	var counted model.Resources
	for _, entry := range missing {
		counted = counted.Add(entry.Permit.Size)
	}
	hidden := uncertain.Sub(counted).Max(model.Resources{})
	state.hidden = state.hidden.Min(hidden)
	return nil
}

// missing returns the permits of a partition that it does not list and that
// can never be used any more unless they already are.
func (l *Ledger) missing(id model.PartitionID, listed map[string]bool, epoch model.Epoch, minSequence uint64) []Entry {
	var entries []Entry
	for permitID, entry := range l.entries {
		if entry.Permit.Partition != id || listed[permitID] {
			continue
		}
		if l.expired(entry.Permit, epoch, minSequence) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// expired reports whether a permit that its partition does not list can never
// be used any more.
func (l *Ledger) expired(p model.Permit, epoch model.Epoch, minSequence uint64) bool {
	if p.PartitionEpoch < epoch || p.TeamEpoch < l.epoch {
		return true
	}
	return p.Sequence < minSequence
}

// Forget drops a partition that no longer exists together with its permits,
// which it returns. The caller vouches that nothing can run there any more.
func (l *Ledger) RemovePartition(id model.PartitionID) []Entry {
	var ended []Entry
	for _, entry := range l.entries {
		if entry.Permit.Partition == id {
			ended = append(ended, entry)
		}
	}
	for _, entry := range ended {
		l.Release(entry.Permit.ID)
	}
	delete(l.partitions, id)
	return ended
}

// OldestUnbound returns the smallest sequence of this epoch that was granted
// at or after the given time, which is the floor for giving up older unused
// permits.
func (l *Ledger) MinSequenceSince(granted time.Duration) uint64 {
	lowest := l.sequence + 1
	for _, entry := range l.entries {
		if entry.Adopted || entry.Granted < granted {
			continue
		}
		lowest = min(lowest, entry.Permit.Sequence)
	}
	return lowest
}

// PartitionsWithOlder returns the partitions that have permits of this epoch
// granted before the given time.
func (l *Ledger) PartitionsWithUnboundBefore(granted time.Duration) []model.PartitionID {
	seen := map[model.PartitionID]bool{}
	var ids []model.PartitionID
	for _, entry := range l.entries {
		id := entry.Permit.Partition
		if entry.Adopted || entry.Granted >= granted || entry.Task != "" || seen[id] {
			continue
		}
		seen[id] = true
		ids = append(ids, id)
	}
	return ids
}

// Check is the invariant of the ledger: its sums match its entries, and grants
// have not taken it over the limit in force when they were made.
func (l *Ledger) Check() error {
	var sum model.Resources
	perPartition := map[model.PartitionID]model.Resources{}
	for _, entry := range l.entries {
		sum = sum.Add(entry.Permit.Size)
		id := entry.Permit.Partition
		perPartition[id] = perPartition[id].Add(entry.Permit.Size)
	}
	if sum != l.used {
		return errs.New("ledger of %s: used %+v, entries sum to %+v", l.team, l.used, sum)
	}
	for id, state := range l.partitions {
		if perPartition[id] != state.used {
			return errs.New("ledger of %s: %s has %+v, entries sum to %+v", l.team, id, state.used, perPartition[id])
		}
	}
	return nil
}

func (l *Ledger) adopt(entry Entry) {
	_, known := l.entries[entry.Permit.ID]
	if known || l.released[entry.Permit.ID] {
		return
	}
	if entry.Ended {
		// It stays listed until its end arrives, which a later holder of the
		// partition may not know of.
		entry.Permit.Size = model.Resources{}
	}
	entry.Adopted = true
	l.insert(entry)
}

func (l *Ledger) insert(entry Entry) {
	l.entries[entry.Permit.ID] = entry
	l.used = l.used.Add(entry.Permit.Size)
	id := entry.Permit.Partition
	if l.partitions[id] == nil {
		l.partitions[id] = &partitionState{}
	}
	l.partitions[id].used = l.partitions[id].used.Add(entry.Permit.Size)
}

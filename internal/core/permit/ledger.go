// Package permit enforces a team's upper limit across the cell: the ledger of the
// team's owner counts every permit as used until the partition that it is bound
// to has reported its end, and the fence of that partition rejects permits that
// the team's owner has revoked.
package permit

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// NotGranted is the class of errors for permits that cannot be granted now,
// because the upper limit has no headroom, the partition is not reconciled or
// there is no task for it.
var NotGranted = errs.Class("permit not granted")

// Entry is one permit that counts as used.
type Entry struct {
	Permit  model.Permit
	Granted time.Duration // reading of the owner's clock
	Task    model.TaskID  // empty for quick requests
	Job     model.JobID
	Attempt int
	// Ended marks a listed attempt that no longer runs and whose end has yet to
	// be acknowledged. It uses no resources.
	Ended bool
	// Adopted marks a permit that a previous owner granted and a partition
	// reported as held.
	Adopted bool
}

// partitionState is what the ledger knows about a partition.
type partitionState struct {
	epoch      model.Epoch
	reconciled bool // the current owner has answered
	// complete is set when the owner's answer listed everything it holds.
	complete bool
	// unknownUse is the most that the partition could hold for the team besides
	// its known permits.
	unknownUse model.Resources
	used       model.Resources // by known permits on the partition
}

// Ledger counts what one team uses across the cell. It is not safe for
// concurrent use.
type Ledger struct {
	team                model.TeamID
	epoch               model.Epoch
	limit               model.Resources
	sequence            uint64
	used                model.Resources
	entries             map[string]Entry
	partitions          map[model.PartitionID]*partitionState
	queries             int             // in flight
	releasedDuringQuery map[string]bool // permits released while queries are in flight
}

// NewLedger returns the ledger for the owner session with this epoch. What a
// partition added by AddPartition could hold counts as used until the partition
// is reconciled.
func NewLedger(team model.TeamID, epoch model.Epoch) *Ledger {
	return &Ledger{
		team:                team,
		epoch:               epoch,
		entries:             map[string]Entry{},
		partitions:          map[model.PartitionID]*partitionState{},
		releasedDuringQuery: map[string]bool{},
	}
}

// SetLimit replaces the upper limit. With a limit below the current use, Grant
// fails until enough permits have ended.
func (l *Ledger) SetLimit(limit model.Resources) {
	l.limit = limit
}

// Limit returns the upper limit.
func (l *Ledger) Limit() model.Resources {
	return l.limit
}

// AddPartition adds a partition that may hold permits of previous owners; maxUse
// is the most that it could hold. It has no effect on a known partition.
func (l *Ledger) AddPartition(id model.PartitionID, maxUse model.Resources) {
	if _, ok := l.partitions[id]; ok {
		return
	}
	l.partitions[id] = &partitionState{unknownUse: maxUse}
}

// Incomplete returns the partitions that are not reconciled, or not completely,
// and must be queried.
func (l *Ledger) Incomplete() []model.PartitionID {
	var ids []model.PartitionID
	for id, state := range l.partitions {
		if !state.reconciled || !state.complete {
			ids = append(ids, id)
		}
	}
	return ids
}

// Used returns what counts as used: all entries and the unknown use of each
// partition.
func (l *Ledger) Used() model.Resources {
	total := l.used
	for _, state := range l.partitions {
		total = total.Add(state.unknownUse)
	}
	return total
}

// KnownUse returns the sum of all entries.
func (l *Ledger) KnownUse() model.Resources {
	return l.used
}

// Grant returns a new permit for size on the partition, or a NotGranted error.
// The partition must be reconciled for the epoch.
func (l *Ledger) Grant(id model.PartitionID, epoch model.Epoch, size model.Resources, now time.Duration) (model.Permit, error) {
	state := l.partitions[id]
	if state == nil || !state.reconciled || state.epoch != epoch {
		return model.Permit{}, NotGranted.New("partition %s is not reconciled for epoch %d", id, epoch)
	}
	if !l.Used().Add(size).Fits(l.limit) {
		return model.Permit{}, NotGranted.New("team %s", l.team)
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

// Bind records which task a granted permit is for.
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

// Release ends a permit and returns its entry. It returns false if the permit is
// not known, as after a repeated release.
func (l *Ledger) Release(id string) (Entry, bool) {
	if l.queries > 0 {
		l.releasedDuringQuery[id] = true
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

// MarkUnreconciled marks a partition whose use is no longer certain, because its
// owner changed or an offer has an unknown outcome: its permits still count as
// used, and nothing more is granted on it until Reconcile. For a partition that
// is not known yet, it acts as AddPartition with that maxUse. Otherwise maxUse is
// ignored, because everything that could run there is counted already.
func (l *Ledger) MarkUnreconciled(id model.PartitionID, maxUse model.Resources) {
	state := l.partitions[id]
	if state == nil {
		l.AddPartition(id, maxUse)
		return
	}
	state.reconciled = false
}

// PartitionEpoch returns the owner's epoch for which the partition is reconciled.
// It returns false if the partition is not reconciled.
func (l *Ledger) PartitionEpoch(id model.PartitionID) (model.Epoch, bool) {
	state := l.partitions[id]
	if state == nil || !state.reconciled {
		return 0, false
	}
	return state.epoch, true
}

// BeginQuery records that a query for a partition's permits is in flight. Until
// the matching EndQuery the ledger remembers which permits are released, because
// an answer written before a release still lists the permit.
func (l *Ledger) BeginQuery() {
	l.queries++
}

// EndQuery records that the answer to a query has been applied or will not arrive.
func (l *Ledger) EndQuery() {
	l.queries--
	if l.queries == 0 {
		clear(l.releasedDuringQuery)
	}
}

// Reconcile applies a partition's list of what it holds for the team. It adopts
// permits that the ledger does not know. uncertain is the most that VMs which have
// not reported to the partition's owner could hold besides.
//
// The list is complete only if uncertain is zero. Then Reconcile releases and
// returns the permits missing from it that have certainly ended: those that are
// bound to an earlier epoch of the partition, that a previous owner of the team
// granted, or whose sequence is below minSequence, to which the query raised the
// partition's fence.
func (l *Ledger) Reconcile(id model.PartitionID, epoch model.Epoch, minSequence uint64, held []Entry, uncertain model.Resources) []Entry {
	state := l.partitions[id]
	if state == nil {
		state = &partitionState{unknownUse: uncertain}
		l.partitions[id] = state
	}
	state.epoch = epoch
	state.reconciled = true
	state.complete = uncertain.IsZero()
	listed := make(map[string]bool, len(held))
	for _, entry := range held {
		listed[entry.Permit.ID] = true
		l.adopt(entry)
	}
	missing := l.missing(id, listed, epoch, minSequence)
	if state.complete {
		state.unknownUse = model.Resources{}
		for _, entry := range missing {
			l.Release(entry.Permit.ID)
		}
		return missing
	}
	var missingUse model.Resources
	for _, entry := range missing {
		missingUse = missingUse.Add(entry.Permit.Size)
	}
	unknownUse := uncertain.Sub(missingUse).Max(model.Resources{})
	state.unknownUse = state.unknownUse.Min(unknownUse)
	return nil
}

// missing returns the permits of a partition that it does not list and under
// which no work can start any more, though work may be running.
func (l *Ledger) missing(id model.PartitionID, listed map[string]bool, epoch model.Epoch, minSequence uint64) []Entry {
	var entries []Entry
	for permitID, entry := range l.entries {
		if entry.Permit.Partition != id || listed[permitID] {
			continue
		}
		if l.unusable(entry.Permit, epoch, minSequence) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// unusable reports whether no work can start any more under a permit that its
// partition does not list.
func (l *Ledger) unusable(p model.Permit, epoch model.Epoch, minSequence uint64) bool {
	if p.PartitionEpoch < epoch || p.TeamEpoch < l.epoch {
		return true
	}
	return p.Sequence < minSequence
}

// RemovePartition removes a partition that no longer exists and returns its
// permits, which it releases. The caller guarantees that nothing can still run
// there.
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

// MinSequenceSince returns the lowest sequence among the permits in use that were
// granted in this session at or after the given reading of the owner's clock, or the
// next sequence to be granted if there is none. With it, Fence.Raise revokes the
// permits granted before under which no work has arrived.
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

// PartitionsWithTasklessPermitsBefore returns the partitions that have permits of
// this session which belong to no task and were granted before the given reading.
func (l *Ledger) PartitionsWithTasklessPermitsBefore(granted time.Duration) []model.PartitionID {
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

// Check returns an error unless the ledger's sums match its entries.
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
	if known || l.releasedDuringQuery[entry.Permit.ID] {
		return
	}
	if entry.Ended {
		// The entry remains until its end is reported, since a later owner of
		// the partition may not know of that end.
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

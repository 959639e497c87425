package membership

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
)

const directoryShards = 16

// ownerEntry is the peer address and epoch of a partition's owner.
type ownerEntry struct {
	address string
	epoch   model.Epoch
}

type directoryShard struct {
	mu      sync.RWMutex
	entries map[model.PartitionID]ownerEntry
}

// directory maps partitions to their owners. Lookups do not take the lock of the
// state. It is safe for concurrent use.
type directory struct {
	shards [directoryShards]directoryShard
}

func newDirectory() *directory {
	d := &directory{}
	for i := range d.shards {
		d.shards[i].entries = make(map[model.PartitionID]ownerEntry)
	}
	return d
}

func (d *directory) shard(p model.PartitionID) *directoryShard {
	return &d.shards[xxhash.Sum64String(string(p))%directoryShards]
}

// get returns the owner's peer address and epoch; false if the partition has no
// owner.
func (d *directory) get(p model.PartitionID) (string, model.Epoch, bool) {
	s := d.shard(p)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[p]
	return e.address, e.epoch, ok
}

// update copies the owner of the partition from the state.
func (d *directory) update(state *ownership.State, p model.PartitionID) {
	address, epoch, ok := state.Owner(p)
	s := d.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.entries[p] = ownerEntry{address, epoch}
	} else {
		delete(s.entries, p)
	}
}

// replace replaces all entries with those of the state.
func (d *directory) replace(state *ownership.State) {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		clear(s.entries)
		s.mu.Unlock()
	}
	for _, p := range state.Partitions() {
		d.update(state, p)
	}
}

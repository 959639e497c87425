package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Loader builds the state from the log, starting at the oldest record that the
// log still holds. If older records were truncated, the state starts from the
// first complete checkpoint that covers them. It is not safe for concurrent use.
type Loader struct {
	earliest          uint64
	fold              *Fold          // nil until a checkpoint is complete
	pending           []loadedRecord // records read until then
	partsByCheckpoint map[string][]*logpb.ConfigCheckpoint
}

type loadedRecord struct {
	offset uint64
	data   []byte
}

// NewLoader returns a loader for a log whose oldest record has the offset
// earliest.
func NewLoader(earliest uint64) *Loader {
	l := &Loader{earliest: earliest, partsByCheckpoint: map[string][]*logpb.ConfigCheckpoint{}}
	if earliest == 0 {
		l.fold = NewFold()
	}
	return l
}

// Add reads the next record in log order. The loader retains data.
func (l *Loader) Add(offset uint64, data []byte) {
	if l.fold != nil {
		l.fold.Apply(offset, data)
		return
	}
	l.pending = append(l.pending, loadedRecord{offset: offset, data: data})
	parts := l.completeCheckpoint(offset, data)
	if parts == nil {
		return
	}
	l.fold = restore(parts)
	for _, r := range l.pending {
		l.fold.Apply(r.offset, r.data)
	}
	l.pending, l.partsByCheckpoint = nil, nil
}

// Fold returns the state. It reports false if the log was truncated and no
// complete checkpoint has been read. The loader must not be used afterwards.
func (l *Loader) Fold() (*Fold, bool) { return l.fold, l.fold != nil }

// completeCheckpoint returns all parts, in order, of the checkpoint that the
// record completes, or nil if it completes none. Checkpoints that do not cover all
// truncated records, or that claim to cover records after themselves, are ignored.
func (l *Loader) completeCheckpoint(offset uint64, data []byte) []*logpb.ConfigCheckpoint {
	var record logpb.ConfigRecord
	if proto.Unmarshal(data, &record) != nil || record.GetVersion() == 0 || record.GetVersion() > Version {
		return nil
	}
	part := record.GetCheckpoint()
	if part == nil || part.GetThrough() < l.earliest || part.GetThrough() > offset {
		return nil
	}
	if part.GetPart() < 0 || part.GetPart() >= part.GetParts() {
		return nil
	}
	for _, other := range l.partsByCheckpoint[part.GetSet()] {
		if other.GetPart() == part.GetPart() || other.GetParts() != part.GetParts() {
			return nil
		}
	}
	parts := append(l.partsByCheckpoint[part.GetSet()], part)
	l.partsByCheckpoint[part.GetSet()] = parts
	if len(parts) < int(part.GetParts()) {
		return nil
	}
	slices.SortFunc(parts, func(a, b *logpb.ConfigCheckpoint) int { return int(a.GetPart() - b.GetPart()) })
	return parts
}

package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Loader builds the state of a process that starts with nothing. It takes the
// records from the oldest one that the log still keeps. If older ones are
// gone, the state starts from the first complete checkpoint that covers them.
type Loader struct {
	earliest uint64
	fold     *Fold // nil until a checkpoint is complete
	tail     []loadedRecord
	sets     map[string][]*logpb.ConfigCheckpoint
}

type loadedRecord struct {
	offset uint64
	data   []byte
}

// NewLoader returns a loader for a log whose oldest record has the offset
// earliest.
func NewLoader(earliest uint64) *Loader {
	l := &Loader{earliest: earliest, sets: map[string][]*logpb.ConfigCheckpoint{}}
	if earliest == 0 {
		l.fold = NewFold()
	}
	return l
}

// Add takes the next record in log order. The loader keeps data.
func (l *Loader) Add(offset uint64, data []byte) {
	if l.fold != nil {
		l.fold.Apply(offset, data)
		return
	}
	l.tail = append(l.tail, loadedRecord{offset: offset, data: data})
	parts := l.complete(offset, data)
	if parts == nil {
		return
	}
	l.fold = restore(parts)
	for _, r := range l.tail {
		l.fold.Apply(r.offset, r.data)
	}
	l.tail, l.sets = nil, nil
}

// Fold returns the state, or false if the records so far do not determine it.
// The loader must not be used afterwards.
func (l *Loader) Fold() (*Fold, bool) { return l.fold, l.fold != nil }

// complete returns all parts of the checkpoint that the record completes, if
// the checkpoint covers what the log no longer keeps.
func (l *Loader) complete(offset uint64, data []byte) []*logpb.ConfigCheckpoint {
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
	for _, known := range l.sets[part.GetSet()] {
		if known.GetPart() == part.GetPart() || known.GetParts() != part.GetParts() {
			return nil
		}
	}
	parts := append(l.sets[part.GetSet()], part)
	l.sets[part.GetSet()] = parts
	if len(parts) < int(part.GetParts()) {
		return nil
	}
	slices.SortFunc(parts, func(a, b *logpb.ConfigCheckpoint) int { return int(a.GetPart() - b.GetPart()) })
	return parts
}

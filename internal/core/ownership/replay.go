package ownership

import (
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Replay rebuilds the state from the log in a process that has none. If the log
// has dropped its oldest records, the state is unknown until Replay has read a
// checkpoint whose later records are all still in the log.
type Replay struct {
	state    *State // nil while unknown
	earliest uint64
	pending  []pendingRecord
}

type pendingRecord struct {
	offset uint64
	record *logpb.MembersRecord
}

// NewReplay returns a replay that starts at offset earliest. An offset of 0 means
// that no record is missing, so the state is known and empty.
func NewReplay(earliest uint64) *Replay {
	r := &Replay{earliest: earliest}
	if earliest == 0 {
		r.state = NewState(0)
	}
	return r
}

// State returns the state, or nil while it is unknown.
func (r *Replay) State() *State { return r.state }

// Next returns the offset to read from.
func (r *Replay) Next() uint64 {
	if r.state != nil {
		return r.state.Next()
	}
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].offset + 1
	}
	return r.earliest
}

// Apply applies the record at the offset. rebuilt reports whether the record was
// the checkpoint that made the state known; change is empty then.
func (r *Replay) Apply(offset uint64, record *logpb.MembersRecord) (change Change, rebuilt bool) {
	if r.state != nil {
		return r.state.Apply(offset, record), false
	}
	r.pending = append(r.pending, pendingRecord{offset, record})
	c := record.GetCheckpoint()
	if c == nil || c.GetNext() < r.earliest || c.GetNext() > offset {
		return Change{}, false
	}
	r.state = FromCheckpoint(c)
	for _, p := range r.pending {
		r.state.Apply(p.offset, p.record)
	}
	r.pending = nil
	return Change{}, true
}

// Truncated records that the log has dropped the records before earliest.
func (r *Replay) Truncated(earliest uint64) {
	if r.state != nil || earliest <= r.earliest {
		return
	}
	r.earliest = earliest
	kept := r.pending[:0]
	for _, p := range r.pending {
		if p.offset >= earliest {
			kept = append(kept, p)
		}
	}
	r.pending = kept
}

// AssumeEmpty sets an unknown state to empty if no records are pending, and
// reports whether the state is known afterwards. It is safe only if the log keeps
// no records and has received none for longer than any lease.
func (r *Replay) AssumeEmpty() bool {
	if r.state == nil && len(r.pending) == 0 {
		r.state = NewState(r.earliest)
	}
	return r.state != nil
}

// NewRecord returns a record of the current version with the id and body.
func NewRecord(id string, body any) *logpb.MembersRecord {
	record := &logpb.MembersRecord{Version: RecordVersion, Id: id}
	switch b := body.(type) {
	case *logpb.Join:
		record.Body = &logpb.MembersRecord_Join{Join: b}
	case *logpb.Renewal:
		record.Body = &logpb.MembersRecord_Renewal{Renewal: b}
	case *logpb.Claim:
		record.Body = &logpb.MembersRecord_Claim{Claim: b}
	case *logpb.Release:
		record.Body = &logpb.MembersRecord_Release{Release: b}
	case *logpb.Leave:
		record.Body = &logpb.MembersRecord_Leave{Leave: b}
	case *logpb.Checkpoint:
		record.Body = &logpb.MembersRecord_Checkpoint{Checkpoint: b}
	}
	return record
}

// InView reports whether the member is certainly in the owner's view, the members
// that the owner has read from the log: a renewal of the owner proves that it had
// applied the member's Join. An owner that cannot reach the log asks only the
// members of its view for promises.
func InView(owner, member Member) bool {
	return member.Joined < owner.ReadNext
}

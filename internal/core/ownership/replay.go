package ownership

import (
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Replay builds the state of a process that starts with nothing. The log may
// have dropped its oldest records; the state is then unknown until a
// checkpoint turns up whose later records are all kept.
type Replay struct {
	state    *State // nil while unknown
	earliest uint64
	pending  []pendingRecord
}

type pendingRecord struct {
	offset uint64
	record *logpb.MembersRecord
}

// NewReplay returns a replay that begins with the oldest record kept.
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

// Apply takes the record at the offset. found is true when it made the state
// known.
func (r *Replay) Apply(offset uint64, record *logpb.MembersRecord) (change Change, found bool) {
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

// Truncated tells that the log has dropped the records before earliest.
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

// AssumeEmpty starts with an empty state. It is right only if the log keeps
// no records at all and has kept silent for longer than any lease. It reports
// whether the state is known afterwards.
func (r *Replay) AssumeEmpty() bool {
	if r.state == nil && len(r.pending) == 0 {
		r.state = NewState(r.earliest)
	}
	return r.state != nil
}

// Record wraps a body with the version and id that every record carries.
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

// InView reports whether the holder certainly knows the member as of its
// Join, because a renewal of the holder says it had read that far. Only such
// members are asked for promises by a holder that has lost the log.
func InView(holder, member Member) bool {
	return member.Joined < holder.ReadNext
}

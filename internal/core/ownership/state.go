// Package ownership implements the rules of membership and partition ownership
// as pure code: the state that results from the members stream, lease
// arithmetic, the placement of partitions on members, and the promises that
// replace renewals while the log is unavailable. The package reads no clock and
// starts no goroutines. Its types are not safe for concurrent use.
package ownership

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Stream is the log stream that holds the membership records.
const Stream = "members"

// RecordVersion is the newest version of a record that this code understands.
const RecordVersion = 1

// Member is a process of the cluster as recorded in the log.
type Member struct {
	ID       model.MemberID
	Address  string // address of its peer listener
	Domain   model.FailureDomain
	Joined   uint64 // offset of its Join
	Renewed  uint64 // offset of its last Renewal or Join
	ReadNext uint64 // the member had applied all records before this offset
	Leaving  bool   // the member is handing over its partitions and accepts no new ones
}

// Assignment is the owner of a partition and its epoch, the offset of the Claim
// or Release that made it the owner. If Owner is empty, the partition has no
// owner and Epoch is that of the last one.
type Assignment struct {
	Owner model.MemberID
	Epoch model.Epoch
}

// Change describes the effect of a record on the state.
type Change struct {
	Partitions     []model.PartitionID // partitions whose Assignment changed
	Joined         model.MemberID      // the member that was added, if any
	MembersChanged bool                // a member was added, was removed or started leaving
	Renewed        model.MemberID      // the member whose lease was renewed
}

// State is the result of applying the records of the members stream in order. It
// depends only on the records and their offsets, so it is equal in all processes
// that have applied the same records.
type State struct {
	next       uint64
	members    map[model.MemberID]*Member
	partitions map[model.PartitionID]Assignment
	skipped    uint64
}

// NewState returns an empty state whose first record is at offset next.
func NewState(next uint64) *State {
	return &State{
		next:       next,
		members:    make(map[model.MemberID]*Member),
		partitions: make(map[model.PartitionID]Assignment),
	}
}

// Next returns the offset after the last applied record.
func (s *State) Next() uint64 { return s.next }

// Skipped returns the number of records that were malformed, of an unknown kind or
// of a newer version.
func (s *State) Skipped() uint64 { return s.skipped }

// Member returns the member with the id.
func (s *State) Member(id model.MemberID) (Member, bool) {
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Members returns all members sorted by id.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return members
}

// Assignment returns the assignment of the partition, or the zero value if the
// partition is unknown.
func (s *State) Assignment(p model.PartitionID) Assignment { return s.partitions[p] }

// Owner returns the peer address of the partition's owner and the epoch. ok is
// false if the partition has no owner.
func (s *State) Owner(p model.PartitionID) (address string, epoch model.Epoch, ok bool) {
	a := s.partitions[p]
	m := s.members[a.Owner]
	if m == nil {
		return "", 0, false
	}
	return m.Address, a.Epoch, true
}

// Partitions returns the ids of all known partitions, sorted.
func (s *State) Partitions() []model.PartitionID {
	ids := make([]model.PartitionID, 0, len(s.partitions))
	for p := range s.partitions {
		ids = append(ids, p)
	}
	slices.Sort(ids)
	return ids
}

// OwnedBy returns the partitions that the member owns and their epochs.
func (s *State) OwnedBy(id model.MemberID) map[model.PartitionID]model.Epoch {
	owned := make(map[model.PartitionID]model.Epoch)
	for p, a := range s.partitions {
		if a.Owner == id {
			owned[p] = a.Epoch
		}
	}
	return owned
}

// Decode decodes a record. It returns nil if the record is malformed or of a
// newer version; Apply skips and counts a nil record.
func Decode(data []byte) *logpb.MembersRecord {
	record := &logpb.MembersRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil
	}
	if record.GetVersion() > RecordVersion {
		return nil
	}
	return record
}

// Apply applies the record at the offset to the state. Records before Next are
// ignored, so that records may be read twice.
func (s *State) Apply(offset uint64, record *logpb.MembersRecord) Change {
	if offset < s.next {
		return Change{}
	}
	s.next = offset + 1
	var change Change
	switch body := record.GetBody().(type) {
	case *logpb.MembersRecord_Join:
		s.applyJoin(offset, body.Join, &change)
	case *logpb.MembersRecord_Renewal:
		s.applyRenewal(offset, body.Renewal, &change)
	case *logpb.MembersRecord_Claim:
		s.applyClaim(offset, body.Claim, &change)
	case *logpb.MembersRecord_Release:
		s.applyRelease(offset, body.Release, &change)
	case *logpb.MembersRecord_Leave:
		s.remove(model.MemberID(body.Leave.GetMember()), &change)
	case *logpb.MembersRecord_Checkpoint:
	default:
		s.skipped++
	}
	return change
}

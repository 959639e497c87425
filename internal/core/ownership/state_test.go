package ownership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// naiveState computes every answer from the complete history.
type naiveState struct {
	records []*logpb.MembersRecord
}

// owner returns the assignment of the partition.
func (n naiveState) owner(p model.PartitionID) Assignment {
	var a Assignment
	for offset, record := range n.records {
		before := naiveState{n.records[:offset]}
		switch {
		case record.GetClaim() != nil:
			a = before.afterClaim(record.GetClaim(), offset, p, a)
		case record.GetRelease() != nil:
			a = before.afterRelease(record.GetRelease(), offset, p, a)
		case record.GetLeave() != nil && record.GetLeave().GetMember() == string(a.Owner):
			a.Owner = ""
		}
	}
	return a
}

func (n naiveState) afterClaim(claim *logpb.Claim, offset int, p model.PartitionID, a Assignment) Assignment {
	if !n.mayClaim(claim) {
		return a
	}
	for _, c := range claim.GetPartitions() {
		if c.GetPartition() != string(p) || c.GetEpoch() != uint64(a.Epoch) {
			continue
		}
		last, _ := n.renewal(string(a.Owner))
		if a.Owner == "" || (c.GetHolder() == string(a.Owner) && c.GetHolderRenewal() == last) {
			a = Assignment{model.MemberID(claim.GetMember()), model.Epoch(offset)}
		}
	}
	for _, l := range claim.GetLapsed() {
		last, ok := n.renewal(l.GetMember())
		if ok && last == l.GetRenewal() && l.GetMember() == string(a.Owner) && l.GetMember() != claim.GetMember() {
			a.Owner = ""
		}
	}
	return a
}

func (n naiveState) afterRelease(release *logpb.Release, offset int, p model.PartitionID, a Assignment) Assignment {
	for _, r := range release.GetPartitions() {
		if r.GetPartition() != string(p) || release.GetMember() != string(a.Owner) ||
			r.GetEpoch() != uint64(a.Epoch) || a.Owner == "" {
			continue
		}
		if _, ok := n.renewal(r.GetTo()); ok {
			a = Assignment{model.MemberID(r.GetTo()), model.Epoch(offset)}
		} else if r.GetForget() {
			a = Assignment{}
		} else {
			a.Owner = ""
		}
	}
	return a
}

func (n naiveState) mayClaim(claim *logpb.Claim) bool {
	joined, _, ok := n.member(claim.GetMember())
	return ok && joined == claim.GetJoined()
}

// renewal returns the offset of the member's last renewal. ok is false if it is
// not a member.
func (n naiveState) renewal(member string) (last uint64, ok bool) {
	_, last, ok = n.member(member)
	return last, ok
}

func (n naiveState) member(member string) (joined, last uint64, ok bool) {
	for offset, record := range n.records {
		switch {
		case record.GetJoin() != nil && record.GetJoin().GetMember() == member && !ok:
			joined, last, ok = uint64(offset), uint64(offset), member != ""
		case record.GetRenewal() != nil && record.GetRenewal().GetMember() == member && ok:
			last = uint64(offset)
		case record.GetLeave() != nil && record.GetLeave().GetMember() == member:
			ok = false
		case record.GetClaim() != nil:
			claim := record.GetClaim()
			if !(naiveState{n.records[:offset]}).mayClaim(claim) || claim.GetMember() == member {
				continue
			}
			for _, l := range record.GetClaim().GetLapsed() {
				ok = ok && (l.GetMember() != member || l.GetRenewal() != last)
			}
		}
	}
	return joined, last, ok
}

var (
	someMembers    = []string{"a", "b", "c"}
	somePartitions = []string{"system", "rack/1", "rack/2"}
)

// drawRecord draws a record. The deltas make the offsets and epochs of some claims
// and releases wrong; they are mostly 0, so that many records are valid.
func drawRecord(t *rapid.T, s *State) *logpb.MembersRecord {
	member := rapid.SampledFrom(someMembers).Draw(t, "member")
	other := rapid.SampledFrom(someMembers).Draw(t, "other")
	p := rapid.SampledFrom(somePartitions).Draw(t, "partition")
	delta := uint64(max(0, rapid.IntRange(-4, 1).Draw(t, "delta")))
	epochDelta := uint64(max(0, rapid.IntRange(-4, 1).Draw(t, "epoch delta")))
	joinedDelta := uint64(max(0, rapid.IntRange(-9, 1).Draw(t, "joined delta")))
	claimer, _ := s.Member(model.MemberID(member))
	a := s.Assignment(model.PartitionID(p))
	owner, _ := s.Member(a.Owner)
	expired, _ := s.Member(model.MemberID(other))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		return NewRecord("", &logpb.Join{Member: member, Address: member})
	case 2, 3:
		return NewRecord("", &logpb.Renewal{Member: member, ReadNext: s.Next()})
	case 4, 5, 6:
		joined := claimer.Joined + joinedDelta
		claim := &logpb.Claim{Member: member, Joined: joined, Partitions: []*logpb.PartitionClaim{{
			Partition: p, Epoch: uint64(a.Epoch) + epochDelta, Holder: string(a.Owner), HolderRenewal: owner.Renewed + delta,
		}}}
		if rapid.Bool().Draw(t, "removes") {
			claim.Lapsed = []*logpb.LapsedMember{{Member: other, Renewal: expired.Renewed + delta}}
		}
		return NewRecord("", claim)
	case 7, 8:
		return NewRecord("", &logpb.Release{Member: string(a.Owner), Partitions: []*logpb.ReleasedPartition{{
			Partition: p, Epoch: uint64(a.Epoch) + delta,
			To:     rapid.SampledFrom(append(someMembers, "")).Draw(t, "to"),
			Forget: rapid.Bool().Draw(t, "forget"),
		}}})
	default:
		return NewRecord("", &logpb.Leave{Member: member})
	}
}

func TestStateMatchesNaiveReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(0)
		var naive naiveState
		for offset := range rapid.IntRange(1, 40).Draw(t, "records") {
			record := drawRecord(t, s)
			s.Apply(uint64(offset), record)
			naive.records = append(naive.records, record)
		}
		for _, p := range somePartitions {
			id := model.PartitionID(p)
			require.Equal(t, naive.owner(id), s.Assignment(id), p)
		}
		for _, m := range someMembers {
			last, ok := naive.renewal(m)
			got, member := s.Member(model.MemberID(m))
			require.Equal(t, ok, member, m)
			if ok {
				require.Equal(t, last, got.Renewed, m)
			}
		}
	})
}

func TestCheckpointReplacesTruncatedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := NewState(0)
		var records []*logpb.MembersRecord
		count := rapid.IntRange(5, 40).Draw(t, "records")
		earliest := rapid.IntRange(1, count-2).Draw(t, "kept")
		takenAt := rapid.IntRange(earliest, count-2).Draw(t, "taken")
		appendedAt := rapid.IntRange(takenAt+1, count-1).Draw(t, "appended")
		var checkpoint *logpb.MembersRecord
		for offset := range count {
			record := drawRecord(t, full)
			if offset == takenAt {
				checkpoint = NewRecord("", full.Checkpoint())
			}
			if offset == appendedAt {
				record = proto.CloneOf(checkpoint)
			}
			full.Apply(uint64(offset), record)
			records = append(records, record)
		}
		replay := NewReplay(uint64(earliest))
		for offset := earliest; offset < count; offset++ {
			replay.Apply(uint64(offset), records[offset])
		}
		require.NotNil(t, replay.State())
		require.True(t, full.Equal(replay.State()))
	})
}

func TestCheckpointWithAGapIsNotUsed(t *testing.T) {
	s := NewState(0)
	s.Apply(0, NewRecord("", &logpb.Join{Member: "a"}))
	replay := NewReplay(3) // records 1 and 2 are truncated
	replay.Apply(3, NewRecord("", s.Checkpoint()))
	assert.Nil(t, replay.State())
	assert.False(t, replay.AssumeEmpty())
}

func TestNewerAndMalformedRecordsAreSkippedAndCounted(t *testing.T) {
	s := NewState(0)
	newer, err := proto.Marshal(&logpb.MembersRecord{
		Version: RecordVersion + 1,
		Body:    &logpb.MembersRecord_Join{Join: &logpb.Join{Member: "a"}},
	})
	require.NoError(t, err)
	s.Apply(0, Decode(newer))
	s.Apply(1, Decode([]byte{0xff, 0xff}))
	s.Apply(2, Decode(nil))
	assert.Equal(t, uint64(3), s.Skipped())
	assert.Equal(t, uint64(3), s.Next())
	assert.Empty(t, s.Members())
}

func FuzzDecodeAndApply(f *testing.F) {
	s := NewState(0)
	s.Apply(0, NewRecord("", &logpb.Join{Member: "a"}))
	for _, body := range []any{
		&logpb.Join{Member: "a"}, s.Checkpoint(),
		&logpb.Claim{Member: "a", Partitions: []*logpb.PartitionClaim{{Partition: "system"}}},
	} {
		data, err := proto.Marshal(NewRecord("id", body))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		replay := NewReplay(0)
		record := Decode(data)
		for offset := range uint64(3) {
			replay.Apply(offset, record)
		}
		if got := replay.State().Next(); got != 3 {
			t.Fatalf("next offset is %d, want 3", got)
		}
		late := NewReplay(1)
		late.Apply(1, record)
		if s := late.State(); s != nil {
			for _, p := range s.Partitions() {
				a := s.Assignment(p)
				if _, ok := s.Member(a.Owner); a.Owner != "" && !ok {
					t.Fatalf("owner of %s is not a member", p)
				}
			}
		}
	})
}

package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// sizedState returns a state with the given numbers of members and racks.
func sizedState(members, racks int) *State {
	s := NewState(0)
	for i := range members {
		s.Apply(s.Next(), NewRecord("", &logpb.Join{Member: fmt.Sprint("m", i), FailureDomain: fmt.Sprint(i % 4)}))
	}
	for i := range racks {
		s.Apply(s.Next(), NewRecord("", &logpb.Claim{Member: fmt.Sprint("m", i%members), Joined: uint64(i % members),
			Partitions: []*logpb.PartitionClaim{{Partition: string(model.RackPartition(fmt.Sprint(i)))}}}))
	}
	return s
}

func BenchmarkApplyRenewal(b *testing.B) {
	s := sizedState(24, 300)
	for i := range b.N {
		s.Apply(s.Next(), NewRecord("id", &logpb.Renewal{Member: fmt.Sprint("m", i%24), ReadNext: s.Next()}))
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ members, racks int }{{9, 30}, {24, 300}, {250, 3240}} {
		s := sizedState(size.members, size.racks)
		b.Run(fmt.Sprintf("%d members %d partitions", size.members, size.racks), func(b *testing.B) {
			for range b.N {
				MakePlan(s.Partitions(), s.Members(), func(p model.PartitionID) model.MemberID {
					return s.Assignment(p).Owner
				})
			}
		})
	}
}

func BenchmarkCheckAndGrantPromise(b *testing.B) {
	s := sizedState(24, 300)
	p := NewPromises()
	owned := OwnedPartitions(s.OwnedBy("m1"))
	for i := range b.N {
		if p.CheckRequest(s, "m1", owned, time.Duration(i)) == "" {
			p.Grant("m1", owned, time.Duration(i)+term)
		}
	}
}

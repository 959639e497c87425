package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

const (
	rack  model.PartitionID = "rack/1"
	lease                   = 1500 * time.Millisecond
	term                    = 5 * time.Second
)

// ownedByA returns a state in which "a" owns the rack since offset 2.
func ownedByA() *State {
	s := NewState(0)
	s.Apply(0, NewRecord("", &logpb.Join{Member: "a"}))
	s.Apply(1, NewRecord("", &logpb.Join{Member: "b"}))
	s.Apply(2, NewRecord("", claimOf("a", "", 0)))
	return s
}

func claimOf(claimer, owner string, epoch uint64) *logpb.Claim {
	joined := map[string]uint64{"a": 0, "b": 1}[claimer]
	return &logpb.Claim{Member: claimer, Joined: joined, Partitions: []*logpb.PartitionClaim{
		{Partition: string(rack), Epoch: epoch, Holder: owner, HolderRenewal: 0},
	}}
}

func TestClaimSentBeforeRemovalIsIgnoredAfterRejoin(t *testing.T) {
	s := ownedByA()
	late := claimOf("b", "a", 2)
	s.Apply(3, NewRecord("", &logpb.Claim{Member: "a", Lapsed: []*logpb.LapsedMember{{Member: "b", Renewal: 1}}}))
	s.Apply(4, NewRecord("", &logpb.Join{Member: "b"}))
	s.Apply(5, NewRecord("", late))
	assert.Equal(t, model.MemberID("a"), s.Assignment(rack).Owner,
		"a no longer asked b for promises when the claim was applied")
}

func TestLateRenewalCountsFromWhenItWasSent(t *testing.T) {
	l := NewLease(lease)
	l.RenewalSent("old", time.Second)
	l.RenewalSent("new", 2*time.Second)
	l.RenewalRead("new")
	assert.Equal(t, 2*time.Second+lease, l.Expiry())
	sent, _ := l.RenewalRead("old")
	assert.Equal(t, time.Second, sent, "a renewal read after a newer one must keep its own send time")
	assert.Equal(t, 2*time.Second+lease, l.Expiry())
	_, ok := l.RenewalRead("old")
	assert.False(t, ok, "a second copy must be ignored")
}

func TestPendingClaimBlocksPromises(t *testing.T) {
	s := ownedByA()
	p := NewPromises()
	p.ClaimSent("c", claimOf("b", "a", 2))
	assert.NotEmpty(t, p.CheckRequest(s, "a", OwnedPartitions{rack: 2}, 0))
	assert.Empty(t, p.CheckRequest(s, "a", OwnedPartitions{"rack/2": 9}, 0), "the claim does not cover other partitions")
	s.Apply(3, NewRecord("", &logpb.Renewal{Member: "a", ReadNext: 3}))
	assert.Empty(t, p.CheckRequest(s, "a", OwnedPartitions{rack: 2}, 0), "the renewal supersedes the claim")
}

func TestPendingRemovalBlocksPromises(t *testing.T) {
	p := NewPromises()
	p.ClaimSent("c", &logpb.Claim{Member: "b", Lapsed: []*logpb.LapsedMember{{Member: "a", Renewal: 0}}})
	assert.NotEmpty(t, p.CheckRequest(ownedByA(), "a", OwnedPartitions{rack: 2}, 0))
}

func TestPromiseThatContradictsTheLogIsRefused(t *testing.T) {
	s := ownedByA()
	s.Apply(3, NewRecord("", claimOf("b", "a", 2)))
	p := NewPromises()
	assert.NotEmpty(t, p.CheckRequest(s, "a", OwnedPartitions{rack: 2}, 0), "b owns the rack")
	assert.Empty(t, p.CheckRequest(s, "a", OwnedPartitions{rack: 9}, 0), "a has read records that this member has not")
	assert.NotEmpty(t, p.CheckRequest(nil, "a", OwnedPartitions{rack: 2}, 0))
}

func TestPromiseBlocksClaimAndRemovalUntilItEnds(t *testing.T) {
	p := NewPromises()
	p.Grant("a", OwnedPartitions{rack: 2}, term)
	p.Grant("a", OwnedPartitions{rack: 2}, time.Second) // must not shorten the promise
	p.Prune(ownedByA(), term-1)
	assert.True(t, p.BlocksClaim(rack, term-1))
	assert.True(t, p.BlocksRemoval("a", term-1))
	assert.False(t, p.BlocksClaim(rack, term))
	assert.False(t, p.BlocksRemoval("a", term))
}

// round returns a round in which member "a" asked members "b" and "c", with the
// given answers.
func round(x *Extension, now time.Duration, b, c Answer) *Round {
	r := x.Begin(OwnedPartitions{rack: 2}, []Member{{ID: "b"}, {ID: "c"}}, now)
	r.Answers["b"] = b
	r.Answers["c"] = c
	return r
}

func TestExtensionNeedsEveryMember(t *testing.T) {
	var x Extension
	assert.False(t, x.Finish(round(&x, 0, Granted, Refused), 1, lease, term))
	assert.True(t, x.Finish(round(&x, 0, Granted, Granted), 1, lease, term))
	assert.Equal(t, term, x.Expiry(rack, 2))
	assert.Zero(t, x.Expiry(rack, 3), "the promise is for another epoch")
	assert.Zero(t, x.Expiry("rack/2", 2))
}

func TestEndedMemberIsExemptOnlyIfItEndedDuringTheLease(t *testing.T) {
	var x Extension
	assert.False(t, x.Finish(round(&x, 0, Granted, Ended), lease, lease, term),
		"c may have sent a claim between the expiry of the lease and its own end")
	assert.True(t, x.Finish(round(&x, 0, Granted, Ended), lease-1, lease, term))
	late := term + time.Second
	assert.True(t, x.Finish(round(&x, late, Granted, Ended), late, lease, term),
		"c ended during the lease and cannot have sent a claim since")
	assert.False(t, x.Finish(round(&x, 2*late, Ended, Ended), 2*late+term, lease, term))
	x.LeaseRenewed()
	assert.False(t, x.Finish(round(&x, 4*late, Granted, Ended), 4*late, lease, term))
}

func TestJoinedMemberEndsExtension(t *testing.T) {
	var x Extension
	begun := round(&x, 0, Granted, Granted)
	assert.True(t, x.Finish(begun, 1, lease, term))
	x.Invalidate()
	assert.Zero(t, x.Expiry(rack, 2))
	assert.False(t, x.Finish(begun, 2, lease, term), "the new member was not asked in this round")
}

func TestInView(t *testing.T) {
	assert.True(t, InView(Member{ReadNext: 8}, Member{Joined: 7}))
	assert.False(t, InView(Member{ReadNext: 7}, Member{Joined: 7}))
}

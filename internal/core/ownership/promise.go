package ownership

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// OwnedPartitions maps the partitions that a member owns to their epochs.
type OwnedPartitions map[model.PartitionID]model.Epoch

// Promises are the promises that a member has granted to owners that cannot
// reach the log: until a promise expires, the member neither claims the owner's
// partitions nor removes the owner. Promises also keeps the claims that this member
// has sent and that may still be applied.
type Promises struct {
	partitions    map[model.PartitionID]time.Duration // expiry of the promise not to claim
	members       map[model.MemberID]time.Duration    // expiry of the promise not to remove
	pendingClaims map[string]*logpb.Claim             // by record id
}

// NewPromises returns an empty set of promises.
func NewPromises() *Promises {
	return &Promises{
		partitions:    make(map[model.PartitionID]time.Duration),
		members:       make(map[model.MemberID]time.Duration),
		pendingClaims: make(map[string]*logpb.Claim),
	}
}

// ClaimSent records a claim that is about to be sent.
func (p *Promises) ClaimSent(id string, claim *logpb.Claim) { p.pendingClaims[id] = claim }

// ClaimSettled drops the pending claim with the id, which has been read from the
// log or was certainly not appended.
func (p *Promises) ClaimSettled(id string) { delete(p.pendingClaims, id) }

// Prune drops pending claims that can no longer take effect and expired
// promises.
func (p *Promises) Prune(s *State, now time.Duration) {
	for id, claim := range p.pendingClaims {
		if s.superseded(claim) {
			delete(p.pendingClaims, id)
		}
	}
	for id, until := range p.partitions {
		if until <= now {
			delete(p.partitions, id)
		}
	}
	for id, until := range p.members {
		if until <= now {
			delete(p.members, id)
		}
	}
}

// ClaimPending reports whether a claim of the partition may still be applied.
func (p *Promises) ClaimPending(id model.PartitionID) bool {
	for _, claim := range p.pendingClaims {
		for _, c := range claim.GetPartitions() {
			if c.GetPartition() == string(id) {
				return true
			}
		}
	}
	return false
}

// BlocksClaim reports whether a promise forbids claiming the partition.
func (p *Promises) BlocksClaim(id model.PartitionID, now time.Duration) bool {
	return now < p.partitions[id]
}

// BlocksRemoval reports whether a promise forbids removing the member.
func (p *Promises) BlocksRemoval(id model.MemberID, now time.Duration) bool {
	return now < p.members[id]
}

// CheckRequest returns the reason why the requester must be refused a promise,
// or "" if it can be granted. s is nil while the state is unknown.
func (p *Promises) CheckRequest(s *State, requester model.MemberID, owned OwnedPartitions, now time.Duration) (refusal string) {
	if s == nil {
		return "the state is not known yet"
	}
	p.Prune(s, now)
	for _, claim := range p.pendingClaims {
		if affects(claim, requester, owned) {
			return "a claim may still land"
		}
	}
	for id, epoch := range owned {
		if s.contradicts(id, Assignment{requester, epoch}) {
			return "the log gave " + string(id) + " to another holder"
		}
	}
	return ""
}

// Grant records a promise to the requester until the given clock reading.
// CheckRequest must have allowed it.
func (p *Promises) Grant(requester model.MemberID, owned OwnedPartitions, until time.Duration) {
	for id := range owned {
		p.partitions[id] = max(p.partitions[id], until)
	}
	p.members[requester] = max(p.members[requester], until)
}

// affects reports whether the claim, if applied, may take a partition from the
// requester or remove it.
func affects(claim *logpb.Claim, requester model.MemberID, owned OwnedPartitions) bool {
	for _, c := range claim.GetPartitions() {
		if _, ok := owned[model.PartitionID(c.GetPartition())]; ok {
			return true
		}
	}
	for _, l := range claim.GetLapsed() {
		if l.GetMember() == string(requester) {
			return true
		}
	}
	return false
}

// contradicts reports whether the state has applied the record at offset a.Epoch
// although the partition's assignment is not a.
func (s *State) contradicts(p model.PartitionID, a Assignment) bool {
	if s.next <= uint64(a.Epoch) {
		return false
	}
	return s.partitions[p] != a
}

// superseded reports whether no part of the claim can take effect any more:
// epochs and renewal offsets only increase, so an outdated claim stays invalid.
func (s *State) superseded(claim *logpb.Claim) bool {
	for _, c := range claim.GetPartitions() {
		if s.validClaim(c) {
			return false
		}
	}
	for _, l := range claim.GetLapsed() {
		m := s.members[model.MemberID(l.GetMember())]
		if m != nil && m.Renewed == l.GetRenewal() {
			return false
		}
	}
	return true
}

// Answer is the outcome of a request for a promise.
type Answer int

// The outcomes of a request for a promise.
const (
	Unanswered Answer = iota
	Refused
	Granted
	Ended // the process that was asked has certainly ended
)

// Round is one round of promise requests to every member of the view, the other
// members that the owner has read from the log.
type Round struct {
	SentAt     time.Duration // clock reading before the first request was sent
	Owned      OwnedPartitions
	Answers    map[model.MemberID]Answer // by member of the view
	generation int
}

// Extension is an owner's lease while it cannot reach the log. It requires a
// promise of every other member of the owner's view. The zero value is an
// extension that is not active.
type Extension struct {
	expiry     time.Duration
	owned      OwnedPartitions
	ended      map[model.MemberID]bool
	generation int
}

// Begin starts a round that asks the members of view for promises about the
// partitions in owned.
func (x *Extension) Begin(owned OwnedPartitions, view []Member, now time.Duration) *Round {
	round := &Round{
		SentAt:     now,
		Owned:      owned,
		Answers:    make(map[model.MemberID]Answer, len(view)),
		generation: x.generation,
	}
	for _, m := range view {
		round.Answers[m.ID] = Unanswered
	}
	return round
}

// Finish extends the lease to term after the start of the round if every member
// has promised, and reports whether it did. A member that has ended is exempt
// only if it ended before the lease expired, because then it cannot have sent a
// claim. logExpiry is the expiry of the lease that was renewed through the log.
func (x *Extension) Finish(round *Round, now, logExpiry, term time.Duration) bool {
	if !x.Suffices(round, now, logExpiry) {
		return false
	}
	for id, answer := range round.Answers {
		if answer == Ended {
			x.setEnded(id)
		}
	}
	x.expiry = max(x.expiry, round.SentAt+term)
	x.owned = round.Owned
	return true
}

// Suffices reports whether the answers of the round are enough to extend the
// lease.
func (x *Extension) Suffices(round *Round, now, logExpiry time.Duration) bool {
	if round.generation != x.generation || len(round.Owned) == 0 {
		return false
	}
	leaseActive := now < logExpiry || (now < x.expiry && x.covers(round.Owned))
	for id, answer := range round.Answers {
		exempt := answer == Ended && (leaseActive || x.ended[id])
		if answer != Granted && !exempt {
			return false
		}
	}
	return true
}

func (x *Extension) covers(owned OwnedPartitions) bool {
	for p, epoch := range owned {
		if x.owned[p] != epoch {
			return false
		}
	}
	return true
}

func (x *Extension) setEnded(id model.MemberID) {
	if x.ended == nil {
		x.ended = make(map[model.MemberID]bool)
	}
	x.ended[id] = true
}

// Expiry returns the clock reading at which the extension expires for the
// partition, or 0 if the extension does not cover the partition and epoch.
func (x *Extension) Expiry(p model.PartitionID, epoch model.Epoch) time.Duration {
	if owned, ok := x.owned[p]; !ok || owned != epoch {
		return 0
	}
	return x.expiry
}

// Invalidate ends the extension and all rounds in progress. It is called when the
// view may have a member that was not asked for a promise.
func (x *Extension) Invalidate() {
	x.expiry = 0
	x.generation++
}

// LeaseRenewed records that the lease was renewed through the log. Exemptions of
// ended members must be established again afterwards.
func (x *Extension) LeaseRenewed() { clear(x.ended) }

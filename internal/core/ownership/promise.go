package ownership

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Held lists partitions with the epochs under which they are held.
type Held map[model.PartitionID]model.Epoch

// Promises is what a member owes to holders that have lost the log: it does
// not claim their partitions and does not remove them. It also remembers the
// claims that this member has sent and that may still land.
type Promises struct {
	partitions map[model.PartitionID]time.Duration // until
	holders    map[model.MemberID]time.Duration    // until
	sent       map[string]*logpb.Claim             // by record id
}

// NewPromises returns the promises of a member that owes none.
func NewPromises() *Promises {
	return &Promises{
		partitions: make(map[model.PartitionID]time.Duration),
		holders:    make(map[model.MemberID]time.Duration),
		sent:       make(map[string]*logpb.Claim),
	}
}

// ClaimSent notes a claim before it is sent.
func (p *Promises) ClaimSent(id string, claim *logpb.Claim) { p.sent[id] = claim }

// ClaimRead notes that the claim with the id has been read from the log.
func (p *Promises) ClaimRead(id string) { delete(p.sent, id) }

// Prune drops sent claims that can no longer stand, and promises that have
// run out.
func (p *Promises) Prune(s *State, now time.Duration) {
	for id, claim := range p.sent {
		if s.void(claim) {
			delete(p.sent, id)
		}
	}
	for id, until := range p.partitions {
		if until <= now {
			delete(p.partitions, id)
		}
	}
	for id, until := range p.holders {
		if until <= now {
			delete(p.holders, id)
		}
	}
}

// Sent reports whether a claim for the partition may still land.
func (p *Promises) ClaimPending(id model.PartitionID) bool {
	for _, claim := range p.sent {
		for _, c := range claim.GetPartitions() {
			if c.GetPartition() == string(id) {
				return true
			}
		}
	}
	return false
}

// Blocks reports whether a promise forbids to claim the partition.
func (p *Promises) BlocksClaim(id model.PartitionID, now time.Duration) bool {
	return now < p.partitions[id]
}

// BlocksRemoval reports whether a promise forbids to remove the member.
func (p *Promises) BlocksRemoval(id model.MemberID, now time.Duration) bool {
	return now < p.holders[id]
}

// Consider says why the holder's request for a promise cannot be granted, or
// returns "". s is nil while the state is unknown.
func (p *Promises) CheckRequest(s *State, holder model.MemberID, held Held, now time.Duration) (refusal string) {
	if s == nil {
		return "the state is not known yet"
	}
	p.Prune(s, now)
	for _, claim := range p.sent {
		if touches(claim, holder, held) {
			return "a claim may still land"
		}
	}
	for id, epoch := range held {
		if s.contradicts(id, Assignment{holder, epoch}) {
			return "the log gave " + string(id) + " to another holder"
		}
	}
	return ""
}

// Grant promises the holder what Consider did not refuse, until the given
// clock reading.
func (p *Promises) Grant(holder model.MemberID, held Held, until time.Duration) {
	for id := range held {
		p.partitions[id] = max(p.partitions[id], until)
	}
	p.holders[holder] = max(p.holders[holder], until)
}

// touches reports whether the claim, if it lands, may take something from the
// holder.
func touches(claim *logpb.Claim, holder model.MemberID, held Held) bool {
	for _, c := range claim.GetPartitions() {
		if _, ok := held[model.PartitionID(c.GetPartition())]; ok {
			return true
		}
	}
	for _, l := range claim.GetLapsed() {
		if l.GetMember() == string(holder) {
			return true
		}
	}
	return false
}

// contradicts reports whether the state is past the epoch and knows that the
// partition is no longer held as h says.
func (s *State) contradicts(p model.PartitionID, h Assignment) bool {
	if s.next <= uint64(h.Epoch) {
		return false
	}
	return s.partitions[p] != h
}

// void reports whether the claim can take nothing, now or later: epochs and
// renewals only move on.
func (s *State) void(claim *logpb.Claim) bool {
	for _, c := range claim.GetPartitions() {
		if s.stands(c) {
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

// Answer is what became of a request for a promise.
type Answer int

// The answers to a request for a promise.
const (
	Unanswered Answer = iota
	Refused
	Granted
	Ended // the asked process has certainly ended
)

// Round is one attempt to gather promises from every member of the view.
type Round struct {
	SentAt     time.Duration // clock reading before the first request was sent
	Held       Held
	Answers    map[model.MemberID]Answer // one entry for each member of the view
	generation int
}

// Extension is a holder's lease while it has lost the log. It rests on a
// promise of every other member of its view.
type Extension struct {
	until      time.Duration
	held       Held
	gone       map[model.MemberID]bool
	generation int
}

// Begin starts a round for what the holder has, asking the members of view.
func (x *Extension) Begin(held Held, view []Member, now time.Duration) *Round {
	round := &Round{
		SentAt:     now,
		Held:       held,
		Answers:    make(map[model.MemberID]Answer, len(view)),
		generation: x.generation,
	}
	for _, m := range view {
		round.Answers[m.ID] = Unanswered
	}
	return round
}

// Finish extends the lease by term from when the round began, if every member
// has promised. A member that has ended is excepted only if it ended while the
// lease still ran, for then it cannot have sent a claim; logUntil is the end
// of the lease that was read back from the log.
func (x *Extension) Finish(round *Round, now, logUntil, term time.Duration) bool {
	if !x.Suffices(round, now, logUntil) {
		return false
	}
	for id, answer := range round.Answers {
		if answer == Ended {
			x.setGone(id)
		}
	}
	x.until = max(x.until, round.SentAt+term)
	x.held = round.Held
	return true
}

// Suffices reports whether the answers of the round extend the lease.
func (x *Extension) Suffices(round *Round, now, logUntil time.Duration) bool {
	if round.generation != x.generation || len(round.Held) == 0 {
		return false
	}
	unbroken := now < logUntil || (now < x.until && x.covers(round.Held))
	for id, answer := range round.Answers {
		excepted := answer == Ended && (unbroken || x.gone[id])
		if answer != Granted && !excepted {
			return false
		}
	}
	return true
}

func (x *Extension) covers(held Held) bool {
	for p, epoch := range held {
		if x.held[p] != epoch {
			return false
		}
	}
	return true
}

func (x *Extension) setGone(id model.MemberID) {
	if x.gone == nil {
		x.gone = make(map[model.MemberID]bool)
	}
	x.gone[id] = true
}

// Until returns when the extension of the partition runs out.
func (x *Extension) Expiry(p model.PartitionID, epoch model.Epoch) time.Duration {
	if held, ok := x.held[p]; !ok || held != epoch {
		return 0
	}
	return x.until
}

// ViewGrew ends the extension, because a member that was not asked has
// joined. Rounds under way are void.
func (x *Extension) MemberJoined() {
	x.until = 0
	x.generation++
}

// Renewed notes that the log lease was renewed, from which on exceptions have
// to be established anew.
func (x *Extension) LeaseRenewed() { clear(x.gone) }

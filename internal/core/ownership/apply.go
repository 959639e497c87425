package ownership

import (
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

func (s *State) applyJoin(offset uint64, join *logpb.Join, change *Change) {
	id := model.MemberID(join.GetMember())
	if id == "" || s.members[id] != nil {
		return
	}
	s.members[id] = &Member{
		ID:      id,
		Address: join.GetAddress(),
		Domain:  model.FailureDomain(join.GetFailureDomain()),
		Joined:  offset,
		Renewed: offset,
	}
	change.Joined = id
	change.MembersChanged = true
	change.Renewed = id
}

func (s *State) applyRenewal(offset uint64, renewal *logpb.Renewal, change *Change) {
	m := s.members[model.MemberID(renewal.GetMember())]
	if m == nil {
		return
	}
	m.Renewed = offset
	m.ReadNext = max(m.ReadNext, renewal.GetReadNext())
	change.Renewed = m.ID
	if renewal.GetLeaving() && !m.Leaving {
		m.Leaving = true
		change.MembersChanged = true
	}
}

func (s *State) applyClaim(offset uint64, claim *logpb.Claim, change *Change) {
	claimer := model.MemberID(claim.GetMember())
	if m := s.members[claimer]; m == nil || m.Joined != claim.GetJoined() {
		return
	}
	for _, c := range claim.GetPartitions() {
		if s.validClaim(c) {
			s.set(model.PartitionID(c.GetPartition()), Assignment{claimer, model.Epoch(offset)}, change)
		}
	}
	for _, l := range claim.GetLapsed() {
		m := s.members[model.MemberID(l.GetMember())]
		if m != nil && m.ID != claimer && m.Renewed == l.GetRenewal() {
			s.remove(m.ID, change)
		}
	}
}

// validClaim reports whether the log allows the claim: the partition's epoch
// is still the claimed one and its owner, if any, has not renewed since the
// named renewal. A claim that names an owner which has been removed in the
// meantime is also valid, because the removal proves that the owner's lease
// expired.
func (s *State) validClaim(c *logpb.PartitionClaim) bool {
	a := s.partitions[model.PartitionID(c.GetPartition())]
	if c.GetPartition() == "" || a.Epoch != model.Epoch(c.GetEpoch()) {
		return false
	}
	if a.Owner == "" {
		return true
	}
	return string(a.Owner) == c.GetHolder() && s.members[a.Owner].Renewed == c.GetHolderRenewal()
}

func (s *State) applyRelease(offset uint64, release *logpb.Release, change *Change) {
	owner := model.MemberID(release.GetMember())
	for _, r := range release.GetPartitions() {
		p := model.PartitionID(r.GetPartition())
		if owner == "" || s.partitions[p] != (Assignment{owner, model.Epoch(r.GetEpoch())}) {
			continue
		}
		to := model.MemberID(r.GetTo())
		switch {
		case s.members[to] != nil:
			s.set(p, Assignment{to, model.Epoch(offset)}, change)
		case r.GetForget():
			delete(s.partitions, p)
			change.Partitions = append(change.Partitions, p)
		default:
			s.set(p, Assignment{"", model.Epoch(r.GetEpoch())}, change)
		}
	}
}

// remove deletes a member and leaves its partitions without an owner.
func (s *State) remove(id model.MemberID, change *Change) {
	if s.members[id] == nil {
		return
	}
	delete(s.members, id)
	change.MembersChanged = true
	for p, epoch := range s.OwnedBy(id) {
		s.set(p, Assignment{"", epoch}, change)
	}
}

func (s *State) set(p model.PartitionID, a Assignment, change *Change) {
	s.partitions[p] = a
	change.Partitions = append(change.Partitions, p)
}

// Checkpoint returns the state as the body of a checkpoint record.
func (s *State) Checkpoint() *logpb.Checkpoint {
	c := &logpb.Checkpoint{Next: s.next}
	for _, m := range s.Members() {
		c.Members = append(c.Members, &logpb.CheckpointMember{
			Member:        string(m.ID),
			Address:       m.Address,
			FailureDomain: string(m.Domain),
			Joined:        m.Joined,
			Renewed:       m.Renewed,
			ReadNext:      m.ReadNext,
			Leaving:       m.Leaving,
		})
	}
	for _, p := range s.Partitions() {
		a := s.partitions[p]
		c.Partitions = append(c.Partitions, &logpb.CheckpointPartition{
			Partition: string(p),
			Owner:     string(a.Owner),
			Epoch:     uint64(a.Epoch),
		})
	}
	return c
}

// FromCheckpoint restores the state from a checkpoint.
func FromCheckpoint(c *logpb.Checkpoint) *State {
	s := NewState(c.GetNext())
	for _, m := range c.GetMembers() {
		id := model.MemberID(m.GetMember())
		s.members[id] = &Member{
			ID:       id,
			Address:  m.GetAddress(),
			Domain:   model.FailureDomain(m.GetFailureDomain()),
			Joined:   m.GetJoined(),
			Renewed:  m.GetRenewed(),
			ReadNext: m.GetReadNext(),
			Leaving:  m.GetLeaving(),
		}
	}
	for _, p := range c.GetPartitions() {
		a := Assignment{model.MemberID(p.GetOwner()), model.Epoch(p.GetEpoch())}
		if a.Owner != "" && s.members[a.Owner] == nil {
			a.Owner = ""
		}
		s.partitions[model.PartitionID(p.GetPartition())] = a
	}
	return s
}

// Equal reports whether both states have the same next offset, members and
// assignments. The count of skipped records is ignored, since a checkpoint does
// not contain it.
func (s *State) Equal(o *State) bool {
	if s.next != o.next || len(s.partitions) != len(o.partitions) {
		return false
	}
	for p, a := range s.partitions {
		if other, ok := o.partitions[p]; !ok || other != a {
			return false
		}
	}
	return slices.Equal(s.Members(), o.Members())
}

package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Plan says which member should hold each partition.
type Plan map[model.PartitionID]model.MemberID

// MakePlan spreads the partitions of each kind evenly over the members and
// their failure domains. It keeps partitions where owner says they are unless
// a move brings the spread closer to even; members may thus differ by one
// partition of each kind. The result depends on the arguments
// only, so members with equal states make equal plans. The order of the
// arguments does not matter; owners that are not members count as none.
func MakePlan(partitions []model.PartitionID, members []Member, owner func(model.PartitionID) model.MemberID) Plan {
	plan := make(Plan, len(partitions))
	if len(members) == 0 {
		return plan
	}
	p := newPlanner(members)
	for _, group := range byKind(partitions) {
		p.place(group, owner, plan)
	}
	return plan
}

// byKind sorts and groups the partitions, small kinds first, so that large
// kinds even out the totals.
func byKind(partitions []model.PartitionID) [][]model.PartitionID {
	kinds := make(map[model.PartitionKind][]model.PartitionID)
	for _, p := range partitions {
		kinds[p.Kind()] = append(kinds[p.Kind()], p)
	}
	groups := make([][]model.PartitionID, 0, len(kinds))
	for _, group := range kinds {
		slices.Sort(group)
		groups = append(groups, slices.Compact(group))
	}
	slices.SortFunc(groups, func(a, b []model.PartitionID) int {
		return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a[0], b[0]))
	})
	return groups
}

// seat is a member's place in a plan.
type seat struct {
	id     model.MemberID
	domain *domainLoad
	total  int                 // partitions of the kinds placed before
	mine   []model.PartitionID // of the kind being placed
}

type domainLoad struct {
	members int
	load    int // partitions of the kind being placed
}

type planner struct {
	seats []*seat // sorted by id
	byID  map[model.MemberID]*seat
}

func newPlanner(members []Member) *planner {
	p := &planner{byID: make(map[model.MemberID]*seat, len(members))}
	domains := make(map[model.FailureDomain]*domainLoad)
	for _, m := range members {
		d := domains[m.Domain]
		if d == nil {
			d = &domainLoad{}
			domains[m.Domain] = d
		}
		d.members++
		s := &seat{id: m.ID, domain: d}
		p.seats = append(p.seats, s)
		p.byID[m.ID] = s
	}
	slices.SortFunc(p.seats, func(a, b *seat) int { return cmp.Compare(a.id, b.id) })
	return p
}

// place plans the partitions of one kind.
func (p *planner) place(group []model.PartitionID, owner func(model.PartitionID) model.MemberID, plan Plan) {
	var homeless []model.PartitionID
	for _, id := range group {
		if s := p.byID[owner(id)]; s != nil {
			s.add(id)
		} else {
			homeless = append(homeless, id)
		}
	}
	for _, id := range homeless {
		p.emptiest(id).add(id)
	}
	for p.moveOne() {
	}
	for _, s := range p.seats {
		for _, id := range s.mine {
			plan[id] = s.id
		}
		s.total += len(s.mine)
		s.mine = nil
		s.domain.load = 0
	}
}

func (s *seat) add(id model.PartitionID) {
	s.mine = append(s.mine, id)
	s.domain.load++
}

// emptiest returns the seat that should take one more partition; equal seats
// are told apart by rendezvous hashing.
func (p *planner) emptiest(id model.PartitionID) *seat {
	return slices.MinFunc(p.seats, func(a, b *seat) int {
		return cmp.Or(
			cmp.Compare(len(a.mine), len(b.mine)),
			compareDomains(a.domain, b.domain),
			cmp.Compare(a.total, b.total),
			cmp.Compare(rendezvous(id, b.id), rendezvous(id, a.id)),
			cmp.Compare(a.id, b.id),
		)
	})
}

// moveOne moves a partition from the fullest seat to the emptiest if that
// makes the spread more even, and reports whether it did.
func (p *planner) moveOne() bool {
	from := slices.MaxFunc(p.seats, compareLoad)
	to := slices.MinFunc(p.seats, compareLoad)
	if len(from.mine)-len(to.mine) < 2 && !p.evensDomains(from, to) {
		return false
	}
	last := len(from.mine) - 1
	id := from.mine[last]
	from.mine = from.mine[:last]
	from.domain.load--
	to.add(id)
	return true
}

// evensDomains reports whether a move between seats that differ by one makes
// the load of the failure domains more even.
func (p *planner) evensDomains(from, to *seat) bool {
	if len(from.mine)-len(to.mine) != 1 || from.domain == to.domain {
		return false
	}
	after := &domainLoad{members: from.domain.members, load: from.domain.load - 1}
	grown := &domainLoad{members: to.domain.members, load: to.domain.load + 1}
	return compareDomains(after, grown) >= 0
}

// compareLoad orders seats by their own load, then by their domain's, then by
// what they hold of other kinds.
func compareLoad(a, b *seat) int {
	return cmp.Or(
		cmp.Compare(len(a.mine), len(b.mine)),
		compareDomains(a.domain, b.domain),
		cmp.Compare(a.total, b.total),
		cmp.Compare(a.id, b.id),
	)
}

// compareDomains orders failure domains by load per member.
func compareDomains(a, b *domainLoad) int {
	return cmp.Compare(a.load*b.members, b.load*a.members)
}

func rendezvous(p model.PartitionID, m model.MemberID) uint64 {
	return xxhash.Sum64String(string(m) + "\x00" + string(p))
}

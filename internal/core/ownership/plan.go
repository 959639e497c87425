package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Plan maps each partition to the member that should own it.
type Plan map[model.PartitionID]model.MemberID

// MakePlan distributes the partitions of each kind evenly over the members and
// their failure domains. A partition stays with its current owner unless moving
// it makes the distribution more even, so members may differ by one partition
// of each kind. The plan is a pure function of its arguments, so members with
// equal states make equal plans. The order of partitions and members does not
// matter. A partition whose owner is not a member is treated as unassigned.
func MakePlan(partitions []model.PartitionID, members []Member, owner func(model.PartitionID) model.MemberID) Plan {
	plan := make(Plan, len(partitions))
	if len(members) == 0 {
		return plan
	}
	p := newPlanner(members)
	for _, group := range groupByKind(partitions) {
		p.place(group, owner, plan)
	}
	return plan
}

// groupByKind groups the partitions by kind and sorts them. Kinds with few
// partitions come first, so that kinds with many can balance the totals.
func groupByKind(partitions []model.PartitionID) [][]model.PartitionID {
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

// memberLoad is the set of partitions that a plan assigns to a member.
type memberLoad struct {
	id       model.MemberID
	domain   *domainLoad
	placed   int                 // number of partitions of the kinds planned before
	assigned []model.PartitionID // of the kind being planned
}

type domainLoad struct {
	members int
	load    int // partitions of the kind being planned
}

type planner struct {
	loads []*memberLoad // sorted by id
	byID  map[model.MemberID]*memberLoad
}

func newPlanner(members []Member) *planner {
	p := &planner{byID: make(map[model.MemberID]*memberLoad, len(members))}
	domains := make(map[model.FailureDomain]*domainLoad)
	for _, m := range members {
		d := domains[m.Domain]
		if d == nil {
			d = &domainLoad{}
			domains[m.Domain] = d
		}
		d.members++
		l := &memberLoad{id: m.ID, domain: d}
		p.loads = append(p.loads, l)
		p.byID[m.ID] = l
	}
	slices.SortFunc(p.loads, func(a, b *memberLoad) int { return cmp.Compare(a.id, b.id) })
	return p
}

// place plans the partitions of one kind.
func (p *planner) place(group []model.PartitionID, owner func(model.PartitionID) model.MemberID, plan Plan) {
	var unassigned []model.PartitionID
	for _, id := range group {
		if l := p.byID[owner(id)]; l != nil {
			l.add(id)
		} else {
			unassigned = append(unassigned, id)
		}
	}
	for _, id := range unassigned {
		p.leastLoaded(id).add(id)
	}
	for p.moveOne() {
	}
	for _, l := range p.loads {
		for _, id := range l.assigned {
			plan[id] = l.id
		}
		l.placed += len(l.assigned)
		l.assigned = nil
		l.domain.load = 0
	}
}

func (l *memberLoad) add(id model.PartitionID) {
	l.assigned = append(l.assigned, id)
	l.domain.load++
}

// leastLoaded returns the member that gets the next partition. Rendezvous
// hashing breaks ties.
func (p *planner) leastLoaded(id model.PartitionID) *memberLoad {
	return slices.MinFunc(p.loads, func(a, b *memberLoad) int {
		return cmp.Or(
			cmp.Compare(len(a.assigned), len(b.assigned)),
			compareDomains(a.domain, b.domain),
			cmp.Compare(a.placed, b.placed),
			cmp.Compare(rendezvousHash(id, b.id), rendezvousHash(id, a.id)),
			cmp.Compare(a.id, b.id),
		)
	})
}

// moveOne moves a partition from the most to the least loaded member if that
// makes the distribution more even, and reports whether it did.
func (p *planner) moveOne() bool {
	from := slices.MaxFunc(p.loads, compareLoad)
	to := slices.MinFunc(p.loads, compareLoad)
	if len(from.assigned)-len(to.assigned) < 2 && !p.balancesDomains(from, to) {
		return false
	}
	last := len(from.assigned) - 1
	id := from.assigned[last]
	from.assigned = from.assigned[:last]
	from.domain.load--
	to.add(id)
	return true
}

// balancesDomains reports whether moving a partition between members that
// differ by one makes the load of the failure domains more even.
func (p *planner) balancesDomains(from, to *memberLoad) bool {
	if len(from.assigned)-len(to.assigned) != 1 || from.domain == to.domain {
		return false
	}
	fromAfter := &domainLoad{members: from.domain.members, load: from.domain.load - 1}
	toAfter := &domainLoad{members: to.domain.members, load: to.domain.load + 1}
	return compareDomains(fromAfter, toAfter) >= 0
}

// compareLoad orders members by their load, then by the load of their domain,
// then by their partitions of the kinds planned before.
func compareLoad(a, b *memberLoad) int {
	return cmp.Or(
		cmp.Compare(len(a.assigned), len(b.assigned)),
		compareDomains(a.domain, b.domain),
		cmp.Compare(a.placed, b.placed),
		cmp.Compare(a.id, b.id),
	)
}

// compareDomains orders failure domains by load per member.
func compareDomains(a, b *domainLoad) int {
	return cmp.Compare(a.load*b.members, b.load*a.members)
}

func rendezvousHash(p model.PartitionID, m model.MemberID) uint64 {
	return xxhash.Sum64String(string(m) + "\x00" + string(p))
}

package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// planCase is a random placement problem.
type planCase struct {
	partitions []model.PartitionID
	members    []Member
	owners     map[model.PartitionID]model.MemberID
}

func (c planCase) owner(p model.PartitionID) model.MemberID { return c.owners[p] }

func drawPlanCase(t *rapid.T) planCase {
	c := planCase{owners: make(map[model.PartitionID]model.MemberID)}
	domains := rapid.IntRange(1, 3).Draw(t, "domains")
	for i := range rapid.IntRange(1, 9).Draw(t, "members") {
		domain := model.FailureDomain(fmt.Sprint(rapid.IntRange(1, domains).Draw(t, "domain")))
		c.members = append(c.members, Member{ID: model.MemberID(fmt.Sprintf("m%d", i)), Domain: domain})
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "teams") {
		c.partitions = append(c.partitions, model.TeamPartition(model.TeamID(fmt.Sprint(i))))
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "racks") {
		c.partitions = append(c.partitions, model.RackPartition(fmt.Sprint(i)))
	}
	for _, p := range c.partitions { // the two highest indexes are not members
		owner := rapid.IntRange(0, len(c.members)+1).Draw(t, "owner")
		c.owners[p] = model.MemberID(fmt.Sprintf("m%d", owner))
	}
	return c
}

func (c planCase) loads(kind model.PartitionKind, owner func(model.PartitionID) model.MemberID) []int {
	loads := make([]int, len(c.members))
	for _, p := range c.partitions {
		for i, m := range c.members {
			if p.Kind() == kind && owner(p) == m.ID {
				loads[i]++
			}
		}
	}
	return loads
}

// naiveMoves returns the least number of moves that makes the distribution even.
// The most loaded members keep the larger quotas.
func naiveMoves(before []int, total int) int {
	loads := slices.Sorted(slices.Values(before))
	slices.Reverse(loads)
	moves := 0
	for i, load := range loads {
		quota := total / len(loads)
		if i < total%len(loads) {
			quota++
		}
		moves += max(0, load-quota)
	}
	return moves
}

func moves(c planCase, plan Plan, kind model.PartitionKind) int {
	isMember := make(map[model.MemberID]bool)
	for _, m := range c.members {
		isMember[m.ID] = true
	}
	n := 0
	for p, to := range plan {
		if p.Kind() == kind && isMember[c.owners[p]] && c.owners[p] != to {
			n++
		}
	}
	return n
}

func TestPlanIsEvenAndMovesNoMoreThanNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawPlanCase(t)
		plan := MakePlan(c.partitions, c.members, c.owner)
		require.Len(t, plan, len(c.partitions))
		planned := func(p model.PartitionID) model.MemberID { return plan[p] }
		oneDomain := !slices.ContainsFunc(c.members, func(m Member) bool { return m.Domain != c.members[0].Domain })
		for _, kind := range []model.PartitionKind{model.KindTeam, model.KindRack} {
			after := c.loads(kind, planned)
			require.LessOrEqual(t, slices.Max(after)-slices.Min(after), 1)
			total := 0
			for _, load := range after {
				total += load
			}
			needed := naiveMoves(c.loads(kind, c.owner), total)
			require.GreaterOrEqual(t, moves(c, plan, kind), needed)
			if oneDomain {
				require.Equal(t, needed, moves(c, plan, kind))
			}
		}
		again := MakePlan(c.partitions, c.members, planned)
		require.Equal(t, plan, again, "planning again after all moves must not move anything")
	})
}

func TestPlanDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawPlanCase(t)
		plan := MakePlan(c.partitions, c.members, c.owner)
		slices.Reverse(c.partitions)
		slices.Reverse(c.members)
		require.Equal(t, plan, MakePlan(c.partitions, c.members, c.owner))
	})
}

func TestFewPartitionsAreSpreadOverDomains(t *testing.T) {
	var members []Member
	for i := range 9 {
		domain := model.FailureDomain(fmt.Sprint(i / 3))
		members = append(members, Member{ID: model.MemberID(fmt.Sprint(i)), Domain: domain})
	}
	teams := []model.PartitionID{"team/a", "team/b", "team/c"}
	all := func(p model.PartitionID) model.MemberID { // all in the first domain
		return model.MemberID(fmt.Sprint(slices.Index(teams, p)))
	}
	plan := MakePlan(teams, members, all)
	used := make(map[model.FailureDomain]int)
	for _, m := range plan {
		for _, member := range members {
			if member.ID == m {
				used[member.Domain]++
			}
		}
	}
	assert.Equal(t, map[model.FailureDomain]int{"0": 1, "1": 1, "2": 1}, used)
}

func TestJoinMovesOneShareOnly(t *testing.T) {
	c := planCase{owners: make(map[model.PartitionID]model.MemberID)}
	for i := range 8 {
		c.members = append(c.members, Member{ID: model.MemberID(fmt.Sprintf("m%d", i))})
	}
	for i := range 72 {
		c.partitions = append(c.partitions, model.RackPartition(fmt.Sprint(i)))
	}
	c.owners = MakePlan(c.partitions, c.members, c.owner)
	c.members = append(c.members, Member{ID: "new"})
	plan := MakePlan(c.partitions, c.members, c.owner)
	assert.Equal(t, 8, moves(c, plan, model.KindRack))
}

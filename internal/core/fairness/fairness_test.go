package fairness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

var total = model.Resources{MilliCPU: 100_000, MemoryMiB: 100_000}

func drawDemands(t *rapid.T) []Demand {
	demands := make([]Demand, rapid.IntRange(1, 5).Draw(t, "teams"))
	for i := range demands {
		demands[i] = Demand{
			Team:   model.TeamID(fmt.Sprint(i)),
			Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
			Task: model.Resources{
				MilliCPU:  rapid.Int64Range(1, 20).Draw(t, "processors") * 100,
				MemoryMiB: rapid.Int64Range(1, 20).Draw(t, "memory") * 100 * rapid.Int64Range(0, 1).Draw(t, "any"),
			},
			Tasks: float64(rapid.IntRange(0, 300).Draw(t, "tasks")),
			Limit: total.Scale(2),
		}
		if rapid.Bool().Draw(t, "limited") {
			demands[i].Limit.MilliCPU /= 8
		}
	}
	return demands
}

// naiveFill raises all shares in small steps until no team can grow.
func naiveFill(demands []Demand) []float64 {
	const step = 1e-5 // dominant share per unit of weight
	tasks := make([]float64, len(demands))
	left := toVector(total)
	stopped := make([]bool, len(demands))
	for slices.Contains(stopped, false) {
		for i, d := range demands {
			grow := step * d.Weight / d.Task.DominantShare(total)
			use := toVector(d.Task)
			if stopped[i] || tasks[i]+grow > d.Tasks {
				stopped[i] = true
				continue
			}
			limit := toVector(d.Limit)
			for k := range use {
				if use[k] > 0 && (left[k] < grow*use[k] || (tasks[i]+grow)*use[k] > limit[k]) {
					stopped[i] = true
				}
			}
			if stopped[i] {
				continue
			}
			tasks[i] += grow
			for k := range use {
				left[k] -= grow * use[k]
			}
		}
	}
	return tasks
}

// Guards against wrong exact shares, which caps and benchmarks use as targets,
// by comparison with a simulation in small steps.
func TestWaterFillMatchesSmallSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		exact, naive := WaterFill(total, demands), naiveFill(demands)
		var used model.Resources
		for i, d := range demands {
			share := d.Task.DominantShare(total)
			require.InDelta(t, naive[i]*share, exact[i]*share, 2e-3, "team %d of %v", i, demands)
			used = used.Add(model.Resources{
				MilliCPU:  int64(exact[i] * float64(d.Task.MilliCPU)),
				MemoryMiB: int64(exact[i] * float64(d.Task.MemoryMiB)),
			})
		}
		require.True(t, used.Fits(total))
	})
}

func TestWaterFillContinuesForTeamsThatDoNotUseTheExhaustedResource(t *testing.T) {
	all := model.Resources{MilliCPU: 100, MemoryMiB: 100}
	tasks := WaterFill(all, []Demand{
		{Weight: 4, Task: model.Resources{MilliCPU: 1, MemoryMiB: 10}, Tasks: 100, Limit: all.Scale(10)},
		{Weight: 1, Task: model.Resources{MilliCPU: 10}, Tasks: 100, Limit: all.Scale(10)},
	})
	assert.InDeltaSlice(t, []float64{10, 9}, tasks, 1e-6)
}

func drawItem(t *rapid.T, id int) Item[int] {
	return Item[int]{
		ID: id, Urgent: rapid.Bool().Draw(t, "urgent"),
		Enqueued: time.Duration(rapid.IntRange(0, 5).Draw(t, "enqueued")),
		StartBy:  time.Duration(rapid.IntRange(0, 5).Draw(t, "start by")),
	}
}

// naiveBefore is the documented order of a Queue as a plain comparison.
func naiveBefore(policy Policy, a, b Item[int]) bool {
	window := func(i Item[int]) time.Duration {
		if policy == PolicyWaiting {
			return 0
		}
		if i.StartBy == 0 {
			return 1 << 40
		}
		return i.StartBy
	}
	switch {
	case a.Urgent != b.Urgent:
		return a.Urgent
	case window(a) != window(b):
		return window(a) < window(b)
	case a.Enqueued != b.Enqueued:
		return a.Enqueued < b.Enqueued
	}
	return a.ID < b.ID
}

// Guards against items that are lost or out of order after pops at either end,
// single removals or bulk removals.
func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyShare, PolicyWaiting}).Draw(t, "policy")
		q := NewQueue[int](policy)
		var list []Item[int]
		for step := range 80 {
			slices.SortFunc(list, func(a, b Item[int]) int {
				if naiveBefore(policy, a, b) {
					return -1
				}
				return 1
			})
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 5 || len(list) == 0:
				item := drawItem(t, step)
				require.True(t, q.Push(item))
				require.False(t, q.Push(item), "an item with a queued ID was pushed again")
				list = append(list, item)
			case op < 7:
				item, _ := q.Pop()
				require.Equal(t, list[0], item)
				list = list[1:]
			case op < 8:
				item, _ := q.PopLast()
				require.Equal(t, list[len(list)-1], item)
				list = list[:len(list)-1]
			case op < 9:
				i := rapid.IntRange(0, len(list)-1).Draw(t, "remove")
				require.True(t, q.Remove(list[i].ID))
				list = slices.Delete(list, i, i+1)
			default:
				now := time.Duration(rapid.IntRange(0, 6).Draw(t, "now"))
				late := func(i Item[int]) bool { return i.StartBy > 0 && i.StartBy < now }
				removed := q.RemoveOverdue(now)
				kept := slices.DeleteFunc(slices.Clone(list), late)
				require.Len(t, removed, len(list)-len(kept))
				list = kept
			}
			require.Equal(t, len(list), q.Len())
		}
	})
}

func TestRemoveFuncVisitsEachItemOnce(t *testing.T) {
	const waiting = 20_000
	q := NewQueue[int](PolicyShare)
	for i := range waiting {
		q.Push(Item[int]{ID: i})
	}
	visited := 0
	removed := q.RemoveFunc(func(i Item[int]) bool {
		visited++
		return i.ID%2 == 0
	})
	assert.Len(t, removed, waiting/2)
	assert.Equal(t, waiting, visited)
	first, _ := q.Pop()
	assert.Equal(t, 1, first.ID)
}

func TestPolicyBefore(t *testing.T) {
	near := SortKey{Team: "near", Ratio: 1.001, Urgent: true}
	low := SortKey{Team: "low", Ratio: 1}
	far := SortKey{Team: "far", Ratio: 1.5, Urgent: true, Waited: time.Hour}
	assert.True(t, PolicyShare.Before(low, near))
	assert.True(t, PolicyWaiting.Before(near, low), "urgent work must come first among ratios of one band")
	assert.True(t, PolicyWaiting.Before(low, far), "waiting time must not outweigh a lower ratio")
	_, err := ParsePolicy("fastest")
	assert.True(t, Error.Has(err))
}

// Guards against a comparison that is not a strict weak order: sorting with it
// would order teams arbitrarily.
func TestPolicyBeforeIsStrictWeakOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyShare, PolicyWaiting}).Draw(t, "policy")
		draw := func(team model.TeamID) SortKey {
			return SortKey{
				Team: team, Ratio: rapid.SampledFrom([]float64{0, 1, 1.001, 1.02, 2}).Draw(t, "ratio"),
				Urgent: rapid.Bool().Draw(t, "urgent"), Waited: time.Duration(rapid.IntRange(0, 1).Draw(t, "waited")),
			}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		require.NotEqual(t, policy.Before(a, b), policy.Before(b, a))
		if policy.Before(a, b) && policy.Before(b, c) {
			require.True(t, policy.Before(a, c))
		}
	})
}

func TestCapExceedsTargetOnlyInIdleCell(t *testing.T) {
	c := NewCap(CapPolicy{})
	assert.True(t, c.Allows(0.09, 0.095, 0.1))
	assert.False(t, c.Allows(0.1, 0.11, 0.1))
	for now := time.Duration(0); now <= 10*time.Second; now += 250 * time.Millisecond {
		c.Update(0.1, now)
	}
	assert.True(t, c.Allows(0.2, 0.21, 0.1), "the cap must rise while other teams leave capacity idle")
	for now := 10 * time.Second; now <= 20*time.Second; now += 250 * time.Millisecond {
		c.Update(0, now)
	}
	assert.False(t, c.Allows(0.1, 0.11, 0.1))
	c.Update(0.9, 21*time.Second)
	assert.True(t, c.Allows(0.5, 0.6, 0.1), "no cap must apply in an empty cell")
	c.Update(0, 22*time.Second)
	assert.False(t, c.Allows(0.1, 0.11, 0.1))
}

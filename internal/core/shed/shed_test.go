package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

type item = fairness.Item[int]

// The limits hold after every call, and each item is queued, or was popped or
// shed exactly once.
func TestQueueStaysBoundedAndLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Total: 10, Team: 6}
		q := New[int](fairness.PolicyShare, limits)
		teams := []model.TeamID{"a", "b", "c"}
		q.SetTeam("a", 3, 4)
		pushed, removed := 0, map[int]bool{}
		now := time.Duration(0)
		for id := range 120 {
			team := rapid.SampledFrom(teams).Draw(t, "team")
			now += time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				if it, ok := q.Pop(team); ok {
					require.False(t, removed[it.ID])
					removed[it.ID] = true
				}
				continue
			}
			pushed++
			it := item{ID: id, Enqueued: now, StartBy: now + time.Duration(rapid.IntRange(-1, 50).Draw(t, "window"))*time.Millisecond}
			for _, s := range q.Push(team, it, now) {
				require.False(t, removed[s.Item.ID], "shed twice")
				require.Equal(t, s.Reason == ReasonOverdue, s.Item.StartBy < now)
				removed[s.Item.ID] = true
			}
			require.LessOrEqual(t, q.Len(), limits.Total)
			require.LessOrEqual(t, q.TeamLen("a"), 4)
			require.LessOrEqual(t, q.TeamLen("b"), limits.Team)
			require.Equal(t, pushed, q.Len()+len(removed))
		}
	})
}

func TestOverloadByOneTeamDoesNotShedOthers(t *testing.T) {
	q := New[int](fairness.PolicyShare, Limits{Total: 100, Team: 100})
	q.SetTeam("small", 1, 0)
	q.SetTeam("flood", 4, 0)
	for i := range 20 {
		require.Empty(t, q.Push("small", item{ID: i}, 0))
	}
	for i := range 1000 {
		for _, s := range q.Push("flood", item{ID: 1000 + i}, 0) {
			require.Equal(t, model.TeamID("flood"), s.Team)
			require.Equal(t, ReasonOverShare, s.Reason)
		}
	}
	shed := q.Push("new", item{ID: 3000}, 0)
	require.Len(t, shed, 1)
	assert.Equal(t, model.TeamID("flood"), shed[0].Team, "the newest arrival is not shed")
	q.Pop("new")
	q.Push("flood", item{ID: 3001}, 0)
	shed = q.Push("small", item{ID: 21}, 0)
	require.Len(t, shed, 1)
	assert.Equal(t, model.TeamID("small"), shed[0].Team, "21 per weight 1 is more than 80 per weight 4")
	first, _ := q.Pop("flood")
	assert.Equal(t, 1000, first.ID, "the oldest item is kept")
}

func TestLateItemsAreShedFirst(t *testing.T) {
	q := New[int](fairness.PolicyShare, Limits{Total: 2, Team: 2})
	q.Push("a", item{ID: 1, StartBy: time.Millisecond}, 0)
	q.Push("a", item{ID: 2}, 0)
	shed := q.Push("b", item{ID: 3}, time.Second)
	require.Len(t, shed, 1)
	assert.Equal(t, ReasonOverdue, shed[0].Reason)
	assert.Equal(t, 1, shed[0].Item.ID)
}

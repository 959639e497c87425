// Package shed limits the queued items of a class across teams and decides which
// ones to shed when a limit is exceeded: first the items that can no longer start
// in time, then items of the team whose queue is the longest relative to its
// weight, rather than the newest arrivals. It does no I/O and is not safe for
// concurrent use.
package shed

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Reason is the reason why an item was shed.
type Reason uint8

// Reasons for shedding.
const (
	ReasonOverdue   Reason = iota // can no longer start in time
	ReasonTeamFull                // the team's own limit is exceeded
	ReasonOverShare               // the class is full and the team has the most queued items per weight
)

// Limits are the limits of a Queue.
type Limits struct {
	Total int // maximum number of queued items of the class
	Team  int // default limit per team; SetTeam overrides it
}

// Shed is an item that was removed from the queue or rejected before it ran.
type Shed[K comparable] struct {
	Team   model.TeamID
	Item   fairness.Item[K]
	Reason Reason
}

type teamQueue[K comparable] struct {
	team   model.TeamID
	weight float64
	limit  int
	queue  *fairness.Queue[K]
}

// Queue is the bounded queue of one class, divided into a queue per team.
type Queue[K comparable] struct {
	policy    fairness.Policy
	limits    Limits
	teams     map[model.TeamID]*teamQueue[K]
	total     int
	lastSweep time.Duration // time of the last RemoveLate
}

// sweepInterval is the minimum interval at which a full queue removes late items.
const sweepInterval = 20 * time.Millisecond

// New returns an empty queue.
func New[K comparable](policy fairness.Policy, limits Limits) *Queue[K] {
	return &Queue[K]{policy: policy, limits: limits, teams: make(map[model.TeamID]*teamQueue[K])}
}

// SetTeam sets a team's weight and limit; a limit of zero selects the default.
func (q *Queue[K]) SetTeam(team model.TeamID, weight float64, limit int) {
	t := q.team(team)
	t.weight = weight
	t.limit = limit
}

func (q *Queue[K]) team(team model.TeamID) *teamQueue[K] {
	t := q.teams[team]
	if t == nil {
		t = &teamQueue[K]{team: team, weight: 1, queue: fairness.NewQueue[K](q.policy)}
		q.teams[team] = t
	}
	return t
}

func (q *Queue[K]) teamLimit(t *teamQueue[K]) int {
	if t.limit > 0 {
		return t.limit
	}
	return q.limits.Team
}

// Len returns the number of queued items of the class.
func (q *Queue[K]) Len() int { return q.total }

// TeamLen returns the number of queued items of the team.
func (q *Queue[K]) TeamLen(team model.TeamID) int {
	if t := q.teams[team]; t != nil {
		return t.queue.Len()
	}
	return 0
}

// Push adds an item and returns the items that were shed to keep the limits,
// which may include the item itself. An item with a queued id is ignored.
func (q *Queue[K]) Push(team model.TeamID, item fairness.Item[K], now time.Duration) []Shed[K] {
	if isLate(item, now) {
		return []Shed[K]{{Team: team, Item: item, Reason: ReasonOverdue}}
	}
	t := q.team(team)
	if !t.queue.Push(item) {
		return nil
	}
	q.total++
	if t.queue.Len() <= q.teamLimit(t) && q.total <= q.limits.Total {
		return nil
	}
	var shed []Shed[K]
	if now-q.lastSweep >= sweepInterval {
		shed = q.RemoveOverdue(now)
	}
	if t.queue.Len() > q.teamLimit(t) {
		shed = append(shed, q.shedLast(t, ReasonTeamFull))
	}
	for q.total > q.limits.Total {
		shed = append(shed, q.shedLast(q.mostOverShare(), ReasonOverShare))
	}
	return shed
}

func isLate[K comparable](item fairness.Item[K], now time.Duration) bool {
	return item.StartBy > 0 && item.StartBy < now
}

// RemoveLate removes and returns all items that can no longer start in time.
func (q *Queue[K]) RemoveOverdue(now time.Duration) []Shed[K] {
	q.lastSweep = now
	var shed []Shed[K]
	for _, t := range q.teams {
		for _, item := range t.queue.RemoveOverdue(now) {
			q.total--
			shed = append(shed, Shed[K]{Team: t.team, Item: item, Reason: ReasonOverdue})
		}
	}
	return shed
}

// mostOverShare returns the team with the most queued items per weight. Ties go
// to the lowest name.
func (q *Queue[K]) mostOverShare() *teamQueue[K] {
	var longest *teamQueue[K]
	for _, t := range q.teams {
		if t.queue.Len() == 0 {
			continue
		}
		if longest == nil || t.weightedLen() > longest.weightedLen() || t.weightedLen() == longest.weightedLen() && t.team < longest.team {
			longest = t
		}
	}
	return longest
}

func (t *teamQueue[K]) weightedLen() float64 {
	const minWeight = 1e-9
	return float64(t.queue.Len()) / max(t.weight, minWeight)
}

// shedLast sheds the last item in the team's serving order.
func (q *Queue[K]) shedLast(t *teamQueue[K], reason Reason) Shed[K] {
	item, _ := t.queue.PopLast()
	q.total--
	return Shed[K]{Team: t.team, Item: item, Reason: reason}
}

// Peek returns the team's next item without removing it.
func (q *Queue[K]) Peek(team model.TeamID) (fairness.Item[K], bool) {
	if t := q.teams[team]; t != nil {
		return t.queue.Peek()
	}
	return fairness.Item[K]{}, false
}

// Pop removes and returns the team's next item.
func (q *Queue[K]) Pop(team model.TeamID) (fairness.Item[K], bool) {
	t := q.teams[team]
	if t == nil || t.queue.Len() == 0 {
		return fairness.Item[K]{}, false
	}
	q.total--
	return t.queue.Pop()
}

// Remove removes an item of the team and reports whether it was queued.
func (q *Queue[K]) Remove(team model.TeamID, id K) bool {
	t := q.teams[team]
	if t == nil || !t.queue.Remove(id) {
		return false
	}
	q.total--
	return true
}

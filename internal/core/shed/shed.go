// Package shed bounds the waiting work of a class across teams and decides
// what to refuse when the bound is reached: first what can't make its window,
// then work of the team that waits with the most beyond its share, never
// simply what arrived last. It is pure and not safe for concurrent use.
package shed

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Reason tells why an item was shed.
type Reason uint8

// The reasons for shedding.
const (
	ReasonDeadline  Reason = iota // can't start within its window
	ReasonTeamFull                // the team's own bound is reached
	ReasonOverShare               // the class is full and the team waits with the most per weight
)

// Limits bounds a Queue.
type Limits struct {
	Total int // items that may wait in the class
	Team  int // default bound per team; SetTeam overrides it
}

// Shed is an item that was refused before it ran.
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

// Queue is the bounded waiting work of one class.
type Queue[K comparable] struct {
	policy fairness.Policy
	limits Limits
	teams  map[model.TeamID]*teamQueue[K]
	total  int
	swept  time.Duration // when late items were last looked for
}

// sweepInterval is how often a full queue looks for late items.
const sweepInterval = 20 * time.Millisecond

// New returns an empty queue.
func New[K comparable](policy fairness.Policy, limits Limits) *Queue[K] {
	return &Queue[K]{policy: policy, limits: limits, teams: make(map[model.TeamID]*teamQueue[K])}
}

// SetTeam sets a team's weight and its own bound; a bound of zero selects the
// default.
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

func (q *Queue[K]) bound(t *teamQueue[K]) int {
	if t.limit > 0 {
		return t.limit
	}
	return q.limits.Team
}

// Len returns how many items wait in the class.
func (q *Queue[K]) Len() int { return q.total }

// TeamLen returns how many items of the team wait.
func (q *Queue[K]) TeamLen(team model.TeamID) int {
	if t := q.teams[team]; t != nil {
		return t.queue.Len()
	}
	return 0
}

// Push adds an item and returns what had to be shed for it, which may be the
// item itself. A repeated id changes nothing.
func (q *Queue[K]) Push(team model.TeamID, item fairness.Item[K], now time.Duration) []Shed[K] {
	if late(item, now) {
		return []Shed[K]{{Team: team, Item: item, Reason: ReasonDeadline}}
	}
	t := q.team(team)
	if !t.queue.Push(item) {
		return nil
	}
	q.total++
	if t.queue.Len() <= q.bound(t) && q.total <= q.limits.Total {
		return nil
	}
	var shed []Shed[K]
	if now-q.swept >= sweepInterval {
		shed = q.RemoveLate(now)
	}
	if t.queue.Len() > q.bound(t) {
		shed = append(shed, q.shedLast(t, ReasonTeamFull))
	}
	for q.total > q.limits.Total {
		shed = append(shed, q.shedLast(q.heaviest(), ReasonOverShare))
	}
	return shed
}

func late[K comparable](item fairness.Item[K], now time.Duration) bool {
	return item.StartBy > 0 && item.StartBy < now
}

// Late takes out all items that can't make their window any more.
func (q *Queue[K]) RemoveLate(now time.Duration) []Shed[K] {
	q.swept = now
	var shed []Shed[K]
	for _, t := range q.teams {
		for _, item := range t.queue.RemoveOverdue(now) {
			q.total--
			shed = append(shed, Shed[K]{Team: t.team, Item: item, Reason: ReasonDeadline})
		}
	}
	return shed
}

// heaviest returns the team that waits with the most items per weight.
func (q *Queue[K]) heaviest() *teamQueue[K] {
	var most *teamQueue[K]
	for _, t := range q.teams {
		if t.queue.Len() == 0 {
			continue
		}
		if most == nil || t.load() > most.load() || t.load() == most.load() && t.team < most.team {
			most = t
		}
	}
	return most
}

func (t *teamQueue[K]) load() float64 {
	const least = 1e-9
	return float64(t.queue.Len()) / max(t.weight, least)
}

// shedLast sheds the item that the team would serve last.
func (q *Queue[K]) shedLast(t *teamQueue[K], reason Reason) Shed[K] {
	item, _ := t.queue.PopLast()
	q.total--
	return Shed[K]{Team: t.team, Item: item, Reason: reason}
}

// Peek returns the team's next item without taking it.
func (q *Queue[K]) Peek(team model.TeamID) (fairness.Item[K], bool) {
	if t := q.teams[team]; t != nil {
		return t.queue.Peek()
	}
	return fairness.Item[K]{}, false
}

// Pop takes the team's next item.
func (q *Queue[K]) Pop(team model.TeamID) (fairness.Item[K], bool) {
	t := q.teams[team]
	if t == nil || t.queue.Len() == 0 {
		return fairness.Item[K]{}, false
	}
	q.total--
	return t.queue.Pop()
}

// Remove takes an item of the team out.
func (q *Queue[K]) Remove(team model.TeamID, id K) bool {
	t := q.teams[team]
	if t == nil || !t.queue.Remove(id) {
		return false
	}
	q.total--
	return true
}

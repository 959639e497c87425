package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// waitTold is how long a step waits until the log says why.
	waitTold = time.Second
	// waitToldAgain is the time between two such lines of one step.
	waitToldAgain = 5 * time.Second
)

// tellWaiting logs why nothing of the step could be placed.
func (e *Engine) tellWaiting(s *step, now time.Duration, wall time.Time) {
	if wall.Sub(s.occurrence.due) < waitTold || s.toldAt != 0 && now-s.toldAt < waitToldAgain {
		return
	}
	s.toldAt = now
	size := s.spec.footprint()
	usable, roomy, allowed := 0, 0, 0
	for _, w := range e.workers {
		if !e.usable(s, w, now) {
			continue
		}
		usable++
		if !size.Fits(w.free()) {
			continue
		}
		roomy++
		if e.allowed(s, w, now) {
			allowed++
		}
	}
	owner := e.team(s.occurrence.job.spec.Team)
	e.jobEvent("job_waits", s.occurrence.job, fmt.Sprintf(
		"step %d: %d tasks to place, team within limit: %t, workers usable/with room/approved: %d/%d/%d, asking the policy: %t",
		s.index, s.waiting, withinLimit(owner, s.spec.Size), usable, roomy, allowed, s.asking))
}

// claim takes what the step waits for out of the room of less urgent ones, as
// far as its team may have it.
func (e *Engine) claim(s *step) {
	owner := e.team(s.occurrence.job.spec.Team)
	wanted := s.spec.Size.Scale(int64(s.waiting))
	if !withinLimit(owner, e.claims[owner].Add(wanted)) {
		return
	}
	e.claims[owner] = e.claims[owner].Add(wanted)
	e.room = e.room.Sub(s.spec.footprint().Scale(int64(s.waiting)))
}

// freeRoom returns what the workers that take new work have free together.
func (e *Engine) freeRoom(now time.Duration) model.Resources {
	var room model.Resources
	for _, w := range e.workers {
		if e.open(w, now) {
			room = room.Add(w.free())
		}
	}
	return room
}

// prospect tells what a job can still earn for its caller.
type prospect int

const (
	onTime   prospect = iota
	late              // within lateFactor of the objective
	hopeless          // of no use to the caller any more
)

// lateFactor is how many times the objective a late answer is still of use.
const lateFactor = 3

func (o *occurrence) prospect(s *step, wall time.Time) prospect {
	finish := wall.Add(s.tail)
	switch {
	case !finish.After(o.deadline):
		return onTime
	case !finish.After(o.due.Add(lateFactor * o.deadline.Sub(o.due))):
		return late
	default:
		return hopeless
	}
}

// lineup hands out the ready steps, the most urgent first: those that can still
// meet their objective, by the priority of their queue, then those of teams
// within their share, then by the time that is left. A team's share is judged
// anew for each step, so that one team does not take all that has become free.
type lineup struct {
	ranks    []rank
	capacity model.Resources // of all workers
	weights  float64         // of the teams that want or have something
}

// rank holds the steps between which only shares and time decide.
type rank struct {
	prospect prospect
	priority int
	teams    []teamSteps
}

type teamSteps struct {
	team  *team
	steps []slackStep // by slack
}

type slackStep struct {
	step  *step
	slack time.Duration
}

// next returns the next step, or nil after the last one.
func (l *lineup) next() *step {
	for len(l.ranks) > 0 {
		r := &l.ranks[0]
		best, bestBeyond := -1, false
		for i := range r.teams {
			if len(r.teams[i].steps) == 0 {
				continue
			}
			beyond := l.beyondShare(r.teams[i].team)
			if best < 0 || bestBeyond && !beyond ||
				bestBeyond == beyond && r.teams[i].steps[0].compare(r.teams[best].steps[0]) < 0 {
				best, bestBeyond = i, beyond
			}
		}
		if best >= 0 {
			first := r.teams[best].steps[0].step
			r.teams[best].steps = r.teams[best].steps[1:]
			return first
		}
		l.ranks = l.ranks[1:]
	}
	return nil
}

// beyondShare reports whether the team has more running than its weight gives
// it among the teams that want or have something.
func (l *lineup) beyondShare(t *team) bool {
	return t.used.DominantShare(l.capacity) >= t.weight()/l.weights
}

func (s slackStep) compare(other slackStep) int {
	a, b := s.step.occurrence, other.step.occurrence
	return cmp.Or(cmp.Compare(s.slack, other.slack), cmp.Compare(a.job.id, b.job.id),
		cmp.Compare(a.number, b.number), cmp.Compare(s.step.index, other.step.index))
}

// order lines up the ready steps for a pass.
func (e *Engine) order(wall time.Time) *lineup {
	l := &lineup{}
	active := map[*team]bool{}
	for _, w := range e.workers {
		if w.listed && w.synced {
			l.capacity = l.capacity.Add(w.info.Capacity)
		}
	}
	for _, t := range e.teams {
		if !t.used.IsZero() {
			active[t] = true
		}
	}
	for s := range e.ready {
		o := s.occurrence
		owner := e.team(o.job.spec.Team)
		active[owner] = true
		r := l.rank(o.prospect(s, wall), e.queue(o.job).Priority)
		i := slices.IndexFunc(r.teams, func(t teamSteps) bool { return t.team == owner })
		if i < 0 {
			i = len(r.teams)
			r.teams = append(r.teams, teamSteps{team: owner})
		}
		r.teams[i].steps = append(r.teams[i].steps, slackStep{s, o.deadline.Sub(wall) - s.tail})
	}
	for t := range active {
		l.weights += t.weight()
	}
	for i := range l.ranks {
		for j := range l.ranks[i].teams {
			slices.SortFunc(l.ranks[i].teams[j].steps, slackStep.compare)
		}
	}
	slices.SortFunc(l.ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.prospect, b.prospect), cmp.Compare(a.priority, b.priority))
	})
	return l
}

// rank returns the rank, which it adds when it is new.
func (l *lineup) rank(p prospect, priority int) *rank {
	for i := range l.ranks {
		if l.ranks[i].prospect == p && l.ranks[i].priority == priority {
			return &l.ranks[i]
		}
	}
	l.ranks = append(l.ranks, rank{prospect: p, priority: priority})
	return &l.ranks[len(l.ranks)-1]
}

// weight returns the team's weight; a team without one counts like one of the
// smallest.
func (t *team) weight() float64 { return max(t.policy.Weight, 1) }

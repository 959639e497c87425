package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// reserveCapacity reserves capacity for the step's pending tasks against less urgent
// steps until the next full pass, unless its team's limit does not allow them.
func (e *Engine) reserveCapacity(s *step) {
	if s.reservedPass == e.pass {
		return
	}
	s.reservedPass = e.pass
	jobTeam := s.occurrence.job.team
	demand := s.spec.Size.Scale(int64(s.pending))
	if !withinLimit(jobTeam, e.reserved[jobTeam].Add(demand)) {
		return
	}
	e.reserved[jobTeam] = e.reserved[jobTeam].Add(demand)
	e.unreserved = e.unreserved.Sub(s.spec.footprint().Scale(int64(s.pending)))
}

// sumCapacity updates the total capacity of the listed workers that have reported, and
// what is free of it on the schedulable ones.
func (e *Engine) sumCapacity(now time.Duration) {
	e.free, e.capacity, e.listedWorkers = model.Resources{}, model.Resources{}, 0
	for _, w := range e.workers {
		if w.listed && w.synced {
			e.listedWorkers++
			e.capacity = e.capacity.Add(w.info.Capacity)
		}
		counted := e.schedulable(w, now)
		if counted && !w.counted {
			e.version++ // as after the end of a pause, or a report after a silence
		}
		w.counted = counted
		if w.counted {
			e.free = e.free.Add(w.free().Max(model.Resources{})) // an overcommitted worker takes nothing from others
		}
	}
}

// lateness classifies steps by how late their job would end if they were started
// now.
type lateness int

const (
	onTime  lateness = iota
	late             // within lateLimitFactor times the latency objective
	tooLate          // the result is of no use to the caller any more
)

// lateLimitFactor is the multiple of the latency objective up to which a late
// result is still useful to the caller.
const lateLimitFactor = 3

func (o *occurrence) lateness(s *step, wall time.Time) lateness {
	finish := wall.Add(s.remainingTime)
	switch {
	case !finish.After(o.deadline):
		return onTime
	case !finish.After(o.usefulUntil()):
		return late
	default:
		return tooLate
	}
}

// usefulUntil returns when the result stops being of use to the caller.
func (o *occurrence) usefulUntil() time.Time {
	return o.due.Add(lateLimitFactor * o.deadline.Sub(o.due))
}

// readyQueue holds the ready steps of one pass. next returns them in order of
// urgency: by lateness, then by the priority of their queue, then those that are not put
// back, then steps of teams below their fair share before others, then by slack. The shares are compared anew
// in every call of next, because the placements of the same pass change them; one
// team could otherwise take all capacity that has become free.
type readyQueue struct {
	tiers       []tier
	capacity    model.Resources // of all listed workers that have reported, at the last full pass
	totalWeight float64         // of the teams with ready steps or resources in use
}

// urgency orders the steps of different lateness or priority.
type urgency struct {
	lateness lateness
	priority int  // of the queue; lower values are more urgent
	putBack  bool // could be in time alone, but not together with the others of its priority
}

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.lateness, other.lateness), cmp.Compare(u.priority, other.priority),
		compareBools(u.putBack, other.putBack))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// urgency returns the urgency of a ready step. A long-running task is missing until it
// runs again, however long ago its job was submitted, so its step is among the most
// urgent ones.
func (e *Engine) urgency(s *step, wall time.Time) urgency {
	if s.spec.LongRunning {
		return urgency{lateness: onTime, priority: e.topPriority}
	}
	if s == e.aged {
		return urgency{lateness: onTime, priority: e.queue(s.occurrence.job).Priority}
	}
	u := urgency{lateness: s.occurrence.lateness(s, wall), priority: e.queue(s.occurrence.job).Priority}
	u.putBack = u.lateness == onTime && s.putBack
	return u
}

// remainder is the capacity that the steps of at least an urgency leave to others.
type remainder struct {
	urgency    urgency
	unreserved model.Resources
}

// noteRemainder records the capacity that is unreserved before a step of the urgency
// in a full pass, whose steps come in order of urgency.
func (e *Engine) noteRemainder(u urgency) {
	if last := len(e.remainders) - 1; last >= 0 && e.remainders[last].urgency == u {
		e.remainders[last].unreserved = e.unreserved
		return
	}
	e.remainders = append(e.remainders, remainder{u, e.unreserved})
}

// remainderFor returns the capacity that the steps of at least the urgency left in the
// last full pass.
func (e *Engine) remainderFor(u urgency) model.Resources {
	left := e.free
	for _, r := range e.remainders {
		if r.urgency.compare(u) > 0 {
			break
		}
		left = r.unreserved.Min(e.free)
	}
	return left
}

// tier holds the steps of equal urgency, by team.
type tier struct {
	urgency
	teams []teamSteps
	index map[*team]int // positions in teams
}

type teamSteps struct {
	team  *team
	steps []slackStep // by increasing slack
	// over is the result of overShare for the team's usage at the time.
	over  bool
	used  model.Resources
	known bool
}

// slackStep is a step with the time by which its start can be delayed without
// missing the deadline.
type slackStep struct {
	step  *step
	slack time.Duration
}

// next removes and returns the most urgent step, or returns nil if none is left.
func (q *readyQueue) next() *step {
	for len(q.tiers) > 0 {
		top := &q.tiers[0]
		best, bestOver := -1, false
		for i := range top.teams {
			if len(top.teams[i].steps) == 0 {
				continue
			}
			over := q.overShare(&top.teams[i])
			if best < 0 || bestOver && !over ||
				bestOver == over && top.teams[i].steps[0].compare(top.teams[best].steps[0]) < 0 {
				best, bestOver = i, over
			}
		}
		if best >= 0 {
			first := top.teams[best].steps[0].step
			top.teams[best].steps = top.teams[best].steps[1:]
			return first
		}
		q.tiers = q.tiers[1:]
	}
	return nil
}

// overShare reports whether the team's dominant share is at least its fair share: its
// weight divided by the total weight of the teams with ready steps or resources in
// use. It is computed anew only after a change of the team's usage.
func (q *readyQueue) overShare(t *teamSteps) bool {
	if !t.known || t.used != t.team.used {
		t.known, t.used = true, t.team.used
		t.over = t.used.DominantShare(q.capacity) >= t.team.weight()/q.totalWeight
	}
	return t.over
}

func (s slackStep) compare(other slackStep) int {
	a, b := s.step.occurrence, other.step.occurrence
	return cmp.Or(cmp.Compare(s.slack, other.slack), cmp.Compare(a.job.id, b.job.id),
		cmp.Compare(a.number, b.number), cmp.Compare(s.step.index, other.step.index))
}

// buildReadyQueue returns the queue of those of the steps that are ready.
func (e *Engine) buildReadyQueue(steps map[*step]struct{}, wall time.Time) *readyQueue {
	q := &readyQueue{capacity: e.capacity}
	active := map[*team]bool{}
	for _, t := range e.teams {
		if !t.used.IsZero() {
			active[t] = true
		}
	}
	for s := range steps {
		if _, ready := e.ready[s]; !ready {
			continue
		}
		o := s.occurrence
		jobTeam := o.job.team
		active[jobTeam] = true
		stepTier := q.tier(e.urgency(s, wall))
		i, ok := stepTier.index[jobTeam]
		if !ok {
			i = len(stepTier.teams)
			stepTier.index[jobTeam] = i
			stepTier.teams = append(stepTier.teams, teamSteps{team: jobTeam})
		}
		stepTier.teams[i].steps = append(stepTier.teams[i].steps, slackStep{s, o.deadline.Sub(wall) - s.remainingTime})
	}
	for t := range active {
		q.totalWeight += t.weight()
	}
	for i := range q.tiers {
		for j := range q.tiers[i].teams {
			slices.SortFunc(q.tiers[i].teams[j].steps, slackStep.compare)
		}
	}
	slices.SortFunc(q.tiers, func(a, b tier) int { return a.compare(b.urgency) })
	return q
}

// tier returns the tier of the urgency and adds it if needed. The
// pointer is valid until the next call.
func (q *readyQueue) tier(wanted urgency) *tier {
	for i := range q.tiers {
		if q.tiers[i].urgency == wanted {
			return &q.tiers[i]
		}
	}
	q.tiers = append(q.tiers, tier{urgency: wanted, index: map[*team]int{}})
	return &q.tiers[len(q.tiers)-1]
}

// weight returns the team's weight, at least 1, which a team without a weight gets.
func (t *team) weight() float64 { return max(t.policy.Weight, 1) }

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
	finish := wall.Add(s.spec.Estimate)
	switch {
	case !finish.After(o.deadline):
		return onTime
	case !finish.After(o.due.Add(lateFactor * o.deadline.Sub(o.due))):
		return late
	default:
		return hopeless
	}
}

// order returns the ready steps, the most urgent first: those that can still
// meet their objective, by the priority of their queue, then by deadline.
func (e *Engine) order(wall time.Time) []*step {
	type ranked struct {
		step     *step
		priority int
		prospect prospect
		slack    time.Duration
	}
	list := make([]ranked, 0, len(e.ready))
	for s := range e.ready {
		o := s.occurrence
		slack := o.deadline.Sub(wall) - s.spec.Estimate
		list = append(list, ranked{s, e.queue(o.job).Priority, o.prospect(s, wall), slack})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.prospect, b.prospect), cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.slack, b.slack), cmp.Compare(a.step.occurrence.job.id, b.step.occurrence.job.id),
			cmp.Compare(a.step.index, b.step.index))
	})
	steps := make([]*step, len(list))
	for i, r := range list {
		steps[i] = r.step
	}
	return steps
}

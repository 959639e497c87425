package targets

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Summary is a group's state as reported to other members. Capacities are in
// slots.
type Summary struct {
	Capacity    int64
	Free        int64
	LargestFree int64 // on one runner
	LargestVM   int64
	Domains     []model.FailureDomain
	Waiting     int
	Runners     int
}

// Summary returns the queue length of the group and the capacity of the runners
// that may get work.
func (g *Group) Summary(now time.Duration) Summary {
	s := Summary{Waiting: g.queue.Len()}
	for _, r := range g.listedRunners {
		if !g.schedulable(r) {
			continue
		}
		freeSlots := max(0, g.freeSlots(r, now))
		s.Runners++
		s.Capacity += capacity(r.vm)
		s.Free += freeSlots
		s.LargestFree = max(s.LargestFree, freeSlots)
		s.LargestVM = max(s.LargestVM, capacity(r.vm))
		if !slices.Contains(s.Domains, r.vm.FailureDomain) {
			s.Domains = append(s.Domains, r.vm.FailureDomain)
		}
	}
	return s
}

// Held returns the team's permits in use: those of work that waits, runs or has an
// unknown outcome.
func (g *Group) Held(team model.TeamID, now time.Duration) []model.Permit {
	for _, r := range g.runners {
		g.dropExpiredUnknown(r, now)
	}
	var held []model.Permit
	for _, work := range g.held {
		if work.Permit.Team == team {
			held = append(held, work.Permit)
		}
	}
	return held
}

// Uncertain returns the slots that requests of the previous owner may still use.
// It returns all slots, since the previous owner may have used all of them when it
// lost the group; usableSlots reserves only half of the slots for those requests.
func (g *Group) Uncertain(now time.Duration) int64 {
	if now >= g.takeoverGraceEnd {
		return 0
	}
	total := int64(0)
	for _, r := range g.listedRunners {
		total += capacity(r.vm)
	}
	return total
}

// Check returns an error unless the group's invariants hold: no runner has more
// requests than slots and connections, the counts match the running requests, and
// the queue is not longer than its limit.
func (g *Group) Check() error {
	counted := make(map[model.VMID]int64)
	for _, run := range g.running {
		counted[run.vm]++
	}
	for id, r := range g.runners {
		if counted[id] != r.used {
			return errs.New("runner %s: %d slots in use, but %d requests run", id, r.used, counted[id])
		}
		if r.used > capacity(r.vm) {
			return errs.New("runner %s: %d requests for %d slots", id, r.used, capacity(r.vm))
		}
	}
	if g.queue.Len() > g.options.MaxWaiting {
		return errs.New("%d requests wait, at most %d may", g.queue.Len(), g.options.MaxWaiting)
	}
	return nil
}

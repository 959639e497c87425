package targets

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Summary is what other members learn of a group. All amounts are slots.
type Summary struct {
	Capacity    int64
	Free        int64
	LargestFree int64 // on one runner
	LargestVM   int64
	Domains     []model.FailureDomain
	Waiting     int
	Runners     int
}

// Summary reports the free slots of the runners that may get work.
func (g *Group) Summary(now time.Duration) Summary {
	s := Summary{Waiting: g.queue.Len()}
	for _, r := range g.order {
		if !g.takesWork(r) {
			continue
		}
		free := max(0, g.free(r, now))
		s.Runners++
		s.Capacity += capacity(r.vm)
		s.Free += free
		s.LargestFree = max(s.LargestFree, free)
		s.LargestVM = max(s.LargestVM, capacity(r.vm))
		if !slices.Contains(s.Domains, r.vm.FailureDomain) {
			s.Domains = append(s.Domains, r.vm.FailureDomain)
		}
	}
	return s
}

// Held returns the permits of a team that wait, run or are lost here.
func (g *Group) Held(team model.TeamID, now time.Duration) []model.Permit {
	for _, r := range g.runners {
		g.forgetLost(r, now)
	}
	var held []model.Permit
	for _, work := range g.held {
		if work.Permit.Team == team {
			held = append(held, work.Permit)
		}
	}
	return held
}

// Uncertain returns the slots that requests of a former holder may still take.
func (g *Group) Uncertain(now time.Duration) int64 {
	if now >= g.settledAt {
		return 0
	}
	total := int64(0)
	for _, r := range g.order {
		total += capacity(r.vm)
	}
	return total
}

// Check is the invariant of the group: no runner has more requests than slots
// and connections, and what runs matches what is counted.
func (g *Group) Check() error {
	counted := make(map[model.VMID]int64)
	for _, run := range g.running {
		counted[run.vm]++
	}
	for id, r := range g.runners {
		if counted[id] != r.used {
			return errs.New("runner %s: %d slots counted, %d requests run", id, r.used, counted[id])
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

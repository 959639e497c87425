package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/nearwait"
)

// The kinds of the events of waits for a place near the data. A wait that begins ends as
// paid if the task is placed near its data and as unpaid if elsewhere; with a cancelled job
// or an owner's end it just ends.
const (
	eventNearWaitBegun  = "near_wait_begun"
	eventNearWaitPaid   = "near_wait_paid"
	eventNearWaitUnpaid = "near_wait_unpaid"
)

// runTimeSpread is the standard deviation of the logarithm of a run time to its estimate.
const runTimeSpread = 0.9

// nearWaits is what the decisions on waits need beside the engine's state.
type nearWaits struct {
	demand map[string]*nearwait.Demand // by label of the rack
	pass   int                         // to which ahead belongs
	ahead  map[string]int              // waiting tasks of the pass by label of the rack
	// endings are those near the step at the time at.
	endings []nearwait.Ending
	step    *step
	at      time.Duration
}

// nearTask is the state of a pending task that is to run near its data.
type nearTask struct {
	waits    bool
	since    time.Duration // start of the wait
	latest   time.Duration // until which the task waits at most
	pass     int           // last full pass since which it is counted in nearWaits.ahead
	position int           // among the waiting tasks of that pass
}

// waitsForRack reports whether the task waits for a place in the rack of its data instead of
// starting on the worker. Waiting tasks hold no room, and full passes decide on them anew.
func (e *Engine) waitsForRack(t *task, w *worker, now time.Duration, wall time.Time) bool {
	s := t.step
	rack := s.spec.PreferRack
	if !e.settings.Features.NearWait || rack == "" || s.spec.LongRunning || t.suspect {
		return false
	}
	if t.near == nil {
		if len(e.byLabel[rack]) == 0 {
			return false
		}
		t.near = &nearTask{}
	}
	n := t.near
	if slices.Contains(w.info.Labels, rack) {
		e.endNearWait(t, eventNearWaitPaid, now)
		return false
	}
	situation := e.nearSituation(t, now, wall)
	d := nearwait.Decide(&situation)
	if d.Wait < idlePassInterval || n.waits && now >= n.latest {
		e.endNearWait(t, eventNearWaitUnpaid, now)
		return false
	}
	if !n.waits {
		n.waits, n.since, n.latest = true, now, now+d.Latest
		e.event(eventNearWaitBegun, t, fmt.Sprintf(
			"rack %s: up to %s, at most %s, chance %.2f, gain %s, cost %s, slack %s, run time %s, factor %.2f, cell %.2f full, ends near: %d, tasks ahead: %d, load of %.1f places",
			rack, round(d.Wait), round(d.Latest), d.Chance, round(d.Gain), round(d.Cost), round(situation.Slack),
			round(situation.RunTime), situation.Factor, situation.Full, len(situation.Endings), situation.Ahead, situation.Offered))
	}
	if n.pass != e.pass {
		n.pass, n.position = e.pass, situation.Ahead
		e.near.ahead[rack]++
	}
	s.nearPass = e.pass
	s.heldBriefly = true
	return true
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// endNearWait ends the task's wait, if there is one, before the task is placed. Only now does
// the task count as demand: while it waits it is among those ahead of others.
func (e *Engine) endNearWait(t *task, kind string, now time.Duration) {
	e.near.demandFor(t.step.spec.PreferRack).Add(now, e.runTime(t.step))
	if t.near.waits {
		e.event(kind, t, fmt.Sprintf("rack %s: waited %s, at most %s", t.step.spec.PreferRack,
			round(now-t.near.since), round(t.near.latest-t.near.since)))
	}
	t.near = nil
}

// demandFor returns the demand for the rack and adds it if needed.
func (n *nearWaits) demandFor(rack string) *nearwait.Demand {
	if n.demand == nil {
		n.demand = map[string]*nearwait.Demand{}
	}
	if n.demand[rack] == nil {
		n.demand[rack] = &nearwait.Demand{}
	}
	return n.demand[rack]
}

// nearSituation returns what the decision on the task depends on.
func (e *Engine) nearSituation(t *task, now time.Duration, wall time.Time) nearwait.Situation {
	s, rack := t.step, t.step.spec.PreferRack
	if e.near.pass != e.pass || e.near.ahead == nil {
		e.near.pass, e.near.ahead = e.pass, map[string]int{}
	}
	ahead := e.near.ahead[rack]
	if t.near.pass == e.pass {
		ahead = t.near.position
	}
	if e.near.step != s || e.near.at != now {
		e.near.step, e.near.at, e.near.endings = s, now, e.nearEndings(s, now)
	}
	situation := nearwait.Situation{
		RunTime: e.runTime(s), Factor: e.settings.RemoteFactor, Spread: runTimeSpread,
		Slack:  s.occurrence.deadline.Sub(wall) - s.remainingTime,
		Full:   e.capacity.Sub(e.free).DominantShare(e.capacity),
		Places: fitCount(s.spec.footprint(), e.capacity),
		Ahead:  ahead, Endings: e.near.endings, Offered: e.near.demandFor(rack).Offered(now),
	}
	// A start elsewhere after the wait should still be in time, if one now is.
	extra := time.Duration((situation.Factor - 1) * float64(situation.RunTime))
	if situation.Slack > extra {
		situation.Slack -= extra
	}
	return situation
}

// nearEndings returns the ends of runs that make room for a task of the step in the rack of
// its data. Workers that may get no new tasks, failed the last run, are in doubt or lack the
// placement policy's approval make none.
func (e *Engine) nearEndings(s *step, now time.Duration) []nearwait.Ending {
	var list []nearwait.Ending
	for w := range e.byLabel[s.spec.PreferRack] {
		if slices.Contains(w.info.Labels, s.spec.PreferRack) && w.health.failures == 0 && !w.trust.doubted(now) &&
			!e.reservedForOther(s, w) && e.eligible(s, w, now) && e.allowed(s, w, now) {
			list = append(list, e.endings(w, s.spec.footprint())...)
		}
	}
	return list
}

// endings returns the ends of the worker's runs after which one more task of the size fits,
// if the runs end by the expected time that is left.
func (e *Engine) endings(w *worker, size model.Resources) []nearwait.Ending {
	type run struct {
		nearwait.Ending
		size model.Resources
	}
	runs := make([]run, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.step.spec.LongRunning {
			continue
		}
		expected := e.runTime(t.step)
		if rack := t.step.spec.PreferRack; rack != "" && !slices.Contains(w.info.Labels, rack) {
			expected = time.Duration(e.settings.RemoteFactor * float64(expected))
		}
		runs = append(runs, run{
			nearwait.Ending{Elapsed: t.workedUntil - t.workedFrom, Expected: expected}, t.step.spec.footprint(),
		})
	}
	slices.SortFunc(runs, func(a, b run) int { return a.Compare(b.Ending) })
	var list []nearwait.Ending
	free := w.free()
	for slots, i := max(0, fitCount(size, free)), 0; i < len(runs); i++ {
		free = free.Add(runs[i].size)
		for ; slots < fitCount(size, free); slots++ {
			list = append(list, runs[i].Ending)
		}
	}
	return list
}

package main

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/shed"
)

// The load of the month-end measurement, a tenth of a user's runners.
const (
	monthSlots    = 40
	monthService  = 50 * time.Millisecond // mean
	monthRate     = 300.0                 // requests a second on an ordinary day
	monthFactor   = 10                    // of the load, by the flooding teams
	monthFlooding = 4                     // of teamCount
	monthWindow   = 2 * time.Second       // to start in
	monthOrdinary = time.Minute
	monthEnd      = 5 * time.Minute
	monthQueue    = 400
)

// request is a waiting or running request of a team.
type request struct {
	at   time.Duration // arrival or end
	team int
}

type requestHeap []request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(request)) }
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// monthRun serves quick requests of all teams on a number of slots.
type monthRun struct {
	mix      *mix
	policy   fairness.Policy
	queue    *shed.Queue[int]
	arrivals requestHeap
	ends     requestHeap
	using    [teamCount]int
	now      time.Duration
	serial   int
	waits    []time.Duration // of the teams that do not flood
	done     int
	shed     [teamCount]int
}

func newMonthRun(policy fairness.Policy) *monthRun {
	m := &monthRun{
		mix: newMix(11, guild.capacity), policy: policy,
		queue: shed.New[int](policy, shed.Limits{Total: monthQueue, Team: monthQueue}),
	}
	for team := range teamCount {
		m.queue.SetTeam(teamID(team), 1, 0)
		m.schedule(team)
	}
	return m
}

// rate is the team's load at the current reading.
func (m *monthRun) rate(team int) float64 {
	ordinary := monthRate / teamCount
	if team >= monthFlooding || m.now < monthOrdinary || m.now >= monthOrdinary+monthEnd {
		return ordinary
	}
	return ordinary + monthRate*(monthFactor-1)/monthFlooding
}

func (m *monthRun) schedule(team int) {
	gap := m.mix.random.ExpFloat64() / m.rate(team)
	heap.Push(&m.arrivals, request{at: m.now + time.Duration(gap*float64(time.Second)), team: team})
}

// run serves until the reading and returns the part of the slots' capacity
// that completed requests have used.
func (m *monthRun) run(until time.Duration) float64 {
	began := m.now
	m.done, m.waits = 0, nil
	for m.arrivals[0].at < until {
		if len(m.ends) > 0 && m.ends[0].at <= m.arrivals[0].at {
			r := heap.Pop(&m.ends).(request)
			m.now = r.at
			m.using[r.team]--
			m.done++
		} else {
			r := heap.Pop(&m.arrivals).(request)
			m.now = r.at
			m.arrive(r.team)
			m.schedule(r.team)
		}
		m.serve()
	}
	capacity := monthSlots * (until - began).Seconds() / monthService.Seconds()
	return float64(m.done) / capacity
}

func (m *monthRun) arrive(team int) {
	m.serial++
	item := fairness.Item[int]{ID: m.serial, Enqueued: m.now, StartBy: m.now + monthWindow}
	for _, s := range m.queue.Push(teamID(team), item, m.now) {
		m.shed[teamNumber(s.Team)]++
	}
}

// serve starts waiting requests, the team whose turn it is first.
func (m *monthRun) serve() {
	for len(m.ends) < monthSlots {
		team := m.next()
		if team < 0 {
			return
		}
		item, _ := m.queue.Pop(teamID(team))
		if item.StartBy < m.now {
			m.shed[team]++
			continue
		}
		if team >= monthFlooding {
			m.waits = append(m.waits, m.now-item.Enqueued)
		}
		m.using[team]++
		heap.Push(&m.ends, request{at: m.now + m.mix.exponential(monthService), team: team})
	}
}

func (m *monthRun) next() int {
	best, first := -1, fairness.SortKey{}
	for team := range teamCount {
		item, ok := m.queue.Peek(teamID(team))
		if !ok {
			continue
		}
		turn := fairness.SortKey{Team: teamID(team), Ratio: float64(m.using[team]), Waited: m.now - item.Enqueued}
		if best < 0 || m.policy.Before(turn, first) {
			best, first = team, turn
		}
	}
	return best
}

// monthEndTable measures the teams that do not flood while the others hand in
// ten times the load for five minutes.
func monthEndTable(t table) error {
	t.row("month-end", "phase", "wait mean", "wait p99", "response", "goodput", "shed, others", "shed, flooding")
	for _, policy := range []fairness.Policy{fairness.PolicyWaiting, fairness.PolicyShare} {
		m := newMonthRun(policy)
		for _, phase := range []struct {
			name  string
			until time.Duration
		}{{"ordinary", monthOrdinary}, {"ten times", monthOrdinary + monthEnd}, {"2 s after", monthOrdinary + monthEnd + 2*time.Second}, {"then", 2*monthOrdinary + monthEnd}} {
			m.shed = [teamCount]int{}
			goodput := m.run(phase.until)
			t.row(m.row(string(policy), phase.name, goodput)...)
		}
	}
	return nil
}

func (m *monthRun) row(policy, phase string, goodput float64) []string {
	slices.Sort(m.waits)
	var sum time.Duration
	for _, wait := range m.waits {
		sum += wait
	}
	mean := sum / time.Duration(max(len(m.waits), 1))
	flooding, others := 0, 0
	for team, n := range m.shed {
		if team < monthFlooding {
			flooding += n
		} else {
			others += n
		}
	}
	return []string{
		policy, phase, mean.Round(time.Microsecond).String(),
		m.waits[len(m.waits)*99/100].Round(time.Microsecond).String(),
		(mean + monthService).Round(10 * time.Microsecond).String(),
		fmt.Sprintf("%.1f %%", 100*goodput), fmt.Sprint(others), fmt.Sprint(flooding),
	}
}

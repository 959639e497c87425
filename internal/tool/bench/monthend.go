package main

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/shed"
)

// The load of the month-end measurement, on a tenth of a user's slots.
const (
	monthEndSlots         = 40
	monthEndServiceTime   = 50 * time.Millisecond // mean
	monthEndRate          = 300.0                 // requests per second of all teams on an ordinary day
	monthEndFloodFactor   = 10                    // by which the flooding teams multiply the total load
	monthEndFloodingTeams = 4                     // the first of teamCount teams
	monthEndStartWindow   = 2 * time.Second       // time within which a request must start
	monthEndOrdinaryTime  = time.Minute
	monthEndFloodTime     = 5 * time.Minute
	monthEndQueueLimit    = 400
)

// request is an arriving or running request of a team.
type request struct {
	at   time.Duration // of its arrival or its end
	team int
}

// requestHeap is a heap of requests, earliest first.
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

// monthEndRun simulates the quick requests of all teams on a fixed number of slots.
type monthEndRun struct {
	gen       *taskGenerator
	policy    fairness.Policy
	queue     *shed.Queue[int]
	arrivals  requestHeap
	ends      requestHeap
	inUse     [teamCount]int
	now       time.Duration
	lastID    int
	waits     []time.Duration // of requests of the teams that do not flood
	completed int
	shedCount [teamCount]int
}

func newMonthEndRun(policy fairness.Policy) *monthEndRun {
	m := &monthEndRun{
		gen: newTaskGenerator(11, guild.capacity), policy: policy,
		queue: shed.New[int](policy, shed.Limits{Total: monthEndQueueLimit, Team: monthEndQueueLimit}),
	}
	for team := range teamCount {
		m.queue.SetTeam(teamID(team), 1, 0)
		m.scheduleArrival(team)
	}
	return m
}

// rate returns the team's current load in requests per second.
func (m *monthEndRun) rate(team int) float64 {
	ordinary := monthEndRate / teamCount
	if team >= monthEndFloodingTeams || m.now < monthEndOrdinaryTime || m.now >= monthEndOrdinaryTime+monthEndFloodTime {
		return ordinary
	}
	return ordinary + monthEndRate*(monthEndFloodFactor-1)/monthEndFloodingTeams
}

func (m *monthEndRun) scheduleArrival(team int) {
	gap := m.gen.random.ExpFloat64() / m.rate(team)
	heap.Push(&m.arrivals, request{at: m.now + time.Duration(gap*float64(time.Second)), team: team})
}

// run simulates until a time on the virtual clock and returns the fraction of the
// slots' capacity that completed requests used.
func (m *monthEndRun) run(until time.Duration) float64 {
	start := m.now
	m.completed, m.waits = 0, nil
	for m.arrivals[0].at < until {
		if len(m.ends) > 0 && m.ends[0].at <= m.arrivals[0].at {
			r := heap.Pop(&m.ends).(request)
			m.now = r.at
			m.inUse[r.team]--
			m.completed++
		} else {
			r := heap.Pop(&m.arrivals).(request)
			m.now = r.at
			m.enqueue(r.team)
			m.scheduleArrival(r.team)
		}
		m.startRequests()
	}
	capacity := monthEndSlots * (until - start).Seconds() / monthEndServiceTime.Seconds()
	return float64(m.completed) / capacity
}

func (m *monthEndRun) enqueue(team int) {
	m.lastID++
	item := fairness.Item[int]{ID: m.lastID, Enqueued: m.now, StartBy: m.now + monthEndStartWindow}
	for _, s := range m.queue.Push(teamID(team), item, m.now) {
		m.shedCount[teamNumber(s.Team)]++
	}
}

// startRequests starts queued requests on free slots, in the order of the policy.
func (m *monthEndRun) startRequests() {
	for len(m.ends) < monthEndSlots {
		team := m.nextTeam()
		if team < 0 {
			return
		}
		item, _ := m.queue.Pop(teamID(team))
		if item.StartBy < m.now {
			m.shedCount[team]++
			continue
		}
		if team >= monthEndFloodingTeams {
			m.waits = append(m.waits, m.now-item.Enqueued)
		}
		m.inUse[team]++
		heap.Push(&m.ends, request{at: m.now + m.gen.exponential(monthEndServiceTime), team: team})
	}
}

// nextTeam returns the team whose request the policy starts next, or -1 if none is
// queued.
func (m *monthEndRun) nextTeam() int {
	best, bestTurn := -1, fairness.SortKey{}
	for team := range teamCount {
		item, ok := m.queue.Peek(teamID(team))
		if !ok {
			continue
		}
		turn := fairness.SortKey{Team: teamID(team), Ratio: float64(m.inUse[team]), Waited: m.now - item.Enqueued}
		if best < 0 || m.policy.Before(turn, bestTurn) {
			best, bestTurn = team, turn
		}
	}
	return best
}

// monthEndTable measures the requests of the teams that do not flood while the
// others raise the total load to ten times for five minutes.
func monthEndTable(t table) error {
	t.row("month-end", "phase", "wait mean", "wait p99", "response", "goodput", "shed, others", "shed, flooding")
	for _, policy := range []fairness.Policy{fairness.PolicyWaiting, fairness.PolicyShare} {
		m := newMonthEndRun(policy)
		for _, phase := range []struct {
			name  string
			until time.Duration
		}{{"ordinary", monthEndOrdinaryTime}, {"ten times", monthEndOrdinaryTime + monthEndFloodTime}, {"2 s after", monthEndOrdinaryTime + monthEndFloodTime + 2*time.Second}, {"then", 2*monthEndOrdinaryTime + monthEndFloodTime}} {
			m.shedCount = [teamCount]int{}
			goodput := m.run(phase.until)
			t.row(m.row(string(policy), phase.name, goodput)...)
		}
	}
	return nil
}

func (m *monthEndRun) row(policy, phase string, goodput float64) []string {
	slices.Sort(m.waits)
	var sum time.Duration
	for _, wait := range m.waits {
		sum += wait
	}
	mean := sum / time.Duration(max(len(m.waits), 1))
	flooding, others := 0, 0
	for team, n := range m.shedCount {
		if team < monthEndFloodingTeams {
			flooding += n
		} else {
			others += n
		}
	}
	return []string{
		policy, phase, mean.Round(time.Microsecond).String(),
		m.waits[len(m.waits)*99/100].Round(time.Microsecond).String(),
		(mean + monthEndServiceTime).Round(10 * time.Microsecond).String(),
		fmt.Sprintf("%.1f %%", 100*goodput), fmt.Sprint(others), fmt.Sprint(flooding),
	}
}

package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/candidate"
	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

const (
	waitingTasks     = 10_000
	roundTasks       = 16 // tasks that end and start per round
	fillLevel        = 0.85
	placementRound   = 1500
	placementRepeats = 5
	refreshEvery     = 8 // changes of a rack per refresh of its summary
	tick             = 5 * time.Millisecond
)

// placementResult is one row of the placement table.
type placementResult struct {
	workers   int
	placed    int
	refused   int
	perPlaced time.Duration // processor time of everything decided
	p99       time.Duration // of a round, which is what a task in it waits
	naive     time.Duration // per placement by full scan
}

// churn keeps a cell busy: tasks end, as many of the waiting ones start.
type churn struct {
	cell    *cell
	mix     *mix
	waiting [teamCount]*fairness.Queue[int]
	pool    map[int]rack.Offer // waiting tasks
	serial  int
	used    [teamCount]model.Resources
	total   model.Resources
	running []started
	changes []int
	now     time.Duration
}

// started is a running task.
type started struct {
	permit string
	team   int
	rack   model.PartitionID
	size   model.Resources
}

func newChurn(u user, workers int, rackOfAll bool) *churn {
	vms := u.vms(workers)
	if rackOfAll {
		for i := range vms {
			vms[i].Rack = "all"
		}
	}
	c := &churn{
		pool: make(map[int]rack.Offer),
		cell: newCell(vms, rack.Policy{}, 1), mix: newMix(uint64(workers), u.capacity),
	}
	c.changes = make([]int, len(c.cell.order))
	c.total = c.cell.capacity()
	for team := range c.waiting {
		c.waiting[team] = fairness.NewQueue[int](fairness.PolicyShare)
	}
	for i := range waitingTasks {
		c.enqueue(i % teamCount)
	}
	return c
}

func (c *churn) enqueue(team int) {
	c.serial++
	c.pool[c.serial] = c.mix.offer(team, c.mix.task(), time.Second)
	c.waiting[team].Push(fairness.Item[int]{ID: c.serial, Enqueued: c.now})
}

// next takes a task of the team with the lowest ratio and grants its permit.
func (c *churn) next() (int, rack.Offer) {
	best, lowest := 0, 0.0
	for team := range c.waiting {
		ratio := fairness.Ratio(c.used[team], c.total, 1)
		if team == 0 || ratio < lowest {
			best, lowest = team, ratio
		}
	}
	item, _ := c.waiting[best].Pop()
	o := c.pool[item.ID]
	delete(c.pool, item.ID)
	o.Permit.Ratio = lowest
	c.used[best] = c.used[best].Add(o.Size)
	return best, o
}

// round starts tasks and returns how many were placed and refused.
func (c *churn) round(n int) (placed, refused int) {
	offers := make(map[model.PartitionID][]rack.Offer)
	for range n {
		_, o := c.next()
		picked := c.pick(o)
		if len(picked) == 0 {
			continue
		}
		c.cell.views[0].Reserve(picked[0], o.Size)
		offers[picked[0]] = append(offers[picked[0]], o)
	}
	for id, batch := range offers {
		for _, d := range c.cell.racks[id].PlaceBatch(batch, c.now) {
			team := teamNumber(d.Offer.Permit.Team)
			if !d.Reserved {
				refused++
				c.used[team] = c.used[team].Sub(d.Offer.Size)
				continue
			}
			placed++
			c.cell.racks[id].Started(d.Offer.Permit.ID)
			c.running = append(c.running, started{permit: d.Offer.Permit.ID, team: team, rack: id, size: d.Offer.Size})
		}
		c.changed(id)
	}
	c.now += tick
	return placed, refused
}

func (c *churn) changed(id model.PartitionID) {
	if len(c.cell.order) == 1 {
		return
	}
	i := c.cell.position[id]
	if c.changes[i]++; c.changes[i]%refreshEvery == 0 {
		c.cell.refresh(i)
	}
}

// end finishes a random running task.
func (c *churn) end() {
	i := c.mix.random.IntN(len(c.running))
	t := c.running[i]
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.cell.racks[t.rack].Ended(t.permit, rack.ResultDone, c.now)
	c.used[t.team] = c.used[t.team].Sub(t.size)
	c.changed(t.rack)
}

func (c *churn) refill() {
	for team := range c.waiting {
		for c.waiting[team].Len() < waitingTasks/teamCount {
			c.enqueue(team)
		}
	}
}

// fill starts tasks until the cell is busy.
func (c *churn) fill() {
	for c.fillLevel() < fillLevel {
		c.round(roundTasks)
		c.refill()
	}
	c.cell.summarize()
}

func (c *churn) fillLevel() float64 {
	var used model.Resources
	for _, u := range c.used {
		used = used.Add(u)
	}
	return used.DominantShare(c.total)
}

// measurePlacement times the whole way of a decision on one core: team queue,
// turn, choice of the rack, placement, and the end of as many tasks. It repeats
// the measurement and returns the repeat of median cost.
func measurePlacement(u user, workers int, rackOfAll bool) (placementResult, error) {
	c := newChurn(u, workers, rackOfAll)
	c.fill()
	var results [placementRepeats]placementResult
	for i := range results {
		results[i] = c.measure()
	}
	slices.SortFunc(results[:], func(a, b placementResult) int { return cmp.Compare(a.perPlaced, b.perPlaced) })
	result := results[placementRepeats/2]
	result.workers, result.naive = workers, naivePlacement(u, workers)
	return result, c.cell.check()
}

func (c *churn) measure() placementResult {
	var result placementResult
	rounds := make([]time.Duration, 0, placementRound)
	var spent time.Duration
	for range placementRound {
		ended := roundTasks
		for c.fillLevel() < fillLevel && ended > 0 {
			ended--
		}
		began := time.Now()
		for range ended {
			c.end()
		}
		placed, refused := c.round(roundTasks)
		took := time.Since(began)
		c.refill()
		spent += took
		rounds = append(rounds, took)
		result.placed += placed
		result.refused += refused
	}
	slices.Sort(rounds)
	result.perPlaced = spent / time.Duration(max(result.placed, 1))
	result.p99 = rounds[len(rounds)*99/100]
	return result
}

func (r placementResult) row(label string) []string {
	return []string{
		label, fmt.Sprint(r.workers),
		fmt.Sprintf("%.0f", float64(time.Second)/float64(r.perPlaced)),
		r.perPlaced.String(), r.p99.Round(time.Microsecond).String(),
		fmt.Sprintf("%.1f %%", 100*float64(r.refused)/float64(r.placed+r.refused)),
		r.naive.String(), fmt.Sprintf("%.1f", float64(r.naive)/float64(r.perPlaced)),
	}
}

// pick chooses the rack; with one rack there is nothing to choose.
func (c *churn) pick(o rack.Offer) []model.PartitionID {
	if len(c.cell.order) == 1 {
		return c.cell.order
	}
	return c.cell.views[0].Pick(candidate.Query{Size: o.Size}, 1)
}

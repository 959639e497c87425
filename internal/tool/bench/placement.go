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
	queuedTasks       = 10_000
	tasksPerRound     = 16 // tasks that end, and tasks that start, in a round
	targetFill        = 0.85
	placementRounds   = 1500
	placementRepeats  = 5
	changesPerSummary = 8 // changes of a rack for each update of its summary
	tick              = 5 * time.Millisecond
)

// placementResult is one row of the placement table.
type placementResult struct {
	workers      int
	placed       int
	refused      int
	costPerTask  time.Duration // wall-clock time of all decisions per placed task
	p99          time.Duration // of a round, which is the delay of the tasks in it
	fullScanCost time.Duration // per placement
}

// churn keeps a cell busy: in each round some tasks end and as many queued ones
// start.
type churn struct {
	cell    *cell
	gen     *taskGenerator
	queues  [teamCount]*fairness.Queue[int]
	pending map[int]rack.Offer // queued tasks by id
	lastID  int
	used    [teamCount]model.Resources
	total   model.Resources
	running []churnTask
	changes []int // of each rack
	now     time.Duration
}

// churnTask is a running task.
type churnTask struct {
	permit string
	team   int
	rack   model.PartitionID
	size   model.Resources
}

func newChurn(u user, workers int, oneRack bool) *churn {
	vms := u.vms(workers)
	if oneRack {
		for i := range vms {
			vms[i].Rack = "all"
		}
	}
	c := &churn{
		pending: make(map[int]rack.Offer),
		cell:    newCell(vms, rack.Policy{}, 1), gen: newTaskGenerator(uint64(workers), u.capacity),
	}
	c.changes = make([]int, len(c.cell.partitions))
	c.total = c.cell.capacity()
	for team := range c.queues {
		c.queues[team] = fairness.NewQueue[int](fairness.PolicyShare)
	}
	for i := range queuedTasks {
		c.enqueue(i % teamCount)
	}
	return c
}

func (c *churn) enqueue(team int) {
	c.lastID++
	c.pending[c.lastID] = c.gen.offer(team, c.gen.task(), time.Second)
	c.queues[team].Push(fairness.Item[int]{ID: c.lastID, Enqueued: c.now})
}

// nextTask removes a task from the queue of the team with the lowest ratio, counts
// it as used and returns the team and the offer.
func (c *churn) nextTask() (int, rack.Offer) {
	best, lowest := 0, 0.0
	for team := range c.queues {
		ratio := fairness.Ratio(c.used[team], c.total, 1)
		if team == 0 || ratio < lowest {
			best, lowest = team, ratio
		}
	}
	item, _ := c.queues[best].Pop()
	o := c.pending[item.ID]
	delete(c.pending, item.ID)
	o.Permit.Ratio = lowest
	c.used[best] = c.used[best].Add(o.Size)
	return best, o
}

// round offers n tasks and returns how many were placed and refused.
func (c *churn) round(n int) (placed, refused int) {
	offers := make(map[model.PartitionID][]rack.Offer)
	for range n {
		_, o := c.nextTask()
		picked := c.pickRack(o)
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
			c.running = append(c.running, churnTask{permit: d.Offer.Permit.ID, team: team, rack: id, size: d.Offer.Size})
		}
		c.countChange(id)
	}
	c.now += tick
	return placed, refused
}

// countChange counts a change of a rack and updates the rack's summary at every
// summaryInterval-th change.
func (c *churn) countChange(id model.PartitionID) {
	if len(c.cell.partitions) == 1 {
		return
	}
	i := c.cell.position[id]
	if c.changes[i]++; c.changes[i]%changesPerSummary == 0 {
		c.cell.updateSummary(i)
	}
}

// endRandomTask ends a random running task.
func (c *churn) endRandomTask() {
	i := c.gen.random.IntN(len(c.running))
	t := c.running[i]
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.cell.racks[t.rack].Ended(t.permit, rack.ResultDone, c.now)
	c.used[t.team] = c.used[t.team].Sub(t.size)
	c.countChange(t.rack)
}

// refill fills every team's queue up.
func (c *churn) refill() {
	for team := range c.queues {
		for c.queues[team].Len() < queuedTasks/teamCount {
			c.enqueue(team)
		}
	}
}

// fill starts tasks until the cell is filled to targetFill.
func (c *churn) fill() {
	for c.fillLevel() < targetFill {
		c.round(tasksPerRound)
		c.refill()
	}
	c.cell.updateSummaries()
}

func (c *churn) fillLevel() float64 {
	var used model.Resources
	for _, u := range c.used {
		used = used.Add(u)
	}
	return used.DominantShare(c.total)
}

// measurePlacement measures complete decisions on one core: team queue, choice of
// the team, choice of the rack, placement, and the end of as many tasks. It repeats
// the measurement and returns the result with the median cost.
func measurePlacement(u user, workers int, oneRack bool) (placementResult, error) {
	c := newChurn(u, workers, oneRack)
	c.fill()
	var results [placementRepeats]placementResult
	for i := range results {
		results[i] = c.measure()
	}
	slices.SortFunc(results[:], func(a, b placementResult) int { return cmp.Compare(a.costPerTask, b.costPerTask) })
	result := results[placementRepeats/2]
	result.workers, result.fullScanCost = workers, fullScanPlacement(u, workers)
	return result, c.cell.checkInvariants()
}

func (c *churn) measure() placementResult {
	var result placementResult
	rounds := make([]time.Duration, 0, placementRounds)
	var total time.Duration
	for range placementRounds {
		toEnd := tasksPerRound
		for c.fillLevel() < targetFill && toEnd > 0 {
			toEnd--
		}
		start := time.Now()
		for range toEnd {
			c.endRandomTask()
		}
		placed, refused := c.round(tasksPerRound)
		elapsed := time.Since(start)
		c.refill()
		total += elapsed
		rounds = append(rounds, elapsed)
		result.placed += placed
		result.refused += refused
	}
	slices.Sort(rounds)
	result.costPerTask = total / time.Duration(max(result.placed, 1))
	result.p99 = rounds[len(rounds)*99/100]
	return result
}

func (r placementResult) row(label string) []string {
	return []string{
		label, fmt.Sprint(r.workers),
		fmt.Sprintf("%.0f", float64(time.Second)/float64(r.costPerTask)),
		r.costPerTask.String(), r.p99.Round(time.Microsecond).String(),
		fmt.Sprintf("%.1f %%", 100*float64(r.refused)/float64(r.placed+r.refused)),
		r.fullScanCost.String(), fmt.Sprintf("%.1f", float64(r.fullScanCost)/float64(r.costPerTask)),
	}
}

// pickRack returns the rack to offer a task to, or nothing if none fits. With one
// rack there is no choice.
func (c *churn) pickRack(o rack.Offer) []model.PartitionID {
	if len(c.cell.partitions) == 1 {
		return c.cell.partitions
	}
	return c.cell.views[0].Pick(candidate.Query{Size: o.Size}, 1)
}

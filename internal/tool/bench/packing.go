package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

const (
	mixes        = 200
	smallWorkers = 3    // number of workers for the comparison with exhaustive search
	overload     = 1.25 // demand as a multiple of the capacity
)

// packingComparison compares the rack's placement with another algorithm over
// all mixes.
type packingComparison struct {
	rackFilled, otherFilled float64 // mean filled fraction
	ratio                   float64 // rackFilled over otherFilled
	worstRatio              float64 // lowest ratio of any mix
	worseMixes              int     // mixes in which the other algorithm filled more
}

func (p *packingComparison) add(rackFilled, otherFilled float64) {
	p.rackFilled += rackFilled / mixes
	p.otherFilled += otherFilled / mixes
	p.ratio = p.rackFilled / p.otherFilled
	if p.worstRatio == 0 || rackFilled/otherFilled < p.worstRatio {
		p.worstRatio = rackFilled / otherFilled
	}
	if rackFilled < otherFilled-1e-9 {
		p.worseMixes++
	}
}

func (p *packingComparison) row(user, against string) []string {
	return []string{
		user, against, fmt.Sprintf("%.2f %%", 100*p.rackFilled), fmt.Sprintf("%.2f %%", 100*p.otherFilled),
		fmt.Sprintf("%.2f %%", 100*p.ratio), fmt.Sprintf("%.2f %%", 100*p.worstRatio), fmt.Sprint(p.worseMixes),
	}
}

// drawMix draws tasks until their total size reaches overload times the workers'
// capacity.
func drawMix(seed uint64, workers int, capacity model.Resources) []model.Resources {
	m := newTaskGenerator(seed, capacity)
	total := capacity.Scale(int64(workers))
	var sum model.Resources
	var sizes []model.Resources
	for filledFraction(sum, total) < overload {
		size := m.task()
		if workers <= smallWorkers {
			size = m.largeTask()
		}
		sizes = append(sizes, size)
		sum = sum.Add(size)
	}
	return sizes
}

// largeTask draws the size of a large task. Few of them fill the workers, so that
// all assignments can be tried.
func (m *taskGenerator) largeTask() model.Resources {
	numerator := func() int64 { return 4 + int64(m.random.IntN(29)) } // of 64ths of a worker
	return model.Resources{
		MilliCPU:  m.capacity.MilliCPU * numerator() / 64,
		MemoryMiB: m.capacity.MemoryMiB * numerator() / 64,
	}
}

// packRack offers the tasks to a rack in one batch and returns the total size of
// those that were placed.
func packRack(sizes []model.Resources, vms []model.VM) (model.Resources, error) {
	r := rack.New(rack.Options{})
	r.SetVMs(vms, 0)
	m := newTaskGenerator(0, vms[0].Capacity)
	offers := make([]rack.Offer, len(sizes))
	for i, size := range sizes {
		offers[i] = m.offer(0, size, time.Second)
	}
	var placed model.Resources
	for _, d := range r.PlaceBatch(offers, 0) {
		if d.Reserved {
			placed = placed.Add(d.Offer.Size)
		}
	}
	return placed, r.Invariant()
}

// packCell offers the tasks to the racks of the user's cell for 20 ticks, through
// the view that owners pick racks from, and returns the total size of those that
// were placed.
func packCell(sizes []model.Resources, u user) (model.Resources, error) {
	c := newCell(u.vms(u.workers), rack.Policy{}, 1)
	m := newTaskGenerator(0, u.capacity)
	var placed model.Resources
	pending := make([]rack.Offer, len(sizes))
	for i, size := range sizes {
		pending[i] = m.offer(0, size, time.Second)
	}
	for now := time.Duration(0); now < 20*tick; now += tick {
		var refused []rack.Offer
		for _, batch := range c.distribute(0, pending, nil) {
			for _, d := range c.racks[batch.rack].PlaceBatch(batch.offers, now) {
				if d.Reserved {
					placed = placed.Add(d.Offer.Size)
				} else {
					refused = append(refused, d.Offer)
				}
			}
		}
		pending = refused
		c.updateSummaries()
	}
	return placed, c.checkInvariants()
}

// packingTable compares the rack's placement with exhaustive search on few
// workers, and with first fit on the users' cells.
func packingTable(t table) error {
	t.row("packing", "against", "filled", "other", "ratio", "worst mix", "mixes below")
	for _, u := range []user{guild, vestfjord} {
		exhaustive, decreasing, arrival := &packingComparison{}, &packingComparison{}, &packingComparison{}
		for seed := range uint64(mixes) {
			if err := compareWithExhaustive(u, seed, exhaustive); err != nil {
				return err
			}
			sizes := drawMix(seed, u.workers, u.capacity)
			total := u.capacity.Scale(int64(u.workers))
			placed, err := packCell(sizes, u)
			if err != nil {
				return err
			}
			cellFilled := filledFraction(placed, total)
			decreasing.add(cellFilled, filledFraction(firstFitDecreasing(sizes, u.workers, u.capacity), total))
			arrival.add(cellFilled, filledFraction(firstFit(sizes, u.workers, u.capacity), total))
		}
		t.row(exhaustive.row(u.name, fmt.Sprintf("exhaustive, %d workers", smallWorkers))...)
		t.row(decreasing.row(u.name, "first fit decreasing, 50 workers")...)
		t.row(arrival.row(u.name, "first fit, 50 workers")...)
	}
	return nil
}

// compareWithExhaustive packs one mix on a small rack and adds the comparison
// with exhaustive search to p.
func compareWithExhaustive(u user, seed uint64, p *packingComparison) error {
	sizes := drawMix(seed, smallWorkers, u.capacity)
	placed, err := packRack(sizes, u.vms(smallWorkers))
	if err != nil {
		return err
	}
	total := u.capacity.Scale(smallWorkers)
	p.add(filledFraction(placed, total), maxFilled(sizes, smallWorkers, u.capacity))
	return nil
}

// The load of the measurement of gangs' waiting times.
const (
	gangWorkers        = 8
	gangTasks          = 4
	gangInterval       = 8 * time.Second // mean time between arrivals
	gangRunTime        = 4 * time.Second
	gangDuration       = 10 * time.Minute
	gangTasksPerWorker = 2 // each task uses this fraction (1/n) of a worker
)

// gangTable measures how long gangs wait on a busy rack and how much of the rack
// is in use, with and without holding workers for gangs.
func gangTable(t table) error {
	t.row("gangs", "held workers", "gangs", "started", "wait p50", "wait p95", "rack in use")
	for _, u := range []user{guild, vestfjord} {
		for _, holdAfter := range []time.Duration{0, gangDuration} {
			g := newGangRun(u, holdAfter)
			if err := g.run(); err != nil {
				return err
			}
			t.row(g.row(u.name, holdAfter == 0)...)
		}
	}
	return nil
}

// gangRun simulates a rack that is offered more single tasks than it has capacity
// for, and a gang every few seconds of virtual time.
type gangRun struct {
	rack        *rack.Rack
	gen         *taskGenerator
	random      *rand.Rand
	total       model.Resources
	singles     []waitingSingle
	nextArrival time.Duration // of a gang
	running     []runningTask
	gangs       []waitingGang
	waits       []time.Duration
	arrived     int
	usage       float64 // mean fraction of the rack in use
}

type waitingSingle struct {
	since time.Duration
	offer rack.Offer
}

type waitingGang struct {
	since  time.Duration
	offers []rack.Offer
}

func newGangRun(u user, holdAfter time.Duration) *gangRun {
	g := &gangRun{
		rack: rack.New(rack.Options{Policy: rack.Policy{HoldAfter: holdAfter}}), gen: newTaskGenerator(7, u.capacity),
		random: rand.New(rand.NewPCG(7, 7)), total: u.capacity.Scale(gangWorkers),
	}
	g.rack.SetVMs(u.vms(gangWorkers), 0)
	return g
}

func (g *gangRun) run() error {
	const step = 50 * time.Millisecond
	for now := time.Duration(0); now < gangDuration; now += step {
		g.completeTasks(now)
		if now >= g.nextArrival {
			g.submitGang(now)
			g.nextArrival = now + g.gen.exponential(gangInterval)
		}
		g.startGangs(now)
		g.startSingles(now)
		g.usage += g.inUse() * step.Seconds() / gangDuration.Seconds()
	}
	return g.rack.Invariant()
}

func (g *gangRun) inUse() float64 {
	var used model.Resources
	for _, r := range g.running {
		used = used.Add(r.offer.Size)
	}
	return filledFraction(used, g.total)
}

func (g *gangRun) completeTasks(now time.Duration) {
	g.running = slices.DeleteFunc(g.running, func(r runningTask) bool {
		if r.end <= now {
			g.rack.Ended(r.offer.Permit.ID, rack.ResultDone, now)
		}
		return r.end <= now
	})
}

func (g *gangRun) submitGang(now time.Duration) {
	g.arrived++
	gang := waitingGang{since: now}
	for range gangTasks {
		size := model.Resources{
			MilliCPU:  g.gen.capacity.MilliCPU / gangTasksPerWorker,
			MemoryMiB: g.gen.capacity.MemoryMiB / gangTasksPerWorker,
		}
		o := g.gen.offer(1, size, gangRunTime)
		o.Job = model.JobID(fmt.Sprint("gang-", g.arrived))
		gang.offers = append(gang.offers, o)
	}
	g.gangs = append(g.gangs, gang)
}

func (g *gangRun) startGangs(now time.Duration) {
	g.gangs = slices.DeleteFunc(g.gangs, func(gang waitingGang) bool {
		decisions, complete := g.rack.ReserveGang(gang.offers, now, now+time.Second)
		if !complete {
			return false
		}
		var permits []string
		for _, d := range decisions {
			permits = append(permits, d.Offer.Permit.ID)
			g.running = append(g.running, runningTask{end: now + d.Offer.ExpectedRun, offer: d.Offer})
		}
		g.waits = append(g.waits, now-gang.since)
		return g.rack.CommitGang(permits, now)
	})
}

// startSingles keeps a queue of single tasks, each of which is dropped after
// maxWait. The actual run time is 0.5 to 2 times the declared one.
func (g *gangRun) startSingles(now time.Duration) {
	const queueLength, maxWait = 20, 5 * time.Second
	g.singles = slices.DeleteFunc(g.singles, func(s waitingSingle) bool { return now-s.since > maxWait })
	for len(g.singles) < queueLength {
		run := g.gen.exponential(3 * time.Second)
		g.singles = append(g.singles, waitingSingle{now, g.gen.offer(0, g.gen.task(), run)})
	}
	offers := make([]rack.Offer, len(g.singles))
	for i, s := range g.singles {
		offers[i] = s.offer
	}
	var refused []waitingSingle
	for i, d := range g.rack.PlaceBatch(offers, now) {
		if !d.Reserved {
			refused = append(refused, g.singles[i])
			continue
		}
		runFactor := 0.5 + 1.5*g.random.Float64()
		run := time.Duration(float64(d.Offer.ExpectedRun) * runFactor)
		g.running = append(g.running, runningTask{end: now + run, offer: d.Offer})
	}
	g.singles = refused
}

func (g *gangRun) row(user string, held bool) []string {
	slices.Sort(g.waits)
	quantile := func(q float64) string {
		if len(g.waits) == 0 {
			return "-"
		}
		return g.waits[int(q*float64(len(g.waits)-1))].String()
	}
	return []string{
		user, map[bool]string{true: "yes", false: "no"}[held], fmt.Sprint(g.arrived), fmt.Sprint(len(g.waits)),
		quantile(0.5), quantile(0.95), fmt.Sprintf("%.1f %%", 100*g.usage),
	}
}

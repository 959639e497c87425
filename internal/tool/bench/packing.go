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
	smallWorkers = 3    // of the mixes that are also packed exhaustively
	overload     = 1.25 // demand as a multiple of the capacity
)

// packing sums up one comparison over all mixes.
type packing struct {
	ours, other float64 // mean filled part
	ratio       float64 // of the sums
	worst       float64 // lowest ratio of a mix
	below       int     // mixes in which other filled more
}

func (p *packing) add(ours, other float64) {
	p.ours += ours / mixes
	p.other += other / mixes
	p.ratio = p.ours / p.other
	if p.worst == 0 || ours/other < p.worst {
		p.worst = ours / other
	}
	if ours < other-1e-9 {
		p.below++
	}
}

func (p *packing) row(user, against string) []string {
	return []string{
		user, against, fmt.Sprintf("%.2f %%", 100*p.ours), fmt.Sprintf("%.2f %%", 100*p.other),
		fmt.Sprintf("%.2f %%", 100*p.ratio), fmt.Sprintf("%.2f %%", 100*p.worst), fmt.Sprint(p.below),
	}
}

// drawMix draws tasks of somewhat more than the workers hold.
func drawMix(seed uint64, workers int, capacity model.Resources) []model.Resources {
	m := newMix(seed, capacity)
	total := capacity.Scale(int64(workers))
	var sum model.Resources
	var sizes []model.Resources
	for filled(sum, total) < overload {
		size := m.task()
		if workers <= smallWorkers {
			size = m.largeTask()
		}
		sizes = append(sizes, size)
		sum = sum.Add(size)
	}
	return sizes
}

// largeTask keeps the number of tasks small enough to try all assignments.
func (m *mix) largeTask() model.Resources {
	part := func() int64 { return 4 + int64(m.random.IntN(29)) } // of 64
	return model.Resources{
		MilliCPU:  m.capacity.MilliCPU * part() / 64,
		MemoryMiB: m.capacity.MemoryMiB * part() / 64,
	}
}

// packRack returns what one batch of offers fills on a rack.
func packRack(sizes []model.Resources, vms []model.VM) (model.Resources, error) {
	r := rack.New(rack.Options{})
	r.SetVMs(vms, 0)
	m := newMix(0, vms[0].Capacity)
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

// packCell offers a mix to racks of the users' size through the view that
// owners pick racks from, until no task finds room.
func packCell(sizes []model.Resources, u user) (model.Resources, error) {
	c := newCell(u.vms(u.workers), rack.Policy{}, 1)
	m := newMix(0, u.capacity)
	var placed model.Resources
	waiting := make([]rack.Offer, len(sizes))
	for i, size := range sizes {
		waiting[i] = m.offer(0, size, time.Second)
	}
	for now := time.Duration(0); now < 20*tick; now += tick {
		var left []rack.Offer
		for _, batch := range c.distribute(0, waiting, nil) {
			for _, d := range c.racks[batch.rack].PlaceBatch(batch.offers, now) {
				if d.Reserved {
					placed = placed.Add(d.Offer.Size)
				} else {
					left = append(left, d.Offer)
				}
			}
		}
		waiting = left
		c.summarize()
	}
	return placed, c.check()
}

// packingTables compares with the exhaustive packer on few workers and with
// first fit on the users' cells.
func packingTable(t table) error {
	t.row("packing", "against", "filled", "other", "ratio", "worst mix", "mixes below")
	for _, u := range []user{guild, vestfjord} {
		best, decreasing, arrival := &packing{}, &packing{}, &packing{}
		for seed := range uint64(mixes) {
			if err := packSmall(u, seed, best); err != nil {
				return err
			}
			sizes := drawMix(seed, u.workers, u.capacity)
			total := u.capacity.Scale(int64(u.workers))
			placed, err := packCell(sizes, u)
			if err != nil {
				return err
			}
			ours := filled(placed, total)
			decreasing.add(ours, filled(firstFitDecreasing(sizes, u.workers, u.capacity), total))
			arrival.add(ours, filled(firstFit(sizes, u.workers, u.capacity), total))
		}
		t.row(best.row(u.name, fmt.Sprintf("exhaustive, %d workers", smallWorkers))...)
		t.row(decreasing.row(u.name, "first fit decreasing, 50 workers")...)
		t.row(arrival.row(u.name, "first fit, 50 workers")...)
	}
	return nil
}

func packSmall(u user, seed uint64, best *packing) error {
	sizes := drawMix(seed, smallWorkers, u.capacity)
	placed, err := packRack(sizes, u.vms(smallWorkers))
	if err != nil {
		return err
	}
	total := u.capacity.Scale(smallWorkers)
	best.add(filled(placed, total), exhaustive(sizes, smallWorkers, u.capacity))
	return nil
}

// gangLoad is the load of the measurement of gangs' waiting.
const (
	gangWorkers = 8
	gangTasks   = 4
	gangEvery   = 8 * time.Second // mean time between arrivals
	gangRunTime = 4 * time.Second
	gangTime    = 10 * time.Minute
	gangPart    = 2 // one of its tasks takes 1/gangPart of a worker
)

// gangTable measures how long gangs wait on a busy rack with and without
// workers being held for them, and what part of the rack runs work.
func gangTable(t table) error {
	t.row("gangs", "held workers", "gangs", "started", "wait p50", "wait p95", "rack in use")
	for _, u := range []user{guild, vestfjord} {
		for _, holdAfter := range []time.Duration{0, gangTime} {
			g := newGangRun(u, holdAfter)
			if err := g.run(); err != nil {
				return err
			}
			t.row(g.row(u.name, holdAfter == 0)...)
		}
	}
	return nil
}

// gangRun offers single tasks beyond the rack's capacity and a gang every few
// seconds of virtual time.
type gangRun struct {
	rack    *rack.Rack
	mix     *mix
	random  *rand.Rand
	total   model.Resources
	singles []waitingSingle
	next    time.Duration // arrival of a gang
	ends    []running
	gangs   []waitingGang
	waits   []time.Duration
	arrived int
	usage   float64
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
		rack: rack.New(rack.Options{Policy: rack.Policy{HoldAfter: holdAfter}}), mix: newMix(7, u.capacity),
		random: rand.New(rand.NewPCG(7, 7)), total: u.capacity.Scale(gangWorkers),
	}
	g.rack.SetVMs(u.vms(gangWorkers), 0)
	return g
}

func (g *gangRun) run() error {
	const step = 50 * time.Millisecond
	for now := time.Duration(0); now < gangTime; now += step {
		g.finish(now)
		if now >= g.next {
			g.arrive(now)
			g.next = now + g.mix.exponential(gangEvery)
		}
		g.startGangs(now)
		g.startSingles(now)
		g.usage += g.inUse() * step.Seconds() / gangTime.Seconds()
	}
	return g.rack.Invariant()
}

func (g *gangRun) inUse() float64 {
	var used model.Resources
	for _, r := range g.ends {
		used = used.Add(r.offer.Size)
	}
	return filled(used, g.total)
}

func (g *gangRun) finish(now time.Duration) {
	g.ends = slices.DeleteFunc(g.ends, func(r running) bool {
		if r.end <= now {
			g.rack.Ended(r.offer.Permit.ID, rack.ResultDone, now)
		}
		return r.end <= now
	})
}

func (g *gangRun) arrive(now time.Duration) {
	g.arrived++
	gang := waitingGang{since: now}
	for range gangTasks {
		size := model.Resources{
			MilliCPU:  g.mix.capacity.MilliCPU / gangPart,
			MemoryMiB: g.mix.capacity.MemoryMiB / gangPart,
		}
		o := g.mix.offer(1, size, gangRunTime)
		o.Job = model.JobID(fmt.Sprint("gang-", g.arrived))
		gang.offers = append(gang.offers, o)
	}
	g.gangs = append(g.gangs, gang)
}

func (g *gangRun) startGangs(now time.Duration) {
	g.gangs = slices.DeleteFunc(g.gangs, func(gang waitingGang) bool {
		decisions, whole := g.rack.ReserveGang(gang.offers, now, now+time.Second)
		if !whole {
			return false
		}
		var permits []string
		for _, d := range decisions {
			permits = append(permits, d.Offer.Permit.ID)
			g.ends = append(g.ends, running{end: now + d.Offer.ExpectedRun, offer: d.Offer})
		}
		g.waits = append(g.waits, now-gang.since)
		return g.rack.CommitGang(permits, now)
	})
}

// startSingles keeps a queue of single tasks, each of which gives up after a
// while; their declared run time is off by up to a factor of two either way.
func (g *gangRun) startSingles(now time.Duration) {
	const waiting, patience = 20, 5 * time.Second
	g.singles = slices.DeleteFunc(g.singles, func(s waitingSingle) bool { return now-s.since > patience })
	for len(g.singles) < waiting {
		run := g.mix.exponential(3 * time.Second)
		g.singles = append(g.singles, waitingSingle{now, g.mix.offer(0, g.mix.task(), run)})
	}
	offers := make([]rack.Offer, len(g.singles))
	for i, s := range g.singles {
		offers[i] = s.offer
	}
	var left []waitingSingle
	for i, d := range g.rack.PlaceBatch(offers, now) {
		if !d.Reserved {
			left = append(left, g.singles[i])
			continue
		}
		wrong := 0.5 + 1.5*g.random.Float64()
		run := time.Duration(float64(d.Offer.ExpectedRun) * wrong)
		g.ends = append(g.ends, running{end: now + run, offer: d.Offer})
	}
	g.singles = left
}

func (g *gangRun) row(user string, held bool) []string {
	slices.Sort(g.waits)
	at := func(q float64) string {
		if len(g.waits) == 0 {
			return "-"
		}
		return g.waits[int(q*float64(len(g.waits)-1))].String()
	}
	return []string{
		user, map[bool]string{true: "yes", false: "no"}[held], fmt.Sprint(g.arrived), fmt.Sprint(len(g.waits)),
		at(0.5), at(0.95), fmt.Sprintf("%.1f %%", 100*g.usage),
	}
}

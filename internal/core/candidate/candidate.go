// Package candidate picks the racks that a task is offered to, from lagging
// summaries of free capacity. It does no I/O; a Picker is not safe for
// concurrent use.
package candidate

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Rack is the lagging summary of one rack.
type Rack struct {
	Partition model.PartitionID
	// FreeShapes lists free capacities of single workers, as rack.Summary does. Peers
	// send it as PartitionSummary.Room.
	FreeShapes []model.Resources
	LargestVM  model.Resources // per dimension
	Domains    []model.FailureDomain
}

// Query describes the task to be placed.
type Query struct {
	Size    model.Resources
	Domains []model.FailureDomain // allowed; empty for any
	// DomainOut reports whether a domain is out of service; may be nil.
	DomainOut func(model.FailureDomain) bool
	// TasksPerDomain counts the job's tasks; may be nil. The team's owner does not
	// set it yet.
	TasksPerDomain map[model.FailureDomain]int
	// Avoid lists racks that recently refused the task. The team's owner does not
	// set it yet.
	Avoid []model.PartitionID
}

// Picker picks racks by their last summaries. Picks are random among racks that
// fit about equally well, so that owners with the same summaries do not all
// offer to the same rack. The cost of a pick does not grow with the cell, unless no
// random draw finds a rack that could run the task: then all racks are scanned.
type Picker struct {
	random         *rand.Rand
	racks          map[model.PartitionID]*rackEntry
	domains        []*domain // sorted by name
	orderedDomains []*domain // scratch buffer of Pick
}

// domain indexes the racks of a failure domain: all of them, and those with
// accelerators.
type domain struct {
	name         model.FailureDomain
	all          freeIndex
	accelerators freeIndex
}

// rackEntry is a rack and its positions in the indexes.
type rackEntry struct {
	Rack
	positions []indexPosition
}

// NewPicker returns a picker without racks. The same seed and calls give the same
// picks.
func NewPicker(seed uint64) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), racks: make(map[model.PartitionID]*rackEntry)}
}

// Update replaces the summary of a rack. The picker keeps its own copy.
func (p *Picker) Update(rack Rack) {
	if e := p.racks[rack.Partition]; e != nil && e.LargestVM == rack.LargestVM && slices.Equal(e.Domains, rack.Domains) {
		e.FreeShapes = append(e.FreeShapes[:0], rack.FreeShapes...)
		e.reindex()
		return
	}
	p.Remove(rack.Partition)
	e := &rackEntry{Rack: rack}
	e.FreeShapes = slices.Clone(rack.FreeShapes)
	p.racks[rack.Partition] = e
	for _, name := range rack.Domains {
		d := p.domain(name)
		e.positions = append(e.positions, indexPosition{freeIndex: &d.all})
		if rack.LargestVM.Accelerators > 0 {
			e.positions = append(e.positions, indexPosition{freeIndex: &d.accelerators, accelerators: true})
		}
	}
	for i := range e.positions {
		e.insert(i)
	}
}

// Remove removes a rack; unknown racks are ignored.
func (p *Picker) Remove(partition model.PartitionID) {
	e := p.racks[partition]
	if e == nil {
		return
	}
	for i := range e.positions {
		e.remove(i)
	}
	delete(p.racks, partition)
}

// Reserve deducts the size of an offered task from the rack's free capacity
// until the rack's next summary.
func (p *Picker) Reserve(partition model.PartitionID, size model.Resources) {
	e := p.racks[partition]
	if e == nil {
		return
	}
	i := e.bestFit(size)
	if i < 0 {
		return
	}
	e.FreeShapes[i] = e.FreeShapes[i].Sub(size)
	e.reindex()
}

// HasFreeCapacity reports whether the size fits a worker of the rack, as of its
// last summary and the calls of Reserve and Release since.
func (p *Picker) HasFreeCapacity(partition model.PartitionID, size model.Resources) bool {
	e := p.racks[partition]
	return e != nil && e.bestFit(size) >= 0
}

// maxFreeShapes is the length of FreeShapes from which Release adds no more. A
// summary lists at most rack.MaxFreeShapes.
const maxFreeShapes = 8

// Release adds the capacity of a task that ended on the rack, unless the size fits
// there already. The team's owner receives the end before the rack's next summary
// and can place the next task of that size there at once.
func (p *Picker) Release(partition model.PartitionID, size model.Resources) {
	e := p.racks[partition]
	if e == nil || len(e.FreeShapes) >= maxFreeShapes || e.bestFit(size) >= 0 {
		return
	}
	e.FreeShapes = append(e.FreeShapes, size)
	e.reindex()
}

// bestFit returns the index in FreeShapes of the worker that the size fits with the
// least left over, or -1 if it fits none.
func (r *Rack) bestFit(size model.Resources) int {
	best, least := -1, 0.0
	for i, free := range r.FreeShapes {
		if !size.Fits(free) {
			continue
		}
		if left := free.Sub(size).DominantShare(r.LargestVM); best < 0 || left < least {
			best, least = i, left
		}
	}
	return best
}

// domain returns the domain with this name and adds it if it is new.
func (p *Picker) domain(name model.FailureDomain) *domain {
	i, found := slices.BinarySearchFunc(p.domains, name, func(d *domain, name model.FailureDomain) int {
		return cmp.Compare(d.name, name)
	})
	if !found {
		p.domains = slices.Insert(p.domains, i, &domain{name: name})
	}
	return p.domains[i]
}

// Random draws per domain and Pick call.
const (
	fittingDraws  = 4  // among racks that should fit the task
	fallbackDraws = 12 // among all racks
)

// Pick returns up to n racks, best first: racks with a worker that has the capacity
// free now precede full ones; among them, domains with fewer tasks of the job come
// first, then tighter fits.
func (p *Picker) Pick(q Query, n int) []model.PartitionID {
	state := pick{picker: p, query: &q, limit: n, picked: make([]model.PartitionID, 0, n)}
	p.sortDomains(&q)
	for _, draw := range [...]func(*freeIndex){state.drawFitting, state.drawWithFreeCapacity, state.drawAny} {
		for _, d := range p.orderedDomains {
			if len(state.picked) >= n {
				return state.picked
			}
			draw(d.freeIndex(&q))
		}
	}
	return state.picked
}

// freeIndex returns the index that contains the racks which could run the task.
func (d *domain) freeIndex(q *Query) *freeIndex {
	if q.Size.Accelerators > 0 {
		return &d.accelerators
	}
	return &d.all
}

// sortDomains fills orderedDomains with the allowed domains: those with fewer
// tasks of the job first, ties in random order.
func (p *Picker) sortDomains(q *Query) {
	p.orderedDomains = p.orderedDomains[:0]
	for _, d := range p.domains {
		if q.allows(d.name) {
			p.orderedDomains = append(p.orderedDomains, d)
		}
	}
	p.random.Shuffle(len(p.orderedDomains), func(i, j int) { p.orderedDomains[i], p.orderedDomains[j] = p.orderedDomains[j], p.orderedDomains[i] })
	if len(q.TasksPerDomain) > 0 {
		slices.SortStableFunc(p.orderedDomains, func(a, b *domain) int {
			return cmp.Compare(q.TasksPerDomain[a.name], q.TasksPerDomain[b.name])
		})
	}
}

func (q *Query) allows(domain model.FailureDomain) bool {
	if q.DomainOut != nil && q.DomainOut(domain) {
		return false
	}
	return len(q.Domains) == 0 || slices.Contains(q.Domains, domain)
}

// pick is the state of one Pick call.
type pick struct {
	picker *Picker
	query  *Query
	limit  int
	picked []model.PartitionID
}

// add picks the rack if the task fits on its largest VM and, with needFree set, also
// fits the capacity that is free now. It reports whether this pick reached the limit.
func (p *pick) add(e *rackEntry, needFree bool) bool {
	if !p.query.Size.Fits(e.LargestVM) || needFree && e.bestFit(p.query.Size) < 0 {
		return false
	}
	if slices.Contains(p.query.Avoid, e.Partition) || slices.Contains(p.picked, e.Partition) {
		return false
	}
	p.picked = append(p.picked, e.Partition)
	return len(p.picked) >= p.limit
}

// drawFitting draws from the buckets whose racks are certain to fit the task, as
// of their summaries, tightest bucket first.
func (p *pick) drawFitting(x *freeIndex) {
	draws := 0
	for bucket := minFittingBucket(p.query.Size, x.largest); bucket < bucketCount; bucket++ {
		racks := x.buckets[bucket]
		for range min(len(racks), fittingDraws) {
			if draws++; draws > fittingDraws {
				return
			}
			if p.add(racks[p.picker.random.IntN(len(racks))], true) {
				return
			}
		}
	}
}

// drawWithFreeCapacity draws from all racks and picks those that fit the task
// now. Racks in lower buckets may fit it as well.
func (p *pick) drawWithFreeCapacity(x *freeIndex) {
	p.drawRandom(x, true)
}

// drawAny picks racks that could run the task once capacity is free. If the
// draws and earlier passes picked none, it scans all racks.
func (p *pick) drawAny(x *freeIndex) {
	if p.drawRandom(x, false) || len(p.picked) > 0 {
		return
	}
	for _, racks := range x.buckets {
		for _, e := range racks {
			if p.add(e, false) {
				return
			}
		}
	}
}

// drawRandom draws from all racks of the index and reports whether the limit is
// reached.
func (p *pick) drawRandom(x *freeIndex, needFree bool) bool {
	if x.count == 0 {
		return false
	}
	for range fallbackDraws {
		if p.add(x.at(p.picker.random.IntN(x.count)), needFree) {
			return true
		}
	}
	return false
}

// Package candidate picks the racks that a task is offered to, from lagging
// summaries of free capacity. It is pure; a View is not safe for concurrent
// use.
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
	// Room lists what single workers have free; see rack.Summary.
	FreePerWorker []model.Resources
	LargestVM     model.Resources // per dimension
	Domains       []model.FailureDomain
}

// Query describes the task that seeks a rack.
type Query struct {
	Size    model.Resources
	Domains []model.FailureDomain // allowed; empty for any
	// Out reports domains that are out of service; may be nil.
	DomainOut func(model.FailureDomain) bool
	// Spread counts the job's tasks per domain; may be nil.
	TasksPerDomain map[model.FailureDomain]int
	Avoid          []model.PartitionID // racks that refused the task just now
}

// View is one team owner's picture of all racks. Its picks are random among
// racks that fit about equally well, so that owners with the same picture do
// not all offer to the same rack; their cost does not grow with the cell.
type Picker struct {
	random  *rand.Rand
	racks   map[model.PartitionID]*filed
	domains []*domain // sorted by name
	order   []*domain // scratch space of Pick
}

// domain files the racks of a failure domain, those with accelerators and all.
type domain struct {
	name         model.FailureDomain
	all          ladder
	accelerators ladder
}

// filed is a rack and where it is filed.
type filed struct {
	Rack
	places []place
}

// NewView returns an empty view. Equal seeds and calls lead to equal picks.
func NewPicker(seed uint64) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), racks: make(map[model.PartitionID]*filed)}
}

// Update replaces the summary of a rack. The view keeps its own copy.
func (v *Picker) Update(rack Rack) {
	if f := v.racks[rack.Partition]; f != nil && f.LargestVM == rack.LargestVM && slices.Equal(f.Domains, rack.Domains) {
		f.FreePerWorker = append(f.FreePerWorker[:0], rack.FreePerWorker...)
		f.refile()
		return
	}
	v.Remove(rack.Partition)
	f := &filed{Rack: rack}
	f.FreePerWorker = slices.Clone(rack.FreePerWorker)
	v.racks[rack.Partition] = f
	for _, name := range rack.Domains {
		d := v.domain(name)
		f.places = append(f.places, place{ladder: &d.all})
		if rack.LargestVM.Accelerators > 0 {
			f.places = append(f.places, place{ladder: &d.accelerators, accelerators: true})
		}
	}
	for i := range f.places {
		f.insert(i)
	}
}

// Remove drops a rack.
func (v *Picker) Remove(partition model.PartitionID) {
	f := v.racks[partition]
	if f == nil {
		return
	}
	for i := range f.places {
		f.remove(i)
	}
	delete(v.racks, partition)
}

// Take deducts a task that was just offered to the rack, until its next
// summary tells.
func (v *Picker) Reserve(partition model.PartitionID, size model.Resources) {
	f := v.racks[partition]
	if f == nil {
		return
	}
	i := f.tightest(size)
	if i < 0 {
		return
	}
	f.FreePerWorker[i] = f.FreePerWorker[i].Sub(size)
	f.refile()
}

// HasRoom reports whether the size fits a worker of the rack by its last
// summary, less what was taken since.
func (v *Picker) HasFreeCapacity(partition model.PartitionID, size model.Resources) bool {
	f := v.racks[partition]
	return f != nil && f.tightest(size) >= 0
}

// maxRoom bounds the room that a view remembers per rack.
const maxRoom = 8

// Freed adds the room of a task that ended on the rack, which its owner hears
// of before the next summary: the next task of that size goes there.
func (v *Picker) Release(partition model.PartitionID, size model.Resources) {
	f := v.racks[partition]
	if f == nil || len(f.FreePerWorker) >= maxRoom || f.tightest(size) >= 0 {
		return
	}
	f.FreePerWorker = append(f.FreePerWorker, size)
	f.refile()
}

// tightest returns the index of the room that the size fits best, or -1.
func (r *Rack) tightest(size model.Resources) int {
	best, least := -1, 0.0
	for i, room := range r.FreePerWorker {
		if !size.Fits(room) {
			continue
		}
		if left := room.Sub(size).DominantShare(r.LargestVM); best < 0 || left < least {
			best, least = i, left
		}
	}
	return best
}

func (v *Picker) domain(name model.FailureDomain) *domain {
	i, found := slices.BinarySearchFunc(v.domains, name, func(d *domain, name model.FailureDomain) int {
		return cmp.Compare(d.name, name)
	})
	if !found {
		v.domains = slices.Insert(v.domains, i, &domain{name: name})
	}
	return v.domains[i]
}

// Draws of random racks per domain and pick.
const (
	roomyDraws = 4  // among racks that should have room
	otherDraws = 12 // among the others
)

// Pick returns up to n racks, the best first: racks with room on one worker
// come before full ones, of those first the domains with fewer tasks of the
// job, then the tighter fit.
func (v *Picker) Pick(q Query, n int) []model.PartitionID {
	p := pick{view: v, query: &q, want: n, picked: make([]model.PartitionID, 0, n)}
	v.sortDomains(&q)
	for _, draw := range [...]func(*ladder){p.drawRoomy, p.drawLikely, p.drawAny} {
		for _, d := range v.order {
			if len(p.picked) >= n {
				return p.picked
			}
			draw(d.ladder(&q))
		}
	}
	return p.picked
}

func (d *domain) ladder(q *Query) *ladder {
	if q.Size.Accelerators > 0 {
		return &d.accelerators
	}
	return &d.all
}

// sortDomains fills the scratch space with the allowed domains: fewer tasks of
// the job first, equal ones in random order.
func (v *Picker) sortDomains(q *Query) {
	v.order = v.order[:0]
	for _, d := range v.domains {
		if q.allows(d.name) {
			v.order = append(v.order, d)
		}
	}
	v.random.Shuffle(len(v.order), func(i, j int) { v.order[i], v.order[j] = v.order[j], v.order[i] })
	if len(q.TasksPerDomain) > 0 {
		slices.SortStableFunc(v.order, func(a, b *domain) int {
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
	view   *Picker
	query  *Query
	want   int
	picked []model.PartitionID
}

// add picks the rack if it suits and reports whether enough are picked.
func (p *pick) add(f *filed, room bool) bool {
	if !p.query.Size.Fits(f.LargestVM) || room && f.tightest(p.query.Size) < 0 {
		return false
	}
	if slices.Contains(p.query.Avoid, f.Partition) || slices.Contains(p.picked, f.Partition) {
		return false
	}
	p.picked = append(p.picked, f.Partition)
	return len(p.picked) >= p.want
}

// drawRoomy draws from the steps whose racks have room for certain, as of
// their summaries, the tightest step first.
func (p *pick) drawRoomy(l *ladder) {
	draws := 0
	for step := stepFor(p.query.Size, l.largest); step < steps; step++ {
		racks := l.steps[step]
		for range min(len(racks), roomyDraws) {
			if draws++; draws > roomyDraws {
				return
			}
			if p.add(racks[p.view.random.IntN(len(racks))], true) {
				return
			}
		}
	}
}

// drawLikely draws from the lower steps, whose racks may have room.
func (p *pick) drawLikely(l *ladder) {
	p.drawBelow(l, true)
}

// drawAny takes racks without room that could run the task one day.
func (p *pick) drawAny(l *ladder) {
	if p.drawBelow(l, false) || len(p.picked) > 0 {
		return
	}
	for _, racks := range l.steps {
		for _, f := range racks {
			if p.add(f, false) {
				return
			}
		}
	}
}

func (p *pick) drawBelow(l *ladder, room bool) bool {
	if l.count == 0 {
		return false
	}
	for range otherDraws {
		if p.add(l.at(p.view.random.IntN(l.count)), room) {
			return true
		}
	}
	return false
}

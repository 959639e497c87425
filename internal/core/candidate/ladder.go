package candidate

import (
	"math"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// steps is how many levels of room a ladder tells apart.
const steps = 17

// ladder files racks by the roomiest of their workers: the fraction of the
// largest worker that is free in every dimension.
type ladder struct {
	steps   [steps][]*filed
	count   int
	largest model.Resources // per dimension, of any rack filed so far
}

// place is where a rack is filed in a ladder.
type place struct {
	ladder       *ladder
	accelerators bool
	step, pos    int
}

// stepFor returns the lowest step whose racks have room for the size.
func stepFor(size, largest model.Resources) int {
	return int(math.Ceil(size.DominantShare(largest) * (steps - 1)))
}

// stepOf returns the step that the rack's room reaches.
func (f *filed) stepOf(p *place) int {
	reach := 0.0
	for _, room := range f.FreePerWorker {
		reach = max(reach, everywhere(room, p.ladder.largest, p.accelerators))
	}
	return int(reach * (steps - 1))
}

// everywhere is the fraction that is free in each dimension.
func everywhere(room, largest model.Resources, accelerators bool) float64 {
	part := min(fraction(room.MilliCPU, largest.MilliCPU), fraction(room.MemoryMiB, largest.MemoryMiB))
	if accelerators {
		part = min(part, fraction(room.Accelerators, largest.Accelerators))
	}
	return part
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return min(max(float64(part)/float64(whole), 0), 1)
}

func (f *filed) insert(i int) {
	p := &f.places[i]
	p.ladder.largest = p.ladder.largest.Max(f.LargestVM)
	p.step = f.stepOf(p)
	p.pos = len(p.ladder.steps[p.step])
	p.ladder.steps[p.step] = append(p.ladder.steps[p.step], f)
	p.ladder.count++
}

func (f *filed) remove(i int) {
	p := &f.places[i]
	racks := p.ladder.steps[p.step]
	last := racks[len(racks)-1]
	racks[p.pos] = last
	last.placeIn(p.ladder).pos = p.pos
	racks[len(racks)-1] = nil
	p.ladder.steps[p.step] = racks[:len(racks)-1]
	p.ladder.count--
}

// refile moves the rack to the steps that its room reaches now.
func (f *filed) refile() {
	for i := range f.places {
		if f.stepOf(&f.places[i]) != f.places[i].step {
			f.remove(i)
			f.insert(i)
		}
	}
}

func (f *filed) placeIn(l *ladder) *place {
	for i := range f.places {
		if f.places[i].ladder == l {
			return &f.places[i]
		}
	}
	return nil
}

// at returns the i-th rack of all steps.
func (l *ladder) at(i int) *filed {
	for _, racks := range l.steps {
		if i < len(racks) {
			return racks[i]
		}
		i -= len(racks)
	}
	return nil
}

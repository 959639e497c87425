package rack

import (
	"cmp"
	"errors"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Summary returns the rack's capacity and load. Workers that get no new tasks count
// neither as capacity nor as free.
func (r *Rack) Summary() Summary {
	var s Summary
	for _, w := range r.workers {
		s.Reservations += len(w.entries)
		s.Unknown += w.unknown
		domain := w.vm.FailureDomain
		if !w.available() || r.domainOut(domain) {
			continue
		}
		if r.health.IsQuarantined(w.vm.ID) {
			s.Quarantined++
			continue
		}
		s.add(w)
	}
	slices.Sort(s.Domains)
	s.trimFreeShapes()
	return s
}

func (s *Summary) add(w *worker) {
	s.VMs++
	s.Capacity = s.Capacity.Add(w.vm.Capacity)
	s.Free = s.Free.Add(w.free)
	s.LargestVM = s.LargestVM.Max(w.vm.Capacity)
	if w.hold == nil {
		s.LargestFree = s.LargestFree.Max(w.free)
		s.addFreeShape(w.free)
	} else {
		s.Held++
	}
	if !slices.Contains(s.Domains, w.vm.FailureDomain) {
		s.Domains = append(s.Domains, w.vm.FailureDomain)
	}
}

// addFreeShape adds a worker's free capacity unless another worker has at least
// as much in every dimension, and removes those that it dominates in turn.
func (s *Summary) addFreeShape(free model.Resources) {
	for _, known := range s.FreeShapes {
		if free.Fits(known) {
			return
		}
	}
	s.FreeShapes = slices.DeleteFunc(s.FreeShapes, func(known model.Resources) bool { return known.Fits(free) })
	s.FreeShapes = append(s.FreeShapes, free)
}

// trimFreeShapes sorts FreeShapes by dominant share, largest first, and keeps the
// first MaxFreeShapes.
func (s *Summary) trimFreeShapes() {
	slices.SortFunc(s.FreeShapes, func(a, b model.Resources) int {
		return cmp.Compare(b.DominantShare(s.LargestVM), a.DominantShare(s.LargestVM))
	})
	s.FreeShapes = s.FreeShapes[:min(len(s.FreeShapes), MaxFreeShapes)]
}

// Invariant checks that no worker's reservations exceed its capacity, apart from
// the recorded overcommit by adopted tasks or a reduced capacity, and that all
// derived state is consistent. It returns all violations joined.
func (r *Rack) Invariant() error {
	var violations violations
	total := 0
	for id, w := range r.workers {
		var sum model.Resources
		unknown := 0
		var recomputed worker // only nextEnd is set
		for i, e := range w.entries {
			recomputed.updateNextEnd(e)
			if e.State == StateUnknown {
				unknown++
			}
			sum = sum.Add(e.Size)
			violations.check(e.pos == i && e.worker == w && e.VM == id, "worker %s: entry %d has a wrong position, worker or VM", id, i)
			violations.check(r.entries[e.Permit.ID] == e, "worker %s: permit %s is missing from the rack's entries", id, e.Permit.ID)
		}
		total += len(w.entries)
		violations.check(unknown == w.unknown, "worker %s: %d entries are unknown, recorded %d", id, unknown, w.unknown)
		violations.check(recomputed.nextEnd == w.nextEnd, "worker %s: next end is %v, recorded %v", id, recomputed.nextEnd, w.nextEnd)
		violations.check(sum == w.reserved, "worker %s: recorded %v as reserved, entries add up to %v", id, w.reserved, sum)
		violations.check(w.free == w.vm.Capacity.Sub(sum), "worker %s: recorded free capacity %v does not match its reservations", id, w.free)
		violations.check(sum.Fits(w.vm.Capacity.Add(w.overcommit)), "worker %s: reserved %v exceeds capacity %v", id, sum, w.vm.Capacity)
		violations.check(w.hold == nil || r.holds[w.hold.task] == w.hold, "worker %s: hold is missing from the rack's holds", id)
	}
	violations.check(total == len(r.entries), "workers have %d entries, the rack has %d", total, len(r.entries))
	violations.check(len(r.tasks) == len(r.entries), "%d tasks have %d reservations", len(r.tasks), len(r.entries))
	for _, x := range r.indexes {
		x.check(&violations)
	}
	return violations.err()
}

// check verifies the bitmaps and the bucket of every indexed worker.
func (x *index) check(v *violations) {
	for planeIndex, p := range x.planes {
		if p == nil {
			continue
		}
		for row := range p.buckets {
			for col, w := range p.buckets[row] {
				marked := p.cols[row]&(1<<col) != 0 && p.rows&(1<<row) != 0
				v.check(marked == (w != nil), "index bucket %d/%d/%d: bitmap does not match its workers", planeIndex, row, col)
				for ; w != nil; w = w.next {
					wantPlane, wantRow, wantCol := x.position(w.free)
					v.check(planeIndex == wantPlane && row == wantRow && col == wantCol, "worker %s is in the wrong index bucket", w.vm.ID)
				}
			}
		}
	}
}

// violations collects the invariants that do not hold.
type violations []error

func (v *violations) check(ok bool, format string, args ...any) {
	if !ok {
		*v = append(*v, Error.New(format, args...))
	}
}

func (v *violations) err() error {
	return errors.Join(*v...)
}

package rack

import (
	"cmp"
	"errors"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Summary returns the rack's free capacity. Workers that take no work count
// neither as capacity nor as free.
func (r *Rack) Summary() Summary {
	var s Summary
	for _, w := range r.workers {
		s.Running += len(w.entries)
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
	s.trimRoom()
	return s
}

func (s *Summary) add(w *worker) {
	s.VMs++
	s.Capacity = s.Capacity.Add(w.vm.Capacity)
	s.Free = s.Free.Add(w.free)
	s.LargestVM = s.LargestVM.Max(w.vm.Capacity)
	if w.hold == nil {
		s.LargestFree = s.LargestFree.Max(w.free)
		s.addRoom(w.free)
	} else {
		s.Held++
	}
	if !slices.Contains(s.Domains, w.vm.FailureDomain) {
		s.Domains = append(s.Domains, w.vm.FailureDomain)
	}
}

// addRoom keeps the free amounts that no other exceeds in every dimension.
func (s *Summary) addRoom(free model.Resources) {
	for _, known := range s.FreeShapes {
		if free.Fits(known) {
			return
		}
	}
	s.FreeShapes = slices.DeleteFunc(s.FreeShapes, func(known model.Resources) bool { return known.Fits(free) })
	s.FreeShapes = append(s.FreeShapes, free)
}

// trimRoom sorts the roomiest first and drops the rest.
func (s *Summary) trimRoom() {
	slices.SortFunc(s.FreeShapes, func(a, b model.Resources) int {
		return cmp.Compare(b.DominantShare(s.LargestVM), a.DominantShare(s.LargestVM))
	})
	s.FreeShapes = s.FreeShapes[:min(len(s.FreeShapes), MaxFreeShapes)]
}

// Invariant checks that no worker's reservations exceed its capacity and that
// all accounts agree. Only adopted tasks or a shrunk capacity may exceed it,
// and then nothing new was placed. Violations are reported together.
func (r *Rack) Invariant() error {
	var findings findings
	total := 0
	for id, w := range r.workers {
		var sum model.Resources
		unknown := 0
		var soonest worker
		for i, e := range w.entries {
			soonest.noteEnd(e)
			if e.State == StateUnknown {
				unknown++
			}
			sum = sum.Add(e.Size)
			findings.check(e.pos == i && e.worker == w && e.VM == id, "worker %s: entry %d is misfiled", id, i)
			findings.check(r.entries[e.Permit.ID] == e, "worker %s: permit %s is not in the ledger", id, e.Permit.ID)
		}
		total += len(w.entries)
		findings.check(unknown == w.unknown, "worker %s: %d unknown, counted %d", id, unknown, w.unknown)
		findings.check(soonest.nextEnd == w.nextEnd, "worker %s: next end %v, kept %v", id, soonest.nextEnd, w.nextEnd)
		findings.check(sum == w.reserved, "worker %s: reserved %v, entries add up to %v", id, w.reserved, sum)
		findings.check(w.free == w.vm.Capacity.Sub(sum), "worker %s: free %v is wrong", id, w.free)
		findings.check(sum.Fits(w.vm.Capacity.Add(w.excess)), "worker %s: reserved %v of %v", id, sum, w.vm.Capacity)
		findings.check(w.hold == nil || r.holds[w.hold.task] == w.hold, "worker %s: hold is misfiled", id)
	}
	findings.check(total == len(r.entries), "%d entries on workers, %d in the ledger", total, len(r.entries))
	findings.check(len(r.tasks) == len(r.entries), "%d tasks hold %d reservations", len(r.tasks), len(r.entries))
	for _, x := range r.indexes {
		x.check(&findings)
	}
	return findings.err()
}

// check compares the grid with the workers that are filed in it.
func (x *index) check(f *findings) {
	for class, p := range x.planes {
		if p == nil {
			continue
		}
		for row := range p.cells {
			for col, w := range p.cells[row] {
				marked := p.cols[row]&(1<<col) != 0 && p.rows&(1<<row) != 0
				f.check(marked == (w != nil), "index cell %d/%d/%d: bitmap disagrees", class, row, col)
				for ; w != nil; w = w.next {
					c, ro, co := x.position(w.free)
					f.check(c == class && ro == row && co == col, "worker %s is in the wrong cell", w.vm.ID)
				}
			}
		}
	}
}

// findings collects violations.
type findings []error

func (f *findings) check(ok bool, format string, args ...any) {
	if !ok {
		*f = append(*f, Error.New(format, args...))
	}
}

func (f *findings) err() error {
	return errors.Join(*f...)
}

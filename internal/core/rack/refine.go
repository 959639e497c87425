package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// refineBudget bounds the work of a refinement, in fit checks per offer of the
// batch.
const refineBudget = 256

// refineRounds bounds the passes of a refinement over the batch.
const refineRounds = 8

// waitMargin is how much longer a placed task may have waited than the refused
// task that replaces it in a batch.
const waitMargin = time.Second

// provisional is a reservation made in this batch. Its decision has not been
// returned yet, so it can still be moved or revoked.
type provisional struct {
	entry *entry
	offer int // index in batch.offers
}

// refiner improves the greedy placement of a batch by local search. It moves
// reservations of this batch to other workers and, within a team, exchanges
// placed and refused offers where that raises the reserved capacity. No team
// loses capacity to another.
type refiner struct {
	rack      *Rack
	batch     *batch
	decisions []Decision
	refused   []int        // indexes of refused offers
	avoid     []model.VMID // scratch space of findWorker
	budget    int
	now       time.Duration
}

// refine improves the decisions of a batch in place.
func (r *Rack) refine(b *batch, decisions []Decision, now time.Duration) {
	f := refiner{rack: r, batch: b, decisions: decisions, now: now, budget: refineBudget * len(decisions)}
	if len(b.provisional) == 0 {
		return
	}
	for i := range decisions {
		if !decisions[i].Reserved && decisions[i].Reason == ReasonNoCapacity {
			f.refused = append(f.refused, i)
		}
	}
	for round := 0; round < refineRounds && len(f.refused) > 0; round++ {
		improved := f.admitRefused()
		improved = f.splitAll() || improved
		improved = f.mergeAll() || improved
		if !improved || f.budget <= 0 {
			return
		}
	}
}

// checkFit reports whether the size fits and charges the budget for one check.
// It returns false when the budget is used up.
func (f *refiner) checkFit(size, free model.Resources) bool {
	f.budget--
	return f.budget >= 0 && size.Fits(free)
}

func (f *refiner) offer(i int) *Offer { return &f.batch.offers[i] }

// normalizedSize returns the sum of the size's fractions of the largest worker in
// each dimension.
func (f *refiner) normalizedSize(size model.Resources) float64 {
	scale := f.rack.scale
	return model.Fraction(size.MilliCPU, scale.MilliCPU) + model.Fraction(size.MemoryMiB, scale.MemoryMiB) +
		model.Fraction(size.Accelerators, scale.Accelerators)
}

// minGain is the smallest increase in normalized size that counts as an
// improvement.
const minGain = 1e-9

// admitRefused tries to place each refused offer.
func (f *refiner) admitRefused() bool {
	improved := false
	for k := 0; k < len(f.refused); k++ {
		i := f.refused[k]
		if f.admit(i) {
			f.refused = slices.DeleteFunc(f.refused, func(j int) bool { return j == i })
			improved = true
			k--
		}
	}
	return improved
}

// admit places a refused offer directly, by moving a reservation to another
// worker, or by replacing a smaller one of its team. It reports whether the
// offer was placed.
func (f *refiner) admit(i int) bool {
	o := f.offer(i)
	if w := f.findWorker(o, ""); w != nil {
		f.place(i, w)
		return true
	}
	best, bestGain := -1, minGain
	var bestTo *worker
	for k := range f.batch.provisional {
		e := f.batch.provisional[k].entry
		if !f.checkFit(o.Size, e.worker.free.Add(e.Size)) || !f.rack.allowed(o, e.worker) {
			continue
		}
		to := f.findWorker(f.offer(f.batch.provisional[k].offer), e.VM)
		gain := f.normalizedSize(o.Size)
		if to == nil {
			gain -= f.normalizedSize(e.Size)
			if !f.mayReplace(k, i) {
				continue
			}
		}
		if gain > bestGain {
			best, bestGain, bestTo = k, gain, to
		}
	}
	if best < 0 {
		return false
	}
	w, j := f.batch.provisional[best].entry.worker, f.batch.provisional[best].offer
	f.revoke(best)
	if bestTo != nil {
		f.place(j, bestTo)
	} else {
		f.refused = append(f.refused, j)
	}
	f.place(i, w)
	return true
}

// findWorker returns an indexed worker that the offer fits on, other than the
// one left out, or nil.
func (f *refiner) findWorker(o *Offer, leaveOut model.VMID) *worker {
	f.budget -= len(f.rack.domains)
	for _, domain := range f.rack.domains {
		if !domainAllowed(o.Domains, domain) || f.rack.domainOut(domain) {
			continue
		}
		avoid := o.Avoid
		if leaveOut != "" {
			f.avoid = append(append(f.avoid[:0], o.Avoid...), leaveOut)
			avoid = f.avoid
		}
		if w := f.rack.indexes[domain].find(o.Size, avoid); w != nil {
			return w
		}
	}
	return nil
}

// mayReplace reports whether the offer i may replace the provisional reservation
// k: the team is the same, the replaced task is not urgent and has not waited
// longer by more than waitMargin.
func (f *refiner) mayReplace(k, i int) bool {
	old, o := f.offer(f.batch.provisional[k].offer), f.offer(i)
	return old.Permit.Team == o.Permit.Team && !old.Urgent && old.Waited <= o.Waited+waitMargin
}

// splitAll replaces single reservations by two refused offers of a larger total
// normalized size where possible.
func (f *refiner) splitAll() bool {
	improved := false
	for k := 0; k < len(f.batch.provisional); k++ {
		if a, b := f.bestSplit(k); b >= 0 {
			f.exchange([]int{k}, []int{a, b})
			improved = true
			k--
		}
	}
	return improved
}

// bestSplit returns the two refused offers of the largest normalized size that
// can replace the reservation k, or -1 twice.
func (f *refiner) bestSplit(k int) (first, second int) {
	e := f.batch.provisional[k].entry
	avail := e.worker.free.Add(e.Size)
	first, second = -1, -1
	gain := f.normalizedSize(e.Size) + minGain
	for x, a := range f.refused {
		if !f.checkFit(f.offer(a).Size, avail) || !f.mayReplace(k, a) || !f.rack.allowed(f.offer(a), e.worker) {
			continue
		}
		left := avail.Sub(f.offer(a).Size)
		for _, b := range f.refused[x+1:] {
			if !f.checkFit(f.offer(b).Size, left) || !f.mayReplace(k, b) || !f.rack.allowed(f.offer(b), e.worker) {
				continue
			}
			if sum := f.normalizedSize(f.offer(a).Size) + f.normalizedSize(f.offer(b).Size); sum > gain {
				first, second, gain = a, b, sum
			}
		}
	}
	return first, second
}

// mergeAll replaces pairs of reservations on a worker by one refused offer of a
// larger normalized size where possible.
func (f *refiner) mergeAll() bool {
	improved := false
	for k := 0; k < len(f.batch.provisional); k++ {
		for l := k + 1; l < len(f.batch.provisional); l++ {
			if f.batch.provisional[k].entry.worker != f.batch.provisional[l].entry.worker {
				continue
			}
			if i := f.bestMerge(k, l); i >= 0 {
				f.exchange([]int{l, k}, []int{i})
				improved = true
				k--
				break
			}
		}
	}
	return improved
}

// bestMerge returns the refused offer of the largest normalized size that can
// replace the reservations k and l of one worker, or -1.
func (f *refiner) bestMerge(k, l int) int {
	a, b := f.batch.provisional[k].entry, f.batch.provisional[l].entry
	avail := a.worker.free.Add(a.Size).Add(b.Size)
	best, gain := -1, f.normalizedSize(a.Size)+f.normalizedSize(b.Size)+minGain
	for _, i := range f.refused {
		o := f.offer(i)
		if !f.checkFit(o.Size, avail) || !f.mayReplace(k, i) || !f.mayReplace(l, i) || !f.rack.allowed(o, a.worker) {
			continue
		}
		if normalizedSize := f.normalizedSize(o.Size); normalizedSize > gain {
			best, gain = i, normalizedSize
		}
	}
	return best
}

// exchange replaces reservations on one worker by refused offers. removed holds
// indexes of batch.provisional in descending order, added indexes of offers.
func (f *refiner) exchange(removed, added []int) {
	w := f.batch.provisional[removed[0]].entry.worker
	for _, k := range removed {
		f.refused = append(f.refused, f.batch.provisional[k].offer)
		f.revoke(k)
	}
	for _, i := range added {
		f.refused = slices.DeleteFunc(f.refused, func(j int) bool { return j == i })
		f.place(i, w)
	}
}

// place reserves capacity for the offer i on the worker.
func (f *refiner) place(i int, w *worker) {
	e := f.rack.reserve(w, *f.offer(i), StateReserved, f.now)
	f.batch.provisional = append(f.batch.provisional, provisional{entry: e, offer: i})
	f.decisions[i].VM, f.decisions[i].Reserved, f.decisions[i].Reason = w.vm.ID, true, ReasonNone
}

// revoke releases the provisional reservation k and marks its offer as refused.
func (f *refiner) revoke(k int) {
	p := f.batch.provisional[k]
	f.rack.release(p.entry)
	f.batch.provisional = slices.Delete(f.batch.provisional, k, k+1)
	f.decisions[p.offer].VM, f.decisions[p.offer].Reserved = "", false
	f.decisions[p.offer].Reason = ReasonNoCapacity
}

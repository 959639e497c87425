package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Preempt selects tasks to preempt for an urgent offer that PlaceBatch refused.
// It selects the worker on which checkpointing tasks of teams with a higher ratio
// loses the least work, holds it for the offer and returns the checkpoints to
// send. The caller repeats the offer, which fits once the tasks have ended.
func (r *Rack) Preempt(o Offer, now time.Duration) []Action {
	if !o.Urgent || r.holds[o.Task] != nil || !r.mayHold(&o, false) || r.rejectReason(&o) != ReasonNone {
		return nil
	}
	var best *worker
	var victims []*entry
	least := 0.0
	for _, w := range r.workers {
		if !w.indexed || !r.allowed(&o, w) {
			continue
		}
		picked, lost, ok := w.preemptionVictims(&o, now)
		if !ok || best != nil && (lost > least || lost == least && w.vm.ID > best.vm.ID) {
			continue
		}
		best, victims, least = w, picked, lost
	}
	if best == nil {
		return nil
	}
	r.renewHold(r.addHold(&o, false, best, now), now)
	var actions []Action
	for _, e := range victims {
		e.lastAction, e.lastActionAt = port.ActionCheckpoint, now
		actions = append(actions, Action{
			VM: e.VM, Task: port.TaskAttempt{Task: e.Task, Attempt: e.Attempt},
			Permit: e.Permit.ID, Action: port.ActionCheckpoint, Detail: "room for urgent work",
		})
	}
	return actions
}

// preemptionVictims returns the tasks to checkpoint so that the offer fits on the
// worker, those placed last first, and the work that is lost (dominant share of
// the worker times seconds). It returns false if the offer does not fit even then.
// Tasks with a requested stop are left out and count as free capacity.
func (w *worker) preemptionVictims(o *Offer, now time.Duration) ([]*entry, float64, bool) {
	free := w.free
	var candidates []*entry
	for _, e := range w.entries {
		switch {
		case e.stopRequested():
			free = free.Add(e.Size)
		case e.Preemptible && !e.Urgent && e.State == StateStarted && e.Permit.Ratio > o.Permit.Ratio:
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *entry) int {
		if a.Placed != b.Placed {
			return before(a.Placed > b.Placed)
		}
		return before(a.Permit.ID < b.Permit.ID)
	})
	var picked []*entry
	lost := 0.0
	for _, e := range candidates {
		if o.Size.Fits(free) {
			break
		}
		if !reducesShortage(e.Size, o.Size.Sub(free)) {
			continue
		}
		free = free.Add(e.Size)
		picked = append(picked, e)
		lost += e.Size.DominantShare(w.vm.Capacity) * (now - e.Placed).Seconds()
	}
	return picked, lost, o.Size.Fits(free)
}

// reducesShortage reports whether freeing the size adds to a dimension that is
// short.
func reducesShortage(size, short model.Resources) bool {
	return size.MilliCPU > 0 && short.MilliCPU > 0 ||
		size.MemoryMiB > 0 && short.MemoryMiB > 0 ||
		size.Accelerators > 0 && short.Accelerators > 0
}

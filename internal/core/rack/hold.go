package rack

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// maxRefused bounds the refused tasks that a rack remembers.
const maxRefused = 1024

// refusalMemory is how long a refused task that is not offered again is
// remembered.
const refusalMemory = 10 * time.Second

// hold keeps a worker for a task that does not fit anywhere yet. Other tasks
// are placed there only if they do not delay it (backfill).
type hold struct {
	task    model.TaskID
	job     model.JobID
	gang    bool
	size    model.Resources
	worker  *worker
	at      time.Duration // expected start; backfill by run time ends then
	expires time.Duration // unless the task is offered again
}

// refusal remembers for how long a task has been refused.
type refusal struct {
	first, last time.Duration
}

// noteRefused records a refusal for lack of room and holds a worker for the
// task once it has waited long enough. It returns the delay to suggest.
func (r *Rack) noteRefused(o *Offer, gang bool, now time.Duration) time.Duration {
	if h := r.holds[o.Task]; h != nil {
		return r.renewHold(h, now)
	}
	seen, known := r.refused[o.Task]
	if !known {
		if !r.roomForRefusal(now) {
			return r.retryDelay(now)
		}
		seen.first = now
	}
	seen.last = now
	r.refused[o.Task] = seen
	waited := max(now-seen.first, o.RefusedFor)
	if waited < r.policy.HoldAfter || !r.mayHold(o, gang) {
		return r.retryDelay(now)
	}
	w, at := r.soonest(o, now)
	if w == nil {
		return r.retryDelay(now)
	}
	return r.renewHold(r.addHold(o, gang, w, at), now)
}

// roomForRefusal drops stale refusals when the memory is full.
func (r *Rack) roomForRefusal(now time.Duration) bool {
	if len(r.refused) < maxRefused || now < r.prunedAt+refusalMemory/10 {
		return len(r.refused) < maxRefused
	}
	r.prunedAt = now
	for task, seen := range r.refused {
		if now-seen.last > refusalMemory {
			delete(r.refused, task)
		}
	}
	return len(r.refused) < maxRefused
}

// mayHold bounds how many workers are held. One gang at a time may hold up to
// GangHoldShare of the rack, so two gangs never wait for each other's workers.
func (r *Rack) mayHold(o *Offer, gang bool) bool {
	singles, gangs := 0, 0
	for _, h := range r.holds {
		switch {
		case !h.gang:
			singles++
		case gang && h.job != o.Job:
			return false
		default:
			gangs++
		}
	}
	if gang {
		return r.underShare(gangs, r.policy.MaxGangHoldFraction)
	}
	return r.underShare(singles, r.policy.MaxHoldFraction)
}

func (r *Rack) underShare(held int, share float64) bool {
	return held < max(1, int(share*float64(len(r.workers))))
}

func (r *Rack) addHold(o *Offer, gang bool, w *worker, at time.Duration) *hold {
	h := &hold{task: o.Task, job: o.Job, gang: gang, size: o.Size, worker: w, at: at}
	r.holds[o.Task] = h
	w.hold = h
	r.refile(w)
	return h
}

func (r *Rack) renewHold(h *hold, now time.Duration) time.Duration {
	delay := min(max(h.at-now, r.policy.RetryMin), r.policy.RetryMax)
	h.expires = now + delay + r.policy.HoldGrace
	return delay
}

func (r *Rack) dropHold(h *hold) {
	if h == nil {
		return
	}
	delete(r.holds, h.task)
	h.worker.hold = nil
	r.refile(h.worker)
}

// Withdraw forgets that a task waits for room here, for instance because it
// was placed on another rack or cancelled. Many tasks cost one pass.
func (r *Rack) Withdraw(tasks ...model.TaskID) {
	for _, task := range tasks {
		delete(r.refused, task)
		r.dropHold(r.holds[task])
	}
}

// expireHolds drops the holds of tasks that are no longer offered.
func (r *Rack) expireHolds(now time.Duration) {
	var expired []*hold
	for _, h := range r.holds {
		if now >= h.expires {
			expired = append(expired, h)
		}
	}
	slices.SortFunc(expired, func(a, b *hold) int { return strings.Compare(string(a.task), string(b.task)) })
	for _, h := range expired {
		r.dropHold(h)
	}
}

// soonest returns the worker that is expected to have room for the offer
// first, and when.
func (r *Rack) soonest(o *Offer, now time.Duration) (*worker, time.Duration) {
	var best *worker
	var bestAt time.Duration
	for _, w := range r.workers {
		if w.hold != nil || !w.indexed || !r.allowed(o, w) || !o.Size.Fits(w.vm.Capacity) {
			continue
		}
		at, ok := w.roomAt(o.Size, now)
		if !ok {
			continue
		}
		if best == nil || at < bestAt || at == bestAt && w.vm.ID < best.vm.ID {
			best, bestAt = w, at
		}
	}
	return best, bestAt
}

// roomAt returns when the worker is expected to have room for the size. Tasks
// past their expected end, or without one, are taken to end last.
func (w *worker) roomAt(size model.Resources, now time.Duration) (time.Duration, bool) {
	if size.Fits(w.free) {
		return now, true
	}
	ends := make([]*entry, len(w.entries))
	copy(ends, w.entries)
	slices.SortFunc(ends, func(a, b *entry) int {
		return int(a.endAfter(now) - b.endAfter(now))
	})
	free := w.free
	for _, e := range ends {
		free = free.Add(e.Size)
		if size.Fits(free) {
			return e.endAfter(now), e.ExpectedEnd > 0 || !e.Urgent
		}
	}
	return 0, false
}

// overdueDelay is when a task without a known end, or past it, is assumed to
// end.
const overdueDelay = time.Minute

func (e *entry) endAfter(now time.Duration) time.Duration {
	if e.ExpectedEnd > now {
		return e.ExpectedEnd
	}
	return now + overdueDelay
}

// backfill returns a held worker that the offer fits without delaying the
// task that the worker is held for.
func (r *Rack) backfill(o *Offer, now time.Duration) *worker {
	var best *worker
	for _, h := range r.holds {
		w := h.worker
		if !o.Size.Fits(w.free) || !r.allowed(o, w) || !h.admits(o, now) {
			continue
		}
		if best == nil || w.vm.ID < best.vm.ID {
			best = w
		}
	}
	return best
}

func (h *hold) admits(o *Offer, now time.Duration) bool {
	if o.ExpectedRun > 0 && now+o.ExpectedRun <= h.at {
		return true
	}
	left := h.worker.vm.Capacity.Sub(h.size).Sub(o.Size)
	for _, e := range h.worker.entries {
		if e.endAfter(now) > h.at {
			left = left.Sub(e.Size)
		}
	}
	return !left.IsNegative()
}

// nextEnd caches the soonest expected end of a reservation.
type nextEnd struct {
	at, computed time.Duration
	valid        bool
}

// unknownEndDelay is the delay suggested when no end is expected.
const unknownEndDelay = 200 * time.Millisecond

// retryDelay suggests to wait for the soonest expected end. Workers with
// overdue tasks are left out, because their ends say nothing.
func (r *Rack) retryDelay(now time.Duration) time.Duration {
	if !r.ends.valid || now-r.ends.computed >= r.policy.RetryMin {
		r.ends = nextEnd{computed: now, valid: true}
		for _, w := range r.workers {
			if w.nextEnd > now && (r.ends.at == 0 || w.nextEnd < r.ends.at) {
				r.ends.at = w.nextEnd
			}
		}
	}
	if r.ends.at == 0 {
		return min(unknownEndDelay, r.policy.RetryMax)
	}
	return min(max(r.ends.at-now, r.policy.RetryMin), r.policy.RetryMax)
}

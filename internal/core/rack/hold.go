package rack

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// maxRefusals bounds the number of refused tasks that a rack records.
const maxRefusals = 1024

// refusalTTL is how long the record of a refused task is kept after its last
// offer.
const refusalTTL = 10 * time.Second

// hold reserves a worker's future free capacity for a task that does not fit
// anywhere yet. Other tasks are placed on the worker only if they do not delay
// that task (backfill).
type hold struct {
	task    model.TaskID
	job     model.JobID
	gang    bool
	size    model.Resources
	worker  *worker
	startAt time.Duration // expected start of the task; short backfill tasks end by then
	expires time.Duration // extended whenever the task is offered again
}

// refusal records when a task was first and last refused.
type refusal struct {
	first, last time.Duration
}

// recordRefusal records a refusal for lack of free capacity and holds a worker
// for the task once it has been refused for Policy.HoldAfter. It returns the
// delay to suggest before the next offer.
func (r *Rack) recordRefusal(o *Offer, gang bool, now time.Duration) time.Duration {
	if h := r.holds[o.Task]; h != nil {
		return r.renewHold(h, now)
	}
	record, known := r.refused[o.Task]
	if !known {
		if !r.canRecordRefusal(now) {
			return r.retryDelay(now)
		}
		record.first = now
	}
	record.last = now
	r.refused[o.Task] = record
	waited := max(now-record.first, o.RefusedFor)
	if waited < r.policy.HoldAfter || !r.mayHold(o, gang) {
		return r.retryDelay(now)
	}
	w, at := r.earliestFit(o, now)
	if w == nil {
		return r.retryDelay(now)
	}
	return r.renewHold(r.addHold(o, gang, w, at), now)
}

// canRecordRefusal reports whether another refusal can be recorded. It drops
// stale ones when the limit is reached.
func (r *Rack) canRecordRefusal(now time.Duration) bool {
	if len(r.refused) < maxRefusals || now < r.prunedAt+refusalTTL/10 {
		return len(r.refused) < maxRefusals
	}
	r.prunedAt = now
	for task, record := range r.refused {
		if now-record.last > refusalTTL {
			delete(r.refused, task)
		}
	}
	return len(r.refused) < maxRefusals
}

// mayHold reports whether another worker may be held for the offer. Only one
// gang at a time may hold workers, up to MaxGangHoldFraction of the rack, so two
// gangs never wait for each other's workers.
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
		return r.belowFraction(gangs, r.policy.MaxGangHoldFraction)
	}
	return r.belowFraction(singles, r.policy.MaxHoldFraction)
}

func (r *Rack) belowFraction(held int, fraction float64) bool {
	return held < max(1, int(fraction*float64(len(r.workers))))
}

func (r *Rack) addHold(o *Offer, gang bool, w *worker, at time.Duration) *hold {
	h := &hold{task: o.Task, job: o.Job, gang: gang, size: o.Size, worker: w, startAt: at}
	r.holds[o.Task] = h
	w.hold = h
	r.updateIndex(w)
	return h
}

// renewHold extends the hold and returns the delay to suggest before the next
// offer of its task.
func (r *Rack) renewHold(h *hold, now time.Duration) time.Duration {
	delay := min(max(h.startAt-now, r.policy.RetryMin), r.policy.RetryMax)
	h.expires = now + delay + r.policy.HoldGrace
	return delay
}

func (r *Rack) dropHold(h *hold) {
	if h == nil {
		return
	}
	delete(r.holds, h.task)
	h.worker.hold = nil
	r.updateIndex(h.worker)
}

// Withdraw drops the holds and recorded refusals of tasks that no longer wait
// for capacity here, for instance because they were placed on another rack or
// cancelled.
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

// earliestFit returns the worker that is expected to fit the offer first, and
// when.
func (r *Rack) earliestFit(o *Offer, now time.Duration) (*worker, time.Duration) {
	var best *worker
	var bestAt time.Duration
	for _, w := range r.workers {
		if w.hold != nil || !w.indexed || !r.allowed(o, w) || !o.Size.Fits(w.vm.Capacity) {
			continue
		}
		at, ok := w.fitsAt(o.Size, now)
		if !ok {
			continue
		}
		if best == nil || at < bestAt || at == bestAt && w.vm.ID < best.vm.ID {
			best, bestAt = w, at
		}
	}
	return best, bestAt
}

// fitsAt returns when the size is expected to fit on the worker. Tasks past
// their expected end, or without one, are assumed to end after overdueDelay. It
// returns false if the size never fits, or if the task whose end would make it
// fit is urgent and has no expected end.
func (w *worker) fitsAt(size model.Resources, now time.Duration) (time.Duration, bool) {
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

// overdueDelay is how long from now a task without an expected end, or past it,
// is assumed to run.
const overdueDelay = time.Minute

// endAfter returns the clock reading at which the task is expected to end, or
// overdueDelay from now if that is unknown or past.
func (e *entry) endAfter(now time.Duration) time.Duration {
	if e.ExpectedEnd > now {
		return e.ExpectedEnd
	}
	return now + overdueDelay
}

// backfill returns a held worker that the offer fits on without delaying the
// task that the worker is held for, or nil.
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

// admits reports whether the offer does not delay the task that the worker is
// held for: it ends before that task's expected start, or both fit beside the
// tasks that still run then.
func (h *hold) admits(o *Offer, now time.Duration) bool {
	if o.ExpectedRun > 0 && now+o.ExpectedRun <= h.startAt {
		return true
	}
	left := h.worker.vm.Capacity.Sub(h.size).Sub(o.Size)
	for _, e := range h.worker.entries {
		if e.endAfter(now) > h.startAt {
			left = left.Sub(e.Size)
		}
	}
	return !left.IsNegative()
}

// earliestEndCache caches the earliest expected end of a reservation on the rack.
type earliestEndCache struct {
	at         time.Duration // zero for none
	computedAt time.Duration
	valid      bool
}

// unknownEndDelay is the delay suggested when no end is expected.
const unknownEndDelay = 200 * time.Millisecond

// retryDelay returns the suggested delay before the next offer: the time until
// the earliest expected end of a reservation, between Policy.RetryMin and
// RetryMax. Workers whose earliest expected end has passed are left out.
func (r *Rack) retryDelay(now time.Duration) time.Duration {
	if !r.earliestEnd.valid || now-r.earliestEnd.computedAt >= r.policy.RetryMin {
		r.earliestEnd = earliestEndCache{computedAt: now, valid: true}
		for _, w := range r.workers {
			if w.nextEnd > now && (r.earliestEnd.at == 0 || w.nextEnd < r.earliestEnd.at) {
				r.earliestEnd.at = w.nextEnd
			}
		}
	}
	if r.earliestEnd.at == 0 {
		return min(unknownEndDelay, r.policy.RetryMax)
	}
	return min(max(r.earliestEnd.at-now, r.policy.RetryMin), r.policy.RetryMax)
}

package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// escalationDelay is how long an action may take to show in reports before it is
// repeated or escalated to the next harsher one.
const escalationDelay = 3 * time.Second

// Report applies a worker's reported usage, which lags, and returns the actions
// needed before the worker runs out of memory or processors. Reservations grow
// to what their tasks use where the worker has free capacity; permits do not
// change. Tasks without a reservation on this worker are ignored; the owner
// adds one with Adopt.
func (r *Rack) Report(vm model.VMID, statuses []port.TaskStatus, now time.Duration) []Action {
	w := r.workers[vm]
	if w == nil {
		return nil
	}
	for _, status := range statuses {
		if e := r.entries[status.Permit]; e != nil && e.worker == w {
			e.recordUsage(status.Used)
			r.growReservation(e)
		}
	}
	var actions []Action
	actions = w.relieveMemory(r.policy, now, actions)
	return w.relieveCPU(r.policy, now, actions)
}

// recordUsage records the usage and its increase since the previous report.
func (e *entry) recordUsage(used model.Resources) {
	e.growth = model.Resources{}
	if !e.Used.IsZero() {
		e.growth = model.Resources{}.Max(used.Sub(e.Used))
	}
	e.Used = used
	e.Peak = e.Peak.Max(used)
}

// projected returns the expected usage when an action takes effect. Reports lag
// by about one interval, so it adds the last increase once more.
func (e *entry) projected() model.Resources {
	return e.Used.Add(e.growth)
}

// growReservation raises a reservation to the projected usage if the worker has
// enough free capacity.
func (r *Rack) growReservation(e *entry) {
	over := overshoot(e)
	if over.IsZero() || !over.Fits(e.worker.free) {
		return
	}
	e.Size = e.Size.Add(over)
	e.worker.reserved = e.worker.reserved.Add(over)
	e.worker.updateFree()
	r.updateIndex(e.worker)
}

// overshoot returns the projected use of processors and memory beyond the
// reservation. Workers themselves prevent tasks from using more accelerators or
// slots than reserved.
func overshoot(e *entry) model.Resources {
	over := model.Resources{}.Max(e.projected().Sub(e.Size))
	return model.Resources{MilliCPU: over.MilliCPU, MemoryMiB: over.MemoryMiB}
}

// relieveMemory appends actions that end or throttle tasks while memory is
// projected to run out. Only tasks beyond their reservation are selected, unless
// the reservations themselves exceed the worker's memory.
func (w *worker) relieveMemory(p Policy, now time.Duration, actions []Action) []Action {
	capacity := w.vm.Capacity.MemoryMiB
	projected := int64(0)
	for _, e := range w.entries {
		if !e.stopRequested() {
			projected += e.projected().MemoryMiB
		}
	}
	for _, e := range w.reliefOrder(func(e *entry) int64 { return overshoot(e).MemoryMiB }) {
		if e.stopRequested() {
			actions = e.escalate(now, actions)
			continue
		}
		if overshoot(e).MemoryMiB == 0 && w.overcommit.MemoryMiB == 0 {
			continue
		}
		if projected <= int64(p.MemoryHigh*float64(capacity)) {
			continue
		}
		action := memoryAction(e, projected > capacity)
		actions = e.requestAction(action, "memory", now, actions)
		if action != port.ActionThrottle {
			projected -= e.projected().MemoryMiB
		}
	}
	return actions
}

// memoryAction returns the action that reduces a task's memory use: a checkpoint
// if the task is preemptible, else a stop if memory is projected to be
// exhausted, else a throttle.
func memoryAction(e *entry, exhausted bool) port.TaskAction {
	switch {
	case e.Preemptible:
		return port.ActionCheckpoint
	case exhausted:
		return port.ActionStop
	default:
		return port.ActionThrottle
	}
}

// relieveCPU appends actions that throttle tasks beyond their reservation while
// processors are oversubscribed.
func (w *worker) relieveCPU(p Policy, now time.Duration, actions []Action) []Action {
	projected := int64(0)
	for _, e := range w.entries {
		if !e.stopRequested() {
			projected += e.projected().MilliCPU
		}
	}
	limit := int64(p.CPUHigh * float64(w.vm.Capacity.MilliCPU))
	for _, e := range w.reliefOrder(func(e *entry) int64 { return overshoot(e).MilliCPU }) {
		over := overshoot(e).MilliCPU
		if projected <= limit || over == 0 {
			break
		}
		if e.stopRequested() {
			continue
		}
		actions = e.requestAction(port.ActionThrottle, "processors", now, actions)
		projected -= over
	}
	return actions
}

// reliefOrder returns the worker's reservations in the order in which to act on
// them: those with an overshoot first, then non-urgent ones, then preemptible
// ones, then by the largest overshoot.
func (w *worker) reliefOrder(over func(*entry) int64) []*entry {
	sorted := slices.Clone(w.entries)
	slices.SortFunc(sorted, func(a, b *entry) int {
		switch {
		case (over(a) > 0) != (over(b) > 0):
			return before(over(a) > 0)
		case a.Urgent != b.Urgent:
			return before(b.Urgent)
		case a.Preemptible != b.Preemptible:
			return before(a.Preemptible)
		case over(a) != over(b):
			return before(over(a) > over(b))
		default:
			return before(a.Permit.ID < b.Permit.ID)
		}
	})
	return sorted
}

// stopRequested reports whether a checkpoint or a stop of the task was
// requested.
func (e *entry) stopRequested() bool {
	return e.lastAction == port.ActionCheckpoint || e.lastAction == port.ActionStop
}

// requestAction appends an action unless the same one was requested within
// escalationDelay.
func (e *entry) requestAction(action port.TaskAction, cause string, now time.Duration, actions []Action) []Action {
	if e.lastAction == action && now-e.lastActionAt < escalationDelay {
		return actions
	}
	e.lastAction, e.lastActionAt = action, now
	return append(actions, Action{
		VM: e.VM, Task: port.TaskAttempt{Task: e.Task, Attempt: e.Attempt},
		Permit: e.Permit.ID, Action: action, Detail: "worker is short of " + cause,
	})
}

// escalate stops a task that did not checkpoint within escalationDelay, or
// repeats the stop.
func (e *entry) escalate(now time.Duration, actions []Action) []Action {
	if now-e.lastActionAt < escalationDelay {
		return actions
	}
	return e.requestAction(port.ActionStop, "memory", now, actions)
}

package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// actionPatience is how long an action may take to show in reports before the
// next harsher one follows.
const escalationDelay = 3 * time.Second

// Report takes a worker's lagging usage and returns what must be done before
// the worker is overrun. Reservations grow to what their tasks use where the
// worker has room; permits stay as granted. Tasks that the rack does not hold
// are ignored: the owner adopts or stops them.
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

// observe records usage and how fast it rises from report to report.
func (e *entry) recordUsage(used model.Resources) {
	e.growth = model.Resources{}
	if !e.Used.IsZero() {
		e.growth = model.Resources{}.Max(used.Sub(e.Used))
	}
	e.Used = used
	e.Peak = e.Peak.Max(used)
}

// expected is the usage by the time that an action takes effect: reports lag
// by about one interval.
func (e *entry) projected() model.Resources {
	return e.Used.Add(e.growth)
}

// grow raises a reservation to the usage if the worker has room for it.
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

// overshoot is the use beyond the reservation in the dimensions that a worker
// does not enforce itself.
func overshoot(e *entry) model.Resources {
	over := model.Resources{}.Max(e.projected().Sub(e.Size))
	return model.Resources{MilliCPU: over.MilliCPU, MemoryMiB: over.MemoryMiB}
}

// relieveMemory picks tasks to end or slow down while memory is expected to
// run out. Only tasks beyond their reservation are picked, unless the
// reservations themselves exceed the worker.
func (w *worker) relieveMemory(p Policy, now time.Duration, actions []Action) []Action {
	capacity := w.vm.Capacity.MemoryMiB
	expected := int64(0)
	for _, e := range w.entries {
		if !e.stopRequested() {
			expected += e.projected().MemoryMiB
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
		if expected <= int64(p.MemoryHigh*float64(capacity)) {
			continue
		}
		action := memoryAction(e, expected > capacity)
		actions = e.requestAction(action, "memory", now, actions)
		if action != port.ActionThrottle {
			expected -= e.projected().MemoryMiB
		}
	}
	return actions
}

func memoryAction(e *entry, overrun bool) port.TaskAction {
	switch {
	case e.Preemptible:
		return port.ActionCheckpoint
	case overrun:
		return port.ActionStop
	default:
		return port.ActionThrottle
	}
}

// relieveCPU throttles tasks beyond their reservation while processors are
// oversubscribed.
func (w *worker) relieveCPU(p Policy, now time.Duration, actions []Action) []Action {
	expected := int64(0)
	for _, e := range w.entries {
		if !e.stopRequested() {
			expected += e.projected().MilliCPU
		}
	}
	limit := int64(p.CPUHigh * float64(w.vm.Capacity.MilliCPU))
	for _, e := range w.reliefOrder(func(e *entry) int64 { return overshoot(e).MilliCPU }) {
		over := overshoot(e).MilliCPU
		if expected <= limit || over == 0 {
			break
		}
		if e.stopRequested() {
			continue
		}
		actions = e.requestAction(port.ActionThrottle, "processors", now, actions)
		expected -= over
	}
	return actions
}

// victims sorts the worker's running tasks: those that can be checkpointed
// first, urgent ones last, then by the largest overshoot.
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

// ending reports whether the task was told to make room.
func (e *entry) stopRequested() bool {
	return e.lastAction == port.ActionCheckpoint || e.lastAction == port.ActionStop
}

// act asks for an action once; a repeat waits for actionPatience.
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

// escalate stops a task that did not checkpoint in time and repeats a stop.
func (e *entry) escalate(now time.Duration, actions []Action) []Action {
	if now-e.lastActionAt < escalationDelay {
		return actions
	}
	return e.requestAction(port.ActionStop, "memory", now, actions)
}

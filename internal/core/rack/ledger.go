package rack

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/health"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// reserve books the offer on a worker that it fits.
func (r *Rack) reserve(w *worker, o Offer, state State, now time.Duration) *entry {
	e := &entry{worker: w, Reservation: Reservation{
		Permit: o.Permit, Task: o.Task, Attempt: o.Attempt, Job: o.Job, Template: o.Template,
		Size: o.Size, VM: w.vm.ID, State: state, Urgent: o.Urgent, Preemptible: o.Preemptible,
		Placed: now,
	}}
	if o.ExpectedRun > 0 {
		e.ExpectedEnd = now + o.ExpectedRun
	}
	r.book(e)
	return e
}

func (r *Rack) book(e *entry) {
	w := e.worker
	e.pos = len(w.entries)
	w.entries = append(w.entries, e)
	w.reserved = w.reserved.Add(e.Size)
	w.settle()
	w.noteEnd(e)
	r.entries[e.Permit.ID] = e
	r.tasks[e.Task] = e
	if len(r.domains) > 1 {
		r.spread[jobDomain{e.Job, w.vm.FailureDomain}]++
	}
	r.refile(w)
}

// noteEnd takes an entry's expected end into account.
func (w *worker) noteEnd(e *entry) {
	if e.ExpectedEnd > 0 && (w.nextEnd == 0 || e.ExpectedEnd < w.nextEnd) {
		w.nextEnd = e.ExpectedEnd
	}
}

// become changes the phase of a reservation.
func (e *entry) become(state State) {
	if e.State == StateUnknown {
		e.worker.unknown--
	}
	if state == StateUnknown {
		e.worker.unknown++
	}
	e.State = state
}

// release frees a reservation.
func (r *Rack) release(e *entry) {
	w := e.worker
	last := w.entries[len(w.entries)-1]
	w.entries[e.pos], last.pos = last, e.pos
	w.entries[len(w.entries)-1] = nil
	w.entries = w.entries[:len(w.entries)-1]
	w.reserved = w.reserved.Sub(e.Size)
	w.settle()
	if e.ExpectedEnd == w.nextEnd {
		w.nextEnd = 0
		for _, other := range w.entries {
			w.noteEnd(other)
		}
	}
	if e.State == StateUnknown {
		w.unknown--
	}
	w.excess = w.overrun()
	delete(r.entries, e.Permit.ID)
	delete(r.gangs, e.Permit.ID)
	if r.tasks[e.Task] == e {
		delete(r.tasks, e.Task)
	}
	if len(r.domains) > 1 {
		key := jobDomain{e.Job, w.vm.FailureDomain}
		if r.spread[key]--; r.spread[key] <= 0 {
			delete(r.spread, key)
		}
	}
	r.refile(w)
	if w.gone && len(w.entries) == 0 {
		r.forget(w)
	}
}

// Started records that the worker confirmed the start.
func (r *Rack) Started(permit string) bool {
	e := r.entries[permit]
	if e == nil {
		return false
	}
	e.become(StateStarted)
	return true
}

// Unknown records that it is not known whether the task runs. The reservation
// stays until Ended or VMGone.
func (r *Rack) Unknown(permit string) bool {
	e := r.entries[permit]
	if e == nil {
		return false
	}
	e.become(StateUnknown)
	return true
}

// Ended frees a reservation after the certain end of its attempt and returns
// it. Ends of permits that are not held are ignored, so repeats are harmless.
func (r *Rack) Ended(permit string, result Result, now time.Duration) (Reservation, bool) {
	e := r.entries[permit]
	if e == nil {
		return Reservation{}, false
	}
	changed := r.health.RecordEnd(health.Attempt{
		VM: e.VM, Job: e.Job, Template: e.Template, Probe: e.Probe,
		Result: healthResult(result),
	}, now)
	r.release(e)
	r.quarantineChanged(changed)
	return e.Reservation, true
}

// FinishedElsewhere tells that a job finished on another rack, which counts
// against workers of this one that fail it.
func (r *Rack) FinishedElsewhere(job model.JobID, template string, now time.Duration) {
	r.quarantineChanged(r.health.RecordFinishedElsewhere(job, template, now))
}

func (r *Rack) quarantineChanged(changed []model.VMID) {
	for _, vm := range changed {
		w := r.workers[vm]
		if w == nil {
			continue
		}
		if r.health.IsQuarantined(vm) {
			r.dropHold(w.hold)
		}
		r.refile(w)
	}
}

// Quarantined returns the workers that get no work but probes.
func (r *Rack) Quarantined() []model.VMID {
	return r.health.QuarantinedWorkers()
}

func healthResult(result Result) health.Result {
	switch result {
	case ResultDone:
		return health.Done
	case ResultFailed:
		return health.Failed
	default:
		return health.Inconclusive
	}
}

// Adopt books what a worker reports to run, for an owner that did not place
// it. Tasks may exceed the worker's capacity; it then takes no work until
// enough of them ended. A task whose permit is held already is only confirmed.
func (r *Rack) Adopt(vm model.VMID, status port.TaskStatus, permit model.Permit, now time.Duration) error {
	if e := r.entries[status.Permit]; e != nil {
		if e.VM != vm {
			return Error.New("permit %s is held on %s and runs on %s", status.Permit, e.VM, vm)
		}
		e.become(StateStarted)
		return nil
	}
	w := r.workers[vm]
	if w == nil {
		return Error.New("worker %s is not of this rack", vm)
	}
	permit.ID, permit.Team = status.Permit, status.Team
	if permit.Size.IsZero() {
		permit.Size = status.Declared
	}
	r.book(&entry{worker: w, Reservation: Reservation{
		Permit: permit, Task: status.Task, Attempt: status.Attempt, Job: status.Job,
		Size: status.Declared.Max(model.Resources{}), VM: vm, State: StateStarted, Placed: now, Used: status.Used,
	}})
	w.excess = w.overrun()
	r.refile(w)
	return nil
}

// Lookup returns the reservation of a permit.
func (r *Rack) Lookup(permit string) (Reservation, bool) {
	e := r.entries[permit]
	if e == nil {
		return Reservation{}, false
	}
	return e.Reservation, true
}

// Held returns the reservations of a team in the order of their permits, or
// those of every team for an empty id.
func (r *Rack) Held(team model.TeamID) []Reservation {
	var held []Reservation
	for _, e := range r.entries {
		if team == "" || e.Permit.Team == team {
			held = append(held, e.Reservation)
		}
	}
	sortByPermit(held)
	return held
}

// On returns the reservations of a worker in the order of their permits.
func (r *Rack) HeldOn(vm model.VMID) []Reservation {
	w := r.workers[vm]
	if w == nil {
		return nil
	}
	held := make([]Reservation, 0, len(w.entries))
	for _, e := range w.entries {
		held = append(held, e.Reservation)
	}
	sortByPermit(held)
	return held
}

func sortByPermit(held []Reservation) {
	slices.SortFunc(held, func(a, b Reservation) int {
		return strings.Compare(a.Permit.ID, b.Permit.ID)
	})
}

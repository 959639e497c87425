package rack

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/health"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// reserve adds a reservation for the offer to a worker that it fits on.
func (r *Rack) reserve(w *worker, o Offer, state State, now time.Duration) *entry {
	e := &entry{worker: w, Reservation: Reservation{
		Permit: o.Permit, Task: o.Task, Attempt: o.Attempt, Job: o.Job, Template: o.Template,
		Size: o.Size, VM: w.vm.ID, State: state, Urgent: o.Urgent, Preemptible: o.Preemptible,
		Placed: now,
	}}
	if o.ExpectedRun > 0 {
		e.ExpectedEnd = now + o.ExpectedRun
	}
	r.addEntry(e)
	return e
}

// addEntry adds a reservation to its worker and to the rack's maps.
func (r *Rack) addEntry(e *entry) {
	w := e.worker
	e.pos = len(w.entries)
	w.entries = append(w.entries, e)
	w.reserved = w.reserved.Add(e.Size)
	w.updateFree()
	w.updateNextEnd(e)
	r.entries[e.Permit.ID] = e
	r.tasks[e.Task] = e
	if len(r.domains) > 1 {
		r.spread[jobDomain{e.Job, w.vm.FailureDomain}]++
	}
	r.updateIndex(w)
}

// updateNextEnd lowers nextEnd to the entry's expected end if that is earlier.
func (w *worker) updateNextEnd(e *entry) {
	if e.ExpectedEnd > 0 && (w.nextEnd == 0 || e.ExpectedEnd < w.nextEnd) {
		w.nextEnd = e.ExpectedEnd
	}
}

// setState changes the state of a reservation and the worker's count of unknown
// ones.
func (e *entry) setState(state State) {
	if e.State == StateUnknown {
		e.worker.unknown--
	}
	if state == StateUnknown {
		e.worker.unknown++
	}
	e.State = state
}

// release removes a reservation, and its worker if that is unlisted and has no
// other.
func (r *Rack) release(e *entry) {
	w := e.worker
	last := w.entries[len(w.entries)-1]
	w.entries[e.pos], last.pos = last, e.pos
	w.entries[len(w.entries)-1] = nil
	w.entries = w.entries[:len(w.entries)-1]
	w.reserved = w.reserved.Sub(e.Size)
	w.updateFree()
	if e.ExpectedEnd == w.nextEnd {
		w.nextEnd = 0
		for _, other := range w.entries {
			w.updateNextEnd(other)
		}
	}
	if e.State == StateUnknown {
		w.unknown--
	}
	w.overcommit = w.overcommitted()
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
	r.updateIndex(w)
	if w.unlisted && len(w.entries) == 0 {
		r.removeWorker(w)
	}
}

// Started records that the worker confirmed the start. It returns false for a
// permit without a reservation.
func (r *Rack) Started(permit string) bool {
	e := r.entries[permit]
	if e == nil {
		return false
	}
	e.setState(StateStarted)
	return true
}

// Unknown records that it is not known whether the task runs. The reservation
// is kept until Ended or ReleaseVM. Unknown returns false for a permit without a
// reservation.
func (r *Rack) Unknown(permit string) bool {
	e := r.entries[permit]
	if e == nil {
		return false
	}
	e.setState(StateUnknown)
	return true
}

// Ended releases a reservation whose attempt has certainly ended and returns
// it. It returns false for a permit without a reservation, so repeated calls are
// harmless.
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

// FinishedElsewhere records that a job finished on another rack, which counts
// against the workers of this rack on which it failed.
func (r *Rack) FinishedElsewhere(job model.JobID, template string, now time.Duration) {
	r.quarantineChanged(r.health.RecordFinishedElsewhere(job, template, now))
}

// quarantineChanged updates the index after workers entered or left quarantine.
func (r *Rack) quarantineChanged(changed []model.VMID) {
	for _, vm := range changed {
		w := r.workers[vm]
		if w == nil {
			continue
		}
		if r.health.IsQuarantined(vm) {
			r.dropHold(w.hold)
		}
		r.updateIndex(w)
	}
}

// Quarantined returns the workers that get no tasks except probes: tasks placed
// on a quarantined worker to test whether it works again.
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

// Adopt adds a reservation for a task that a worker reports as running and that
// this owner did not place. Adopted tasks may exceed the worker's capacity; it
// then gets no new tasks until enough of them have ended. If the permit already
// has a reservation on this worker, the task is only marked as started; Adopt
// returns an error if the reservation is on another worker or the worker is not
// part of this rack.
func (r *Rack) Adopt(vm model.VMID, status port.TaskStatus, permit model.Permit, now time.Duration) error {
	if e := r.entries[status.Permit]; e != nil {
		if e.VM != vm {
			return Error.New("permit %s is reserved on worker %s but runs on worker %s", status.Permit, e.VM, vm)
		}
		e.setState(StateStarted)
		return nil
	}
	w := r.workers[vm]
	if w == nil {
		return Error.New("worker %s is not part of this rack", vm)
	}
	permit.ID, permit.Team = status.Permit, status.Team
	if permit.Size.IsZero() {
		permit.Size = status.Declared
	}
	r.addEntry(&entry{worker: w, Reservation: Reservation{
		Permit: permit, Task: status.Task, Attempt: status.Attempt, Job: status.Job,
		Size: status.Declared.Max(model.Resources{}), VM: vm, State: StateStarted, Placed: now, Used: status.Used,
	}})
	w.overcommit = w.overcommitted()
	r.updateIndex(w)
	return nil
}

// Lookup returns the reservation of a permit, and whether there is one.
func (r *Rack) Lookup(permit string) (Reservation, bool) {
	e := r.entries[permit]
	if e == nil {
		return Reservation{}, false
	}
	return e.Reservation, true
}

// Reservations returns the reservations of a team, or of every team for an empty
// id, sorted by permit id.
func (r *Rack) Reservations(team model.TeamID) []Reservation {
	var reservations []Reservation
	for _, e := range r.entries {
		if team == "" || e.Permit.Team == team {
			reservations = append(reservations, e.Reservation)
		}
	}
	sortByPermit(reservations)
	return reservations
}

// ReservationsOn returns the reservations on a worker, sorted by permit id.
func (r *Rack) ReservationsOn(vm model.VMID) []Reservation {
	w := r.workers[vm]
	if w == nil {
		return nil
	}
	reservations := make([]Reservation, 0, len(w.entries))
	for _, e := range w.entries {
		reservations = append(reservations, e.Reservation)
	}
	sortByPermit(reservations)
	return reservations
}

func sortByPermit(reservations []Reservation) {
	slices.SortFunc(reservations, func(a, b Reservation) int {
		return strings.Compare(a.Permit.ID, b.Permit.ID)
	})
}

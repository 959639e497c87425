package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/health"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// worker is the state of one VM.
type worker struct {
	vm       model.VM
	free     model.Resources // capacity less reserved
	reserved model.Resources
	// excess is how much adopted tasks or a shrunk capacity reserve beyond
	// the capacity; nothing fits until it is gone.
	excess  model.Resources
	entries []*entry
	hold    *hold
	nextEnd time.Duration // soonest expected end of an entry; zero for none
	unknown int           // entries in StateUnknown
	gone    bool          // no longer listed
	silent  bool          // does not answer

	// position in the index
	indexed         bool
	class, row, col int
	prev, next      *worker
}

// entry is a reservation and its place among the worker's entries.
type entry struct {
	Reservation
	worker *worker
	pos    int
	rise   model.Resources // of Used between the last two reports
	// acted is the last action asked for, at the reading actedAt.
	acted   port.TaskAction
	actedAt time.Duration
}

type jobDomain struct {
	job    model.JobID
	domain model.FailureDomain
}

// Rack is the state of one rack partition.
type Rack struct {
	policy    Policy
	workers   map[model.VMID]*worker
	indexes   map[model.FailureDomain]*index
	domains   []model.FailureDomain // sorted keys of indexes
	scale     model.Resources
	shapes    map[model.FailureDomain][]model.Resources // distinct capacities
	sidelined map[model.VMID]*worker                    // not in an index
	domainOut func(model.FailureDomain) bool
	entries   map[string]*entry // by permit id
	tasks     map[model.TaskID]*entry
	spread    map[jobDomain]int
	gangs     map[string]*entry // gang reservations that may expire
	holds     map[model.TaskID]*hold
	refused   map[model.TaskID]refusal
	prunedAt  time.Duration // of refused
	ends      nextEnd
	scratch   batch
	health    *health.Fleet
}

// New returns a rack without workers.
func New(options Options) *Rack {
	policy := options.Policy.withDefaults()
	return &Rack{
		policy:    policy,
		workers:   make(map[model.VMID]*worker),
		indexes:   make(map[model.FailureDomain]*index),
		domainOut: func(model.FailureDomain) bool { return false },
		entries:   make(map[string]*entry),
		tasks:     make(map[model.TaskID]*entry),
		spread:    make(map[jobDomain]int),
		shapes:    make(map[model.FailureDomain][]model.Resources),
		sidelined: make(map[model.VMID]*worker),
		gangs:     make(map[string]*entry),
		holds:     make(map[model.TaskID]*hold),
		refused:   make(map[model.TaskID]refusal),
		health:    health.NewFleet(policy.Health),
	}
}

// SetDomainOut sets how the rack learns which failure domains are out of
// service. The function is called during placement and must be cheap.
func (r *Rack) SetDomainOut(out func(domain model.FailureDomain) bool) {
	r.domainOut = out
}

// SetVMs replaces the list of workers. Workers that are no longer listed take
// no work but keep their reservations until VMGone.
func (r *Rack) SetVMs(vms []model.VM, _ time.Duration) {
	listed := make(map[model.VMID]bool, len(vms))
	r.scale = model.Resources{}
	clear(r.shapes)
	for _, vm := range vms {
		listed[vm.ID] = true
		r.scale = r.scale.Max(vm.Capacity)
		r.addShape(vm)
		r.setVM(vm)
	}
	for id, w := range r.workers {
		w.gone = !listed[id]
		if w.gone {
			r.dropHold(w.hold)
		}
		if w.gone && len(w.entries) == 0 {
			r.forget(w)
		}
	}
	r.health.SetSize(len(vms))
	r.reindex()
}

func (r *Rack) addShape(vm model.VM) {
	shapes := r.shapes[vm.FailureDomain]
	if !vm.Leaving && !slices.Contains(shapes, vm.Capacity) {
		r.shapes[vm.FailureDomain] = append(shapes, vm.Capacity)
	}
}

func (r *Rack) setVM(vm model.VM) {
	w := r.workers[vm.ID]
	if w == nil {
		w = &worker{}
		r.workers[vm.ID] = w
	}
	w.vm = vm
	w.settle()
	w.excess = w.overrun()
	if vm.Leaving {
		r.dropHold(w.hold)
	}
}

// forget drops a worker without reservations.
func (r *Rack) forget(w *worker) {
	r.dropHold(w.hold)
	if w.indexed {
		r.indexes[w.vm.FailureDomain].remove(w)
	}
	delete(r.workers, w.vm.ID)
	delete(r.sidelined, w.vm.ID)
	r.health.Remove(w.vm.ID)
}

// reindex files every worker again, in the order of their ids so that equal
// inputs lead to equal decisions.
func (r *Rack) reindex() {
	r.indexes = make(map[model.FailureDomain]*index)
	ids := make([]model.VMID, 0, len(r.workers))
	for id, w := range r.workers {
		w.indexed = false
		ids = append(ids, id)
	}
	slices.Sort(ids)
	r.domains = r.domains[:0]
	for _, id := range ids {
		w := r.workers[id]
		if r.indexes[w.vm.FailureDomain] == nil {
			r.indexes[w.vm.FailureDomain] = newIndex(r.scale)
			r.domains = append(r.domains, w.vm.FailureDomain)
		}
		r.refile(w)
	}
	slices.Sort(r.domains)
	r.recount()
}

// recount counts the tasks per job and domain, which only a rack of several
// domains needs.
func (r *Rack) recount() {
	clear(r.spread)
	if len(r.domains) < 2 {
		return
	}
	for _, e := range r.entries {
		r.spread[jobDomain{e.Job, e.worker.vm.FailureDomain}]++
	}
}

// refile brings the index up to date with the worker's state.
func (r *Rack) refile(w *worker) {
	x := r.indexes[w.vm.FailureDomain]
	eligible := w.available() && w.hold == nil && !r.health.IsQuarantined(w.vm.ID)
	if eligible {
		delete(r.sidelined, w.vm.ID)
	} else {
		r.sidelined[w.vm.ID] = w
	}
	switch {
	case x == nil:
	case !eligible && w.indexed:
		x.remove(w)
	case eligible && !w.indexed:
		x.insert(w)
	case eligible:
		x.move(w)
	}
}

// available reports whether the worker may take work at all.
func (w *worker) available() bool {
	return !w.gone && !w.silent && !w.vm.Leaving
}

// settle derives free from capacity and reserved.
func (w *worker) settle() {
	w.free = w.vm.Capacity.Sub(w.reserved)
}

// overrun returns what is reserved beyond the capacity.
func (w *worker) overrun() model.Resources {
	return model.Resources{}.Max(w.reserved.Sub(w.vm.Capacity))
}

// VMUnreachable tells whether the worker answers. A silent worker takes no
// work and keeps its reservations, because its tasks may still run.
func (r *Rack) SetUnresponsive(vm model.VMID, silent bool, _ time.Duration) {
	w := r.workers[vm]
	if w == nil {
		return
	}
	w.silent = silent
	if silent {
		r.dropHold(w.hold)
	}
	r.refile(w)
}

// VMGone frees everything on a worker whose tasks have certainly ended, for
// instance because its leases ran out, and returns it. An unlisted worker is
// forgotten; a listed one stays silent until VMUnreachable says otherwise.
func (r *Rack) ReleaseVM(vm model.VMID, _ time.Duration) []Reservation {
	w := r.workers[vm]
	if w == nil {
		return nil
	}
	ended := make([]Reservation, 0, len(w.entries))
	for len(w.entries) > 0 {
		e := w.entries[len(w.entries)-1]
		ended = append(ended, e.Reservation)
		if e.Probe {
			r.health.ProbeLost(vm)
		}
		r.release(e)
	}
	if r.workers[vm] != w {
		return ended
	}
	w.silent = true
	r.dropHold(w.hold)
	r.refile(w)
	if w.gone {
		r.forget(w)
	}
	return ended
}

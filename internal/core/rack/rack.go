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
	// overcommit is what is reserved beyond the capacity, because of adopted
	// tasks or a reduced capacity. No new task fits until it is zero.
	overcommit   model.Resources
	entries      []*entry
	hold         *hold
	nextEnd      time.Duration // earliest expected end of an entry; zero for none
	unknown      int           // entries in StateUnknown
	unlisted     bool          // missing from the last SetVMs
	unresponsive bool          // does not answer; gets no new tasks

	// Position in the index.
	indexed              bool
	planeIndex, row, col int
	prev, next           *worker
}

// entry is a reservation and its position among the worker's entries.
type entry struct {
	Reservation
	worker *worker
	pos    int
	growth model.Resources // increase of Used between the last two reports
	// lastAction is the last action requested, at the clock reading lastActionAt.
	lastAction   port.TaskAction
	lastActionAt time.Duration
}

// jobDomain is a job and a failure domain in which its tasks run.
type jobDomain struct {
	job    model.JobID
	domain model.FailureDomain
}

// Rack is the state of one rack partition.
type Rack struct {
	policy      Policy
	workers     map[model.VMID]*worker
	indexes     map[model.FailureDomain]*index
	domains     []model.FailureDomain                     // sorted keys of indexes
	scale       model.Resources                           // largest capacity of a listed worker per dimension
	shapes      map[model.FailureDomain][]model.Resources // distinct worker capacities
	unindexed   map[model.VMID]*worker                    // workers that are not in an index
	domainOut   func(model.FailureDomain) bool
	entries     map[string]*entry // by permit id
	tasks       map[model.TaskID]*entry
	spread      map[jobDomain]int // reservations per job and domain; empty with fewer than two domains
	gangs       map[string]*entry // gang reservations that may expire
	holds       map[model.TaskID]*hold
	refused     map[model.TaskID]refusal
	prunedAt    time.Duration // when stale refusals were last dropped
	earliestEnd earliestEndCache
	scratch     batch // memory that newBatch reuses
	health      *health.RackHealth
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
		unindexed: make(map[model.VMID]*worker),
		gangs:     make(map[string]*entry),
		holds:     make(map[model.TaskID]*hold),
		refused:   make(map[model.TaskID]refusal),
		health:    health.NewRackHealth(policy.Health),
	}
}

// SetDomainOut sets the function that reports whether a failure domain is out of
// service. It is called during placement and must be cheap.
func (r *Rack) SetDomainOut(out func(domain model.FailureDomain) bool) {
	r.domainOut = out
}

// SetVMs replaces the list of workers. Workers that are no longer listed get no
// new tasks. They are removed once their last reservation has ended or ReleaseVM
// is called.
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
		w.unlisted = !listed[id]
		if w.unlisted {
			r.dropHold(w.hold)
		}
		if w.unlisted && len(w.entries) == 0 {
			r.removeWorker(w)
		}
	}
	r.health.SetSize(len(vms))
	r.rebuildIndexes()
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
	w.updateFree()
	w.overcommit = w.overcommitted()
	if vm.Leaving {
		r.dropHold(w.hold)
	}
}

// removeWorker removes a worker without reservations from the rack.
func (r *Rack) removeWorker(w *worker) {
	r.dropHold(w.hold)
	if w.indexed {
		r.indexes[w.vm.FailureDomain].remove(w)
	}
	delete(r.workers, w.vm.ID)
	delete(r.unindexed, w.vm.ID)
	r.health.Remove(w.vm.ID)
}

// rebuildIndexes inserts every worker into new indexes, sorted by id so that
// equal inputs lead to equal decisions.
func (r *Rack) rebuildIndexes() {
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
		r.updateIndex(w)
	}
	slices.Sort(r.domains)
	r.recountSpread()
}

// recountSpread counts the tasks per job and failure domain, which only a rack
// of several domains needs.
func (r *Rack) recountSpread() {
	clear(r.spread)
	if len(r.domains) < 2 {
		return
	}
	for _, e := range r.entries {
		r.spread[jobDomain{e.Job, e.worker.vm.FailureDomain}]++
	}
}

// updateIndex inserts, moves or removes the worker in its index according to its
// state.
func (r *Rack) updateIndex(w *worker) {
	x := r.indexes[w.vm.FailureDomain]
	eligible := w.available() && w.hold == nil && !r.health.IsQuarantined(w.vm.ID)
	if eligible {
		delete(r.unindexed, w.vm.ID)
	} else {
		r.unindexed[w.vm.ID] = w
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

// available reports whether the worker may get new tasks. It does not check for
// holds or quarantine.
func (w *worker) available() bool {
	return !w.unlisted && !w.unresponsive && !w.vm.Leaving
}

// updateFree derives free from capacity and reserved.
func (w *worker) updateFree() {
	w.free = w.vm.Capacity.Sub(w.reserved)
}

// overcommitted returns what is reserved beyond the capacity.
func (w *worker) overcommitted() model.Resources {
	return model.Resources{}.Max(w.reserved.Sub(w.vm.Capacity))
}

// SetUnresponsive records whether the worker is unresponsive. An unresponsive
// worker gets no new tasks and keeps its reservations, because its tasks may
// still run.
func (r *Rack) SetUnresponsive(vm model.VMID, unresponsive bool, _ time.Duration) {
	w := r.workers[vm]
	if w == nil {
		return
	}
	w.unresponsive = unresponsive
	if unresponsive {
		r.dropHold(w.hold)
	}
	r.updateIndex(w)
}

// ReleaseVM releases and returns all reservations on a worker whose tasks have
// certainly ended, for instance because its leases have expired. An unlisted
// worker is removed; a listed one counts as unresponsive until SetUnresponsive
// is called with false.
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
	w.unresponsive = true
	r.dropHold(w.hold)
	r.updateIndex(w)
	if w.unlisted {
		r.removeWorker(w)
	}
	return ended
}

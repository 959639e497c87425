// Package rackowner runs the partition of one rack: it places offered tasks on
// the rack's workers, renews their leases and reports the ends of tasks to the
// owners of their teams.
package rackowner

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/app/inflight"
	"github.com/balsamhitch/balsamhitch/internal/core/estimate"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// DefaultLease is how long a worker runs its tasks without a heartbeat.
	DefaultLease = 6 * time.Second
	// driftMargin is added to every wait for a lease to expire, because the
	// clocks of worker and owner may drift apart.
	driftMargin = 500 * time.Millisecond
	// startWindow is how long after a start was sent the worker may accept it.
	startWindow = time.Second
	// callTimeout bounds one call to a worker or a team's owner.
	callTimeout = 2 * time.Second
	// tickInterval is the time between checks for due heartbeats and releases.
	tickInterval = 20 * time.Millisecond
	// gangExpiry is how long a gang's reservation is kept without a commit.
	gangExpiry = 2 * time.Second
)

// Options are the dependencies and settings of an owner besides the host's
// environment.
type Options struct {
	Worker port.Worker
	Pool   *ants.Pool // runs calls to workers and team owners
	Lease  time.Duration
	Policy rack.Policy
	Logger *logrus.Entry
}

// Owner runs the partition of one rack for one session. It is safe for concurrent
// use.
type Owner struct {
	id       model.PartitionID
	epoch    model.Epoch
	env      host.Env
	worker   port.Worker
	pool     *ants.Pool
	lease    time.Duration
	logger   *logrus.Entry
	acquired time.Duration // clock reading when the partition was acquired

	inFlight inflight.Counter // starts in flight to workers
	wake     chan struct{}    // requests a placement pass

	mu         sync.Mutex
	rack       *rack.Rack
	fence      *permit.Fence
	workers    map[model.VMID]*workerState
	vmList     []model.VM // last VM list applied
	pending    []*pendingOffer
	starts     map[string]*start            // starts sent or reported and not known to have ended, by permit id
	gangOffers map[string]*peerpb.TaskOffer // offers of gang reservations by permit id
	releases   *releases
	estimates  *estimate.Estimator
	largestVM  model.Resources // largest worker capacity per dimension, from the last summary
}

var _ host.Partition = (*Owner)(nil)

// New returns the Owner that runs a rack's partition for the session with the given
// epoch.
func New(id model.PartitionID, epoch model.Epoch, env host.Env, options Options) *Owner {
	lease := options.Lease
	if lease == 0 {
		lease = DefaultLease
	}
	o := &Owner{
		id:         id,
		epoch:      epoch,
		env:        env,
		worker:     options.Worker,
		pool:       options.Pool,
		lease:      lease,
		logger:     options.Logger.WithFields(logrus.Fields{"part": "rack", "rack": id.Name()}),
		acquired:   env.Clock().Now(),
		wake:       make(chan struct{}, 1),
		rack:       rack.New(rack.Options{Policy: options.Policy}),
		fence:      permit.NewFence(),
		workers:    map[model.VMID]*workerState{},
		starts:     map[string]*start{},
		gangOffers: map[string]*peerpb.TaskOffer{},
		releases:   newReleases(),
		// A reservation is never smaller than the declared size, because a task
		// may use what it declared at any moment.
		estimates: estimate.New(estimate.Policy{Floor: 1}),
	}
	o.rack.SetDomainOut(func(domain model.FailureDomain) bool {
		return env.Config().IsDomainOut(domain)
	})
	return o
}

// Run executes the owner's loop until the context is done.
func (o *Owner) Run(ctx context.Context) {
	o.tick(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(ctx)
		case <-o.wake:
			o.place(ctx)
		}
	}
}

// tick applies the VM list, sends due heartbeats and releases, and places pending
// offers.
func (o *Owner) tick(ctx context.Context) {
	o.updateWorkers()
	o.sendHeartbeats(ctx)
	o.sendReleases(ctx)
	o.place(ctx)
}

// Drain refuses new offers and waits for the starts in flight.
func (o *Owner) Drain(ctx context.Context) {
	o.inFlight.Drain(ctx)
}

// Summary returns the rack's free capacity and the number of pending offers.
func (o *Owner) Summary() *peerpb.PartitionSummary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.summary()
}

// summary is Summary with the owner locked.
func (o *Owner) summary() *peerpb.PartitionSummary {
	s := o.rack.Summary()
	o.largestVM = s.LargestVM
	return &peerpb.PartitionSummary{
		Partition:      string(o.id),
		Epoch:          uint64(o.epoch),
		Capacity:       convert.ResourcesPB(s.Capacity),
		Free:           convert.ResourcesPB(s.Free),
		LargestFree:    convert.ResourcesPB(s.LargestFree),
		LargestVm:      convert.ResourcesPB(s.LargestVM),
		FailureDomains: convert.DomainsPB(s.Domains),
		Waiting:        int32(len(o.pending)),
		Vms:            int32(s.VMs),
		Room:           convert.ResourcesListPB(s.FreeShapes),
	}
}

// Check returns an error if the invariant of the rack is violated: no worker's
// reservations exceed its capacity.
func (o *Owner) Check() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rack.Invariant()
}

// mayAct reports whether this owner's lease on the partition is valid now.
func (o *Owner) mayAct() bool {
	return o.env.MayAct(o.id, o.epoch)
}

// signal requests a placement pass without blocking.
func (o *Owner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

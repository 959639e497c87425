// Package rackowner runs the partition of one rack: it places offered tasks on
// the rack's workers, keeps their leases and reports their ends.
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
	// DefaultLease is how long a worker runs a task without a heartbeat.
	DefaultLease = 6 * time.Second
	// driftMargin is added to every wait for a lease to run out.
	driftMargin = 500 * time.Millisecond
	// startWindow is how long a start may be on its way to the worker.
	startWindow = time.Second
	// callTimeout bounds one call to a worker or a team's owner.
	callTimeout = 2 * time.Second
	// tickEvery is the time between looks at workers and reports due.
	tickEvery = 20 * time.Millisecond
	// gangExpiry is how long a gang's reservation waits for its commit.
	gangExpiry = 2 * time.Second
)

// Options are the parts that an owner uses besides the host's environment.
type Options struct {
	Worker port.Worker
	Pool   *ants.Pool // runs calls to workers and team owners
	Lease  time.Duration
	Policy rack.Policy
	Logger *logrus.Entry
}

// Owner is the partition of one rack. It is safe for concurrent use.
type Owner struct {
	id       model.PartitionID
	epoch    model.Epoch
	env      host.Env
	worker   port.Worker
	pool     *ants.Pool
	lease    time.Duration
	logger   *logrus.Entry
	acquired time.Duration // reading at which the tenure began

	inFlight inflight.Counter // starts on their way to workers
	wake     chan struct{}    // asks for a placement pass

	mu      sync.Mutex
	rack    *rack.Rack
	fence   *permit.Fence
	vms     map[model.VMID]*vmState
	list    []model.VM // the last VM list taken over
	pending []*pendingOffer
	starts  map[string]*start // unconfirmed starts by permit id
	payload map[string]*peerpb.TaskOffer
	reports *reports
	learned *estimate.Estimator
	largest model.Resources // what the largest worker holds
}

var _ host.Partition = (*Owner)(nil)

// New returns the owner of a rack's partition for one tenure.
func New(id model.PartitionID, epoch model.Epoch, env host.Env, options Options) *Owner {
	lease := options.Lease
	if lease == 0 {
		lease = DefaultLease
	}
	o := &Owner{
		id:       id,
		epoch:    epoch,
		env:      env,
		worker:   options.Worker,
		pool:     options.Pool,
		lease:    lease,
		logger:   options.Logger.WithFields(logrus.Fields{"part": "rack", "rack": id.Name()}),
		acquired: env.Clock().Now(),
		wake:     make(chan struct{}, 1),
		rack:     rack.New(rack.Options{Policy: options.Policy}),
		fence:    permit.NewFence(),
		vms:      map[model.VMID]*vmState{},
		starts:   map[string]*start{},
		payload:  map[string]*peerpb.TaskOffer{},
		reports:  newReports(),
		// A reservation is never smaller than what was declared: what a task
		// declared it may use at any moment.
		learned: estimate.New(estimate.Policy{Floor: 1}),
	}
	o.rack.SetDomainOut(func(domain model.FailureDomain) bool {
		return env.Config().DomainOut(domain)
	})
	return o
}

// Run works until the context ends.
func (o *Owner) Run(ctx context.Context) {
	o.tick(ctx)
	ticker := time.NewTicker(tickEvery)
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

// tick takes over the VM list, beats and reports what is due and places what
// waits.
func (o *Owner) tick(ctx context.Context) {
	o.updateVMs()
	o.beatDue(ctx)
	o.reportDue(ctx)
	o.place(ctx)
}

// Drain refuses new offers and waits for starts in flight.
func (o *Owner) Drain(ctx context.Context) {
	o.inFlight.Drain(ctx)
}

// Summary reports the rack's free capacity.
func (o *Owner) Summary() *peerpb.PartitionSummary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.summary()
}

func (o *Owner) summary() *peerpb.PartitionSummary {
	s := o.rack.Summary()
	o.largest = s.LargestVM
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

// Check is the invariant of the rack: no worker's reservations exceed it.
func (o *Owner) Check() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rack.Invariant()
}

func (o *Owner) mayAct() bool {
	return o.env.MayAct(o.id, o.epoch)
}

func (o *Owner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

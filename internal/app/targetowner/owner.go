// Package targetowner implements the partition of one target group: it sends quick
// requests to the group's runners and returns their answers.
package targetowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
	"github.com/balsamhitch/balsamhitch/internal/core/targets"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// refreshInterval is the time between updates of the runners from the VM list,
	// which also dispatch work to runners whose backoff has ended.
	refreshInterval = 20 * time.Millisecond
	// releaseBatchDelay is how long ended permits are collected for one message.
	releaseBatchDelay = 5 * time.Millisecond
	// unknownOutcomeMargin is added to the deadline of a request of unknown
	// outcome before its slot is used again.
	unknownOutcomeMargin = 100 * time.Millisecond
	// maxRunnersTried is the maximum number of runners tried for one request.
	maxRunnersTried = 4
	// refusalRetryAfter is the delay after which a caller should retry if its
	// request was refused because the group changes its owner, its runners refuse
	// the request or its queue is full.
	refusalRetryAfter = 50 * time.Millisecond
)

// Options are the dependencies of an owner besides the host's environment.
type Options struct {
	Runner port.Runner
	Core   targets.Options
	Logger *logrus.Entry
}

// Owner runs the partition of one target group for one session. It is safe for
// concurrent use.
type Owner struct {
	id       model.PartitionID
	epoch    model.Epoch
	env      host.Env
	runner   port.Runner
	logger   *logrus.Entry
	releases *releaser

	mu       sync.Mutex
	group    *targets.Group
	fence    *permit.Fence
	waiters  map[*targets.Work]chan dispatchResult // capacity 1
	draining bool
	inFlight sync.WaitGroup
}

// dispatchResult is sent to the waiter of a queued request: the runner to use or
// a refusal.
type dispatchResult struct {
	vm      model.VM
	refusal *peerpb.Refusal
}

var _ host.Partition = (*Owner)(nil)

// New returns the Owner that runs a target group's partition for the session with the
// given epoch.
func New(id model.PartitionID, epoch model.Epoch, env host.Env, options Options) *Owner {
	if options.Logger == nil {
		options.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	o := &Owner{
		id:      id,
		epoch:   epoch,
		env:     env,
		runner:  options.Runner,
		logger:  options.Logger.WithFields(logrus.Fields{"part": "targets", "group": id.Name()}),
		group:   targets.New(options.Core, env.Clock().Now()),
		fence:   permit.NewFence(),
		waiters: make(map[*targets.Work]chan dispatchResult),
	}
	o.releases = newReleaser(o)
	o.group.SetDomainOut(func(domain model.FailureDomain) bool {
		return env.Config().IsDomainOut(domain)
	})
	o.updateRunners()
	return o
}

// Run updates the runners and reports ended permits until the context is done.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.updateRunners()
			o.releases.sendDue(ctx)
		case <-o.releases.wake:
			o.releases.sendDue(ctx)
		}
	}
}

// updateRunners applies the VM list, refuses queued requests that no runner can
// serve and dispatches those that can run now.
func (o *Owner) updateRunners() {
	var vms []model.VM
	for _, vm := range o.env.VMs() {
		if vm.Role == model.RoleRunner && vm.Partition() == o.id {
			vms = append(vms, vm)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.group.SetRunners(vms, o.env.Clock().Now())
	for _, work := range o.group.RemoveUnservable() {
		o.resolve(work, dispatchResult{refusal: unservableRefusal()})
	}
	o.dispatch()
}

func unservableRefusal() *peerpb.Refusal {
	return convert.NewRefusal(peerpb.Refusal_DOMAIN_OUT, "no runner of the target group may take the request")
}

// dispatch assigns queued work to runners with free slots. The caller holds o.mu.
func (o *Owner) dispatch() {
	for {
		next, ok := o.group.Next(o.env.Clock().Now(), rand.IntN)
		if !ok {
			return
		}
		o.resolve(next.Work, dispatchResult{vm: next.VM})
	}
}

// resolve sends the result to the waiter of the work. The caller holds o.mu.
func (o *Owner) resolve(work *targets.Work, result dispatchResult) {
	o.waiters[work] <- result
	delete(o.waiters, work)
}

// Drain refuses new requests and waits until the queued and running ones have ended
// and their permits are released, or until the context is done.
func (o *Owner) Drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		o.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		o.releases.drain(ctx)
	case <-ctx.Done():
		o.logger.Warn("drain timed out with requests in flight; handing over anyway")
	}
}

// Summary returns the capacity, free slots and queue length of the group.
func (o *Owner) Summary() *peerpb.PartitionSummary {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.group.Summary(o.env.Clock().Now())
	return &peerpb.PartitionSummary{
		Partition:      string(o.id),
		Epoch:          uint64(o.epoch),
		Capacity:       &peerpb.Resources{Slots: s.Capacity},
		Free:           &peerpb.Resources{Slots: s.Free},
		LargestFree:    &peerpb.Resources{Slots: s.LargestFree},
		LargestVm:      &peerpb.Resources{Slots: s.LargestVM},
		FailureDomains: convert.DomainsPB(s.Domains),
		Waiting:        int32(s.Waiting),
		Vms:            int32(s.Runners),
	}
}

// Check returns an error unless the group's invariants hold; see Group.Check in
// core/targets.
func (o *Owner) Check() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group.Check()
}

// mayAct reports whether this owner's lease on the partition is valid now.
func (o *Owner) mayAct() bool {
	return o.env.MayAct(o.id, o.epoch)
}

// Package targets runs the partition of one target group: it sends quick
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
	core "github.com/balsamhitch/balsamhitch/internal/core/targets"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// tickEvery is the time between looks at the VM list and paused runners.
	tickEvery = 20 * time.Millisecond
	// releaseEvery is how long ended permits are gathered for one message.
	releaseEvery = 5 * time.Millisecond
	// lostMargin is added to the deadline of a request of unknown end before
	// its slot is used again.
	lostMargin = 100 * time.Millisecond
	// maxAttempts bounds the runners tried for one request.
	maxAttempts = 4
	// retryAfterTakeover is told to callers that ask the wrong holder.
	retryAfterTakeover = 50 * time.Millisecond
)

// Options are the parts that an owner uses besides the host's environment.
type Options struct {
	Runner port.Runner
	Core   core.Options
	Logger *logrus.Entry
}

// Owner is the partition of one target group. It is safe for concurrent use.
type Owner struct {
	id      model.PartitionID
	epoch   model.Epoch
	env     host.Env
	runner  port.Runner
	logger  *logrus.Entry
	release *releaser

	mu       sync.Mutex
	group    *core.Group
	fence    *permit.Fence
	waiting  map[*core.Work]chan turn // capacity 1
	draining bool
	inFlight sync.WaitGroup
}

// turn ends the waiting of a request: it gets a runner or a refusal.
type turn struct {
	vm      model.VM
	refusal *peerpb.Refusal
}

var _ host.Partition = (*Owner)(nil)

// New returns the owner of a target group for one tenure.
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
		group:   core.New(options.Core, env.Clock().Now()),
		fence:   permit.NewFence(),
		waiting: make(map[*core.Work]chan turn),
	}
	o.release = newReleaser(o)
	o.group.SetDomainOut(func(domain model.FailureDomain) bool {
		return env.Config().DomainOut(domain)
	})
	o.updateRunners()
	return o
}

// Run works until the context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.updateRunners()
			o.release.sendDue(ctx)
		case <-o.release.wake:
			o.release.sendDue(ctx)
		}
	}
}

// updateRunners takes over the VM list and hands out what can run now.
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
		o.end(work, turn{refusal: refuseUnservable()})
	}
	o.dispatch()
}

func refuseUnservable() *peerpb.Refusal {
	return convert.NewRefusal(peerpb.Refusal_DOMAIN_OUT, "no runner of the target group may take the request")
}

// dispatch hands waiting work to runners. The owner is locked.
func (o *Owner) dispatch() {
	for {
		next, ok := o.group.Next(o.env.Clock().Now(), rand.IntN)
		if !ok {
			return
		}
		o.end(next.Work, turn{vm: next.VM})
	}
}

// end ends the waiting of work. The owner is locked.
func (o *Owner) end(work *core.Work, with turn) {
	o.waiting[work] <- with
	delete(o.waiting, work)
}

// Drain refuses new requests, waits for those that wait or run, and reports
// their permits.
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
		o.release.drain(ctx)
	case <-ctx.Done():
		o.logger.Warn("Drain ended with requests in flight.")
	}
}

// Summary reports the group's free slots.
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

// Check is the invariant of the group; see core/targets.
func (o *Owner) Check() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group.Check()
}

func (o *Owner) mayAct() bool {
	return o.env.MayAct(o.id, o.epoch)
}

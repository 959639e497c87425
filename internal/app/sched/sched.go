package sched

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/balsamhitch/balsamhitch/internal/app/configwatch"
	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/app/journal"
	"github.com/balsamhitch/balsamhitch/internal/app/membership"
	"github.com/balsamhitch/balsamhitch/internal/app/rackowner"
	"github.com/balsamhitch/balsamhitch/internal/app/targetowner"
	"github.com/balsamhitch/balsamhitch/internal/app/teamowner"
	"github.com/balsamhitch/balsamhitch/internal/app/vmwatch"
	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/core/targets"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors of this package.
var Error = errs.Class("sched")

const (
	// poolSize is the maximum number of calls in flight to workers and members.
	poolSize = 20000
	// journalCheckpointRecords and journalCheckpointAge are the number of records
	// and the time after which a checkpoint of the journal is due.
	journalCheckpointRecords = 5000 // records
	journalCheckpointAge     = 5 * time.Minute
	// checkpointCheckInterval is the time between checks whether one is due.
	checkpointCheckInterval = 5 * time.Second
)

// Options are the adapters and settings of a scheduler.
type Options struct {
	ID      model.MemberID
	Address string // of this process, for peers
	Domain  model.FailureDomain
	Log     port.Log
	VMList  port.VMList
	Worker  port.Worker
	Runner  port.Runner
	Peer    port.Peer
	Clock   port.Clock
	Logger  *logrus.Entry
	// FreshFor is how long a configuration snapshot may be used after the time at
	// which it was last known to be the newest.
	FreshFor time.Duration
	// CheckpointEvery is the time between checkpoints of the configuration.
	CheckpointEvery time.Duration
	TaskLease       time.Duration // of tasks on workers; zero for the default
	// TargetTakeoverGrace is how long after a takeover of a target group quick
	// requests that the previous owner sent may still be running: the maximum time
	// that a runner spends on one.
	TargetTakeoverGrace time.Duration
	Policy              fairness.Policy
	// Lease, RenewEvery and DriftMargin apply to partition leases.
	Lease       time.Duration
	RenewEvery  time.Duration
	DriftMargin time.Duration
	// Metrics exports the state of the configuration; it may be nil.
	Metrics *metrics.Set
}

// Sched is one balsam-sched process. It is safe for concurrent use.
type Sched struct {
	id      model.MemberID
	clock   port.Clock
	logger  *logrus.Entry
	pool    *ants.Pool
	peer    port.Peer
	member  *membership.Member
	config  *configwatch.Watcher
	roster  configwatch.Roster
	address string
	journal *journal.Journal
	manager *host.Manager
	vms     *vmwatch.Cache
	reports *reportCache
}

// New returns a scheduler; Run starts it.
func New(options Options) (*Sched, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Sched{
		id:      options.ID,
		address: options.Address,
		clock:   options.Clock,
		logger:  options.Logger.WithField("part", "sched"),
		pool:    pool,
		vms:     vmwatch.New(options.VMList, vmListInterval, options.Logger),
		reports: newReportCache(options.Clock),
	}
	s.journal = journal.New(options.Log, func() int { return len(s.member.Members()) }, options.Logger)
	s.config = configwatch.New(configwatch.Options{
		Log:             options.Log,
		Clock:           options.Clock,
		Peer:            options.Peer,
		Members:         s.logReaders,
		FreshFor:        options.FreshFor,
		CheckpointEvery: options.CheckpointEvery,
		Logger:          options.Logger,
	})
	if options.Metrics != nil {
		s.config.Register(options.Metrics)
	}
	s.peer = &localPeer{Peer: options.Peer, address: options.Address, handler: s}
	e := env{reportCache: s.reports, sched: s}
	s.manager = host.NewManager(e, s.factories(options), options.Logger)
	s.member = membership.New(s.memberOptions(options))
	return s, nil
}

func (s *Sched) memberOptions(options Options) membership.Options {
	return membership.Options{
		ID:          options.ID,
		Address:     options.Address,
		Domain:      options.Domain,
		Log:         options.Log,
		Clock:       options.Clock,
		Peer:        s.peer,
		VMs:         s.listVMs,
		Wanted:      s.wantedPartitions,
		Lease:       options.Lease,
		RenewEvery:  options.RenewEvery,
		DriftMargin: options.DriftMargin,
		Acquired:    s.manager.Acquired,
		Lost:        s.manager.Lost,
		Drain:       s.manager.Drain,
		Logger:      options.Logger,
	}
}

func (s *Sched) factories(options Options) map[model.PartitionKind]host.Factory {
	return map[model.PartitionKind]host.Factory{
		model.KindSystem: func(id model.PartitionID, epoch model.Epoch, e host.Env) host.Partition {
			return newSystemPartition(id, epoch, e, s)
		},
		model.KindTeam: func(id model.PartitionID, epoch model.Epoch, e host.Env) host.Partition {
			return teamowner.New(id, epoch, e, teamowner.Options{
				Journal: s.journal,
				Pool:    s.pool,
				Logger:  options.Logger,
			})
		},
		model.KindRack: func(id model.PartitionID, epoch model.Epoch, e host.Env) host.Partition {
			return rackowner.New(id, epoch, e, rackowner.Options{
				Worker: options.Worker,
				Pool:   s.pool,
				Lease:  options.TaskLease,
				Policy: rack.Policy{Order: options.Policy},
				Logger: options.Logger,
			})
		},
		model.KindTargets: func(id model.PartitionID, epoch model.Epoch, e host.Env) host.Partition {
			return targetowner.New(id, epoch, e, targetowner.Options{
				Runner: options.Runner,
				Core:   targets.Options{Policy: options.Policy, TakeoverGrace: options.TargetTakeoverGrace},
				Logger: options.Logger,
			})
		},
	}
}

// Run runs the scheduler until the context is done. It returns an error if the
// process can no longer follow the log and must be restarted.
func (s *Sched) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.journal.Run(ctx) })
	group.Go(func() error { return s.config.Run(ctx) })
	group.Go(func() error { s.vms.Run(ctx); return nil })
	group.Go(func() error { s.reportSummaries(ctx); return nil })
	group.Go(func() error { return s.joinWhenReady(ctx) })
	err := group.Wait()
	s.manager.Stop(context.Background())
	s.pool.Release()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return Error.Wrap(err)
}

// joinWhenReady joins the cluster once the configuration, the VM list and the
// journal have been read completely, so that a new process does not claim
// partitions that it cannot serve.
func (s *Sched) joinWhenReady(ctx context.Context) error {
	if err := s.journal.WaitReady(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for !s.config.Ready() || !s.vmListReady() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	s.logger.Info("configuration, VM list and journal have been read; joining the cluster")
	return s.member.Run(ctx)
}

// listVMs returns the VM list as last read.
func (s *Sched) listVMs() []model.VM {
	vms, _ := s.vms.VMs()
	return vms
}

// vmListReady reports whether the VM list has been read.
func (s *Sched) vmListReady() bool {
	_, ok := s.vms.VMs()
	return ok
}

// readyCheckInterval is the time between checks whether the process can join.
const readyCheckInterval = 20 * time.Millisecond

// Ready reports whether the configuration, the journal and the membership are
// ready.
func (s *Sched) Ready() bool {
	return s.config.Ready() && s.journal.Ready() && s.member.Ready()
}

// HandOverPartitions hands over all partitions and leaves the cluster. It returns
// an error if the context is done first.
func (s *Sched) HandOverPartitions(ctx context.Context) error {
	return Error.Wrap(s.member.HandoverAll(ctx))
}

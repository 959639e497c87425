// Package node assembles and runs the parts of balsam-node on one VM: the callers'
// service, the replica of the cell's log, and the candidate for the cell's ownership.
package node

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
	"github.com/balsamhitch/balsamhitch/internal/adapter/peer"
	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/app/advice"
	"github.com/balsamhitch/balsamhitch/internal/app/dispatcher"
	"github.com/balsamhitch/balsamhitch/internal/app/election"
	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/app/probe"
	"github.com/balsamhitch/balsamhitch/internal/app/relay"
	"github.com/balsamhitch/balsamhitch/internal/app/relocation"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/app/stallwatch"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/platform"
)

const (
	// workerConnections is the largest number of connections to one worker: one for
	// polls, the others for orders.
	workerConnections = 12
	// idleWorkerConnections is the number of them that are kept open while unused.
	idleWorkerConnections = 3
	orderPoolSize         = 256 // goroutines kept for orders in flight
	// nonOwnerReadPause is the pause after a read of the cell's log on a node that is
	// not the owner; callers see a job's end that much later.
	nonOwnerReadPause = 100 * time.Millisecond
	ownerReadPause    = 4 * time.Millisecond
	policyReadPause   = 20 * time.Millisecond
	// announceInterval is how often a node checks that its address is on the log.
	announceInterval = 2 * time.Second
	// smallVMProcessors is the number of processors below which a VM waits for
	// smallVMDelay before a claim, so that larger VMs claim first.
	smallVMProcessors = 0.35
	smallVMDelay      = 200 * time.Millisecond
	// olderNodeDelay is how long a node waits before a claim after a planned stop if
	// at least undelayedNodes nodes started later. It is longer than the claim jitter
	// of package election.
	undelayedNodes = 2
	olderNodeDelay = 200 * time.Millisecond
	// memoryShare is the part of the VM's memory that is set as the Go
	// runtime's memory limit.
	memoryShare = 0.6
	// peerDialTimeout bounds the wait for a node that no longer runs; nodes of a cell
	// answer within milliseconds.
	peerDialTimeout = 200 * time.Millisecond
	// peerHandlers bounds the calls of other nodes that are served at once.
	peerHandlers = 64
)

// Run serves until the context ends, then shuts the node down gracefully. A signal on
// reload means that the settings file has changed; it is only logged, since a node's
// addresses and bounds stay the same until it is restarted.
func Run(ctx context.Context, settings platform.Settings, reload <-chan os.Signal, logger logrus.FieldLogger) error {
	debug.SetMemoryLimit(int64(settings.VM.MemoryMiB * memoryShare * (1 << 20)))
	n, err := build(settings, logger)
	if err != nil {
		return err
	}
	return n.run(ctx, reload)
}

type node struct {
	settings     platform.Settings
	logger       logrus.FieldLogger
	clock        port.Clock
	store        *platform.Store
	advisor      port.Advisor
	policy       *policy.Current
	replica      *replica.Replica
	cellTail     *logtail.Tail
	operatorTail *logtail.Tail
	owner        *dispatcher.Dispatcher
	service      *intake.Service
	doors        *platform.Doors
	ingress      *platform.Ingress
	peerClient   *peer.Client

	candidate *election.Candidate
	mover     *relocation.Mover
	self      replica.NodeInfo
	stopping  atomic.Bool
}

// workerLimits returns the bounds of the connections to workers.
func workerLimits(vm platform.VM) httpcall.Limits {
	return httpcall.Limits{
		PerHost: workerConnections, IdlePerHost: idleWorkerConnections, Idle: vm.IdleConnections(),
		Dials: vm.Dials(), DialsPerSecond: vm.DialsPerSecond(),
	}
}

func build(settings platform.Settings, logger logrus.FieldLogger) (*node, error) {
	n := &node{
		settings: settings, logger: logger, clock: sysclock.Clock{},
		advisor: platform.NewAdvisor(settings.PolicyAddress), policy: &policy.Current{},
	}
	n.self = replica.NodeInfo{Address: settings.PeerAddress, Started: time.UnixMilli(n.clock.Wall().UnixMilli()), Size: settings.VM.Size()}
	n.peerClient = peer.New(peer.Options{Streams: 1, DialTimeout: peerDialTimeout, Logger: logger})
	storeRelay := relay.New(relay.Options{Self: settings.Node, Peers: n.peerClient, Nodes: n.relayNodes, Refused: platform.CallRefused, Clock: n.clock, Logger: logger.WithField("part", "relay")})
	n.store = platform.NewStore(settings.StoreAddress, n.clock, storeRelay.Call)
	n.replica = replica.New(n.clock, logger.WithField("part", "replica"))
	n.cellTail = &logtail.Tail{
		Log: n.store, Clock: n.clock, Topic: replica.CellTopic, Follower: n.replica,
		Logger: logger.WithField("part", "replica"), ReadPause: n.cellReadPause,
	}
	n.operatorTail = &logtail.Tail{
		Log: n.store, Clock: n.clock, Topic: platform.OperatorTopic, Logger: logger.WithField("part", "policy"),
		Follower:  &platform.OperatorFollower{ActivePolicy: n.policy, Logger: logger.WithField("part", "policy")},
		ReadPause: func() time.Duration { return policyReadPause },
	}
	pool, err := ants.NewPool(orderPoolSize, ants.WithNonblocking(true)) // submitted to by the commit loop
	if err != nil {
		return nil, errs.Wrap(err)
	}
	advisors := &advice.Pool{Node: settings.Node, Local: n.advisor, Peers: n.peerClient, Addresses: n.replica.NodeAddresses, Clock: n.clock}
	n.owner = dispatcher.New(dispatcher.Options{
		Node: settings.Node, Log: n.store, Clock: n.clock, Replica: n.replica, Tail: n.cellTail, Policy: n.policy,
		Workers:   platform.NewWorkers(workerLimits(settings.VM)),
		Directory: &platform.Directory{Log: n.store, Clock: n.clock, Logger: logger.WithField("part", "directory")},
		Advice:    advisors, Advisors: advisors.Callers,
		Machines: platform.NewMachines(settings.MachinesAddress, n.store),
		Pool:     pool, Logger: logger.WithField("part", "dispatcher"),
		Engine: dispatch.Settings{
			StopTimeout:  settings.Bounds.Stop(),
			MaxReportAge: maxReportAge, TicketMargin: ticketMargin, Features: features(&settings),
			RemoteFactor: settings.Bounds.RemoteFactor,
		},
		Lease: min(settings.Bounds.LongestLease(), maxLease), EndRetention: settings.Bounds.JobEndRetention() + endRetentionMargin,
		Ease:           settings.Enabled(settings.Overload.Ease),
		UpkeepDuration: settings.Bounds.Upkeep(), MaxAppendBytes: settings.MaxAppendBytes(),
		Refuse: settings.Enabled(settings.Overload.Refuse),
	})
	n.service = intake.New(intake.Options{
		Policy: n.policy, Log: n.store, Replica: n.replica, Tail: n.cellTail, Clock: n.clock,
		Logger: logger.WithField("part", "intake"), Forward: n.forward, MaxAppendBytes: settings.MaxAppendBytes(),
	})
	n.candidate = &election.Candidate{
		Node: n.settings.Node, Peers: n, Handovers: make(chan uint64, 1), ClaimDelay: n.claimDelay,
		Log: n.store, Clock: n.clock, Replica: n.replica, Tail: n.cellTail, Owner: n.owner,
		Logger: n.logger.WithField("part", "tenure"), Stopping: n.stopping.Load, OwnerStopped: n.ownerStopped,
	}
	n.mover = &relocation.Mover{
		Node: settings.Node, Size: n.self.Size, Owner: n.owner, Replica: n.replica, Clock: n.clock, Stopping: n.stopping.Load,
		Ask: n.fitness, HandOver: n.candidate.HandOverTo, WasHandedOver: n.candidate.WasHandedOver,
		Logger: logger.WithField("part", "tenure"),
	}
	n.doors = platform.NewDoors(&n.settings, n.policy, logger.WithField("part", "doors"))
	n.ingress, err = platform.NewIngress(n.service, n.doors, settings.CallersAddress, settings.ReadinessAddress, logger.WithField("part", "ingress"))
	return n, err
}

// features returns the engine's decisions that the settings switch on.
func features(settings *platform.Settings) dispatch.Features {
	return dispatch.Features{
		OrderByNeed:   settings.Overload.Order != nil && *settings.Overload.Order, // off unless set
		Preempt:       settings.Enabled(settings.Overload.Preempt),
		LearnRunTimes: settings.Enabled(settings.Overload.Learn),
		Copies:        settings.Enabled(settings.Overload.Copies),
		NearWait:      settings.Enabled(settings.Overload.NearWait),
	}
}

const (
	// maxReportAge is how old a worker's last report may be for a start order.
	maxReportAge = 1800 * time.Millisecond
	// ticketMargin is the time that a start may take from the decision to the worker,
	// where the ticket must still be valid.
	ticketMargin = 250 * time.Millisecond
	// maxLease bounds the time until the tasks of a failed worker are run elsewhere;
	// it must be longer than a change of owner.
	maxLease           = 5 * time.Second
	endRetentionMargin = 30 * time.Second
)

// cellReadPause is short on the owner, which must see callers' records soon.
func (n *node) cellReadPause() time.Duration {
	if n.owner.Owning() {
		return ownerReadPause
	}
	return nonOwnerReadPause
}

func (n *node) run(ctx context.Context, reload <-chan os.Signal) error {
	if _, err := peer.Listen(n.settings.PeerAddress, n, peer.Options{MaxConcurrentCalls: peerHandlers, Limits: n.doors.PeerLimits(), Logger: n.logger}); err != nil {
		return err
	}
	n.logger.WithField("settings", n.settings).Info("node starting")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.cellTail.MaxWait = func() time.Duration {
		if n.candidate.OwnerOverdue() {
			return overdueReadWait
		}
		return usualReadWait
	}
	go n.operatorTail.Run(work)
	go n.cellTail.Run(work)
	go n.announce(work)
	go n.candidate.Run(work)
	go n.mover.Run(work)
	go stallwatch.Run(work, n.clock, n.logger.WithField("part", "process"))
	failed := make(chan error, 2)
	if n.settings.MetricsAddress != "" {
		probes, err := probe.NewProtected(n.settings.MetricsAddress, n.ingress.Ready, n.doors.ProtectMetrics, n.logger.WithField("part", "probe"))
		if err != nil {
			return err
		}
		go func() { failed <- probes.Run() }()
	}
	go func() { failed <- n.ingress.Run() }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			n.logger.Info("settings file changed; restart the node to apply it")
		case <-ctx.Done():
			n.shutDown()
			return nil
		}
	}
}

// claimDelay returns how long this node waits before a claim. Larger VMs claim first.
// After a planned stop, the nodes that started last also claim first, since a rolling
// restart reaches these last.
func (n *node) claimDelay() time.Duration {
	delay := time.Duration(0)
	if n.settings.VM.Processors() < smallVMProcessors {
		delay += smallVMDelay
	}
	if n.replica.Owner().Resigned && n.replica.CountNewerPeers(n.settings.Node) >= undelayedNodes {
		delay += olderNodeDelay
	}
	return delay
}

// shutDown hands the cell over and continues to serve open connections until callers
// have had the time to find other nodes.
func (n *node) shutDown() {
	n.stopping.Store(true)
	stop := shutdown{
		clock: n.clock, logger: n.logger, callers: n.ingress, refuseWrites: n.service.RefuseWrites,
		handOver: n.handOver, killAfter: n.settings.Bounds.Shutdown(),
	}
	stop.run()
}

// handOver makes another node the owner of the cell if this one owns it. It returns
// once this node does not own the cell, or when the context ends.
func (n *node) handOver(ctx context.Context) {
	if n.owner.Owning() {
		if err := n.candidate.HandOver(ctx, n.owner.Epoch(), n.owner.Owning); err != nil {
			n.logger.WithError(err).Warn("handing over the cell failed; resigning")
		}
	}
	n.owner.Resign()
	for n.owner.Owning() && ctx.Err() == nil {
		pause.Sleep(ctx, shutdownCheckInterval)
	}
}

// announced reports whether the replica has this node's address and start time.
func (n *node) announced() bool {
	info, _ := n.replica.NodeInfo(n.settings.Node)
	return info.Address == n.self.Address && info.Started.Equal(n.self.Started)
}

// announce writes the node's peer address to the cell's log whenever the replica
// lacks it.
func (n *node) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if n.cellTail.LastRead() != 0 && !n.announced() && !n.stopping.Load() {
			record, err := replica.NodeRecord(n.settings.Node, n.self)
			if err == nil {
				_, err = n.store.Append(ctx, replica.CellTopic, []port.KeyedRecord{record}, port.AppendOptions{})
			}
			if err != nil {
				n.logger.WithError(err).Info("announcing the node's address failed; retrying")
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

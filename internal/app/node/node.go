// Package node puts together what one VM runs: the callers' service, the copy
// of the cell's log, and the candidate for the cell's ownership.
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

	"github.com/balsamhitch/balsamhitch/internal/adapter/peer"
	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/app/advice"
	"github.com/balsamhitch/balsamhitch/internal/app/dispatcher"
	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/probe"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/app/tenure"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/platform"
)

const (
	// workerConnections is the most connections to one worker: one waits for
	// ends, the others carry orders.
	workerConnections = 12
	orderPool         = 256 // orders in flight
	// followerPace is the least time between two reads of a node that is not the
	// owner; callers see a job's end that much later.
	followerPace = 100 * time.Millisecond
	ownerPace    = 4 * time.Millisecond
	policyPace   = 20 * time.Millisecond
	// announceInterval is how often a node checks that its address is known.
	announceInterval = 2 * time.Second
	// lowShare is the processor share of a VM that lets the others claim first.
	lowShare      = 0.35
	lowShareDelay = 200 * time.Millisecond
	// youngFirst is the number of the youngest nodes that claim without elderDelay,
	// which is longer than the random part of a claim's delay.
	youngFirst = 2
	elderDelay = 200 * time.Millisecond
	// exitMargin is left between a node's exit and the platform's kill.
	exitMargin = 1500 * time.Millisecond
	// lingerTime is how long a leaving node takes calls on open connections.
	lingerTime = 4 * time.Second
	// memoryShare is the part of the VM's memory that the garbage collector
	// keeps the heap within.
	memoryShare = 0.6
	// peerDialTime bounds the wait for a node that is gone; nodes of a cell answer
	// within milliseconds.
	peerDialTime = 200 * time.Millisecond
	// peerHandlers bounds the calls of other nodes served at once.
	peerHandlers = 64
)

// Run serves until the context ends, then leaves in order. A signal on reload
// says that the settings file has changed; a node's addresses and bounds hold
// for its lifetime, so that it is only noted.
func Run(ctx context.Context, settings platform.Settings, reload <-chan os.Signal, logger logrus.FieldLogger) error {
	debug.SetMemoryLimit(int64(settings.VM.MemoryMiB * memoryShare * (1 << 20)))
	n, err := build(settings, logger)
	if err != nil {
		return err
	}
	return n.run(ctx, reload)
}

type node struct {
	settings platform.Settings
	logger   logrus.FieldLogger
	clock    port.Clock
	store    *platform.Store
	advisor  port.Advisor
	policy   *policy.Current
	replica  *replica.Replica
	cell     *logtail.Tail
	operator *logtail.Tail
	owner    *dispatcher.Dispatcher
	ingress  *platform.Ingress
	calls    *peer.Client

	candidate *tenure.Candidate
	self      replica.Member
	leaving   atomic.Bool
}

func build(settings platform.Settings, logger logrus.FieldLogger) (*node, error) {
	n := &node{
		settings: settings, logger: logger, clock: sysclock.Clock{},
		advisor: platform.NewAdvisor(settings.PolicyAddress), policy: &policy.Current{},
	}
	n.self = replica.Member{Address: settings.PeerAddress, Started: time.UnixMilli(n.clock.Wall().UnixMilli())}
	n.store = platform.NewStore(settings.StoreAddress, n.clock, n.relay)
	n.replica = replica.New(n.clock, logger.WithField("part", "replica"))
	n.cell = &logtail.Tail{
		Log: n.store, Clock: n.clock, Topic: replica.CellTopic, Follower: n.replica,
		Logger: logger.WithField("part", "replica"), ReadPause: n.cellPace,
	}
	n.operator = &logtail.Tail{
		Log: n.store, Clock: n.clock, Topic: platform.OperatorTopic, Logger: logger.WithField("part", "policy"),
		Follower:  &platform.OperatorFollower{Holder: n.policy, Logger: logger.WithField("part", "policy")},
		ReadPause: func() time.Duration { return policyPace },
	}
	pool, err := ants.NewPool(orderPool)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	n.calls = peer.New(peer.Options{Streams: 1, DialTimeout: peerDialTime, Logger: logger})
	n.owner = dispatcher.New(dispatcher.Options{
		Node: settings.Node, Log: n.store, Clock: n.clock, Replica: n.replica, Tail: n.cell, Policy: n.policy,
		Workers:   platform.NewWorkers(workerConnections),
		Directory: &platform.Directory{Log: n.store, Clock: n.clock, Logger: logger.WithField("part", "directory")},
		Advice:    &advice.Pool{Node: settings.Node, Local: n.advisor, Peers: n.calls, Members: n.replica.Members, Clock: n.clock},
		Machines:  platform.NewMachines(settings.MachinesAddress, n.store),
		Pool:      pool, Logger: logger.WithField("part", "dispatcher"),
		Engine: dispatch.Settings{
			StopTimeout:  settings.Bounds.Stop(),
			MaxReportAge: contactTime, TicketMargin: ticketMargin,
		},
		Lease: min(settings.Bounds.LongestLease(), longestLease), EndRetention: settings.Bounds.JobEndKept() + endsMargin,
		UpkeepDuration: settings.Bounds.Upkeep(),
	})
	service := intake.New(intake.Options{
		Policy: n.policy, Log: n.store, Replica: n.replica, Tail: n.cell, Clock: n.clock,
		Logger: logger.WithField("part", "intake"), Forward: n.forward,
	})
	n.candidate = &tenure.Candidate{
		Node: n.settings.Node, Peers: n, Handovers: make(chan uint64, 1), ClaimDelay: n.handicap,
		Log: n.store, Clock: n.clock, Replica: n.replica, Tail: n.cell, Owner: n.owner,
		Logger: n.logger.WithField("part", "tenure"), Stopping: n.leaving.Load, OwnerStopped: n.ownerGone,
	}
	n.ingress = platform.NewIngress(service, settings.CallersAddress, settings.ReadinessAddress)
	return n, nil
}

const (
	// contactTime is how old a worker's last word may be for a start.
	contactTime = 1800 * time.Millisecond
	// ticketMargin covers the time from a decision to the worker.
	ticketMargin = 250 * time.Millisecond
	// longestLease bounds the time until the work of a dead worker is done
	// elsewhere; it must outlast a change of owner.
	longestLease = 5 * time.Second
	endsMargin   = 30 * time.Second
)

func (n *node) cellPace() time.Duration {
	if n.owner.Owning() {
		return ownerPace
	}
	return followerPace
}

func (n *node) run(ctx context.Context, reload <-chan os.Signal) error {
	if _, err := peer.Listen(n.settings.PeerAddress, n, peer.Options{Handlers: peerHandlers, Logger: n.logger}); err != nil {
		return err
	}
	n.logger.WithField("settings", n.settings).Info("node starts")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.cell.MaxWait = func() time.Duration {
		if n.candidate.OwnerOverdue() {
			return quietPoll
		}
		return longestPoll
	}
	go n.operator.Run(work)
	go n.cell.Run(work)
	go n.announce(work)
	go n.candidate.Run(work)
	failed := make(chan error, 2)
	go func() { failed <- n.ingress.Run() }()
	if n.settings.MetricsAddress != "" {
		go func() { failed <- probe.New(n.settings.MetricsAddress, n.ingress.Ready).Run() }()
	}
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			n.logger.Info("settings file changed; nothing in it takes effect before the next start")
		case <-ctx.Done():
			n.leave()
			return nil
		}
	}
}

// handicap lets larger VMs claim first, and after a planned stop the nodes that
// have just started: a restart of all nodes in turn comes to them last.
func (n *node) handicap() time.Duration {
	delay := time.Duration(0)
	if n.settings.VM.Processors() < lowShare {
		delay += lowShareDelay
	}
	if n.replica.Owner().Resigned && n.replica.CountNewerPeers(n.settings.Node) >= youngFirst {
		delay += elderDelay
	}
	return delay
}

// leave hands the cell over and goes on serving open connections until callers
// have had the time to find other nodes.
func (n *node) leave() {
	began := n.clock.Now()
	n.leaving.Store(true)
	n.ingress.Drain()
	n.logger.Info("node leaves")
	if n.owner.Owning() {
		if err := n.candidate.HandOver(context.Background(), n.owner.Epoch(), n.owner.Owning); err != nil {
			n.logger.WithError(err).Warn("cell was not handed over")
		}
	}
	n.owner.Resign()
	for {
		elapsed := n.clock.Now() - began
		if elapsed > n.settings.Bounds.Shutdown()-exitMargin || elapsed > lingerTime && n.ingress.Idle() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	n.logger.Info("node stops")
}

func (n *node) announced() bool {
	member, _ := n.replica.Member(n.settings.Node)
	return member.Address == n.self.Address && member.Started.Equal(n.self.Started)
}

// announce keeps the node's peer address on the cell's log.
func (n *node) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if n.cell.LastRead() != 0 && !n.announced() && !n.leaving.Load() {
			record, err := replica.MemberRecord(n.settings.Node, n.self)
			if err == nil {
				_, err = n.store.Append(ctx, replica.CellTopic, []port.KeyedRecord{record}, port.AppendOptions{})
			}
			if err != nil {
				n.logger.WithError(err).Info("node's address was not announced, trying again")
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

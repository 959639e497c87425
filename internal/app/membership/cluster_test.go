package membership

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership/ownershiptest"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

var testDomains = []model.FailureDomain{"marrakech", "ouarzazate", "guelmim"}

// node is one process of a test cluster.
type node struct {
	*Member
	address string
	gate    *porttest.Gate
	log     *porttest.MemClient
	cancel  context.CancelFunc
	done    chan struct{}
	effects sync.WaitGroup

	mu       sync.Mutex
	inFlight map[model.PartitionID]int         // number of effects by partition
	drained  map[model.PartitionID]model.Epoch // epochs for which no more effects are sent
}

func (n *node) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	n.gate.Wait()
	response, _ := n.ServePeer(ctx, request)
	n.gate.Wait()
	return response
}

// begin counts a new effect in flight and reports true, unless the partition is
// drained.
func (n *node) begin(p model.PartitionID, e model.Epoch) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.drained[p] == e {
		return false
	}
	n.inFlight[p]++
	return true
}

func (n *node) end(p model.PartitionID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight[p]--
}

// drainEffects blocks new effects of the partition and waits until none is in
// flight.
func (n *node) drainEffects(ctx context.Context, p model.PartitionID, e model.Epoch) {
	for idle := false; ctx.Err() == nil && !idle; pause.Sleep(ctx, time.Millisecond) {
		n.mu.Lock()
		n.drained[p] = e
		idle = n.inFlight[p] == 0
		n.mu.Unlock()
	}
}

// cluster runs members on an in-memory log. It is used in a single synctest
// bubble.
type cluster struct {
	// requireNoError fails the test if a check returned an error. The simulation
	// replaces it with a function that records the first error.
	requireNoError func(error)

	log     *porttest.MemLog
	peers   *porttest.Peers
	checker *ownershiptest.Checker
	step    time.Duration // time between two checks
	outage  time.Duration // MaxOutage of new members; zero for the default

	mu              sync.Mutex
	vms             []model.VM
	wanted          []model.PartitionID
	effectViolation error // first violation by an effect

	nodes   []*node // running nodes
	started int
}

func newCluster(t interface {
	Helper()
	Errorf(string, ...any)
	FailNow()
}, racks int,
) *cluster {
	c := &cluster{
		log:     porttest.NewMemLog(),
		peers:   porttest.NewPeers(),
		checker: ownershiptest.NewChecker(),
		step:    7 * time.Millisecond,
		wanted:  []model.PartitionID{model.SystemPartition, model.TeamPartition("guild")},
	}
	c.requireNoError = func(err error) {
		t.Helper()
		require.NoError(t, err)
	}
	c.peers.SetDelay(time.Millisecond)
	for i := range racks {
		c.wanted = append(c.wanted, model.RackPartition(fmt.Sprint(i)))
	}
	return c
}

// start starts a new member at the address.
func (c *cluster) start(address string) *node {
	c.started++
	return c.startAs(model.MemberID(fmt.Sprintf("m%02d", c.started)), address)
}

func (c *cluster) startAs(id model.MemberID, address string) *node {
	gate := &porttest.Gate{}
	n := &node{
		address: address,
		gate:    gate,
		log:     c.log.Client(gate),
		done:    make(chan struct{}),

		inFlight: make(map[model.PartitionID]int),
		drained:  make(map[model.PartitionID]model.Epoch),
	}
	n.log.SetFaults(healthy)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	drift := int64(c.started%3-1) * 200
	n.Member = New(Options{
		ID:      id,
		Address: address,
		Domain:  testDomains[c.started%len(testDomains)],
		Log:     n.log,
		Clock:   porttest.NewClock(gate, time.Duration(c.started)*time.Hour, drift),
		Peer:    c.peers.Client(address, gate),
		VMs:     c.listVMs,

		MaxOutage: c.outage,
		Wanted:    c.want,
		Drain:     n.drainEffects,
		Logger:    logrus.NewEntry(logger),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	n.effects.Go(func() { c.effects(ctx, n) })
	c.peers.Attach(address, n)
	c.nodes = append(c.nodes, n)
	return n
}

var healthy = porttest.Faults{AppendDelay: 3 * time.Millisecond, ReadDelay: 2 * time.Millisecond}

// effects sends effects for each partition of the node until the context is done.
// Time passes between the check and the sending, and the target rejects effects
// that arrive after the deadline.
func (c *cluster) effects(ctx context.Context, n *node) {
	const every, delay, flight = 200 * time.Millisecond, 30 * time.Millisecond, time.Millisecond
	for ; ctx.Err() == nil; pause.Sleep(ctx, every) {
		for p, e := range n.published.Load().owned {
			until, ok := n.ActUntil(p, e)
			deadline := time.Now().Add(until - n.opt.Clock.Now())
			if !ok || !n.begin(p, e) {
				continue
			}
			n.effects.Go(func() {
				defer n.end(p)
				time.Sleep(delay)
				n.gate.Wait()
				time.Sleep(flight)
				if time.Now().Before(deadline) {
					c.acceptEffect(ownershiptest.Actor{Member: n.opt.ID, Partition: p, Epoch: e})
				}
			})
		}
	}
}

// acceptEffect records and checks an effect that a target accepted.
func (c *cluster) acceptEffect(a ownershiptest.Actor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checker.CheckEffect(time.Now(), a); err != nil && c.effectViolation == nil {
		c.effectViolation = err
	}
}

func (c *cluster) startMany(count int) {
	for i := range count {
		c.start(fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
}

// kill ends the process at once.
func (c *cluster) kill(n *node) {
	c.peers.Attach(n.address, nil)
	for i, other := range c.nodes {
		if other == n {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			break
		}
	}
	n.cancel()
	n.gate.Open()
	<-n.done
	n.effects.Wait()
}

func (c *cluster) stop() {
	for len(c.nodes) > 0 {
		c.kill(c.nodes[0])
	}
}

func (c *cluster) listVMs() []model.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

func (c *cluster) setVMs(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = nil
	for _, a := range addresses {
		c.vms = append(c.vms, model.VM{Role: model.RoleEntry, Address: a})
	}
}

func (c *cluster) want() []model.PartitionID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wanted
}

// dropLastWanted removes the last wanted partition.
func (c *cluster) dropLastWanted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = c.wanted[:len(c.wanted)-1]
}

// actors returns all members that may act now, by partition. A paused node does
// not act.
func (c *cluster) actors() []ownershiptest.Actor {
	var actors []ownershiptest.Actor
	for _, n := range c.nodes {
		if n.gate.Closed() {
			continue
		}
		for p, e := range n.published.Load().owned {
			if n.MayAct(p, e) {
				actors = append(actors, ownershiptest.Actor{Member: n.opt.ID, Partition: p, Epoch: e})
			}
		}
	}
	return actors
}

// run advances time by d and checks the invariants every step.
func (c *cluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(c.step, time.Until(end)))
		actors := c.actors()
		c.mu.Lock()
		err := errors.Join(c.effectViolation, c.checker.CheckInstant(time.Now(), actors))
		c.mu.Unlock()
		c.requireNoError(err)
	}
}

// checkServed returns an error that lists the partitions without an actor.
func (c *cluster) checkServed() error {
	return ownershiptest.CheckServed(time.Now(), c.want(), c.actors())
}

// settle runs until every partition is served and returns how long it took. It
// fails the test after the limit.
func (c *cluster) settle(limit time.Duration) time.Duration {
	begin := time.Now()
	for c.checkServed() != nil && time.Since(begin) < limit {
		c.run(10 * time.Millisecond)
	}
	c.requireNoError(c.checkServed())
	return time.Since(begin)
}

// epochs returns the epoch of each partition that a member may act for.
func (c *cluster) epochs() map[model.PartitionID]model.Epoch {
	epochs := make(map[model.PartitionID]model.Epoch)
	for _, a := range c.actors() {
		epochs[a.Partition] = a.Epoch
	}
	return epochs
}

// observe runs a new observer for d and returns it.
func (c *cluster) observe(d time.Duration) *Observer {
	ctx, cancel := context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	o := NewObserver(c.log, porttest.NewClock(nil, 0, 0), logrus.NewEntry(logger))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.Run(ctx)
	}()
	c.run(d)
	cancel()
	<-done
	return o
}

// loadsOf returns how many partitions of the kind each running member owns.
func (c *cluster) loadsOf(kind model.PartitionKind) map[model.MemberID]int {
	loads := make(map[model.MemberID]int)
	for _, n := range c.nodes {
		loads[n.opt.ID] = 0
		for p := range n.published.Load().owned {
			if p.Kind() == kind {
				loads[n.opt.ID]++
			}
		}
	}
	return loads
}

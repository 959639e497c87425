package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// action is one step of a randomly generated sequence of actions. Faults have a
// duration and may overlap.
type action struct {
	kind     string
	node     int // index into the addresses
	other    int
	duration time.Duration
	delay    time.Duration // until the next action
}

const (
	machineAddresses = 5
	machineStarted   = 4
	keptRecords      = 500 // records kept by a truncation; more than between two checkpoints
	healTime         = 2 * time.Minute
)

var actionKinds = []string{
	"kill", "freeze", "freeze", "exit", "start", "replace",
	"log down", "log down", "appends down", "slow appends", "slow reads", "late appends", "lost answers",
	"all down", "all down", "all but one down", "cut", "truncate", "vm gone",
}

func drawActions(t *rapid.T) []action {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:     rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			node:     rapid.IntRange(0, machineAddresses-1).Draw(t, "node"),
			other:    rapid.IntRange(0, machineAddresses-1).Draw(t, "other"),
			duration: time.Duration(rapid.IntRange(50, 9000).Draw(t, "lasts ms")) * time.Millisecond,
			delay:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "then ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 10).Draw(t, "actions")
}

// machine applies actions to a cluster.
type machine struct {
	*cluster
	replaced [machineAddresses]int // number of earlier VMs by address index; guarded by mu
}

// address returns the address of the current VM at the index; replacements get
// new addresses.
func (m *machine) address(index int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("10.0.%d.%d:7000", m.replaced[index], index+1)
}

func (m *machine) at(i int) *node {
	for _, n := range m.nodes {
		if n.address == m.address(i) {
			return n
		}
	}
	return nil
}

// fault injects faults into a node's log access for the duration.
func (m *machine) fault(n *node, f porttest.Faults, duration time.Duration) {
	n.log.SetFaults(f)
	time.AfterFunc(duration, func() { n.log.SetFaults(healthy) })
}

func (m *machine) do(a action) {
	n := m.at(a.node)
	switch a.kind {
	case "start":
		if n == nil {
			m.start(m.address(a.node))
		}
		return
	case "replace":
		if n != nil {
			m.kill(n)
		}
		m.start(m.address(a.node))
		return
	case "all down":
		for _, each := range m.nodes {
			m.fault(each, porttest.Faults{Down: true}, a.duration)
		}
		return
	case "all but one down":
		for _, each := range m.nodes {
			if each != n {
				m.fault(each, porttest.Faults{Down: true}, a.duration)
			}
		}
		return
	case "cut":
		m.peers.SetLinkDown(m.address(a.node), m.address(a.other), true)
		time.AfterFunc(a.duration, func() { m.peers.SetLinkDown(m.address(a.node), m.address(a.other), false) })
		return
	case "vm gone":
		if n != nil {
			m.kill(n)
		}
		m.mu.Lock()
		m.replaced[a.node]++
		m.mu.Unlock()
		time.AfterFunc(a.duration, func() { m.setVMs(m.addresses()...) }) // the VM list lags
		return
	case "truncate":
		if next := m.log.Next(ownership.Stream); next > keptRecords {
			m.log.Truncate(ownership.Stream, next-keptRecords)
		}
		return
	}
	if n != nil {
		m.doNode(n, a)
	}
}

func (m *machine) doNode(n *node, a action) {
	switch a.kind {
	case "kill":
		m.kill(n)
	case "freeze":
		n.gate.Close()
		time.AfterFunc(a.duration, n.gate.Open)
	case "exit":
		ctx, cancel := context.WithTimeout(context.Background(), a.duration)
		_ = n.HandoverAll(ctx)
		cancel()
		m.kill(n)
	case "log down":
		m.fault(n, porttest.Faults{Down: true}, a.duration)
	case "appends down":
		m.fault(n, porttest.Faults{FailAppends: true}, a.duration)
	case "slow appends":
		m.fault(n, porttest.Faults{AppendDelay: a.duration / 4}, a.duration)
	case "slow reads":
		m.fault(n, porttest.Faults{ReadDelay: a.duration / 4}, a.duration)
	case "late appends":
		m.fault(n, porttest.Faults{DeferAppends: a.duration}, a.duration)
	case "lost answers":
		m.fault(n, porttest.Faults{LoseAnswers: true}, a.duration)
	}
}

// runActions runs the actions and returns the first violation.
func runActions(t *testing.T, actions []action) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		m := &machine{cluster: newCluster(t, 4)}
		m.step = 19 * time.Millisecond
		m.fail = func(err error) {
			if failure == nil {
				failure = err
			}
		}
		defer m.stop()
		for i := range machineStarted {
			m.start(m.address(i))
		}
		m.setVMs(m.addresses()...)
		m.run(3 * time.Second)
		for _, a := range actions {
			m.do(a)
			m.run(a.delay)
			if failure != nil {
				return
			}
		}
		m.heal()
	})
	return failure
}

// heal waits for the faults to end, restarts ended processes as a VM's supervisor
// does and then requires every partition to be served.
func (m *machine) heal() {
	m.run(10 * time.Second)
	m.setVMs(m.addresses()...)
	for i := range machineAddresses {
		if m.at(i) == nil {
			m.start(m.address(i))
		}
	}
	for end := time.Now().Add(healTime); time.Now().Before(end) && m.served() != nil; {
		m.run(200 * time.Millisecond)
	}
	m.fail(m.served())
	m.run(time.Second)
}

// addresses returns the addresses of all VMs, including those whose process has
// ended.
func (m *machine) addresses() []string {
	var all []string
	for i := range machineAddresses {
		all = append(all, m.address(i))
	}
	return all
}

func TestAtMostOneOwnerActsAndNoPartitionIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runActions(t, drawActions(rt)); err != nil {
			rt.Fatal(err)
		}
	})
}

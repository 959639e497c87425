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
	addressCount = 5
	initialNodes = 4
	keptRecords  = 500 // records kept by a truncation; more than between two checkpoints
	healTime     = 2 * time.Minute
)

var actionKinds = []string{
	"kill", "freeze", "freeze", "exit", "start", "replace",
	"log down", "log down", "appends down", "slow appends", "slow reads", "late appends", "lost answers",
	"all down", "all down", "all but one down", "link down", "truncate", "vm gone",
}

func drawActions(t *rapid.T) []action {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:     rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			node:     rapid.IntRange(0, addressCount-1).Draw(t, "node"),
			other:    rapid.IntRange(0, addressCount-1).Draw(t, "other"),
			duration: time.Duration(rapid.IntRange(50, 9000).Draw(t, "lasts ms")) * time.Millisecond,
			delay:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "then ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 10).Draw(t, "actions")
}

// simulation applies actions to a cluster.
type simulation struct {
	*cluster
	replaced [addressCount]int // number of earlier VMs by address index; guarded by mu
}

// address returns the address of the current VM at the index; replacements get
// new addresses.
func (s *simulation) address(index int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("10.0.%d.%d:7000", s.replaced[index], index+1)
}

// nodeAt returns the running node of the VM at the index, or nil if there is none.
func (s *simulation) nodeAt(i int) *node {
	for _, n := range s.nodes {
		if n.address == s.address(i) {
			return n
		}
	}
	return nil
}

// fault injects faults into a node's log access for the duration.
func (s *simulation) fault(n *node, f porttest.Faults, duration time.Duration) {
	n.log.SetFaults(f)
	time.AfterFunc(duration, func() { n.log.SetFaults(healthy) })
}

func (s *simulation) do(a action) {
	n := s.nodeAt(a.node)
	switch a.kind {
	case "start":
		if n == nil {
			s.start(s.address(a.node))
		}
		return
	case "replace":
		if n != nil {
			s.kill(n)
		}
		s.start(s.address(a.node))
		return
	case "all down":
		for _, each := range s.nodes {
			s.fault(each, porttest.Faults{Down: true}, a.duration)
		}
		return
	case "all but one down":
		for _, each := range s.nodes {
			if each != n {
				s.fault(each, porttest.Faults{Down: true}, a.duration)
			}
		}
		return
	case "link down":
		s.peers.SetLinkDown(s.address(a.node), s.address(a.other), true)
		time.AfterFunc(a.duration, func() { s.peers.SetLinkDown(s.address(a.node), s.address(a.other), false) })
		return
	case "vm gone":
		if n != nil {
			s.kill(n)
		}
		s.mu.Lock()
		s.replaced[a.node]++
		s.mu.Unlock()
		time.AfterFunc(a.duration, func() { s.setVMs(s.addresses()...) }) // the VM list lags
		return
	case "truncate":
		if next := s.log.Next(ownership.Stream); next > keptRecords {
			s.log.Truncate(ownership.Stream, next-keptRecords)
		}
		return
	}
	if n != nil {
		s.doNode(n, a)
	}
}

func (s *simulation) doNode(n *node, a action) {
	switch a.kind {
	case "kill":
		s.kill(n)
	case "freeze":
		n.gate.Close()
		time.AfterFunc(a.duration, n.gate.Open)
	case "exit":
		ctx, cancel := context.WithTimeout(context.Background(), a.duration)
		_ = n.HandoverAll(ctx)
		cancel()
		s.kill(n)
	case "log down":
		s.fault(n, porttest.Faults{Down: true}, a.duration)
	case "appends down":
		s.fault(n, porttest.Faults{FailAppends: true}, a.duration)
	case "slow appends":
		s.fault(n, porttest.Faults{AppendDelay: a.duration / 4}, a.duration)
	case "slow reads":
		s.fault(n, porttest.Faults{ReadDelay: a.duration / 4}, a.duration)
	case "late appends":
		s.fault(n, porttest.Faults{DeferAppends: a.duration}, a.duration)
	case "lost answers":
		s.fault(n, porttest.Faults{LoseAnswers: true}, a.duration)
	}
}

// runActions runs the actions and returns the first violation.
func runActions(t *testing.T, actions []action) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{cluster: newCluster(t, 4)}
		s.step = 19 * time.Millisecond
		s.requireNoError = func(err error) {
			if failure == nil {
				failure = err
			}
		}
		defer s.stop()
		for i := range initialNodes {
			s.start(s.address(i))
		}
		s.setVMs(s.addresses()...)
		s.run(3 * time.Second)
		for _, a := range actions {
			s.do(a)
			s.run(a.delay)
			if failure != nil {
				return
			}
		}
		s.heal()
	})
	return failure
}

// heal waits for the faults to end, restarts ended processes as a VM's supervisor
// does and then requires every partition to be served.
func (s *simulation) heal() {
	s.run(10 * time.Second)
	s.setVMs(s.addresses()...)
	for i := range addressCount {
		if s.nodeAt(i) == nil {
			s.start(s.address(i))
		}
	}
	for end := time.Now().Add(healTime); time.Now().Before(end) && s.checkServed() != nil; {
		s.run(200 * time.Millisecond)
	}
	s.requireNoError(s.checkServed())
	s.run(time.Second)
}

// addresses returns the addresses of all VMs, including those whose process has
// ended.
func (s *simulation) addresses() []string {
	var all []string
	for i := range addressCount {
		all = append(all, s.address(i))
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

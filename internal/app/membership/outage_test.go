package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

var down = porttest.Faults{Down: true}

// outage starts members and cuts off the log for all but those with the given
// indexes.
func outage(t *testing.T, members int, connected ...int) *cluster {
	c := newCluster(t, 4)
	c.startMany(members)
	c.run(5 * time.Second)
	c.requireNoError(c.checkServed())
	for _, n := range c.nodes {
		n.log.SetFaults(down)
	}
	for _, i := range connected {
		c.nodes[i].log.SetFaults(healthy)
	}
	return c
}

// runServed advances time by d and requires every partition to be served
// throughout.
func (c *cluster) runServed(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.run(100 * time.Millisecond)
		c.requireNoError(c.checkServed())
	}
}

func TestServiceContinuesDuringTenMinuteLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := outage(t, 5)
		defer c.stop()
		before := c.log.Next(ownership.Stream)
		c.step = 50 * time.Millisecond
		c.runServed(10 * time.Minute)
		assert.Equal(t, before, c.log.Next(ownership.Stream))
		for _, n := range c.nodes {
			n.log.SetFaults(healthy)
		}
		c.runServed(30 * time.Second)
	})
}

func TestServiceContinuesWithSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stop()
		c.startMany(4)
		c.run(5 * time.Second)
		for _, n := range c.nodes {
			n.log.SetFaults(porttest.Faults{AppendDelay: time.Second, ReadDelay: time.Second})
		}
		c.runServed(time.Minute)
		for _, n := range c.nodes {
			n.log.SetFaults(healthy)
		}
		c.runServed(10 * time.Second)
	})
}

func TestMemberCutOffFromLogKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := outage(t, 4, 0, 1, 2)
		defer c.stop()
		c.runServed(time.Minute)
		c.nodes[3].log.SetFaults(healthy)
		c.runServed(10 * time.Second)
	})
}

func TestMemberCutOffFromLogAndOnePeerStopsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := outage(t, 4, 0, 1, 2)
		defer c.stop()
		c.runServed(5 * time.Second)
		cutOff := c.nodes[3]
		c.peers.SetLinkDown(c.nodes[0].address, cutOff.address, true)
		c.run(promiseEvery + DefaultPromiseTerm + DefaultDriftMargin + takeoverLimit)
		c.requireNoError(c.checkServed())
		assert.False(t, cutOff.Ready(), "the others have taken over")
	})
}

func TestPausedPeerInterruptsServiceDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := outage(t, 4)
		defer c.stop()
		c.runServed(10 * time.Second)
		paused := c.nodes[1]
		paused.gate.Close()
		c.run(2 * DefaultPromiseTerm)
		assert.Error(t, c.checkServed(), "promises have run out")
		paused.gate.Open()
		c.run(2 * time.Second)
		c.runServed(10 * time.Second)
	})
}

func TestEndedMemberDoesNotStopOthersDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := outage(t, 4)
		defer c.stop()
		var all []string
		for _, n := range c.nodes {
			all = append(all, n.address)
		}
		c.setVMs(all...)
		c.run(10 * time.Second)
		c.kill(c.nodes[3])
		c.setVMs(all[:3]...)
		c.run(20 * time.Second)
		for _, n := range c.nodes {
			assert.True(t, n.Ready(), n.opt.ID)
		}
	})
}

func TestPromisesEndAfterMaxOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxOutage = time.Minute
		c := newCluster(t, 2)
		defer c.stop()
		c.outage = maxOutage
		c.startMany(2)
		c.run(5 * time.Second)
		for _, n := range c.nodes {
			n.log.SetFaults(down)
		}
		c.runServed(maxOutage)
		c.run(DefaultPromiseTerm + time.Second)
		assert.Empty(t, c.actors())
	})
}

func TestJoinerClaimsNothingDuringLogOutageOfOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := outage(t, 3) // the owners promise each other
		defer c.stop()
		c.runServed(5 * time.Second)
		joiner := c.start("10.0.0.9:7000")
		c.runServed(30 * time.Second)
		assert.Empty(t, joiner.published.Load().owned)
	})
}

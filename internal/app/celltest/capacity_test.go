package celltest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// fullCapacity is what the fake workers offer at their start.
var fullCapacity = model.Resources{MilliCPU: 8000, MemoryMiB: 8000}

// Jobs wait for room while all workers run more than they offer, and a new owner starts
// from that view.
func TestNothingStartsOnShrunkWorkersAcrossTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, 2)
		time.Sleep(3 * time.Second)
		spec := smallSpec()
		spec.Steps[0].Tasks = 32 // all places of both workers
		c.submit(0, spec, 12*time.Second)
		time.Sleep(time.Second)
		require.Equal(t, 32, c.activeRuns(c.jobs[0]))
		for i := range 2 {
			c.fleet.setCapacity(workerID(i), model.Resources{MilliCPU: 2000, MemoryMiB: 8000})
		}
		c.submit(1, smallSpec(), time.Second)
		time.Sleep(5 * time.Second)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		c.kill(owner)
		time.Sleep(4 * time.Second)
		assert.Zero(t, c.activeRuns(c.jobs[1]))
		c.restart(owner)
		time.Sleep(10 * time.Second)
		c.submit(2, spec, 2*time.Second)
		time.Sleep(time.Second)
		assert.Equal(t, 8, c.activeRuns(c.jobs[2]), "the shrunk workers have room for eight")
		for i := range 2 {
			c.fleet.setCapacity(workerID(i), fullCapacity)
		}
		time.Sleep(time.Second)
		assert.Equal(t, 32, c.activeRuns(c.jobs[2]), "the capacity has grown back")
		time.Sleep(10 * time.Second)
		c.check()
		c.close()
	})
}

package celltest

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
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

// The log takes appends, but the worker list can't be read.
func TestNothingIsPlacedOnStaleWorkerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		c.setFleet(func(f *fleet) { f.listFrozen = true })
		for i := range cellWorkers {
			c.fleet.setCapacity(workerID(i), model.Resources{MilliCPU: 1000, MemoryMiB: 8000})
		}
		for i := range 80 {
			c.submit(i, smallSpec(), 5*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		c.setFleet(func(f *fleet) { f.listFrozen = false })
		time.Sleep(60 * time.Second)
		c.check()
		c.close()
	})
}

// A decision waits for the log while the workers shrink.
func TestStartDecidedBeforeOutageIsNotSentToShrunkWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		c.setLog(func(l *memLog) { l.down = true })
		spec := smallSpec()
		spec.Steps[0].Size.MilliCPU = 6000
		spec.Queue, spec.Payload = cellQueue, "p"
		id := c.registerJob(0, spec, time.Second)
		go c.submitAt(owner, id, spec)
		time.Sleep(500 * time.Millisecond)
		for i := range cellWorkers {
			c.fleet.setCapacity(workerID(i), model.Resources{MilliCPU: 4000, MemoryMiB: 8000})
		}
		time.Sleep(5 * time.Second)
		c.setLog(func(l *memLog) { l.down = false })
		time.Sleep(5 * time.Second)
		assert.Zero(t, c.startsOf(id))
		require.True(t, c.submitAt(owner, id, spec), "a caller that got no answer retries")
		c.jobs = append(c.jobs, id)
		for i := range cellWorkers {
			c.fleet.setCapacity(workerID(i), fullCapacity)
		}
		time.Sleep(5 * time.Second)
		c.check()
		assert.Equal(t, dispatch.Completed, c.stateOf(id))
		c.close()
	})
}

// runCapacityScenario submits jobs during random faults while the workers' capacity
// shrinks and grows.
func runCapacityScenario(t *testing.T, seed uint64) {
	c := newCell(t, seed, 3, cellWorkers)
	time.Sleep(3 * time.Second)
	done := c.beginRandomFaults(seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	for i := range 50 {
		spec, runTime := c.randomSpec()
		c.submit(i, spec, runTime)
		share := int64(1 + rng.IntN(8)) // eighths
		c.fleet.setCapacity(workerID(rng.IntN(cellWorkers)), model.Resources{
			MilliCPU: fullCapacity.MilliCPU * share / 8, MemoryMiB: fullCapacity.MemoryMiB * share / 8,
		})
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	<-done
	for i := range cellWorkers {
		c.fleet.setCapacity(workerID(i), fullCapacity)
	}
	time.Sleep(120 * time.Second)
	c.check()
	c.close()
}

const capacityScenarios = 24

func TestRandomFaultsWithChangingCapacity(t *testing.T) {
	runSeeds(t, capacityScenarios, nil, runCapacityScenario)
}

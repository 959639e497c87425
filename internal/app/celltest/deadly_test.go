package celltest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// submitDeadly submits a job whose first task crashes each worker that starts it.
func (c *cell) submitDeadly(number int, spec dispatch.JobSpec, runTime time.Duration) model.JobID {
	c.deadly[number] = true
	c.submit(number, spec, runTime)
	return c.jobs[len(c.jobs)-1]
}

// startsOf returns how often the job's first task has started.
func (c *cell) startsOf(id model.JobID) int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.jobs[id].starts[dispatch.TaskName{Job: id}]
}

// crashesOf returns how many workers have crashed while the job's first task ran there.
func (c *cell) crashesOf(id model.JobID) int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.jobs[id].crashes[dispatch.TaskName{Job: id}]
}

// awaitStarts waits until the job's first task has started the given number of times.
func (c *cell) awaitStarts(id model.JobID, count int) {
	for range 3000 {
		if c.startsOf(id) >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(c.t, "the deadly task does not start", "start %d of job %s", count, id)
}

// checkSoundJobsCompleted fails the test unless all jobs without deadly tasks completed.
func (c *cell) checkSoundJobsCompleted() {
	for _, id := range c.jobs {
		c.fleet.mu.Lock()
		deadly := len(c.fleet.jobs[id].deadly) > 0
		c.fleet.mu.Unlock()
		if !deadly {
			assert.Equal(c.t, dispatch.Completed, c.stateOf(id), id)
		}
	}
}

func (c *cell) stateOf(id model.JobID) dispatch.JobState {
	state, _ := c.node(0).service.State(id)
	return state
}

func TestDeadlyTaskIsGivenUpAfterThreeWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		for i := range 10 {
			c.submit(i, smallSpec(), time.Second)
		}
		id := c.submitDeadly(10, smallSpec(), time.Second)
		for i := 11; i < 40; i++ {
			c.submit(i, smallSpec(), time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, dispatch.Failed, c.stateOf(id))
		assert.Equal(t, crashLimit, c.startsOf(id))
		c.checkSoundJobsCompleted()
		c.check()
		c.close()
	})
}

// runSeveralDeadly submits 80 jobs, a tenth of them deadly, to a cell of 12 workers and
// returns the deadly ones.
func runSeveralDeadly(c *cell) []model.JobID {
	time.Sleep(3 * time.Second)
	var deadly []model.JobID
	for i := range 80 {
		spec, runTime := c.randomSpec()
		if i%10 == 3 {
			deadly = append(deadly, c.submitDeadly(i, spec, runTime))
		} else {
			c.submit(i, spec, runTime)
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(60 * time.Second)
	total := 0
	for _, id := range deadly {
		total += c.crashesOf(id)
		assert.Equal(c.t, dispatch.Failed, c.stateOf(id), id)
	}
	c.t.Logf("%d deadly jobs crashed %d workers", len(deadly), total)
	return deadly
}

func TestSeveralDeadlyJobsAmongSoundOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, 12)
		for _, id := range runSeveralDeadly(c) {
			assert.LessOrEqual(t, c.crashesOf(id), crashLimit, id)
		}
		c.check()
		c.close()
	})
}

func TestSeveralDeadlyJobsThatCrashWorkersBeforeTheirAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, 12)
		c.fleet.silentCrashes = 0.3
		runSeveralDeadly(c)
		c.check()
		c.close()
	})
}

func TestCrashesCountAcrossOwnersKilledAfterTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		id := c.submitDeadly(0, smallSpec(), time.Second)
		for start := 1; start <= crashLimit && !c.stateOf(id).Ended(); start++ {
			c.awaitStarts(id, start)
			owner := c.ownerIndex()
			require.GreaterOrEqual(t, owner, 0)
			c.kill(owner)
			time.Sleep(4 * time.Second)
			c.restart(owner)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, dispatch.Failed, c.stateOf(id))
		assert.LessOrEqual(t, c.crashesOf(id), crashLimit)
		c.checkSoundJobsCompleted()
		c.check()
		c.close()
	})
}

func TestCrashesCountAfterAllNodesLosePower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		id := c.submitDeadly(0, smallSpec(), time.Second)
		for start := 1; start < crashLimit && !c.stateOf(id).Ended(); start++ {
			c.awaitStarts(id, start)
			time.Sleep(100 * time.Millisecond)
			for i := range c.nodes {
				c.kill(i)
			}
			time.Sleep(5 * time.Second)
			for i := range c.nodes {
				c.restart(i)
			}
			time.Sleep(5 * time.Second)
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, dispatch.Failed, c.stateOf(id))
		assert.LessOrEqual(t, c.crashesOf(id), crashLimit)
		c.checkSoundJobsCompleted()
		c.check()
		c.close()
	})
}

func TestDeadlyTaskIsGivenUpWhenWorkersReturnUnderOtherIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		c.fleet.newIDs = true
		time.Sleep(3 * time.Second)
		id := c.submitDeadly(0, smallSpec(), time.Second)
		time.Sleep(90 * time.Second)
		assert.Equal(t, dispatch.Failed, c.stateOf(id))
		assert.Less(t, c.startsOf(id), crashLimit+startsAfterCrashLimit)
		c.check()
		c.close()
	})
}

func TestDeadlyOrdersExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		c.setFleet(func(f *fleet) { f.lateProbability, f.silentCrashes = 0.3, 0.5 })
		var deadly []model.JobID
		for i := range 20 {
			if i%5 == 0 {
				deadly = append(deadly, c.submitDeadly(i, smallSpec(), time.Second))
			} else {
				c.submit(i, smallSpec(), time.Second)
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(90 * time.Second)
		for _, id := range deadly {
			assert.Equal(t, dispatch.Failed, c.stateOf(id), id)
		}
		c.check()
		c.close()
	})
}

// runDeadlyScenario submits deadly and sound jobs during random faults.
func runDeadlyScenario(t *testing.T, seed uint64) {
	c := newCell(t, seed, 3, cellWorkers)
	c.fleet.silentCrashes = 0.3
	time.Sleep(3 * time.Second)
	done := c.beginRandomFaults(seed)
	for i := range 40 {
		spec, runTime := c.randomSpec()
		c.deadly[i] = i%13 == 5
		c.submit(i, spec, runTime)
		time.Sleep(time.Duration(c.rng.IntN(700)) * time.Millisecond)
	}
	<-done
	time.Sleep(120 * time.Second)
	c.check()
	c.close()
}

const deadlyScenarios = 24

func TestRandomFaultsWithDeadlyTasks(t *testing.T) {
	runSeeds(t, deadlyScenarios, nil, runDeadlyScenario)
}

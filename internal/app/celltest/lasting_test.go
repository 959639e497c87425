package celltest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// lastingRunTime is longer than any scenario, so that only faults and orders end a run.
const lastingRunTime = time.Hour

// lastingSpec returns a job whose tasks run until it is cancelled.
func lastingSpec(tasks int) dispatch.JobSpec {
	spec := smallSpec()
	spec.Steps[0].Tasks, spec.Steps[0].LongRunning = tasks, true
	return spec
}

// activeRuns returns the number of the job's active runs on all workers.
func (c *cell) activeRuns(id model.JobID) int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	count := 0
	for _, w := range c.fleet.workers {
		for name := range w.running {
			if name.Job == id {
				count++
			}
		}
	}
	return count
}

// All nodes lose power. The next owner reads the job's cancellation before it has a
// worker list.
func TestNewOwnerStopsRunsOfJobCancelledWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		c.submit(0, lastingSpec(4), lastingRunTime)
		time.Sleep(2 * time.Second)
		id := c.jobs[0]
		require.Equal(t, 4, c.activeRuns(id))
		for i := range c.nodes {
			c.kill(i)
		}
		record, err := replica.CancellationRecord(id, time.Now())
		require.NoError(t, err)
		_, err = c.log.Append(context.Background(), replica.CellTopic, []port.KeyedRecord{record}, port.AppendOptions{})
		require.NoError(t, err)
		c.setFleet(func(f *fleet) { f.listDelay = 300 * time.Millisecond })
		for i := range c.nodes {
			c.restart(i)
		}
		time.Sleep(3 * time.Second) // a claim, a worker list and a stop
		assert.Zero(t, c.activeRuns(id), "the leases have not expired, so the owner must stop the runs")
		time.Sleep(4 * time.Second)
		assert.Zero(t, c.activeRuns(id))
		c.close()
	})
}

func TestJobCancelledBeforeItsSubmissionNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, cellWorkers)
		time.Sleep(3 * time.Second)
		spec := lastingSpec(2)
		spec.Queue = cellQueue
		id := c.registerJob(0, spec, lastingRunTime)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.Equal(t, intake.Done, c.node(0).service.Cancel(ctx, id, "b"))
		time.Sleep(time.Second)
		require.True(t, c.submitAt(1, id, spec))
		time.Sleep(3 * time.Second)
		c.fleet.mu.Lock()
		firstStart := c.fleet.jobs[id].firstStart
		c.fleet.mu.Unlock()
		assert.True(t, firstStart.IsZero(), "a task has started")
		state, _ := c.node(2).service.State(id)
		assert.Equal(t, dispatch.Cancelled, state)
		c.close()
	})
}

// givenUp reports whether the job is shown as failed and may be.
func (c *cell) givenUp(id model.JobID) bool {
	failed := c.stateOf(id) == dispatch.Failed
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return failed && c.fleet.jobs[id].mayFail()
}

// runLastingScenario submits jobs with long-running tasks and cancels some of them
// during random faults. Once the faults are over, exactly the tasks of the other jobs
// run, except those under which as many workers have crashed as a job is given up for.
func runLastingScenario(t *testing.T, seed uint64) {
	c := newCell(t, seed, 3, cellWorkers)
	time.Sleep(3 * time.Second)
	done := c.beginRandomFaults(seed)
	rng := rand.New(rand.NewPCG(seed, 4))
	cancelled := map[model.JobID]bool{}
	for i := range 16 {
		c.submit(i, lastingSpec(1+rng.IntN(4)), lastingRunTime)
		if rng.IntN(2) == 0 && len(c.jobs) > 0 {
			id := c.jobs[rng.IntN(len(c.jobs))]
			c.cancel(id)
			c.fleet.mu.Lock()
			cancelled[id] = !c.fleet.jobs[id].cancelled.IsZero()
			c.fleet.mu.Unlock()
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	<-done
	time.Sleep(30 * time.Second) // until late orders have been executed
	for range 3 {
		for _, id := range c.jobs {
			want := 0
			if !cancelled[id] && !c.givenUp(id) {
				c.fleet.mu.Lock()
				want = c.fleet.jobs[id].spec.Steps[0].Tasks
				c.fleet.mu.Unlock()
			}
			assert.Equal(t, want, c.activeRuns(id), fmt.Sprintf("active runs of job %s, cancelled: %t", id, cancelled[id]))
		}
		time.Sleep(10 * time.Second)
	}
	for _, violation := range c.fleet.violations {
		t.Error(violation)
	}
	c.close()
}

const lastingScenarios = 12

func TestRandomFaultsWithLongRunningTasks(t *testing.T) {
	runSeeds(t, lastingScenarios, []uint64{
		14020871069811560003, // two workers crashed under a sound task and its job was given up
	}, runLastingScenario)
}

package jobtest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
)

const (
	rack0 = model.PartitionID("rack/r0")
	rack1 = model.PartitionID("rack/r1")
)

var teamPartition = model.TeamPartition(testTeam)

// run runs the body on a fresh cell in virtual time and judges its history.
func run(t *testing.T, body func(c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		defer c.stop()
		time.Sleep(time.Second)
		body(c)
		c.judge()
	})
}

func batch(tasks int, runTime time.Duration) model.Job {
	return model.Job{
		Kind:        model.WorkBatch,
		Tasks:       tasks,
		Size:        model.Resources{MilliCPU: 1000, MemoryMiB: 256},
		ExpectedRun: runTime,
	}
}

func TestBatchJobCompletesWithinTheUpperLimit(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(30, 200*time.Millisecond))
		c.await(id, team.JobDone, 10*time.Second)
		assert.Equal(t, 30, c.starts(id))
	})
}

func TestGangStartsTogether(t *testing.T) {
	run(t, func(c *cell) {
		job := batch(6, 300*time.Millisecond)
		job.Kind = model.WorkGang
		id := c.submit(job)
		c.await(id, team.JobDone, 10*time.Second)
		assert.Equal(t, 6, c.starts(id))
	})
}

func TestTeamOwnerIsKilledWhileTasksRun(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(20, 500*time.Millisecond))
		time.Sleep(300 * time.Millisecond)
		c.kill(teamPartition)
		time.Sleep(2 * time.Second)
		c.take(teamPartition)
		c.await(id, team.JobDone, 20*time.Second)
		assert.Equal(t, 20, c.starts(id), "running tasks are adopted, not repeated")
	})
}

func TestRackOwnerIsKilledWhileTasksRun(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(20, 3*time.Second))
		time.Sleep(300 * time.Millisecond)
		c.kill(rack0)
		time.Sleep(2 * time.Second)
		c.take(rack0)
		c.await(id, team.JobDone, 60*time.Second)
		assert.Equal(t, 20, c.starts(id), "running tasks are adopted, not repeated")
	})
}

func TestTeamAndRackOwnersAreKilledAtOnce(t *testing.T) {
	run(t, func(c *cell) {
		job := batch(12, 2*time.Second)
		job.NonIdempotent = true
		id := c.submit(job)
		time.Sleep(300 * time.Millisecond)
		for _, partition := range []model.PartitionID{teamPartition, rack0, rack1} {
			c.kill(partition)
		}
		time.Sleep(2 * time.Second)
		for _, partition := range []model.PartitionID{teamPartition, rack0, rack1} {
			c.take(partition)
		}
		c.await(id, team.JobDone, 60*time.Second)
		assert.Equal(t, 12, c.starts(id))
	})
}

func TestLostStartAnswersDoNotStartTwice(t *testing.T) {
	run(t, func(c *cell) {
		c.mu.Lock()
		c.loseNext = 4
		c.mu.Unlock()
		id := c.submit(batch(10, 500*time.Millisecond))
		c.await(id, team.JobDone, 20*time.Second)
		assert.Equal(t, 10, c.starts(id))
	})
}

func TestUnresponsiveWorkerKeepsItsTasksUntilItsLeasesExpire(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(6, 4*time.Second))
		time.Sleep(500 * time.Millisecond)
		c.mu.Lock()
		c.silent["vm-0-0"] = true
		c.mu.Unlock()
		// The worker itself still runs its tasks: a second start of one before
		// its lease has run out would show in the history.
		c.await(id, team.JobDone, 60*time.Second)
	})
}

func TestNoStartInAFailureDomainTakenOut(t *testing.T) {
	run(t, func(c *cell) {
		c.mu.Lock()
		c.out["d0"] = true
		c.mu.Unlock()
		id := c.submit(batch(10, 200*time.Millisecond))
		c.await(id, team.JobDone, 20*time.Second)
		for _, e := range c.history.Since(0) {
			if e.Job == id {
				assert.NotEqual(t, model.FailureDomain("d0"), e.Domain)
			}
		}
	})
}

func TestTaskEndsWaitForTheLogDuringAnOutage(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(8, 500*time.Millisecond))
		c.logs.SetFaults(faultsDown)
		time.Sleep(30 * time.Second)
		c.logs.SetFaults(faultsNone)
		time.Sleep(5 * time.Second)
		// The new owner learns the ends from the journal alone.
		c.kill(teamPartition)
		c.take(teamPartition)
		c.await(id, team.JobDone, 20*time.Second)
		assert.Equal(t, 8, c.starts(id))
	})
}

func TestCancelledJobStops(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(20, time.Hour))
		time.Sleep(500 * time.Millisecond)
		c.cancel(id)
		c.await(id, team.JobCancelled, 10*time.Second)
	})
}

func TestJobWhoseTasksAlwaysFailEnds(t *testing.T) {
	run(t, func(c *cell) {
		job := batch(2, 100*time.Millisecond)
		job.Payload = []byte(`{"fail":true}`)
		id := c.submit(job)
		c.await(id, team.JobFailed, 20*time.Second)
		assert.Equal(t, 6, c.starts(id), "three tries for each task")
	})
}

func TestNewTeamOwnerWaitsForARackWithoutAnOwner(t *testing.T) {
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		id := c.submit(batch(6, 30*time.Second))
		time.Sleep(500 * time.Millisecond)
		c.kill(rack0)
		c.kill(teamPartition)
		time.Sleep(time.Second)
		c.take(teamPartition)
		// The workers of the rack without an owner run on until their leases
		// end; nobody has told the new team owner of their tasks.
		time.Sleep(2 * time.Second)
		fresh := c.submit(batch(1, 100*time.Millisecond))
		time.Sleep(time.Second)
		c.take(rack0)
		c.await(id, team.JobDone, 120*time.Second)
		c.await(fresh, team.JobDone, 120*time.Second)
	})
}

func TestGangRestartsTogetherWhenAMemberIsLost(t *testing.T) {
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		job := batch(racks*workersPer*4, 40*time.Second)
		job.Kind = model.WorkGang
		id := c.submit(job)
		time.Sleep(2 * time.Second)
		lost := c.vmOf(id)
		// The gang fills the cell, so it cannot be whole without this worker.
		c.setGone(lost, true)
		time.Sleep(20 * time.Second)
		c.setGone(lost, false)
		c.await(id, team.JobDone, 300*time.Second)
		c.checkGangWhole(id, job.Tasks)
	})
}

// urgentLimit is the time within which urgent work starts.
const urgentLimit = 2600 * time.Millisecond

func TestUrgentWorkCheckpointsBatchWorkOfATeamAboveItsShare(t *testing.T) {
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		full := c.submit(batch(racks*workersPer*4, time.Minute))
		time.Sleep(3 * time.Second)
		c.addTeam(urgentTeam)
		time.Sleep(500 * time.Millisecond)
		job := batch(2, 200*time.Millisecond)
		job.Team = urgentTeam
		job.Urgent = true
		sent := time.Now()
		id := c.submit(job)
		c.await(id, team.JobDone, 20*time.Second)
		assert.Less(t, c.firstStart(id).Sub(sent), urgentLimit)
		c.await(full, team.JobDone, 5*time.Minute)
	})
}

func TestLaterTeamGetsItsShareOfAFullCell(t *testing.T) {
	const (
		perCPU    = 4 // tasks on a processor
		slots     = racks * workersPer * 4 * perCPU
		settle    = 10 * time.Second
		window    = 90 * time.Second
		share     = 3.0 // of the second team; the first has one
		want      = share / (share + 1)
		tolerance = 0.03
	)
	small := func(name model.TeamID, runTime time.Duration) model.Job {
		job := batch(9000, runTime)
		job.Team = name
		job.Size = model.Resources{MilliCPU: 1000 / perCPU, MemoryMiB: 64}
		return job
	}
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		c.urgentShare = share
		c.submit(small(testTeam, 2*time.Second))
		time.Sleep(3 * time.Second)
		c.addTeam(urgentTeam)
		time.Sleep(500 * time.Millisecond)
		c.submit(small(urgentTeam, 1500*time.Millisecond))
		time.Sleep(settle)
		from := time.Now()
		time.Sleep(window)
		first := c.meanRunning(testTeam, from, time.Now()) / slots
		second := c.meanRunning(urgentTeam, from, time.Now()) / slots
		assert.InDelta(t, want, second/(first+second), tolerance, "the first team has %.2f", first)
		assert.Greater(t, first+second, 0.85, "the cell stays full")
	})
}

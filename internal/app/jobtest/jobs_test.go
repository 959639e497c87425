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

// run runs body on a new cell in virtual time and checks the history.
func run(t *testing.T, body func(c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		defer c.killAllOwners()
		time.Sleep(time.Second)
		body(c)
		c.checkHistory()
	})
}

func batch(tasks int, runTime time.Duration) model.Job {
	return model.Job{
		Kind:            model.WorkBatch,
		Tasks:           tasks,
		Size:            model.Resources{MilliCPU: 1000, MemoryMiB: 256},
		DeclaredRunTime: runTime,
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
		c.killOwner(teamPartition)
		time.Sleep(2 * time.Second)
		c.startOwner(teamPartition)
		c.await(id, team.JobDone, 20*time.Second)
		assert.Equal(t, 20, c.starts(id), "running tasks must be adopted, not started again")
	})
}

func TestRackOwnerIsKilledWhileTasksRun(t *testing.T) {
	run(t, func(c *cell) {
		id := c.submit(batch(20, 3*time.Second))
		time.Sleep(300 * time.Millisecond)
		c.killOwner(rack0)
		time.Sleep(2 * time.Second)
		c.startOwner(rack0)
		c.await(id, team.JobDone, 60*time.Second)
		assert.Equal(t, 20, c.starts(id), "running tasks must be adopted, not started again")
	})
}

func TestTeamAndRackOwnersAreKilledAtOnce(t *testing.T) {
	run(t, func(c *cell) {
		job := batch(12, 2*time.Second)
		job.NonIdempotent = true
		id := c.submit(job)
		time.Sleep(300 * time.Millisecond)
		for _, partition := range []model.PartitionID{teamPartition, rack0, rack1} {
			c.killOwner(partition)
		}
		time.Sleep(2 * time.Second)
		for _, partition := range []model.PartitionID{teamPartition, rack0, rack1} {
			c.startOwner(partition)
		}
		c.await(id, team.JobDone, 60*time.Second)
		assert.Equal(t, 12, c.starts(id))
	})
}

func TestLostStartAnswersDoNotStartTwice(t *testing.T) {
	run(t, func(c *cell) {
		c.mu.Lock()
		c.startAnswersToLose = 4
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
		c.unresponsive["vm-0-0"] = true
		c.mu.Unlock()
		// The worker still runs its tasks: the history would show a second start
		// of a task before its lease has expired.
		c.await(id, team.JobDone, 60*time.Second)
	})
}

func TestNoStartInAFailureDomainTakenOut(t *testing.T) {
	run(t, func(c *cell) {
		c.mu.Lock()
		c.domainsOut["d0"] = true
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
		c.logClient.SetFaults(faultsDown)
		time.Sleep(30 * time.Second)
		c.logClient.SetFaults(faultsNone)
		time.Sleep(5 * time.Second)
		// The new owner can get the ends only from the journal.
		c.killOwner(teamPartition)
		c.startOwner(teamPartition)
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
		assert.Equal(t, 6, c.starts(id), "each task has three attempts")
	})
}

func TestNewTeamOwnerWaitsForARackWithoutAnOwner(t *testing.T) {
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		id := c.submit(batch(6, 30*time.Second))
		time.Sleep(500 * time.Millisecond)
		c.killOwner(rack0)
		c.killOwner(teamPartition)
		time.Sleep(time.Second)
		c.startOwner(teamPartition)
		// Workers of the rack without an owner keep running their tasks until the
		// leases expire, and no owner has reported these to the new team owner.
		time.Sleep(2 * time.Second)
		later := c.submit(batch(1, 100*time.Millisecond))
		time.Sleep(time.Second)
		c.startOwner(rack0)
		c.await(id, team.JobDone, 120*time.Second)
		c.await(later, team.JobDone, 120*time.Second)
	})
}

func TestGangRestartsTogetherWhenAMemberIsLost(t *testing.T) {
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		job := batch(racks*workersPerRack*4, 40*time.Second)
		job.Kind = model.WorkGang
		id := c.submit(job)
		time.Sleep(2 * time.Second)
		lost := c.vmOf(id)
		// The gang fills the cell, so it cannot run without this worker.
		c.setGone(lost, true)
		time.Sleep(20 * time.Second)
		c.setGone(lost, false)
		c.await(id, team.JobDone, 300*time.Second)
		c.checkGangRanTogether(id, job.Tasks)
	})
}

// urgentLimit is the time within which urgent work must start.
const urgentLimit = 2600 * time.Millisecond

func TestUrgentWorkCheckpointsBatchWorkOfATeamAboveItsShare(t *testing.T) {
	run(t, func(c *cell) {
		c.setLimit(model.Resources{MilliCPU: 1 << 20, MemoryMiB: 1 << 30})
		filling := c.submit(batch(racks*workersPerRack*4, time.Minute))
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
		c.await(filling, team.JobDone, 5*time.Minute)
	})
}

func TestLaterTeamGetsItsShareOfAFullCell(t *testing.T) {
	const (
		perCPU    = 4 // tasks per processor
		slots     = racks * workersPerRack * 4 * perCPU
		settle    = 10 * time.Second
		window    = 90 * time.Second
		weight    = 3.0 // share weight of the second team; that of the first is 1
		wantShare = weight / (weight + 1)
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
		c.urgentShareWeight = weight
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
		assert.InDelta(t, wantShare, second/(first+second), tolerance, "the first team has %.2f", first)
		assert.Greater(t, first+second, 0.85, "the cell must stay full")
	})
}

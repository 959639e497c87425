package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// sizedWorker returns the entry of a worker with room for the given number of tasks of
// smallStep.
func sizedWorker(id model.VMID, tasks int64) WorkerInfo {
	info := testWorker(id)
	info.Capacity = smallStep(1).Size.Scale(tasks)
	return info
}

// reportAll applies a report of each worker that lists the runs of the started orders.
func reportAll(e *Engine, now time.Duration, started []StartOrder, ids ...model.VMID) {
	for _, id := range ids {
		report := WorkerReport{Incarnation: 1, Clock: now}
		for _, order := range started {
			if order.Worker == id {
				report.ActiveRuns = append(report.ActiveRuns, ActiveRun{Task: order.Task, Run: order.Run, Percent: fullPace})
			}
		}
		e.ApplyReport(id, report, now)
	}
}

func TestStepWaitsNoLongerWhenCapacityGrowsBack(t *testing.T) {
	e := newTestEngine()
	e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", 0)})
	e.AddJob("j", testJob(smallStep(1)), testStart)
	now := time.Second
	for range 5 {
		reportAll(e, now, nil, "w1")
		e.Schedule(now, testStart.Add(now))
		now += idlePassInterval
	}
	require.Empty(t, e.TakeBatch().Starts)
	e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", 4)})
	e.Schedule(now, testStart.Add(now))
	assert.Len(t, e.TakeBatch().Starts, 1)
}

func TestOvercommittedWorkerDoesNotHideFreeCapacityOfOthers(t *testing.T) {
	e := newTestEngine()
	e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", 8), sizedWorker("w2", 0)})
	reportAll(e, time.Second, nil, "w1", "w2")
	e.AddJob("old", testJob(smallStep(8)), testStart)
	e.Schedule(time.Second, testStart)
	started := e.TakeBatch().Starts
	require.Len(t, started, 8)

	e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", 1), sizedWorker("w2", 4)})
	now := 2 * time.Second
	reportAll(e, now, started, "w1", "w2")
	e.AddJob("new", testJob(smallStep(5)), testStart)
	e.Schedule(now, testStart.Add(now))
	starts := e.TakeBatch().Starts
	assert.Len(t, starts, 4, "w2 has room for four")
	for _, order := range starts {
		assert.Equal(t, model.VMID("w2"), order.Worker)
	}
}

func TestShrunkWorkerGetsNothingUntilItFitsAgain(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		e := newTestEngine()
		e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", 4)})
		reportAll(e, time.Second, nil, "w1")
		e.AddJob("old", testJob(smallStep(4)), testStart)
		e.Schedule(time.Second, testStart)
		batch := e.TakeBatch()
		started := batch.Starts
		require.Len(t, started, 4)
		if takeover {
			e = newTestEngine()
			e.AddJob("old", testJob(smallStep(4)), testStart)
			e.Restore("old", Running, nil, batch.Tasks, testStart)
			e.AdoptPlaced()
		}
		gang := smallStep(2)
		gang.Gang = true
		e.AddJob("gang", testJob(gang), testStart)
		e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", 2)})

		now, sequence := 2*time.Second, uint64(0)
		end := func(kind EndKind) {
			sequence++
			order := started[0]
			started = started[1:]
			e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: now, EndedRuns: []EndedRun{
				{Sequence: sequence, Task: order.Task, Run: order.Run, Kind: kind},
			}}, now)
		}
		schedule := func() []StartOrder {
			now += idlePassInterval
			reportAll(e, now, started, "w1")
			e.Schedule(now, testStart.Add(now))
			return e.TakeBatch().Starts
		}
		require.Empty(t, schedule())
		end(EndDone)
		require.Empty(t, schedule(), "three of two places are taken")
		end(EndDone)
		require.Empty(t, schedule(), "both places are taken")
		e.Cancel("old")
		require.Empty(t, schedule(), "the runs are being stopped")
		end(EndStopped)
		require.Empty(t, schedule(), "the gang needs both places")
		end(EndStopped)
		require.Len(t, schedule(), 2)
	}
}

func TestChangingCapacityAddsNoWorkerClasses(t *testing.T) {
	e := newTestEngine()
	for i := range 100 {
		e.UpdateWorkers([]WorkerInfo{sizedWorker("w1", int64(32-i%30))})
	}
	assert.Len(t, e.classes, 1)
	fits := smallStep(1)
	fits.Size = fits.Size.Scale(32)
	assert.Empty(t, e.NeverFits(testJob(fits)), "the capacity can grow back")
}

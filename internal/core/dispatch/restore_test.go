package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

var (
	testStart    = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	testSettings = Settings{
		StopTimeout: 400 * time.Millisecond, MaxReportAge: 1800 * time.Millisecond, TicketMargin: 250 * time.Millisecond,
	}
	testQueue = Queue{Name: "fits", Service: "pattern", MaxAttempts: 2, Slowdown: 2, BaseLatency: time.Second}
)

func testWorker(id model.VMID) WorkerInfo {
	return WorkerInfo{
		ID: id, Incarnation: 1, Service: "pattern", Address: string(id), Domain: "z1",
		Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 128000},
	}
}

func testJob(steps ...StepSpec) JobSpec {
	return JobSpec{Team: "t", Queue: testQueue, Payload: "p", Steps: steps, Submitted: testStart}
}

func smallStep(tasks int) StepSpec {
	return StepSpec{Tasks: tasks, Size: model.Resources{MilliCPU: 1000, MemoryMiB: 1000}, DeclaredRunTime: time.Second}
}

// newTestEngine returns an engine with the workers on its worker list. None has reported.
func newTestEngine(workers ...model.VMID) *Engine {
	e := New(testSettings)
	e.SetPolicy([]Queue{testQueue}, []Team{{Name: "t"}}, nil)
	list := make([]WorkerInfo, 0, len(workers))
	for _, id := range workers {
		list = append(list, testWorker(id))
	}
	e.UpdateWorkers(list)
	return e
}

func TestNewOwnerDoesNotPlaceGangAgain(t *testing.T) {
	e := newTestEngine("w1", "w2")
	gang := smallStep(2)
	gang.Gang = true
	e.AddJob("j", testJob(gang), testStart)
	e.Restore("j", Running, nil, []TaskState{
		{Task: TaskName{Job: "j", Index: 0}, Phase: TaskPlaced, Run: 1, Worker: "w1", Incarnation: 1},
		{Task: TaskName{Job: "j", Index: 1}, Phase: TaskPlaced, Run: 1, Worker: "w1", Incarnation: 1},
	}, testStart)
	e.AdoptPlaced()
	e.ApplyReport("w2", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.Schedule(time.Second, testStart.Add(time.Second))
	assert.Empty(t, e.TakeBatch().Starts, "the worker that may run the gang has not reported")

	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.Schedule(time.Second, testStart.Add(time.Second))
	starts := e.TakeBatch().Starts
	require.Len(t, starts, 2, "the worker reports no gang, so it never started")
	assert.EqualValues(t, 2, starts[0].Run)
}

func TestRunEndReportedByRestartedWorkerIsApplied(t *testing.T) {
	e := newTestEngine("w1")
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.AddJob("j", testJob(smallStep(1)), testStart)
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 1)

	// The start order reached the worker just after its restart, and the run ended
	// before the first poll of the new incarnation.
	e.ApplyReport("w1", WorkerReport{Incarnation: 2, Clock: time.Second, EndedRuns: []EndedRun{
		{Sequence: 1, Task: TaskName{Job: "j"}, Run: 1, Kind: EndDone},
	}}, 2*time.Second)
	batch := e.TakeBatch()
	require.Len(t, batch.Ended, 1)
	assert.Equal(t, Completed, batch.Ended[0].State)
	require.Len(t, batch.Acks, 1)
	assert.EqualValues(t, 1, batch.Acks[0].Sequence)
}

func TestTaskWithUnknownStartOutcomeIsUnstarted(t *testing.T) {
	e := newTestEngine("w1")
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.AddJob("j", testJob(smallStep(1)), testStart)
	e.Schedule(time.Second, testStart)
	start := e.TakeBatch().Starts[0]
	e.ApplyStartUnknown(start.Task, start.Run, start.Worker)
	tasks := e.TakeBatch().Tasks
	require.Len(t, tasks, 1)
	assert.True(t, tasks[0].Unstarted)
	assert.Equal(t, TaskPlaced, tasks[0].Phase, "it may still start")
}

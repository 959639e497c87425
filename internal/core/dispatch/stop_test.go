package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// servingSpec returns a job with one task, which runs until the job is cancelled.
func servingSpec() JobSpec {
	step := smallStep(1)
	step.LongRunning = true
	return testJob(step)
}

// stopOf returns the stop order of the run of job j's task 0 on w1.
func stopOf(run uint64) StopOrder {
	return StopOrder{Task: TaskName{Job: "j"}, Run: run, Worker: "w1", Incarnation: 1}
}

func activeReport(clock time.Duration, run uint64) WorkerReport {
	return WorkerReport{Incarnation: 1, Clock: clock, ActiveRuns: []ActiveRun{{Task: TaskName{Job: "j"}, Run: run, Percent: fullPace}}}
}

// A new owner reads that a job was cancelled before it knows any worker's address.
func TestNewOwnerStopsCancelledRunAgainAfterUnsentOrder(t *testing.T) {
	e := newTestEngine()
	e.AddJob("j", servingSpec(), testStart)
	e.Restore("j", Running, nil, []TaskState{
		{Task: TaskName{Job: "j"}, Phase: TaskPlaced, Run: 1, Worker: "w1", Incarnation: 1},
	}, testStart)
	e.Cancel("j")
	require.Equal(t, []StopOrder{stopOf(1)}, e.TakeStopOrders())
	e.ApplyStopUnsettled(stopOf(1))

	e.UpdateWorkers([]WorkerInfo{testWorker("w1")})
	e.ApplyReport("w1", activeReport(time.Second, 1), time.Second)
	assert.Equal(t, []StopOrder{stopOf(1)}, e.TakeStopOrders(), "the run is still active")
}

// cancelledEngine returns an engine on whose worker w1 a run of job j is being stopped.
func cancelledEngine(t *testing.T) *Engine {
	e := newTestEngine("w1")
	e.AddJob("j", servingSpec(), testStart)
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.Schedule(time.Second, testStart)
	e.ApplyStarted(TaskName{Job: "j"}, 1, "w1", 1100*time.Millisecond)
	e.Cancel("j")
	require.Len(t, e.TakeStopOrders(), 1)
	return e
}

func TestStopOrderInFlightIsNotRepeated(t *testing.T) {
	e := cancelledEngine(t)
	e.ApplyReport("w1", activeReport(2*time.Second, 1), 2*time.Second)
	assert.Empty(t, e.TakeStopOrders())
}

func TestAcceptedStopIsRepeatedWhenRunOutlivesStopTimeout(t *testing.T) {
	e := cancelledEngine(t)
	e.ApplyStopped(TaskName{Job: "j"}, 1, "w1", 2*time.Second)

	e.ApplyReport("w1", activeReport(2*time.Second+testSettings.StopTimeout, 1), 3*time.Second)
	assert.Empty(t, e.TakeStopOrders(), "the worker may still be stopping it")
	e.ApplyReport("w1", activeReport(2*time.Second+testSettings.StopTimeout+reportMargin, 1), 4*time.Second)
	assert.Equal(t, []StopOrder{stopOf(1)}, e.TakeStopOrders())
}

// A start whose answer was lost takes effect after the stop order was not delivered
// either. Until the worker accepts a stop, the run may still appear.
func TestUnsentStopIsRepeatedForRunThatIsNotActiveYet(t *testing.T) {
	e := newTestEngine("w1")
	e.AddJob("j", servingSpec(), testStart)
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.Schedule(time.Second, testStart)
	e.ApplyStartUnknown(TaskName{Job: "j"}, 1, "w1")
	require.Equal(t, []StopOrder{stopOf(1)}, e.TakeStopOrders())
	e.ApplyStopUnsettled(stopOf(1))
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: 2 * time.Second}, 2*time.Second)
	assert.Equal(t, []StopOrder{stopOf(1)}, e.TakeStopOrders())
}

func TestOrphanedRunIsStoppedAgainAfterUnsentOrder(t *testing.T) {
	e := newTestEngine("w1")
	e.ApplyReport("w1", activeReport(time.Second, 3), time.Second)
	require.Equal(t, []StopOrder{stopOf(3)}, e.TakeStopOrders())
	e.ApplyReport("w1", activeReport(2*time.Second, 3), 2*time.Second)
	assert.Empty(t, e.TakeStopOrders(), "the order is in flight")
	e.ApplyStopUnsettled(stopOf(3))
	e.ApplyReport("w1", activeReport(3*time.Second, 3), 3*time.Second)
	assert.Equal(t, []StopOrder{stopOf(3)}, e.TakeStopOrders())
}

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newPacedEngine returns an engine with a serving task "a" and a best-effort task "b"
// on one worker, and a function that reports a tail latency of "a" in milliseconds.
func newPacedEngine(t *testing.T) (*Engine, func(tail int, now time.Duration)) {
	e := newTestEngine("w1")
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	serving := smallStep(1)
	serving.LongRunning, serving.TailLatencyTarget = true, 100*time.Millisecond
	bestEffort := smallStep(1)
	bestEffort.BestEffortCPU = true
	e.AddJob("a", testJob(serving), testStart)
	e.AddJob("b", testJob(bestEffort), testStart)
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 2)
	return e, func(tail int, now time.Duration) {
		e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: now, ActiveRuns: []ActiveRun{
			{Task: TaskName{Job: "a"}, Run: 1, Metric: tail}, {Task: TaskName{Job: "b"}, Run: 1},
		}}, now)
	}
}

func TestBestEffortTasksPauseWhenTailLatencyExceedsTarget(t *testing.T) {
	e, report := newPacedEngine(t)
	report(50, 2*time.Second)
	assert.Empty(t, e.TakePaceOrders(), "the tail latency is well below the target")
	report(90, 3*time.Second)
	paces := e.TakePaceOrders()
	require.Len(t, paces, 1)
	assert.Equal(t, 50, paces[0].Percent)
	report(140, 4*time.Second)
	paces = e.TakePaceOrders()
	require.Len(t, paces, 1)
	assert.Equal(t, PaceOrder{Task: TaskName{Job: "b"}, Run: 1, Worker: "w1", Incarnation: 1, Percent: 0}, paces[0])
	report(140, 5*time.Second)
	assert.Empty(t, e.TakePaceOrders(), "the pace has been ordered already")
	e.ApplyPaceFailed(paces[0])
	report(140, 6*time.Second)
	assert.Len(t, e.TakePaceOrders(), 1, "the outcome of the order is unknown")
}

func TestBestEffortTasksSpeedUpGradually(t *testing.T) {
	e, report := newPacedEngine(t)
	report(140, 2*time.Second)
	e.TakePaceOrders()
	percents := []int{}
	for second := 3; second < 20; second++ {
		report(20, time.Duration(second)*time.Second)
		for _, pace := range e.TakePaceOrders() {
			percents = append(percents, pace.Percent)
		}
	}
	assert.Equal(t, []int{20, 40, 60, 80, 100}, percents)
}

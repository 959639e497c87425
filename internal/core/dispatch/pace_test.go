package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pacedCell returns an engine with a serving and a filling task on one worker.
func pacedCell(t *testing.T) (*Engine, func(tail int, now time.Duration)) {
	e := newTestEngine("w1")
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	serve := smallStep(1)
	serve.LongRunning, serve.TailLatencyTarget = true, 100*time.Millisecond
	fill := smallStep(1)
	fill.BestEffortCPU = true
	e.AddJob("a", testJob(serve), testStart)
	e.AddJob("b", testJob(fill), testStart)
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 2)
	return e, func(tail int, now time.Duration) {
		e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: now, Running: []RunningTask{
			{Task: TaskName{Job: "a"}, Run: 1, Load: tail}, {Task: TaskName{Job: "b"}, Run: 1},
		}}, now)
	}
}

func TestFillingTasksStopBesideAServingTaskOverItsTarget(t *testing.T) {
	e, report := pacedCell(t)
	report(50, 2*time.Second)
	assert.Empty(t, e.TakePaceOrders(), "there is room")
	report(90, 3*time.Second)
	paces := e.TakePaceOrders()
	require.Len(t, paces, 1)
	assert.Equal(t, 50, paces[0].Percent)
	report(140, 4*time.Second)
	paces = e.TakePaceOrders()
	require.Len(t, paces, 1)
	assert.Equal(t, PaceOrder{Task: TaskName{Job: "b"}, Run: 1, Worker: "w1", Incarnation: 1, Percent: 0}, paces[0])
	report(140, 5*time.Second)
	assert.Empty(t, e.TakePaceOrders(), "the order has been given")
	e.ApplyPaceFailed(paces[0])
	report(140, 6*time.Second)
	assert.Len(t, e.TakePaceOrders(), 1, "its effect is not known")
}

func TestFillingTasksComeBackSlowly(t *testing.T) {
	e, report := pacedCell(t)
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

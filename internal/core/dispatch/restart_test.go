package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a start on a worker that lacks the required label: the list still had the
// entry of its earlier incarnation, which was of another kind.
func TestRestartedWorkerGetsTasksOnlyByItsOwnEntry(t *testing.T) {
	for _, listedAgain := range []bool{false, true} { // between the first report and the new entry
		e := newTestEngine()
		entry := testWorker("w1")
		entry.Labels = []string{"a"}
		e.UpdateWorkers([]WorkerInfo{entry})
		reportAll(e, time.Second, nil, "w1")
		step := smallStep(1)
		step.Requires = "a"
		require.True(t, e.AddJob("a", testJob(step), testStart))
		step.Requires = "b"
		require.True(t, e.AddJob("b", testJob(step), testStart))

		now := 2 * time.Second
		schedule := func() []StartOrder {
			now += idlePassInterval
			e.ApplyReport("w1", WorkerReport{Incarnation: 2, Clock: now}, now)
			if listedAgain && entry.Incarnation == 1 {
				e.UpdateWorkers([]WorkerInfo{entry})
			}
			e.Schedule(now, testStart.Add(now))
			return e.TakeBatch().Starts
		}
		require.Empty(t, schedule(), "the list has the entry of the earlier incarnation")
		entry.Labels, entry.Incarnation = []string{"b"}, 2
		e.UpdateWorkers([]WorkerInfo{entry})
		starts := schedule()
		require.Len(t, starts, 1)
		assert.Equal(t, TaskName{Job: "b"}, starts[0].Task)
	}
}

// Guards against a worker that is not heard again, and tasks that hang on it, after it has
// restarted with a clock that was set back.
func TestRestartWithLowerStartTimeIsARestart(t *testing.T) {
	e := newTestEngine()
	entry := testWorker("w1")
	entry.Incarnation = 1000
	e.UpdateWorkers([]WorkerInfo{entry})
	e.ApplyReport("w1", WorkerReport{Incarnation: 1000, Clock: time.Second}, time.Second)
	require.True(t, e.AddJob("j", testJob(smallStep(1)), testStart))
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 1)

	now := 2 * time.Second
	e.ApplyReport("w1", WorkerReport{Incarnation: 500, Clock: time.Millisecond}, now)
	entry.Incarnation = 500
	e.UpdateWorkers([]WorkerInfo{entry})
	e.Schedule(now+idlePassInterval, testStart.Add(now))
	starts := e.TakeBatch().Starts
	require.Len(t, starts, 1)
	assert.EqualValues(t, 500, starts[0].Incarnation)
	assert.EqualValues(t, 2, starts[0].Run)
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func gangStep(tasks int, milliCPU int64) StepSpec {
	step := wideStep(tasks, milliCPU)
	step.Gang = true
	return step
}

// Gangs that waited for room reserved nearly all workers of the cell between them, and
// nothing ran there.
func TestWaitingGangsLeaveMostWorkersToOthers(t *testing.T) {
	var ids []model.VMID
	for i := range 40 {
		ids = append(ids, model.VMID(fmt.Sprintf("w%02d", i)))
	}
	e := newTestEngine(ids...)
	reportAll(e, time.Second, nil, ids...)
	require.True(t, e.AddJob("running", testJob(wideStep(40, 20000)), testStart))
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 40)
	for i := range 20 {
		require.True(t, e.AddJob(model.JobID(fmt.Sprintf("gang%02d", i)), testJob(gangStep(12, 20000)), testStart))
	}
	small := testJob(wideStep(40, 8000))
	small.Submitted = testStart.Add(2 * reserveDelay)
	require.True(t, e.AddJob("small", small, small.Submitted))
	now := time.Second + 2*reserveDelay
	e.Schedule(now, testStart.Add(2*reserveDelay))
	const most = 12 + 40/8 // one gang, and an eighth of the workers for all others
	starts := e.TakeBatch().Starts
	assert.GreaterOrEqual(t, len(starts), 40-most)
	assert.LessOrEqual(t, len(starts), 40-12, "the most urgent gang reserves what it needs")
}

func TestGangUsesItsReservedWorkersBetweenFullPasses(t *testing.T) {
	e := newTestEngine("w1")
	reportAll(e, time.Second, nil, "w1")
	require.True(t, e.AddJob("running", testJob(wideStep(1, 16000)), testStart))
	e.Schedule(time.Second, testStart)
	order := e.TakeBatch().Starts[0]
	require.True(t, e.AddJob("gang", testJob(gangStep(2, 16000)), testStart))
	now, wall := time.Second+2*reserveDelay, testStart.Add(2*reserveDelay)
	e.Schedule(now, wall)
	require.Equal(t, e.pass, e.workers["w1"].reservedPass)
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: now, EndedRuns: []EndedRun{{Sequence: 1, Task: order.Task, Run: order.Run, Kind: EndDone}}}, now)
	e.nextFullPass = now + time.Second
	e.changed[e.jobs["gang"].occurrences[0].steps[0]] = struct{}{} // as after an answer
	e.Schedule(now+time.Millisecond, wall)
	assert.Len(t, e.TakeBatch().Starts, 2)
}

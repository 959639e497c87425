package worker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
)

const clockOffset = 1000 * time.Hour

func newWorker(recorder *history.Recorder) *Worker {
	return New(Options{VM: model.VM{ID: "w1"}, ClockOffset: clockOffset, History: recorder, Progress: NewProgress()})
}

func startAt(w *Worker, attempt int, run time.Duration) port.StartTask {
	return port.StartTask{
		Task: "j/0", Attempt: attempt, Epoch: 5, DeclaredRunTime: run,
		StartBefore: w.now() + time.Second, LeaseUntil: w.now() + 10*time.Second,
	}
}

func heartbeat(t *testing.T, w *Worker, request port.Heartbeat) port.WorkerReport {
	t.Helper()
	report, err := w.Heartbeat(context.Background(), request)
	require.NoError(t, err)
	return report
}

func stateOf(report port.WorkerReport) port.TaskState {
	if len(report.Tasks) != 1 {
		return ""
	}
	return report.Tasks[0].State
}

func TestStartIsRefusedAfterItsDeadlineAndFromPreviousOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(nil)
		late := startAt(w, 1, time.Minute)
		time.Sleep(time.Second + time.Millisecond)
		assert.True(t, port.NotStarted.Has(w.Start(t.Context(), late)))
		heartbeat(t, w, port.Heartbeat{Epoch: 6})
		assert.True(t, port.NotStarted.Has(w.Start(t.Context(), startAt(w, 1, time.Minute))))
		_, err := w.Heartbeat(t.Context(), port.Heartbeat{Epoch: 5})
		assert.True(t, port.NotStarted.Has(err))
		assert.Empty(t, heartbeat(t, w, port.Heartbeat{Epoch: 6}).Tasks)
	})
}

func TestTaskStopsWhenItsLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder history.Recorder
		w := newWorker(&recorder)
		require.NoError(t, w.Start(t.Context(), startAt(w, 1, time.Hour)))
		time.Sleep(9 * time.Second)
		heartbeat(t, w, port.Heartbeat{Epoch: 5, LeaseUntil: w.now() + 10*time.Second})
		time.Sleep(9 * time.Second)
		assert.Len(t, recorder.Since(0), 2, "a task with a renewed lease keeps running")
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		events := recorder.Since(0)
		require.Len(t, events, 3, "the task stops without a call")
		assert.Equal(t, string(port.TaskExpired), events[2].State)
		assert.Equal(t, port.TaskExpired, stateOf(heartbeat(t, w, port.Heartbeat{Epoch: 5})))
	})
}

func TestStartIsIdempotentAndEndsAreKeptUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder history.Recorder
		w := newWorker(&recorder)
		start := startAt(w, 1, 100*time.Millisecond)
		require.NoError(t, w.Start(t.Context(), start))
		require.NoError(t, w.Start(t.Context(), start))
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, w.Start(t.Context(), start))
		assert.Equal(t, port.TaskDone, stateOf(heartbeat(t, w, port.Heartbeat{Epoch: 5})))
		ack := []port.TaskAttempt{{Task: "j/0", Attempt: 1}}
		assert.Empty(t, heartbeat(t, w, port.Heartbeat{Epoch: 5, Acknowledged: ack}).Tasks)
		assert.True(t, port.NotStarted.Has(w.Start(t.Context(), start)), "a delayed copy of the start is refused")
		assert.Len(t, recorder.Since(0), 3, "VM seen, one start, one end")
	})
}

func TestUsageLagsAndDiffersFromDeclaration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(nil)
		start := startAt(w, 1, time.Minute)
		start.Size = model.Resources{MilliCPU: 1000}
		start.Payload = []byte(`{"use_cpu":3000}`)
		require.NoError(t, w.Start(t.Context(), start))
		assert.Zero(t, heartbeat(t, w, port.Heartbeat{Epoch: 5}).Tasks[0].Used)
		time.Sleep(DefaultUsageLag)
		assert.EqualValues(t, 3000, heartbeat(t, w, port.Heartbeat{Epoch: 5}).Tasks[0].Used.MilliCPU)
	})
}

func TestCheckpointedTaskContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(nil)
		require.NoError(t, w.Start(t.Context(), startAt(w, 1, 8*time.Second)))
		time.Sleep(6 * time.Second)
		first := port.TaskAttempt{Task: "j/0", Attempt: 1}
		require.NoError(t, w.Act(t.Context(), first, 5, port.ActionCheckpoint))
		heartbeat(t, w, port.Heartbeat{Epoch: 5, Acknowledged: []port.TaskAttempt{first}})
		require.NoError(t, w.Start(t.Context(), startAt(w, 2, 8*time.Second)))
		time.Sleep(2*time.Second + time.Millisecond)
		assert.Equal(t, port.TaskDone, stateOf(heartbeat(t, w, port.Heartbeat{Epoch: 5})))
	})
}

func TestFailingWorkerFailsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(nil)
		w.options.Faults.Set(fault.Faults{FailTasks: true})
		require.NoError(t, w.Start(t.Context(), startAt(w, 1, time.Minute)))
		time.Sleep(failAfter)
		assert.Equal(t, port.TaskFailed, stateOf(heartbeat(t, w, port.Heartbeat{Epoch: 5})))
	})
}

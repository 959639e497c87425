package rack

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

func used(permit string, cpu, memory int64) port.TaskStatus {
	return port.TaskStatus{Permit: permit, Used: model.Resources{MilliCPU: cpu, MemoryMiB: memory}}
}

func place(t *testing.T, r *Rack, id string, size model.Resources, preemptible bool) {
	o := offer(id, size)
	o.Preemptible = preemptible
	require.True(t, r.Offer(o, 0).Reserved)
	r.Started(o.Permit.ID)
}

func TestReportStopsTaskBeyondItsReservation(t *testing.T) {
	r := newRack(workers(1, cores(4)))
	place(t, r, "small", cores(2), false)
	place(t, r, "over", cores(2), true)
	assert.Empty(t, r.Report("w000", []port.TaskStatus{used("p-small", 2000, 8192), used("p-over", 2000, 8192)}, 0),
		"full use of the reservation needs no action")

	actions := r.Report("w000", []port.TaskStatus{used("p-small", 2000, 8192), used("p-over", 2000, 9000)}, time.Second)
	require.Len(t, actions, 1)
	assert.Equal(t, "p-over", actions[0].Permit)
	assert.Equal(t, port.ActionCheckpoint, actions[0].Action)

	again := []port.TaskStatus{used("p-over", 2000, 9500)}
	assert.Empty(t, r.Report("w000", again, 2*time.Second), "a recent action must not be repeated")
	actions = r.Report("w000", again, 5*time.Second)
	require.Len(t, actions, 1)
	assert.Equal(t, port.ActionStop, actions[0].Action)
}

func TestReportActsOnMemoryTrend(t *testing.T) {
	r := newRack(workers(1, cores(4)))
	place(t, r, "a", cores(2), true)
	place(t, r, "b", cores(2), false)
	assert.Empty(t, r.Report("w000", []port.TaskStatus{used("p-a", 0, 2000), used("p-b", 0, 7000)}, 0))
	actions := r.Report("w000", []port.TaskStatus{used("p-a", 0, 6000), used("p-b", 0, 7000)}, time.Second)
	require.Len(t, actions, 1, "13000 MiB are used now; 17000 are projected by the next report, of 16384")
	assert.Equal(t, "p-a", actions[0].Permit)
}

func TestReportGrowsReservationsAndThrottles(t *testing.T) {
	r := newRack(workers(1, cores(4)))
	place(t, r, "a", cores(1), false)
	assert.Empty(t, r.Report("w000", []port.TaskStatus{used("p-a", 2000, 4096)}, 0))
	reservation, _ := r.Lookup("p-a")
	assert.Equal(t, int64(2000), reservation.Size.MilliCPU)
	assert.False(t, r.Offer(offer("b", cores(3)), 0).Reserved)

	place(t, r, "c", cores(2), false)
	over := []port.TaskStatus{used("p-a", 2500, 4096), used("p-c", 2000, 8192)}
	actions := r.Report("w000", over, time.Second)
	require.Len(t, actions, 1)
	assert.Equal(t, port.ActionThrottle, actions[0].Action)
	assert.Empty(t, r.Report("w000", over, 2*time.Second), "a recent action must not be repeated")
	require.NoError(t, r.Invariant())
}

func TestAdoptedTasksBlockAFullWorker(t *testing.T) {
	r := newRack(workers(1, cores(4)))
	for _, id := range []string{"a", "b", "c"} {
		require.NoError(t, r.Adopt("w000", port.TaskStatus{
			Task: model.TaskID(id), Permit: id, Team: "t", Declared: cores(2),
		}, model.Permit{}, 0))
	}
	assert.False(t, r.Offer(offer("d", cores(1)), 0).Reserved)
	require.NoError(t, r.Invariant())
	r.Ended("a", ResultDone, 0)
	r.Ended("b", ResultDone, 0)
	assert.True(t, r.Offer(offer("d", cores(1)), 0).Reserved)
	require.NoError(t, r.Invariant())

	require.NoError(t, r.Adopt("w000", port.TaskStatus{
		Task: "e", Permit: "e", Team: "t", Declared: model.Resources{MemoryMiB: 8192},
	}, model.Permit{}, 0))
	assert.False(t, r.Offer(offer("f", model.Resources{MilliCPU: 500}), 0).Reserved, "memory is overcommitted")
}

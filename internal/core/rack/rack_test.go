package rack

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func cores(n int64) model.Resources {
	return model.Resources{MilliCPU: n * 1000, MemoryMiB: n * 4096}
}

func workers(n int, capacity model.Resources) []model.VM {
	vms := make([]model.VM, n)
	for i := range vms {
		vms[i] = model.VM{
			ID: model.VMID(fmt.Sprintf("w%03d", i)), Role: model.RoleWorker,
			FailureDomain: "a", Rack: "r", Capacity: capacity,
		}
	}
	return vms
}

func newRack(vms []model.VM) *Rack {
	r := New(Options{})
	r.SetVMs(vms, 0)
	return r
}

func offer(id string, size model.Resources) Offer {
	return Offer{
		Permit: model.Permit{ID: "p-" + id, Team: "t", Size: size},
		Task:   model.TaskID(id), Job: model.JobID("job-" + id), Attempt: 1, Size: size,
	}
}

func TestPlacementFillsAWorkerButNotBeyondItsCapacity(t *testing.T) {
	r := newRack(workers(1, cores(4)))
	for i := range 4 {
		require.True(t, r.Offer(offer(fmt.Sprint(i), cores(1)), 0).Reserved)
	}
	d := r.Offer(offer("5", cores(1)), 0)
	assert.False(t, d.Reserved)
	assert.Equal(t, ReasonNoCapacity, d.Reason)
	assert.Positive(t, d.RetryAfter)
	require.NoError(t, r.Invariant())
}

func TestRepeatedOfferKeepsItsReservation(t *testing.T) {
	r := newRack(workers(2, cores(4)))
	first := r.Offer(offer("1", cores(2)), 0)
	assert.Equal(t, first.VM, r.Offer(offer("1", cores(2)), 0).VM)
	assert.Len(t, r.Reservations("t"), 1)

	other := offer("1", cores(2))
	other.Permit.ID = "another"
	assert.Equal(t, ReasonDuplicate, r.Offer(other, 0).Reason)
}

func TestUnknownStartKeepsItsReservationUntilRelease(t *testing.T) {
	r := newRack(workers(1, cores(1)))
	require.True(t, r.Offer(offer("1", cores(1)), 0).Reserved)
	require.True(t, r.Unknown("p-1"))
	r.SetUnresponsive("w000", true, 0)
	r.SetVMs(nil, 0)
	assert.Len(t, r.Reservations("t"), 1)
	assert.Len(t, r.ReleaseVM("w000", time.Second), 1)
	assert.Empty(t, r.Reservations("t"))
	require.NoError(t, r.Invariant())
}

package rack

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// timedOffer returns an offer with a known run time.
func timedOffer(id string, size model.Resources, d time.Duration) Offer {
	o := offer(id, size)
	o.ExpectedRun = d
	return o
}

// starve keeps a worker busy with small tasks of one second each, also offers a
// task as large as the worker, and returns when that was placed, or an hour if
// it was not.
func starve(t *testing.T, policy Policy) time.Duration {
	r := New(Options{Policy: policy})
	r.SetVMs(workers(1, cores(4)), 0)
	running := map[string]time.Duration{}
	for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
		for id, end := range running {
			if now >= end {
				r.Ended(id, ResultDone, now)
				delete(running, id)
			}
		}
		small := timedOffer(fmt.Sprint(now), cores(1), time.Second)
		if r.Offer(small, now).Reserved {
			running[small.Permit.ID] = now + time.Second
		}
		big := timedOffer("big", cores(4), time.Second)
		big.Permit.Ratio = 1
		if r.Offer(big, now).Reserved {
			return now
		}
		require.NoError(t, r.Invariant())
	}
	return time.Hour
}

func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	assert.Less(t, starve(t, Policy{}), 4*time.Second)
	assert.Equal(t, time.Hour, starve(t, Policy{HoldAfter: time.Hour}), "without holds the load must starve the large task")
}

func TestBackfillDoesNotDelayTheTaskHeldFor(t *testing.T) {
	r := New(Options{Policy: Policy{HoldAfter: time.Millisecond}})
	r.SetVMs(workers(1, cores(4)), 0)
	require.True(t, r.Offer(timedOffer("long", cores(2), 10*time.Second), 0).Reserved)
	big := timedOffer("big", cores(4), time.Second)
	require.False(t, r.Offer(big, 0).Reserved)
	require.False(t, r.Offer(big, 2*time.Millisecond).Reserved)

	assert.False(t, r.Offer(timedOffer("late", cores(1), 20*time.Second), time.Second).Reserved)
	assert.True(t, r.Offer(timedOffer("short", cores(1), 5*time.Second), time.Second).Reserved)
	assert.Equal(t, 1, r.Summary().Held)
	r.Withdraw("big")
	assert.Zero(t, r.Summary().Held)
	assert.True(t, r.Offer(timedOffer("late", cores(1), 20*time.Second), time.Second).Reserved)
}

func TestTaskRefusedElsewhereGetsAHoldAtOnce(t *testing.T) {
	r := newRack(workers(1, cores(4)))
	require.True(t, r.Offer(timedOffer("busy", cores(1), time.Second), 0).Reserved)
	big := offer("big", cores(4))
	assert.False(t, r.Offer(big, 0).Held)
	big.RefusedFor = time.Minute
	d := r.Offer(big, 0)
	assert.True(t, d.Held)
	assert.Equal(t, time.Second, d.RetryAfter)
}

func TestGangIsReservedCompletelyOrNotAtAll(t *testing.T) {
	r := newRack(workers(2, cores(4)))
	require.True(t, r.Offer(offer("busy", cores(1)), 0).Reserved)
	gang := []Offer{offer("g1", cores(4)), offer("g2", cores(4))}
	_, complete := r.ReserveGang(gang, 0, time.Second)
	assert.False(t, complete)
	assert.Len(t, r.Reservations(""), 1)

	r.Ended("p-busy", ResultDone, 0)
	_, complete = r.ReserveGang(gang, 0, time.Second)
	assert.True(t, complete)
	assert.False(t, r.CommitGang([]string{"p-g1", "p-g2"}, 2*time.Second), "expired")
	assert.Empty(t, r.Reservations(""))

	_, complete = r.ReserveGang(gang, 3*time.Second, 4*time.Second)
	require.True(t, complete)
	require.True(t, r.CommitGang([]string{"p-g1", "p-g2"}, 3*time.Second))
	r.ReleaseGang([]string{"p-g1", "p-g2"})
	assert.Len(t, r.Reservations(""), 2, "a committed gang is not released")
	require.NoError(t, r.Invariant())
}

func TestPreemptSparesTeamsWithLowerRatio(t *testing.T) {
	r := newRack(workers(16, cores(4)))
	for i, ratio := range [16]float64{1: 0.9, 2: 0.8} {
		o := offer(fmt.Sprint(i), cores(4))
		o.Permit.Ratio, o.Preemptible = ratio, true
		placed := time.Minute
		if ratio == 0.8 {
			placed = 0 // has run longer, so a preemption would lose more work
		}
		require.True(t, r.Offer(o, placed).Reserved)
		r.Started(o.Permit.ID)
	}
	urgent := offer("urgent", cores(2))
	urgent.Permit.Ratio, urgent.Urgent = 0.5, true
	require.False(t, r.Offer(urgent, time.Minute).Reserved)
	actions := r.Preempt(urgent, time.Minute)
	require.Len(t, actions, 1)
	require.Equal(t, "p-1", actions[0].Permit)
	assert.Equal(t, port.ActionCheckpoint, actions[0].Action)
	assert.Empty(t, r.Preempt(urgent, time.Minute), "a repeated call must not preempt more tasks")

	now := time.Minute + time.Second
	r.Ended("p-1", ResultStopped, now)
	assert.False(t, r.Offer(offer("other", cores(4)), now).Reserved)
	assert.True(t, r.Offer(urgent, now).Reserved)
}

func TestHoldIsNotUsedWhenItsDomainIsOut(t *testing.T) {
	r := New(Options{Policy: Policy{HoldAfter: time.Millisecond}})
	vms := workers(2, cores(4))
	vms[1].FailureDomain = "b"
	r.SetVMs(vms, 0)
	require.True(t, r.Offer(timedOffer("short", cores(4), time.Second), 0).Reserved)
	require.True(t, r.Offer(timedOffer("long", cores(4), time.Hour), 0).Reserved)
	big := timedOffer("big", cores(4), time.Second)
	r.Offer(big, 0)
	r.Offer(big, 2*time.Millisecond)
	require.Equal(t, 1, r.Summary().Held)

	held := vms[0].FailureDomain
	if short, _ := r.Lookup("p-short"); short.VM == vms[1].ID {
		held = "b"
	}
	r.SetDomainOut(func(d model.FailureDomain) bool { return d == held })
	r.Ended("p-short", ResultDone, time.Second)
	assert.False(t, r.Offer(big, time.Second).Reserved)
}

func TestSearchLooksPastManyWorkersOfOneBucket(t *testing.T) {
	vms := workers(2*bucketScanLimit, model.Resources{MilliCPU: 110})
	vms[0].Capacity.MilliCPU = 150
	vms = append(vms, model.VM{ID: "large", FailureDomain: "a", Capacity: model.Resources{MilliCPU: 3100}})
	r := newRack(vms)
	require.True(t, r.Offer(offer("fill", model.Resources{MilliCPU: 3100}), 0).Reserved)
	d := r.Offer(offer("1", model.Resources{MilliCPU: 140}), 0)
	assert.Equal(t, vms[0].ID, d.VM)
}

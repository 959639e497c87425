package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const fleetSize = 8

func newFleet() *Fleet {
	f := NewFleet(Policy{})
	f.SetSize(fleetSize)
	return f
}

func vm(i int) model.VMID { return model.VMID(fmt.Sprint("w", i)) }

// work runs jobs over all workers; each failed one is tried on the next.
func work(f *Fleet, jobs int, fails func(vm, job int) bool) {
	for job := range jobs {
		for try := range 3 {
			worker := (job + try) % fleetSize
			a := Attempt{VM: vm(worker), Job: model.JobID(fmt.Sprint(job)), Template: "t"}
			if fails(worker, job) {
				a.Result = Failed
			}
			f.RecordEnd(a, time.Duration(job)*time.Millisecond)
			if a.Result == Done {
				break
			}
		}
	}
}

func TestWorkerThatFailsWhatOthersFinishIsQuarantined(t *testing.T) {
	f := newFleet()
	work(f, 10*fleetSize, func(vm, _ int) bool { return vm == 3 })
	assert.Equal(t, []model.VMID{"w3"}, f.QuarantinedWorkers())
}

func TestJobThatFailsEverywhereBlamesNoWorker(t *testing.T) {
	f := newFleet()
	work(f, 10*fleetSize, func(_, job int) bool { return job%4 == 0 })
	assert.Empty(t, f.QuarantinedWorkers())
}

func TestCommonFaultDoesNotEmptyTheFleet(t *testing.T) {
	f := NewFleet(Policy{MaxQuarantinedShare: 0.25})
	f.SetSize(fleetSize)
	work(f, 100*fleetSize, func(vm, _ int) bool { return vm%2 == 1 })
	assert.Len(t, f.QuarantinedWorkers(), fleetSize/4)
}

func TestProbesClearARepairedWorker(t *testing.T) {
	f := newFleet()
	work(f, 10*fleetSize, func(vm, _ int) bool { return vm == 3 })
	now := time.Second
	require.False(t, f.AnyProbeDue(now))
	probe := func(result Result) {
		now += defaultProbeMax
		require.Equal(t, []model.VMID{"w3"}, f.ProbesDue(now))
		f.ProbeSent("w3")
		require.Empty(t, f.ProbesDue(now), "one probe at a time")
		f.RecordEnd(Attempt{VM: "w3", Job: model.JobID(now.String()), Template: "t", Probe: true, Result: result}, now)
	}
	probe(Done)
	assert.True(t, f.IsQuarantined("w3"), "one success is not enough")
	probe(Failed)
	assert.False(t, f.AnyProbeDue(now+defaultProbeAfter), "the delay doubles after a failure")
	probe(Done)
	probe(Done)
	assert.False(t, f.IsQuarantined("w3"))
}

func TestLostProbeIsRepeated(t *testing.T) {
	f := newFleet()
	work(f, 10*fleetSize, func(vm, _ int) bool { return vm == 3 })
	f.ProbeSent("w3")
	require.False(t, f.AnyProbeDue(time.Hour))
	f.ProbeLost("w3")
	assert.True(t, f.AnyProbeDue(time.Hour))
}

func TestMemoryOfJobsIsBounded(t *testing.T) {
	f := newFleet()
	for i := range 10 * maxJobs {
		f.RecordEnd(Attempt{VM: vm(i % fleetSize), Job: model.JobID(fmt.Sprint(i)), Result: Failed}, 0)
	}
	assert.LessOrEqual(t, len(f.jobs), maxJobs+1)
}

func TestTriesAreBounded(t *testing.T) {
	var spread, same FailureHistory
	require.True(t, spread.RecordFailure("a", false, "boom", JobPolicy{}).Retry)
	require.True(t, spread.RecordFailure("b", false, "boom", JobPolicy{}).Retry)
	verdict := spread.RecordFailure("c", false, "boom", JobPolicy{})
	assert.False(t, verdict.Retry)
	assert.Contains(t, verdict.Detail, "3 workers")

	for i := range defaultMaxFailures - 1 {
		require.True(t, same.RecordFailure(vm(i), true, "boom", JobPolicy{}).Retry, "a bad worker proves nothing")
	}
	assert.False(t, same.RecordFailure("a", true, "boom", JobPolicy{}).Retry)
}

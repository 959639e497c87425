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

func newFleet() *RackHealth {
	f := NewRackHealth(Policy{})
	f.SetSize(fleetSize)
	return f
}

func vm(i int) model.VMID { return model.VMID(fmt.Sprint("w", i)) }

// runJobs spreads jobs over the workers; a failed job is retried on the next
// worker, with up to three attempts.
func runJobs(f *RackHealth, jobs int, fails func(vm, job int) bool) {
	for job := range jobs {
		for attempt := range 3 {
			worker := (job + attempt) % fleetSize
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
	runJobs(f, 10*fleetSize, func(vm, _ int) bool { return vm == 3 })
	assert.Equal(t, []model.VMID{"w3"}, f.QuarantinedWorkers())
}

func TestJobThatFailsEverywhereQuarantinesNoWorker(t *testing.T) {
	f := newFleet()
	runJobs(f, 10*fleetSize, func(_, job int) bool { return job%4 == 0 })
	assert.Empty(t, f.QuarantinedWorkers())
}

func TestQuarantineIsLimitedToShareOfFleet(t *testing.T) {
	f := NewRackHealth(Policy{MaxQuarantinedShare: 0.25})
	f.SetSize(fleetSize)
	runJobs(f, 100*fleetSize, func(vm, _ int) bool { return vm%2 == 1 })
	assert.Len(t, f.QuarantinedWorkers(), fleetSize/4)
}

func TestProbesReleaseRepairedWorker(t *testing.T) {
	f := newFleet()
	runJobs(f, 10*fleetSize, func(vm, _ int) bool { return vm == 3 })
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
	runJobs(f, 10*fleetSize, func(vm, _ int) bool { return vm == 3 })
	f.ProbeSent("w3")
	require.False(t, f.AnyProbeDue(time.Hour))
	f.ProbeLost("w3")
	assert.True(t, f.AnyProbeDue(time.Hour))
}

func TestTrackedJobsAreBounded(t *testing.T) {
	f := newFleet()
	for i := range 10 * maxTrackedJobs {
		f.RecordEnd(Attempt{VM: vm(i % fleetSize), Job: model.JobID(fmt.Sprint(i)), Result: Failed}, 0)
	}
	assert.LessOrEqual(t, len(f.jobs), maxTrackedJobs+1)
}

func TestRetriesAreBounded(t *testing.T) {
	var onHealthyWorkers, onQuarantinedWorkers FailureHistory
	require.True(t, onHealthyWorkers.RecordFailure("a", false, "boom", RetryPolicy{}).Retry)
	require.True(t, onHealthyWorkers.RecordFailure("b", false, "boom", RetryPolicy{}).Retry)
	decision := onHealthyWorkers.RecordFailure("c", false, "boom", RetryPolicy{})
	assert.False(t, decision.Retry)
	assert.Contains(t, decision.Detail, "3 workers")

	for i := range defaultMaxFailures - 1 {
		require.True(t, onQuarantinedWorkers.RecordFailure(vm(i), true, "boom", RetryPolicy{}).Retry, "failures on a quarantined worker do not count towards MaxWorkers")
	}
	assert.False(t, onQuarantinedWorkers.RecordFailure("a", true, "boom", RetryPolicy{}).Retry)
}

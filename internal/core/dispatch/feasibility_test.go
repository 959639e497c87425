package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func TestNeverFitsReportsImpossibleJobs(t *testing.T) {
	small, large := testWorker("small"), testWorker("large")
	small.Capacity = model.Resources{MilliCPU: 4000, MemoryMiB: 8000}
	small.Labels = []string{"quick", "quick-2"}
	large.Capacity = model.Resources{MilliCPU: 16000, MemoryMiB: 64000}
	e := New(testSettings)
	queue := Queue{Name: "q", Service: small.Service}
	e.SetPolicy([]Queue{queue}, []Team{{Name: "a", UpperLimit: model.Resources{MilliCPU: 20000}}}, nil)
	job := func(step StepSpec) JobSpec { return JobSpec{Team: "a", Queue: queue, Steps: []StepSpec{step}} }
	size := func(milliCPU int64) model.Resources { return model.Resources{MilliCPU: milliCPU, MemoryMiB: 1000} }

	assert.Empty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: size(18000)})), "no worker class of the service is known")
	e.UpdateWorkers([]WorkerInfo{small, large})
	assert.Empty(t, e.NeverFits(job(StepSpec{Tasks: 9, Size: size(16000)})))
	assert.NotEmpty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: size(17000)})), "larger than any worker")
	assert.NotEmpty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: size(8000), Requires: "quick"})), "larger than any worker with the label")
	assert.Empty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: size(4000), Requires: "quick"})))
	assert.NotEmpty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: size(1000), Requires: "quic"})), "no worker has the label")
	assert.NotEmpty(t, e.NeverFits(job(StepSpec{Tasks: 3, Size: size(8000), Gang: true})), "the gang exceeds the team's limit")
	assert.Empty(t, e.NeverFits(job(StepSpec{Tasks: 3, Size: size(8000)})), "single tasks are within the limit")
	assert.Empty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: model.Resources{MilliCPU: 20000, MemoryMiB: 1000}, BestEffortCPU: true})),
		"a best-effort task reserves no CPU")
	e.UpdateWorkers(nil)
	assert.Empty(t, e.NeverFits(job(StepSpec{Tasks: 1, Size: size(16000)})), "the workers may return")
}

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// A step with enough approved workers asked about ever more of them while the headroom
// kept it from using those that it had, and kept callers of the placement policy busy.
func TestStepWithEnoughApprovedWorkersAsksNoMore(t *testing.T) {
	e, queue := waitCell(40, 2000)
	urgent := queue
	urgent.Name = "urgent"
	queue.Priority = 1
	e.SetPolicy([]Queue{urgent, queue}, nil, nil)
	step := StepSpec{Tasks: 1, Size: model.Resources{MilliCPU: 8000, MemoryMiB: 1000}, DeclaredRunTime: time.Second}
	require.True(t, e.AddJob("j", JobSpec{Team: "t", Queue: queue, Payload: "p", Steps: []StepSpec{step}, Submitted: testStart}, testStart))
	e.topPriorityUsage.peak, e.topPriorityUsage.peakAt = e.workers["w0"].info.Capacity.Scale(40), time.Second
	e.Schedule(time.Second, testStart)
	for _, request := range e.TakeAdviceRequests() {
		var approved []Approval
		for _, id := range request.Workers {
			approved = append(approved, Approval{Worker: id, Ticket: "t"})
		}
		e.ApplyAdvice(request, approved, 3*time.Second, time.Second, time.Second, nil)
	}
	for _, w := range e.workers { // too little is left beside the headroom
		w.used = model.Resources{MilliCPU: 24000, MemoryMiB: 1000}
	}
	e.version++
	e.nextFullPass = 0
	e.Schedule(time.Second+10*time.Millisecond, testStart)
	require.Empty(t, e.TakeBatch().Starts)
	assert.Empty(t, e.TakeAdviceRequests())
}

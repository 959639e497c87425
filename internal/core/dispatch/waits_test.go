package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// waitDetail returns the detail of the job's last job_waits event since the last call.
func waitDetail(e *Engine, id model.JobID) string {
	detail := ""
	for _, event := range e.TakeEvents() {
		if event.Kind == "job_waits" && event.Job == id {
			detail = event.Detail
		}
	}
	return detail
}

// waitCell returns an engine with workers of 32 processors and one team whose limit is
// the given number of processors, and a queue that needs advice.
func waitCell(workers int, limit int64) (*Engine, Queue) {
	e := New(testSettings)
	queue := Queue{Name: "advised", Service: "pattern", Slowdown: 2, BaseLatency: time.Minute, RequiresAdvice: true, AdviceDecision: 200 * time.Millisecond}
	e.SetPolicy([]Queue{queue}, []Team{{Name: "t", UpperLimit: model.Resources{MilliCPU: limit * 1000}}}, nil)
	e.SetAdvisorCount(1)
	var list []WorkerInfo
	for i := range workers {
		list = append(list, testWorker(model.VMID(fmt.Sprintf("w%d", i))))
	}
	e.UpdateWorkers(list)
	for _, w := range list {
		e.ApplyReport(w.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	return e, queue
}

// A job of the large site waited with "advice request in flight: false", and nothing
// said why it did not ask.
func TestJobWaitsNamesWhatHeldTheStepUp(t *testing.T) {
	later := testStart.Add(2 * waitLogDelay)
	step := func(tasks int) StepSpec {
		return StepSpec{Tasks: tasks, Size: model.Resources{MilliCPU: 4000, MemoryMiB: 1000}, DeclaredRunTime: time.Second}
	}
	add := func(e *Engine, id model.JobID, queue Queue, s StepSpec) {
		require.True(t, e.AddJob(id, JobSpec{Team: "t", Queue: queue, Payload: "p", Steps: []StepSpec{s}, Submitted: testStart}, later))
	}
	t.Run("advisors busy", func(t *testing.T) {
		e, queue := waitCell(1, 1000)
		add(e, "a", queue, step(1))
		add(e, "b", queue, step(1))
		e.Schedule(time.Second, later)
		assert.Contains(t, waitDetail(e, "b"), "waits for: node that is free to call the placement policy,")
		assert.Equal(t, map[WaitReason]int{WaitAnswer: 1, WaitAdvisor: 1}, e.Waits())
	})
	t.Run("answer and failed request", func(t *testing.T) {
		e, queue := waitCell(1, 1000)
		add(e, "a", queue, step(1))
		e.Schedule(time.Second, later)
		assert.Contains(t, waitDetail(e, "a"), "waits for: answer of the placement policy,")
		e.ApplyAdvice(e.TakeAdviceRequests()[0], nil, 0, time.Second, time.Second, assert.AnError)
		e.Schedule(time.Second+idlePassInterval, later)
		assert.Equal(t, map[WaitReason]int{WaitRetry: 1}, e.Waits())
	})
	t.Run("limit of the team", func(t *testing.T) {
		e, queue := waitCell(1, 3)
		add(e, "a", queue, step(1))
		e.Schedule(time.Second, later)
		detail := waitDetail(e, "a")
		assert.Contains(t, detail, "waits for: limit of the team, team within limit: false,")
	})
	t.Run("gang and no candidate", func(t *testing.T) {
		e, queue := waitCell(1, 1000)
		gang := step(10)
		gang.Gang = true
		add(e, "a", queue, gang)
		e.Schedule(time.Second, later)
		request := e.TakeAdviceRequests()[0]
		e.ApplyAdvice(request, []Approval{{Worker: "w0", Ticket: "t"}}, 3*time.Second, time.Second, time.Second, nil)
		e.TakeEvents()
		e.Schedule(time.Second+waitLogInterval/5, later)
		assert.Equal(t, map[WaitReason]int{WaitCandidate: 1}, e.Waits())
		for range 2 { // both lines: the first pass logged before the answer
			e.version++
			e.ApplyReport("w0", WorkerReport{Incarnation: 1, Clock: 7 * time.Second}, 7*time.Second)
			e.Schedule(7*time.Second, later)
		}
		detail := waitDetail(e, "a")
		assert.Contains(t, detail, "gang: room for 0 of 10 members on approved workers", "the ticket has expired")
	})
	t.Run("no advice", func(t *testing.T) {
		e, queue := waitCell(1, 1000)
		queue.RequiresAdvice = false
		e.SetPolicy([]Queue{queue}, nil, nil)
		add(e, "a", queue, step(9))
		e.Schedule(time.Second, later)
		assert.Contains(t, waitDetail(e, "a"), "1 tasks pending, waits for: free capacity,")
	})
}

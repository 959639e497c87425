package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// askedWorkers plays two seconds of a cell with one waiting step, whose requests for
// advice are all answered with no worker, and returns the workers that were asked about.
func askedWorkers(t *testing.T, workers []WorkerInfo, step StepSpec) map[model.VMID]bool {
	e := New(testSettings)
	queue := batchQueue
	queue.AdviceDecision, queue.AdvicePerWorker = 140*time.Millisecond, 2*time.Millisecond
	e.SetPolicy([]Queue{queue}, []Team{{Name: "t"}}, nil)
	e.SetAdvisorCount(147)
	e.UpdateWorkers(workers)
	for _, info := range workers {
		e.ApplyReport(info.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	require.True(t, e.AddJob("j", JobSpec{Team: "t", Queue: queue, Payload: "p", Steps: []StepSpec{step}, Submitted: testStart}, testStart))
	asked := map[model.VMID]bool{}
	for now := time.Second; now < 3*time.Second; now += 20 * time.Millisecond {
		for _, info := range workers {
			e.ApplyReport(info.ID, WorkerReport{Incarnation: 1, Clock: now}, now)
		}
		e.Schedule(now, testStart.Add(now))
		for _, request := range e.TakeAdviceRequests() {
			for _, id := range request.Workers {
				asked[id] = true
			}
			e.ApplyAdvice(request, nil, 0, now, now, nil)
		}
	}
	return asked
}

func manyWorkers(prefix string, count int, capacity model.Resources, labels ...string) []WorkerInfo {
	list := make([]WorkerInfo, count)
	for i := range list {
		list[i] = testWorker(model.VMID(fmt.Sprintf("%s%04d", prefix, i)))
		list[i].Capacity, list[i].Labels = capacity, labels
	}
	return list
}

func TestStepFindsUsableWorkersBehindManyOthers(t *testing.T) {
	small := model.Resources{MilliCPU: 16000, MemoryMiB: 64000}
	labelled := wideStep(4, 4000)
	labelled.Requires = "small"
	for name, c := range map[string]struct {
		before []WorkerInfo
		step   StepSpec
	}{
		"without the label":  {manyWorkers("a", 900, model.Resources{MilliCPU: 32000, MemoryMiB: 64000}, "large"), labelled},
		"without memory":     {manyWorkers("a", 900, model.Resources{MilliCPU: 32000, MemoryMiB: 10}, "large"), wideStep(4, 4000)},
		"that were rejected": {manyWorkers("a", 900, model.Resources{MilliCPU: 32000, MemoryMiB: 64000}, "large"), wideStep(4, 4000)},
	} {
		t.Run(name, func(t *testing.T) {
			asked := askedWorkers(t, append(c.before, manyWorkers("b", 200, small, "small")...), c.step)
			assert.True(t, asked["b0000"] || asked["b0100"] || asked["b0199"], "%d workers were asked about, none of the usable ones", len(asked))
		})
	}
}

func TestTicketForWorkerReservedForGangDoesNotStopOtherRequests(t *testing.T) {
	e := New(testSettings)
	e.SetPolicy([]Queue{batchQueue}, []Team{{Name: "t"}}, nil)
	e.SetAdvisorCount(9)
	workers := manyWorkers("w", 100, model.Resources{MilliCPU: 32000, MemoryMiB: 64000})
	e.UpdateWorkers(workers)
	for _, info := range workers {
		e.ApplyReport(info.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	require.True(t, e.AddJob("j", JobSpec{Team: "t", Queue: batchQueue, Payload: "p", Steps: []StepSpec{wideStep(1, 4000)}, Submitted: testStart}, testStart))
	s := e.jobs["j"].occurrences[0].steps[0]
	held := e.workers["w0000"]
	s.tickets[held.info.ID] = ticket{worker: held, incarnation: 1, expires: time.Minute}
	held.reservedPass, held.reservedFor = e.pass, &step{}
	candidates, _ := e.adviceCandidates(s, false, time.Second)
	assert.NotEmpty(t, candidates)
}

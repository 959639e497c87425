package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// benchQueues are the queues of a deployment of hundreds of VMs. Each requires advice.
var benchQueues = []Queue{
	{Name: "fit", Service: "pattern", Priority: 1, Slowdown: 3, BaseLatency: time.Second, RequiresAdvice: true, AdviceDecision: 420 * time.Millisecond, AdvicePerWorker: 5900 * time.Microsecond},
	{Name: "cut", Service: "pattern", Priority: 2, Slowdown: 5, BaseLatency: 3 * time.Second, RequiresAdvice: true, AdviceDecision: 140 * time.Millisecond, AdvicePerWorker: 2 * time.Millisecond},
	{Name: "quote", Service: "pattern", Priority: 0, Slowdown: 2, BaseLatency: 250 * time.Millisecond, RequiresAdvice: true, AdviceDecision: 11 * time.Millisecond, AdvicePerWorker: 160 * time.Microsecond},
}

var benchSteps = []StepSpec{
	{Tasks: 32, Size: model.Resources{MilliCPU: 9000, MemoryMiB: 8000}, DeclaredRunTime: 5 * time.Second},
	{Tasks: 32, Size: model.Resources{MilliCPU: 5200, MemoryMiB: 6000}, DeclaredRunTime: 3400 * time.Millisecond},
	{Tasks: 4, Size: model.Resources{MilliCPU: 7400, MemoryMiB: 6000}, DeclaredRunTime: 800 * time.Millisecond},
}

// benchCell returns an engine with idle workers and waiting jobs of one step each, and
// answers advice requests with every second worker.
func benchCell(workers, jobs int) *Engine {
	e := New(testSettings)
	teams := make([]Team, 60)
	for i := range teams {
		teams[i] = Team{Name: fmt.Sprintf("t%02d", i), Weight: 1}
	}
	e.SetPolicy(benchQueues, teams, nil)
	e.SetAdvisorCount(147)
	list := make([]WorkerInfo, workers)
	for i := range list {
		list[i] = testWorker(model.VMID(fmt.Sprintf("w%05d", i)))
		list[i].Capacity = model.Resources{MilliCPU: 32000, MemoryMiB: 64000}
	}
	e.UpdateWorkers(list)
	for _, info := range list {
		e.ApplyReport(info.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	for i := range jobs {
		e.AddJob(model.JobID(fmt.Sprintf("%016x", i)), JobSpec{
			Team: teams[i%len(teams)].Name, Queue: benchQueues[i%3], Payload: "p", Steps: []StepSpec{benchSteps[i%3]}, Submitted: testStart,
		}, testStart)
	}
	return e
}

// answerAdvice approves every second worker of each request and returns the number of
// tasks placed since the last call.
func answerAdvice(e *Engine, now time.Duration) int {
	for _, request := range e.TakeAdviceRequests() {
		var approved []Approval
		for i, id := range request.Workers {
			if i%2 == 0 {
				approved = append(approved, Approval{Worker: id, Ticket: "t"})
			}
		}
		e.ApplyAdvice(request, approved, 2500*time.Millisecond, now, now, nil)
	}
	e.TakeEvents()
	return len(e.TakeBatch().Starts)
}

// BenchmarkPass measures a scheduling pass of a cell that is full, with the given
// numbers of workers and of waiting steps.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{50, 350, 1100, 3000, 24000} {
		for _, jobs := range []int{500, 5000} {
			b.Run(fmt.Sprintf("workers=%d/steps=%d", workers, jobs), func(b *testing.B) {
				e := benchCell(workers, jobs)
				now := time.Second
				pass := func() int {
					e.Schedule(now, testStart.Add(now))
					return answerAdvice(e, now)
				}
				for range 5 {
					pass()
				}
				placed := 0
				b.ResetTimer()
				for range b.N {
					now += 8 * time.Millisecond
					if now > 2500*time.Millisecond {
						now = time.Second // the workers' reports and the tickets stay valid
					}
					e.version++ // as after the end of a run
					placed += pass()
				}
				b.ReportMetric(float64(placed)/float64(b.N), "placed/pass")
			})
		}
	}
}

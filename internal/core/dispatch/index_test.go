package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// checkIndexes fails the test unless the indexes hold exactly the listed workers, each
// in its place.
func checkIndexes(t *testing.T, e *Engine) {
	held := 0
	for service, x := range e.indexes {
		for level, workers := range x.levels {
			assert.Equal(t, len(workers) > 0, x.used&(1<<level) != 0, "bit of level %d", level)
			for position, w := range workers {
				held++
				assert.True(t, w.listed && w.info.Service == service && w.index == x && w.level == level && w.position == position)
				assert.Equal(t, freeLevel(w.free().MilliCPU), level)
			}
		}
	}
	listed := 0
	for _, w := range e.workers {
		if w.listed {
			listed++
		}
	}
	assert.Equal(t, listed, held)
}

// fitsAnywhere looks for a worker for the task on all workers.
func fitsAnywhere(e *Engine, s *step, now time.Duration) bool {
	for _, w := range e.workers {
		c := search{engine: e, step: s, task: s.tasks[0], now: now}
		if c.visit(w) {
			return true
		}
	}
	return false
}

func TestIndexFollowsRandomChangesAndFindsWhatFits(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := newTestEngine()
		now, sequence := time.Second, map[model.VMID]uint64{}
		active := map[model.VMID][]StartOrder{}
		for round := range 60 {
			now += 10 * time.Millisecond
			var list []WorkerInfo
			for i := range 40 {
				if rng.IntN(10) > 0 { // workers come and go
					info := testWorker(model.VMID(fmt.Sprintf("w%02d", i)))
					info.Service = []string{"pattern", "other"}[i%2]
					info.Capacity.MilliCPU = int64(8000 * (1 + i%10)) // up to 80 processors
					list = append(list, info)
				}
			}
			e.UpdateWorkers(list)
			for _, info := range list {
				report := WorkerReport{Incarnation: 1, Clock: now}
				var rest []StartOrder
				for _, order := range active[info.ID] {
					if rng.IntN(3) == 0 {
						sequence[info.ID]++
						report.EndedRuns = append(report.EndedRuns, EndedRun{Sequence: sequence[info.ID], Task: order.Task, Run: order.Run, Kind: EndDone})
						continue
					}
					rest = append(rest, order)
					report.ActiveRuns = append(report.ActiveRuns, ActiveRun{Task: order.Task, Run: order.Run})
				}
				active[info.ID] = rest
				e.ApplyReport(info.ID, report, now)
			}
			step := smallStep(1 + rng.IntN(8))
			step.Size.MilliCPU = int64(1000 + rng.IntN(20000))
			step.MaxPerWorker = rng.IntN(3)
			e.AddJob(model.JobID(fmt.Sprintf("j%d", round)), testJob(step), testStart)
			e.nextFullPass = 0
			e.Schedule(now, testStart.Add(now))
			for _, order := range e.TakeBatch().Starts {
				active[order.Worker] = append(active[order.Worker], order)
				e.ApplyStarted(order.Task, order.Run, order.Worker, now-time.Second)
			}
			checkIndexes(t, e)
			for s := range e.ready {
				assert.False(t, fitsAnywhere(e, s, now), "seed %d round %d: a pending task of step %s fits a worker", seed, round, s.occurrence.job.id)
			}
		}
	}
}

func TestWideStepAsksForAdviceInSeveralRequestsAtOnce(t *testing.T) {
	e := benchCell(200, 1) // 32 tasks of 9 processors: three fit a worker
	e.Schedule(time.Second, testStart)
	requests := e.TakeAdviceRequests()
	require.Greater(t, len(requests), 1)
	asked := map[model.VMID]bool{}
	for _, request := range requests {
		assert.LessOrEqual(t, len(request.Workers), adviceBatchSize)
		assert.Less(t, request.ExpectedLatency, 420*time.Millisecond*3/2)
		for _, id := range request.Workers {
			assert.False(t, asked[id], "%s is asked about twice", id)
			asked[id] = true
		}
	}
	assert.GreaterOrEqual(t, len(asked)*3, 2*32, "half of the workers are approved")
	e.Schedule(time.Second+50*time.Millisecond, testStart)
	assert.Empty(t, e.TakeAdviceRequests(), "the answers are awaited")
}

func TestStepsOfTheSameTimeAskAboutDifferentWorkers(t *testing.T) {
	e := benchCell(400, 9)
	e.Schedule(time.Second, testStart)
	asked := map[model.VMID]model.JobID{}
	for _, request := range e.TakeAdviceRequests() {
		for _, id := range request.Workers {
			other, twice := asked[id]
			assert.False(t, twice && other != request.Job, "%s is asked about for two jobs, though others are free", id)
			asked[id] = request.Job
		}
	}
}

func TestAdviceIsAskedAboutTheRackOfTheDataFirst(t *testing.T) {
	e := benchCell(0, 0)
	var list []WorkerInfo
	for i := range 100 {
		info := testWorker(model.VMID(fmt.Sprintf("w%03d", i)))
		info.Rack = fmt.Sprintf("r%d", i/5)
		info.Labels = []string{"kind", info.Rack}
		list = append(list, info)
	}
	e.UpdateWorkers(list)
	for _, info := range list {
		e.ApplyReport(info.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	step := benchSteps[2]
	step.PreferRack = "r7"
	e.AddJob("j", JobSpec{Team: "t00", Queue: benchQueues[2], Payload: "p", Steps: []StepSpec{step}, Submitted: testStart}, testStart)
	e.Schedule(time.Second, testStart)
	requests := e.TakeAdviceRequests()
	require.NotEmpty(t, requests)
	for i := 35; i < 40; i++ {
		assert.Contains(t, requests[0].Workers, list[i].ID)
	}
}

// The load is a long queue of batch steps, whose full passes are far apart.
func TestUrgentStepNeedsNoFullPassDuringLongQueue(t *testing.T) {
	e := benchCell(50, 0)
	now := time.Second
	for i := range 5000 {
		e.AddJob(model.JobID(fmt.Sprintf("batch%05d", i)), JobSpec{
			Team: "t01", Queue: benchQueues[1], Payload: "p", Steps: []StepSpec{benchSteps[1]}, Submitted: testStart,
		}, testStart)
	}
	for range 20 {
		e.Schedule(now, testStart.Add(now))
		answerAdvice(e, now)
		now += 10 * time.Millisecond
	}
	e.nextFullPass = 0
	e.Schedule(now, testStart.Add(now))
	e.TakeAdviceRequests()
	require.Greater(t, e.nextFullPass, now+50*time.Millisecond)
	w := e.workers["w00000"]
	for _, task := range w.sortedTasks() {
		e.ApplyReport("w00000", WorkerReport{Incarnation: 1, Clock: now, EndedRuns: []EndedRun{
			{Sequence: w.handled + 1, Task: task.name(), Run: task.run, Kind: EndDone},
		}}, now)
	}
	e.AddJob("urgent", JobSpec{Team: "t02", Queue: benchQueues[2], Payload: "p", Steps: []StepSpec{benchSteps[2]}, Submitted: testStart.Add(now)}, testStart.Add(now))
	e.Schedule(now+time.Millisecond, testStart.Add(now))
	urgent := 0
	for _, request := range e.TakeAdviceRequests() {
		if request.Job == "urgent" {
			urgent++
			assert.Contains(t, request.Workers, model.VMID("w00000"))
		}
	}
	assert.Positive(t, urgent, "the urgent step asks for advice before the next full pass")
}

func TestStepAsksAgainWhenAnswerIsOverdue(t *testing.T) {
	e := benchCell(200, 1)
	e.Schedule(time.Second, testStart)
	first := e.TakeAdviceRequests()
	require.NotEmpty(t, first)
	at := time.Second + overdueFactor*first[0].ExpectedLatency + overdueMargin
	e.Schedule(at-10*time.Millisecond, testStart)
	assert.Empty(t, e.TakeAdviceRequests())
	e.Schedule(at+idlePassInterval, testStart)
	assert.NotEmpty(t, e.TakeAdviceRequests(), "one lost answer must not hold the step up")
	for _, request := range first { // late answers are used
		e.ApplyAdvice(request, []Approval{{Worker: request.Workers[0], Ticket: "t"}}, 2500*time.Millisecond, at, at+idlePassInterval, nil)
	}
	e.Schedule(at+2*idlePassInterval, testStart)
	assert.NotEmpty(t, e.TakeBatch().Starts)
}

// Nothing else happens in the cell when the pause ends.
func TestTaskIsPlacedAfterPauseOfTheOnlyWorker(t *testing.T) {
	e := newTestEngine("w1")
	e.ApplyReport("w1", WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	e.AddJob("j", testJob(smallStep(1)), testStart)
	e.Schedule(time.Second, testStart)
	order := e.TakeBatch().Starts[0]
	e.ApplyStartRejected(order.Task, order.Run, order.Worker, "room", time.Second)
	starts := 0
	for now := time.Second; now < 2*time.Second; now += 50 * time.Millisecond {
		e.Schedule(now, testStart.Add(now))
		starts += len(e.TakeBatch().Starts)
	}
	assert.Equal(t, 1, starts)
}

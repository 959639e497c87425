package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/admission"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func TestBacklogSumsWhatWaits(t *testing.T) {
	b := newBurstTest(t, 2, []Queue{urgentQueue, batchQueue}, []Team{{Name: "a", Weight: 3}, {Name: "full", UpperLimit: model.Resources{MilliCPU: 4000}}})
	lasting := wideStep(1, 2000)
	lasting.LongRunning = true
	b.submit("lasting", "a", urgentQueue, lasting)
	b.submit("full", "full", urgentQueue, wideStep(3, 4000))
	b.submit("batch", "a", batchQueue, wideStep(40, 4000))
	b.advance()
	b.keepRunning("")
	snapshot := b.engine.Backlog(b.now, b.wall())

	assert.InDelta(t, 62000, snapshot.Capacity, 0, "without what lasts")
	assert.Equal(t, admission.Team{Weight: 3}, snapshot.Teams["a"])
	assert.InDelta(t, 4000, snapshot.Teams["full"].LimitMilliCPU, 0)
	require.Len(t, snapshot.Groups, 2)
	held := snapshot.Groups[0]
	assert.Equal(t, "full", held.Team)
	assert.Equal(t, held.Waiting, held.Held, "the team is at its limit")
	assert.InDelta(t, 2, held.Held.Tasks, 0)
	assert.InDelta(t, 8000, held.Held.Work, 0, "4 processors for a second each")
	batch := snapshot.Groups[1]
	assert.Equal(t, 2, batch.Priority)
	assert.Zero(t, batch.Held)
	assert.InDelta(t, 42, batch.Waiting.Tasks+snapshot.Placed.Tasks, 0, "lasting, full and batch tasks")
	assert.Equal(t, snapshot.Standing, batch.Oldest)
}

func TestBacklogKnowsHowLongAStepHasWaited(t *testing.T) {
	b := newBurstTest(t, 0, []Queue{batchQueue}, []Team{{Name: "a"}})
	b.submit("restored", "a", batchQueue, wideStep(1, 4000))
	assert.Equal(t, 5*time.Second, b.engine.Backlog(b.now+5*time.Second, b.wall().Add(5*time.Second)).Standing, "since it was due")
	b.engine.jobs["restored"].runStarted = true
	assert.Equal(t, time.Second, b.engine.Backlog(b.now+6*time.Second, b.wall().Add(6*time.Second)).Standing, "since it was first found waiting")
}

func TestBacklogLeavesOutWhatIsOfNoUse(t *testing.T) {
	b := newBurstTest(t, 0, []Queue{urgentQueue}, []Team{{Name: "a"}})
	b.submit("old", "a", urgentQueue, wideStep(1, 4000)) // objective: 3 x 1 s + 2 s
	snapshot := b.engine.Backlog(b.now, b.wall().Add(10*time.Second))
	assert.Len(t, snapshot.Groups, 1, "late")
	snapshot = b.engine.Backlog(b.now, b.wall().Add(20*time.Second))
	assert.Empty(t, snapshot.Groups)
	assert.Equal(t, 20*time.Second, snapshot.Standing, "it still shows that a queue stands")
}

func TestArrivalDescribesTheWholeJob(t *testing.T) {
	e := New(testSettings)
	active := testQueue
	active.Priority, active.Slowdown = 2, 4
	e.SetPolicy([]Queue{active}, []Team{{Name: "t"}}, nil)
	second := smallStep(3)
	second.DependsOn = []int{0}
	spec := testJob(smallStep(2), second)
	assert.Equal(t, admission.Job{
		ID: "j", Team: "t", Priority: 2, CriticalPath: 2 * time.Second, Objective: 9 * time.Second,
		Demand: admission.Demand{Tasks: 5, MilliCPU: 5000, Work: 5000},
	}, e.Arrival("j", &spec))
	spec.Repetitions = 2
	assert.True(t, e.Arrival("j", &spec).Exempt)
	lasting := smallStep(1)
	lasting.LongRunning = true
	spec = testJob(lasting)
	assert.True(t, e.Arrival("j", &spec).Exempt)
}

// BenchmarkBacklog takes snapshots of a queue that stands at the size of the large site.
func BenchmarkBacklog(b *testing.B) {
	e := New(testSettings)
	queue := batchQueue
	queue.RequiresAdvice = false
	e.SetPolicy([]Queue{queue}, []Team{{Name: "a"}}, nil)
	var list []WorkerInfo
	for i := range 1100 {
		list = append(list, testWorker(model.VMID(fmt.Sprint(i))))
	}
	e.UpdateWorkers(list)
	for _, info := range list {
		e.ApplyReport(info.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	for i := range 1800 {
		spec := JobSpec{Team: "a", Queue: queue, Payload: "p", Steps: []StepSpec{wideStep(32, 8000)}, Submitted: testStart}
		e.AddJob(model.JobID(fmt.Sprint(i)), spec, testStart)
	}
	e.Schedule(time.Second, testStart)
	jobs, waiting, running := e.Counts()
	control := admission.Controller{}
	now := time.Second
	for b.Loop() {
		now += 100 * time.Millisecond
		control.Observe(e.Backlog(now, testStart.Add(now)))
	}
	b.ReportMetric(float64(jobs), "jobs")
	b.ReportMetric(float64(waiting), "waiting")
	b.ReportMetric(float64(running), "placed")
}

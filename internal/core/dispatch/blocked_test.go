package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Guards against a step that never starts beside idle workers because a gang, which does
// not fit, had reserved them in an earlier pass.
func TestStepStartsAfterReservationOfCancelledGang(t *testing.T) {
	e := newTestEngine("w1", "w2")
	reportAll(e, time.Second, nil, "w1", "w2")
	running := wideStep(1, 20000)
	require.True(t, e.AddJob("running", testJob(running), testStart))
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 1)
	require.True(t, e.AddJob("gang", testJob(gangStep(2, 20000)), testStart))
	later := testJob(wideStep(1, 1000))
	later.Submitted = testStart.Add(time.Second)
	require.True(t, e.AddJob("later", later, later.Submitted))
	now := 2 * time.Second
	reportAll(e, now, nil, "w1", "w2")
	e.Schedule(now, testStart.Add(now))
	require.Empty(t, e.TakeBatch().Starts, "the gang has reserved both workers")
	e.Cancel("gang")
	now += idlePassInterval
	e.Schedule(now, testStart.Add(now))
	assert.Len(t, e.TakeBatch().Starts, 1)
}

// Guards against a gang that keeps workers idle although it cannot start once they are.
func TestGangThatCannotFitReservesNoWorkers(t *testing.T) {
	for name, prepare := range map[string]func(*Engine, *JobSpec){
		"too few workers": func(*Engine, *JobSpec) {},
		"too few workers beside long-running tasks": func(e *Engine, spec *JobSpec) {
			spec.Steps[0].Tasks = 2
			long := wideStep(1, 14000)
			long.LongRunning = true
			require.True(t, e.AddJob("long", testJob(long), testStart))
			e.Schedule(time.Second, testStart)
			require.Len(t, e.TakeBatch().Starts, 1)
		},
		"limit per worker": func(_ *Engine, spec *JobSpec) {
			spec.Steps[0].Size.MilliCPU, spec.Steps[0].MaxPerWorker = 1000, 1
		},
		"limit of the team": func(e *Engine, spec *JobSpec) {
			spec.Steps[0].Tasks, spec.Team = 2, "small"
			e.SetPolicy([]Queue{testQueue}, []Team{{Name: "t"}, {Name: "small", UpperLimit: model.Resources{MilliCPU: 30000}}}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine("w1", "w2")
			reportAll(e, time.Second, nil, "w1", "w2")
			gang := testJob(gangStep(3, 20000))
			prepare(e, &gang)
			require.True(t, e.AddJob("gang", gang, testStart))
			later := testJob(wideStep(2, 17000))
			later.Submitted = testStart.Add(time.Second)
			require.True(t, e.AddJob("later", later, later.Submitted))
			now := 2 * time.Second
			reportAll(e, now, nil, "w1", "w2")
			e.Schedule(now, testStart.Add(now))
			starts := e.TakeBatch().Starts
			require.Len(t, starts, 2)
			assert.Equal(t, model.JobID("later"), starts[0].Task.Job)
		})
	}
}

// Guards against a gang that loses its reservation to new steps while nothing ends.
func TestGangKeepsReservationWhileItIsNotTriedAgain(t *testing.T) {
	e := newTestEngine("w1", "w2")
	reportAll(e, time.Second, nil, "w1", "w2")
	require.True(t, e.AddJob("running", testJob(wideStep(1, 20000)), testStart))
	e.Schedule(time.Second, testStart)
	require.Len(t, e.TakeBatch().Starts, 1)
	require.True(t, e.AddJob("gang", testJob(gangStep(2, 20000)), testStart))
	for i := range 5 {
		now := time.Second + 2*reserveDelay + time.Duration(i)*idlePassInterval
		later := testJob(wideStep(1, 16000))
		later.Submitted = testStart.Add(now)
		require.True(t, e.AddJob(model.JobID(fmt.Sprint("later", i)), later, later.Submitted))
		e.Schedule(now, testStart.Add(now))
		assert.Empty(t, e.TakeBatch().Starts, "pass %d", i)
	}
}

// Guards against a step that is not tried again when the headroom that held it up decays.
func TestStepStartsAfterHeadroomHasDecayed(t *testing.T) {
	e := New(testSettings)
	urgent, batch := Queue{Name: "urgent", Service: "pattern", Slowdown: 2, BaseLatency: time.Minute}, testQueue
	batch.Priority = 1
	e.SetPolicy([]Queue{urgent, batch}, []Team{{Name: "t"}}, nil)
	e.UpdateWorkers([]WorkerInfo{testWorker("w1")})
	reportAll(e, time.Second, nil, "w1")
	e.topPriorityUsage.peak, e.topPriorityUsage.peakAt = model.Resources{MilliCPU: 32000}, time.Second
	spec := testJob(wideStep(1, 28000))
	spec.Queue = batch
	require.True(t, e.AddJob("j", spec, testStart))
	started := 0
	for now := time.Second; now < 10*time.Second; now += idlePassInterval {
		reportAll(e, now, nil, "w1")
		e.Schedule(now, testStart)
		started += len(e.TakeBatch().Starts)
		if now == time.Second {
			require.Zero(t, started, "the headroom is kept free")
		}
	}
	assert.Equal(t, 1, started)
}

// canStart reports whether the step could start a task now, or a gang all its members.
func (e *Engine) canStart(s *step, now time.Duration) bool {
	if s.gang == nil {
		for _, t := range s.tasks {
			if t.phase == pending && e.selectWorker(s, t, now, nil) != nil {
				return true
			}
		}
		return false
	}
	if !withinLimit(s.occurrence.job.team, s.spec.Size.Scale(int64(len(s.tasks)))) {
		return false
	}
	planned := map[*worker]int{}
	for _, t := range s.tasks {
		w := e.selectWorker(s, t, now, planned)
		if w == nil {
			return false
		}
		planned[w]++
	}
	return true
}

// blockedModel drives an engine with random events.
type blockedModel struct {
	engine  *Engine
	now     time.Duration
	list    map[model.VMID]*WorkerInfo
	running map[model.VMID][]StartOrder
	strange map[model.VMID]bool // reports a run that the engine does not know
	ends    map[model.VMID]uint64
	advised []AdviceRequest
	queues  []Queue
	jobs    int
}

func newBlockedModel(workers int) *blockedModel {
	m := &blockedModel{
		engine: New(testSettings), now: time.Second, list: map[model.VMID]*WorkerInfo{}, running: map[model.VMID][]StartOrder{},
		strange: map[model.VMID]bool{}, ends: map[model.VMID]uint64{},
		queues: []Queue{
			{Name: "urgent", Service: "pattern", Slowdown: 2, BaseLatency: time.Second},
			{Name: "batch", Service: "pattern", Priority: 1, Slowdown: 4, BaseLatency: 3 * time.Second},
			{Name: "advised", Service: "pattern", Priority: 1, Slowdown: 4, BaseLatency: 3 * time.Second, RequiresAdvice: true, AdviceDecision: 20 * time.Millisecond},
		},
	}
	m.setPolicy(false, false)
	m.engine.SetAdvisorCount(3)
	for i := range workers {
		info := testWorker(model.VMID(fmt.Sprintf("w%d", i)))
		info.Labels, info.Domain = []string{"a"}, model.FailureDomain(fmt.Sprint("z", i%2))
		m.list[info.ID] = &info
	}
	m.update()
	for id := range m.list {
		m.report(id, 0)
	}
	return m
}

func (m *blockedModel) wall() time.Time { return testStart.Add(m.now) }

func (m *blockedModel) setPolicy(limited, out bool) {
	teams := []Team{{Name: "t"}, {Name: "u"}}
	if limited {
		teams[0].UpperLimit.MilliCPU = 40000
	}
	var domains []model.FailureDomain
	if out {
		domains = append(domains, "z1")
	}
	m.engine.SetPolicy(m.queues, teams, domains)
}

func (m *blockedModel) update() {
	var list []WorkerInfo
	for i := range len(m.list) {
		list = append(list, *m.list[model.VMID(fmt.Sprintf("w%d", i))])
	}
	m.engine.UpdateWorkers(list)
}

// report applies a report of the worker in which the given number of its runs has ended.
func (m *blockedModel) report(id model.VMID, ended int) {
	report := WorkerReport{Incarnation: 1, Clock: m.now}
	for _, order := range m.running[id] {
		if ended > 0 {
			ended--
			m.ends[id]++
			report.EndedRuns = append(report.EndedRuns, EndedRun{Sequence: m.ends[id], Task: order.Task, Run: order.Run, Kind: EndDone})
			continue
		}
		report.ActiveRuns = append(report.ActiveRuns, ActiveRun{Task: order.Task, Run: order.Run, Percent: fullPace})
	}
	m.running[id] = m.running[id][len(report.EndedRuns):]
	if m.strange[id] {
		report.ActiveRuns = append(report.ActiveRuns, ActiveRun{Task: TaskName{Job: "strange"}, Run: 1})
	}
	m.engine.ApplyReport(id, report, m.now)
}

func (m *blockedModel) addJob(t *rapid.T) {
	spec := JobSpec{
		Team: rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team"), Queue: rapid.SampledFrom(m.queues).Draw(t, "queue"),
		Payload: "p", Submitted: m.wall(),
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "steps") {
		s := wideStep(rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.SampledFrom([]int64{1000, 9000, 20000}).Draw(t, "cpu"))
		s.Gang = rapid.IntRange(0, 2).Draw(t, "gang") == 0
		s.LongRunning = !s.Gang && rapid.IntRange(0, 5).Draw(t, "long") == 0
		s.Requires = rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "label")
		s.MaxPerWorker = rapid.IntRange(0, 2).Draw(t, "most")
		if i > 0 {
			s.DependsOn = []int{0}
		}
		spec.Steps = append(spec.Steps, s)
	}
	m.jobs++
	m.engine.AddJob(model.JobID(fmt.Sprintf("j%03d", m.jobs)), spec, m.wall())
}

// step applies one random event.
func (m *blockedModel) step(t *rapid.T) {
	id := model.VMID(fmt.Sprintf("w%d", rapid.IntRange(0, len(m.list)-1).Draw(t, "worker")))
	info := m.list[id]
	switch rapid.SampledFrom([]string{"job", "job", "end", "end", "report", "cancel", "reject", "strange", "label", "capacity", "domain", "drain", "policy", "advice", "silence", "upkeep"}).Draw(t, "event") {
	case "job":
		m.addJob(t)
	case "end":
		m.report(id, rapid.IntRange(1, 3).Draw(t, "ended"))
	case "report":
		m.report(id, 0)
	case "cancel":
		if m.jobs > 0 {
			m.engine.Cancel(model.JobID(fmt.Sprintf("j%03d", rapid.IntRange(1, m.jobs).Draw(t, "job"))))
		}
	case "reject":
		if orders := m.running[id]; len(orders) > 0 {
			m.running[id] = orders[1:]
			m.engine.ApplyStartRejected(orders[0].Task, orders[0].Run, id, "room", m.now)
		}
	case "strange":
		m.strange[id] = !m.strange[id]
	case "label":
		info.Labels = []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "new label")}
		m.update()
	case "capacity":
		info.Capacity.MilliCPU = rapid.SampledFrom([]int64{16000, 32000}).Draw(t, "capacity")
		m.update()
	case "domain":
		info.Domain = model.FailureDomain(rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "new domain"))
		m.update()
	case "drain":
		info.Draining = !info.Draining
		m.update()
	case "policy":
		m.setPolicy(rapid.Bool().Draw(t, "limited"), rapid.Bool().Draw(t, "out"))
	case "advice":
		if len(m.advised) > 0 {
			request := m.advised[0]
			m.advised = m.advised[1:]
			var approved []Approval
			for i, worker := range request.Workers {
				if i%3 != 2 {
					approved = append(approved, Approval{Worker: worker, Ticket: "t"})
				}
			}
			m.engine.ApplyAdvice(request, approved, time.Second, m.now, m.now, nil)
		}
	case "silence":
		m.now += testSettings.MaxReportAge
	case "upkeep":
		m.engine.DrainWorkers([]model.VMID{id}[:rapid.IntRange(0, 1).Draw(t, "cordoned")])
	}
}

// schedule runs a pass, and removes the runs that the engine stops.
func (m *blockedModel) schedule() {
	m.engine.Schedule(m.now, m.wall())
	for _, order := range m.engine.TakeBatch().Starts {
		m.running[order.Worker] = append(m.running[order.Worker], order)
	}
	for _, stop := range m.engine.TakeStopOrders() {
		var left []StartOrder
		for _, order := range m.running[stop.Worker] {
			if order.Task != stop.Task {
				left = append(left, order)
			}
		}
		m.running[stop.Worker] = left
		m.engine.ApplyStopped(stop.Task, stop.Run, stop.Worker, m.now)
	}
	m.advised = append(m.advised, m.engine.TakeAdviceRequests()...)
	m.engine.TakeEvents()
}

// Guards against steps that wait beside workers that could take them, after whatever
// change: a full pass leaves no ready step that a worker could take.
func TestFullPassLeavesNoStepThatCouldStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newBlockedModel(rapid.IntRange(1, 5).Draw(t, "workers"))
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				m.step(t)
			}
			m.now += rapid.SampledFrom([]time.Duration{time.Microsecond, 10 * time.Microsecond, 5 * time.Millisecond, idlePassInterval, 400 * time.Millisecond}).Draw(t, "pause")
			m.schedule()
			if m.engine.lastFullPass != m.now {
				continue
			}
			for s := range m.engine.ready {
				if m.engine.canStart(s, m.now) {
					t.Fatalf("step %s.%d was left out though a worker could take it: version %d, blocked at %d, gang %t, advice %t",
						s.occurrence.job.id, s.index, m.engine.version, s.blockedVersion, s.gang != nil, m.engine.requiresAdvice(s))
				}
			}
		}
	})
}

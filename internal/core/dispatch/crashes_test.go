package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const crashTick = 100 * time.Millisecond

// crashTest plays an engine and workers that runs of some jobs crash.
type crashTest struct {
	t       *testing.T
	engine  *Engine
	now     time.Duration
	workers map[model.VMID]*crashWorker
	deadly  map[model.JobID]bool
	runTime map[model.JobID]time.Duration
	starts  map[model.JobID]int
	ended   map[model.JobID]JobState
	events  []Event
	saved   map[TaskName]TaskState
	listed  []model.VMID // workers on the list
}

type crashWorker struct {
	incarnation int64
	listedAs    int64 // incarnation of its latest entry on the worker list
	bornAt      time.Duration
	downUntil   time.Duration
	silent      bool // sends no reports
	runs        map[TaskName]*crashRun
	ended       []EndedRun
	lastEnd     uint64
}

type crashRun struct {
	run uint64
	at  time.Duration
}

func newCrashTest(t *testing.T, workers int) *crashTest {
	c := &crashTest{
		t: t, engine: newTestEngine(), now: time.Second, workers: map[model.VMID]*crashWorker{}, deadly: map[model.JobID]bool{},
		runTime: map[model.JobID]time.Duration{}, starts: map[model.JobID]int{}, ended: map[model.JobID]JobState{}, saved: map[TaskName]TaskState{},
	}
	for i := range workers {
		c.workers[model.VMID(fmt.Sprintf("w%02d", i))] = &crashWorker{incarnation: 1, bornAt: c.now - time.Second, runs: map[TaskName]*crashRun{}}
	}
	c.list(slices.Collect(maps.Keys(c.workers))...)
	return c
}

func (c *crashTest) list(ids ...model.VMID) {
	c.listed = ids
	var list []WorkerInfo
	for _, id := range ids {
		w := c.workers[id]
		w.listedAs = w.incarnation
		info := testWorker(id)
		info.Incarnation = w.incarnation
		list = append(list, info)
	}
	c.engine.UpdateWorkers(list)
}

func (c *crashTest) submit(id model.JobID, runTime time.Duration, deadly bool, steps ...StepSpec) {
	c.runTime[id], c.deadly[id] = runTime, deadly
	require.True(c.t, c.engine.AddJob(id, testJob(steps...), testStart.Add(c.now)))
}

// crash restarts the worker after the downtime. Its runs are lost.
func (c *crashTest) crash(id model.VMID, downtime time.Duration) {
	w := c.workers[id]
	w.downUntil, w.incarnation, w.bornAt = c.now+downtime, w.incarnation+1, c.now+downtime
	w.runs, w.ended, w.lastEnd = map[TaskName]*crashRun{}, nil, 0
}

// advance plays the given time. Deadly runs crash their worker 200 ms after the start.
func (c *crashTest) advance(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += crashTick {
		for _, id := range slices.Sorted(maps.Keys(c.workers)) {
			c.advanceWorker(id)
		}
		c.engine.Schedule(c.now, testStart.Add(c.now))
		c.take()
	}
}

func (c *crashTest) advanceWorker(id model.VMID) {
	w := c.workers[id]
	if c.now < w.downUntil {
		return
	}
	for name, run := range w.runs {
		if c.deadly[name.Job] && c.now-run.at >= 200*time.Millisecond {
			c.crash(id, 3*time.Second)
			return
		}
	}
	for name, run := range w.runs {
		if c.now-run.at >= c.runTime[name.Job] {
			delete(w.runs, name)
			w.lastEnd++
			w.ended = append(w.ended, EndedRun{Sequence: w.lastEnd, Task: name, Run: run.run, Kind: EndDone})
		}
	}
	if !w.silent {
		c.report(id)
	}
}

func (c *crashTest) report(id model.VMID) {
	w := c.workers[id]
	report := WorkerReport{Incarnation: w.incarnation, Clock: c.now - w.bornAt + time.Millisecond, EndedRuns: w.ended}
	for name, run := range w.runs {
		report.ActiveRuns = append(report.ActiveRuns, ActiveRun{Task: name, Run: run.run, Percent: fullPace})
	}
	c.engine.ApplyReport(id, report, c.now)
	if w.listedAs != w.incarnation && slices.Contains(c.listed, id) {
		c.list(c.listed...) // the worker has published its new entry
	}
}

// take delivers the engine's orders. Those to a worker that is down have no effect.
func (c *crashTest) take() {
	batch := c.engine.TakeBatch()
	for _, state := range batch.Tasks {
		c.saved[state.Task] = state
	}
	for _, end := range batch.Ended {
		c.ended[end.Job] = end.State
	}
	for _, order := range batch.Starts {
		w := c.workers[order.Worker]
		if c.now < w.downUntil || w.silent {
			c.engine.ApplyStartRejected(order.Task, order.Run, order.Worker, "unreachable", c.now)
			continue
		}
		c.starts[order.Task.Job]++
		w.runs[order.Task] = &crashRun{run: order.Run, at: c.now}
		c.engine.ApplyStarted(order.Task, order.Run, order.Worker, c.now-w.bornAt+time.Millisecond)
	}
	for _, stop := range c.engine.TakeStopOrders() {
		w := c.workers[stop.Worker]
		if run, ok := w.runs[stop.Task]; ok && c.now >= w.downUntil && run.run <= stop.Run {
			delete(w.runs, stop.Task)
			w.lastEnd++
			w.ended = append(w.ended, EndedRun{Sequence: w.lastEnd, Task: stop.Task, Run: run.run, Kind: EndStopped})
		}
	}
	c.events = append(c.events, c.engine.TakeEvents()...)
}

func (c *crashTest) count(kind string, job model.JobID) int {
	count := 0
	for _, event := range c.events {
		if event.Kind == kind && event.Job == job {
			count++
		}
	}
	return count
}

// workerOf returns a worker on which a run of the job is active, or "".
func (c *crashTest) workerOf(job model.JobID) model.VMID {
	for id, w := range c.workers {
		for name := range w.runs {
			if name.Job == job {
				return id
			}
		}
	}
	return ""
}

// workerOfTask returns the worker on which a run of the task is active, or "".
func (c *crashTest) workerOfTask(name TaskName) model.VMID {
	for id, w := range c.workers {
		if w.runs[name] != nil {
			return id
		}
	}
	return ""
}

func TestAttributionNamesRunsThatCanHaveCrashedTheWorker(t *testing.T) {
	early, late, uncertain := runAtCrash{started: true, unit: 1}, runAtCrash{started: true, worked: deadlyWindow, unit: 2}, runAtCrash{unit: 3}
	other, member := runAtCrash{started: true, unit: 4}, runAtCrash{started: true, unit: 1}
	for name, test := range map[string]struct {
		runs []runAtCrash
		want []attribution
	}{
		"one run":                    {[]runAtCrash{early}, []attribution{{true, true}}},
		"two fresh runs":             {[]runAtCrash{early, other}, []attribution{{true, false}, {true, false}}},
		"beside a run long at work":  {[]runAtCrash{early, late}, []attribution{{true, true}, {}}},
		"only runs long at work":     {[]runAtCrash{late, late}, []attribution{{}, {}}},
		"unconfirmed beside started": {[]runAtCrash{early, uncertain}, []attribution{{true, false}, {true, false}}},
		"unconfirmed only":           {[]runAtCrash{uncertain}, []attribution{{true, true}}},
		"members of the same gang":   {[]runAtCrash{early, member}, []attribution{{true, true}, {true, true}}},
	} {
		assert.Equal(t, test.want, attribute(test.runs), name)
	}
}

func TestCrashLimits(t *testing.T) {
	proof := func(id model.VMID) Crash {
		return Crash{Worker: id, Incarnation: 1, Started: true, Early: true, Alone: true}
	}
	suspicion := func(id model.VMID) Crash { return Crash{Worker: id, Incarnation: 1, Started: true, Early: true} }
	late := func(id model.VMID) Crash { return Crash{Worker: id, Incarnation: 1, Started: true} }
	unconfirmed := func(id model.VMID) Crash { return Crash{Worker: id, Incarnation: 1, Early: true} }
	apart := func(id model.VMID) Crash { return Crash{Worker: id, Incarnation: 1, Early: true, Alone: true} }
	unresolved := func(id model.VMID) Crash { return Crash{Worker: id, Incarnation: 1, Unresolved: true, Early: true} }
	explained := func(id model.VMID) Crash { c := suspicion(id); c.Explained = true; return c }
	for name, test := range map[string]struct {
		history crashHistory
		want    bool
	}{
		"one":                              {crashHistory{proof("a")}, false},
		"two with proof":                   {crashHistory{proof("a"), proof("b")}, false},
		"three with proof":                 {crashHistory{proof("a"), proof("b"), proof("c")}, true},
		"suspicion then proof":             {crashHistory{suspicion("a"), proof("b")}, false},
		"proof then suspicion":             {crashHistory{proof("a"), suspicion("b")}, false},
		"late then proof":                  {crashHistory{late("a"), proof("b")}, false},
		"two late":                         {crashHistory{late("a"), late("b")}, false},
		"the same worker twice":            {crashHistory{proof("a"), {Worker: "a", Incarnation: 2, Started: true, Early: true, Alone: true}}, false},
		"three of any kind":                {crashHistory{late("a"), suspicion("b"), unconfirmed("c")}, true},
		"three unconfirmed":                {crashHistory{unconfirmed("a"), unconfirmed("b"), unconfirmed("c")}, false},
		"one reliable of three":            {crashHistory{proof("a"), unconfirmed("b"), unconfirmed("c")}, false},
		"one reliable of four":             {crashHistory{proof("a"), unconfirmed("b"), unconfirmed("c"), unconfirmed("d")}, true},
		"five unconfirmed":                 {crashHistory{unconfirmed("a"), unconfirmed("b"), unconfirmed("c"), unconfirmed("d"), unconfirmed("e")}, true},
		"unconfirmed then twice apart":     {crashHistory{unconfirmed("a"), apart("b"), apart("c")}, true},
		"unconfirmed then proof":           {crashHistory{unconfirmed("a"), proof("b")}, false},
		"one and many unresolved":          {crashHistory{proof("a"), unresolved("b"), unresolved("c"), unresolved("d")}, false},
		"four unresolved":                  {crashHistory{unresolved("a"), unresolved("b"), unresolved("c"), unresolved("d")}, false},
		"five unresolved":                  {crashHistory{unresolved("a"), unresolved("b"), unresolved("c"), unresolved("d"), unresolved("e")}, true},
		"two and one unresolved":           {crashHistory{suspicion("a"), suspicion("b"), unresolved("c")}, true},
		"proof before an unresolved":       {crashHistory{suspicion("a"), proof("b"), unresolved("c")}, true},
		"explained ones":                   {crashHistory{explained("a"), explained("b"), suspicion("c")}, false},
		"explained ones then alone":        {crashHistory{explained("a"), explained("b"), apart("c")}, true},
		"explained ones up to total limit": {crashHistory{explained("a"), explained("b"), explained("c"), explained("d"), late("e")}, true},
	} {
		assert.Equal(t, test.want, test.history.exceeded(), name)
	}
}

func TestTwoDeadlyTasksAmongSoundOnesAreGivenUpAlone(t *testing.T) {
	c := newCrashTest(t, 12)
	c.list("w00") // all start on the same worker
	c.advance(crashTick)
	for i := range 8 {
		c.submit(model.JobID(fmt.Sprintf("j%d", i)), 2*time.Second, i < 2, smallStep(1))
	}
	c.advance(crashTick)
	require.Len(t, c.workers["w00"].runs, 8)
	c.list(slices.Collect(maps.Keys(c.workers))...)
	c.advance(20 * time.Second)
	for i := range 8 {
		id := model.JobID(fmt.Sprintf("j%d", i))
		if i < 2 {
			assert.Equal(t, Failed, c.ended[id], id)
			assert.Equal(t, crashLimit, c.starts[id], id)
			assert.Equal(t, 1, c.count("task_given_up", id), id)
		} else {
			assert.Equal(t, Completed, c.ended[id], id)
			assert.Equal(t, 1, c.count("worker_crashed", id), id)
			assert.Equal(t, 1, c.count("suspect_cleared", id), id)
		}
	}
}

func TestNothingIsPlacedBesideSuspectUntilItIsCleared(t *testing.T) {
	c := newCrashTest(t, 3)
	c.advance(crashTick)
	c.submit("first", 20*time.Second, false, smallStep(1))
	c.advance(crashTick)
	c.crash(c.workerOf("first"), 0)
	c.advance(3 * crashTick)
	suspected := c.workerOf("first")
	require.NotEmpty(t, suspected)
	c.submit("more", 20*time.Second, false, smallStep(90))
	c.advance(crashTick)
	assert.Len(t, c.workers[suspected].runs, 1)
	c.advance(deadlyWindow + 3*crashTick)
	assert.Equal(t, 1, c.count("suspect_cleared", "first"))
	assert.Greater(t, len(c.workers[suspected].runs), 1)
}

func TestSuspectNeedsNoIdleWorker(t *testing.T) {
	c := newCrashTest(t, 3)
	c.advance(crashTick)
	c.submit("others", time.Hour, false, smallStep(75))
	c.advance(5 * time.Second)
	c.submit("suspect", 10*time.Second, false, smallStep(1))
	c.advance(crashTick)
	c.crash(c.workerOf("suspect"), 0)
	c.advance(separationWait + 3*crashTick)
	assert.NotEmpty(t, c.workerOf("suspect"))
}

func TestCutOffWorkerDoesNotCountAsCrashed(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		c := newCrashTest(t, 2)
		c.advance(crashTick)
		c.submit("j", 30*time.Second, false, smallStep(1))
		c.advance(crashTick)
		id := c.workerOf("j")
		w := c.workers[id]
		w.silent, w.runs = true, map[TaskName]*crashRun{}
		c.advance(6 * time.Second)
		c.engine.ExpireRuns(id)
		c.take()
		require.Len(t, c.saved[TaskName{Job: "j"}].Crashes, 1)
		assert.True(t, c.saved[TaskName{Job: "j"}].Crashes[0].Unresolved)
		w.silent = false
		if restarted {
			c.crash(id, 0)
		}
		c.advance(2 * crashTick)
		crashes := c.saved[TaskName{Job: "j"}].Crashes
		if !restarted {
			assert.Empty(t, crashes, "the same incarnation reports again")
			continue
		}
		require.Len(t, crashes, 1)
		assert.False(t, crashes[0].Unresolved)
		assert.False(t, crashes[0].Started, "the run may have ended before the crash")
	}
}

func TestPlannedStopsDoNotCountAsCrashes(t *testing.T) {
	for name, stop := range map[string]func(*crashTest, model.VMID){
		"draining": func(c *crashTest, id model.VMID) {
			info := testWorker(id)
			info.Draining = true
			c.engine.UpdateWorkers([]WorkerInfo{info})
			c.crash(id, 0)
		},
		"cordoned": func(c *crashTest, id model.VMID) {
			c.engine.DrainWorkers([]model.VMID{id})
			c.crash(id, 0)
		},
		"upkeep": func(c *crashTest, id model.VMID) {
			c.engine.EndRunsOfStopped(id)
			c.crash(id, 0)
		},
		"evacuation": func(c *crashTest, _ model.VMID) {
			c.engine.SetPolicy([]Queue{testQueue}, []Team{{Name: "t"}}, []model.FailureDomain{"z1"})
		},
	} {
		c := newCrashTest(t, 1)
		c.advance(crashTick)
		c.submit("j", 30*time.Second, false, smallStep(1))
		c.advance(crashTick)
		stop(c, c.workerOf("j"))
		c.advance(3 * crashTick)
		assert.Empty(t, c.saved[TaskName{Job: "j"}].Crashes, name)
		assert.Zero(t, c.count("worker_crashed", "j"), name)
	}
}

func TestCrashAfterDrainedRestartCountsAgain(t *testing.T) {
	c := newCrashTest(t, 1)
	c.advance(crashTick)
	info := testWorker("w00")
	info.Draining = true
	c.engine.UpdateWorkers([]WorkerInfo{info})
	c.crash("w00", 0)
	c.advance(crashTick)
	c.list("w00")
	c.submit("j", 30*time.Second, false, smallStep(1))
	c.advance(2 * crashTick)
	require.Equal(t, model.VMID("w00"), c.workerOf("j"))
	c.crash("w00", 0)
	c.advance(crashTick)
	assert.Equal(t, 1, c.count("worker_crashed", "j"))
}

func TestFlappingWorkersDoNotFailLongTaskEarly(t *testing.T) {
	c := newCrashTest(t, 4)
	c.advance(crashTick)
	c.submit("j", 15*time.Second, false, smallStep(1))
	for range 2 {
		c.advance(10 * time.Second)
		c.crash(c.workerOf("j"), 3*time.Second)
	}
	c.advance(20 * time.Second)
	assert.Equal(t, 2, c.count("worker_crashed", "j"))
	assert.Equal(t, Completed, c.ended["j"])
}

func TestGangIsSuspectedOnlyWhereItsWorkerCrashed(t *testing.T) {
	c := newCrashTest(t, 4)
	c.advance(crashTick)
	gang := smallStep(2)
	gang.Gang, gang.MaxPerWorker = true, 1
	c.submit("g", 30*time.Second, false, gang)
	c.advance(crashTick)
	name := TaskName{Job: "g", Index: 1}
	crashMember := func() {
		id := c.workerOfTask(name)
		require.NotEmpty(t, id)
		for worker, w := range c.workers {
			if worker != id && len(w.runs) > 0 { // the platform ends the other member
				for member, run := range w.runs {
					w.lastEnd++
					w.ended = append(w.ended, EndedRun{Sequence: w.lastEnd, Task: member, Run: run.run, Kind: EndGangBroken})
				}
				w.runs = map[TaskName]*crashRun{}
			}
		}
		c.crash(id, 0)
	}
	crashMember()
	c.advance(2 * time.Second)
	assert.Len(t, c.saved[name].Crashes, 1)
	assert.Empty(t, c.saved[TaskName{Job: "g", Index: 0}].Crashes)
	crashMember()
	c.advance(2 * time.Second)
	require.NotContains(t, c.ended, model.JobID("g"))
	crashMember()
	c.advance(time.Second)
	assert.Equal(t, Failed, c.ended["g"], "the limit follows the worst member")
}

func TestLastingTaskIsGivenUpOnlyForEarlyCrashes(t *testing.T) {
	lasting := smallStep(1)
	lasting.LongRunning = true
	c := newCrashTest(t, 4)
	c.advance(crashTick)
	c.submit("sound", time.Hour, false, lasting)
	for range 6 {
		c.advance(8 * time.Second)
		c.crash(c.workerOf("sound"), time.Second)
	}
	c.advance(2 * time.Second)
	assert.NotContains(t, c.ended, model.JobID("sound"))

	c.submit("deadly", time.Hour, true, lasting)
	c.advance(20 * time.Second)
	assert.Equal(t, Failed, c.ended["deadly"])
	assert.Equal(t, crashLimit, c.starts["deadly"])
}

func TestDeadlyTaskFailsItsJobWithSoundTasks(t *testing.T) {
	c := newCrashTest(t, 6)
	c.advance(crashTick)
	c.submit("j", 30*time.Second, false, smallStep(3))
	name := TaskName{Job: "j", Index: 1}
	for range crashLimit {
		c.advance(separationWait)
		if id := c.workerOfTask(name); id != "" {
			c.crash(id, 0)
		}
	}
	c.advance(time.Second)
	assert.Equal(t, Failed, c.ended["j"])
	assert.Empty(t, c.workerOf("j"), "the sound tasks are stopped")
	assert.GreaterOrEqual(t, len(c.saved[name].Crashes), reliableCrashes)
}

func TestCrashCountSurvivesTakeover(t *testing.T) {
	c := newCrashTest(t, 4)
	c.advance(crashTick)
	c.submit("j", 30*time.Second, true, smallStep(1))
	c.advance(4 * time.Second)
	require.Equal(t, 1, c.count("worker_crashed", "j"))
	saved := c.saved[TaskName{Job: "j"}]
	require.Len(t, saved.Crashes, 1)
	require.True(t, saved.Suspect)

	c.engine, c.events = newTestEngine(), nil
	c.list(slices.Collect(maps.Keys(c.workers))...)
	require.True(t, c.engine.AddJob("j", testJob(smallStep(1)), testStart))
	c.engine.Restore("j", Running, nil, []TaskState{saved}, testStart.Add(c.now))
	c.engine.AdoptPlaced()
	c.advance(15 * time.Second)
	assert.Equal(t, Failed, c.ended["j"])
	assert.LessOrEqual(t, c.starts["j"], crashLimit)
}

func TestOrderUnderWayWhenCrashBecomesKnownCounts(t *testing.T) {
	e := newTestEngine("w1", "w2", "w3")
	for _, id := range []model.VMID{"w1", "w2", "w3"} {
		e.ApplyReport(id, WorkerReport{Incarnation: 1, Clock: time.Second}, time.Second)
	}
	e.AddJob("j", testJob(smallStep(1)), testStart)
	e.Restore("j", Running, nil, []TaskState{{
		Task: TaskName{Job: "j"}, Phase: TaskPlaced, Run: 3, Worker: "w3", Incarnation: 1, Suspect: true,
		Crashes: []Crash{{Worker: "w1", Incarnation: 1, Started: true, Early: true}, {Worker: "w2", Incarnation: 1, Unresolved: true, Early: true}},
	}}, testStart)
	e.ApplyReport("w2", WorkerReport{Incarnation: 2, Clock: time.Second}, 2*time.Second)
	e.ApplyReport("w3", WorkerReport{Incarnation: 2, Clock: time.Second}, 2*time.Second)
	batch := e.TakeBatch()
	require.Len(t, batch.Ended, 1)
	assert.Equal(t, Failed, batch.Ended[0].State)
	e.Schedule(3*time.Second, testStart.Add(3*time.Second))
	assert.Empty(t, e.TakeBatch().Starts)
	details := ""
	for _, event := range e.TakeEvents() {
		if event.Kind == "job_failed" {
			details = event.Detail
		}
	}
	assert.True(t, strings.Contains(details, "w1/1") && strings.Contains(details, "w2/1") && strings.Contains(details, "w3/1"), details)
}

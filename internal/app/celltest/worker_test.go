package celltest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// fleet is a fake of the workers of a cell. It follows the platform's rules for
// orders and checks each start. All workers share its lock.
type fleet struct {
	mu         sync.Mutex
	rng        *rand.Rand
	workers    map[model.VMID]*fakeWorker
	jobs       map[model.JobID]*submittedJob
	gangs      map[string]*fakeGang
	violations []string
	newIDs     bool // workers return under another id after a crash

	lateProbability float64       // that an order gets no answer and is executed later
	failProbability float64       // that a run fails
	silentCrashes   float64       // probability that a deadly task crashes its worker before the start is answered
	listDelay       time.Duration // until an owner gets the first worker list
	listFrozen      bool          // owners get no new worker list
	listRead        time.Duration // clock reading of the last worker list
	clock           port.Clock
	limits          map[string]model.Resources // upper limits by team
}

// submittedJob is a job that callers submit and what the checker records of it.
type submittedJob struct {
	spec         dispatch.JobSpec
	runTime      time.Duration              // of each task
	firstStart   time.Time                  // zero before the first run
	cancelled    time.Time                  // zero unless the cancellation was acknowledged
	completed    map[dispatch.TaskName]bool // ended with success on a worker, acknowledged or not
	acknowledged map[dispatch.TaskName]bool // completed, and the end was acknowledged by the owner
	failures     map[dispatch.TaskName]int
	failedRuns   map[dispatch.TaskName]int  // ended as failed, acknowledged or not
	deadly       map[dispatch.TaskName]bool // crash each worker that starts them
	starts       map[dispatch.TaskName]int
	crashes      map[dispatch.TaskName]int // of workers on which the task ran
	afterCrashes map[dispatch.TaskName]int // starts after crashLimit of those
}

type fakeWorker struct {
	fleet        *fleet
	info         dispatch.WorkerInfo
	startedAt    time.Time // of the current incarnation
	token        uint64    // highest fencing token seen
	running      map[dispatch.TaskName]*fakeRun
	finished     []dispatch.EndedRun
	lastSequence uint64
	expired      map[uint64]bool              // sequences of ends not acknowledged before the lease expired
	highestRun   map[dispatch.TaskName]uint64 // highest run stopped or ended
	lease        time.Duration                // expiry, on the worker's clock
	disconnected bool                         // calls get no answer
	unlisted     bool                         // not on the worker list
	late         bool                         // a late order is being executed
	offers       []offer                      // oldest first; the last one is info.Capacity
	down         bool                         // crashed and not restarted; calls get no answer
	changed      chan struct{}                // closed and replaced when a run ends or the worker restarts
	restarted    chan struct{}                // closed and replaced at a restart, which resets the connections of before
}

type fakeRun struct {
	run     uint64
	stopped bool
}

type fakeGang struct{ started int } // tasks started

const (
	maxLease    = 10 * time.Second
	stopTime    = 400 * time.Millisecond
	gangTimeout = 3 * time.Second
	answerDelay = 2 * time.Millisecond
	// deadlyDelay is the maximum time from a deadly task's start to the crash.
	deadlyDelay = 300 * time.Millisecond
)

func newFleet(rng *rand.Rand, count int) *fleet {
	f := &fleet{
		rng: rng, workers: map[model.VMID]*fakeWorker{}, jobs: map[model.JobID]*submittedJob{},
		gangs: map[string]*fakeGang{}, limits: map[string]model.Resources{},
	}
	for i := range count {
		id := model.VMID(fmt.Sprintf("w%d", i))
		w := &fakeWorker{fleet: f, changed: make(chan struct{}), info: dispatch.WorkerInfo{
			ID: id, Service: "pattern", Address: string(id), Domain: "z1",
			Capacity: model.Resources{MilliCPU: 8000, MemoryMiB: 8000},
		}}
		w.reset()
		w.offers = []offer{{since: w.startedAt, capacity: w.info.Capacity}}
		f.workers[id] = w
	}
	return f
}

// reset begins a new incarnation without tasks.
func (w *fakeWorker) reset() {
	if w.restarted != nil {
		close(w.restarted)
	}
	w.restarted = make(chan struct{})
	w.startedAt = time.Now()
	w.info.Incarnation = w.startedAt.UnixMilli()
	w.token, w.lastSequence, w.lease = 0, 0, 0
	w.running = map[dispatch.TaskName]*fakeRun{}
	w.highestRun = map[dispatch.TaskName]uint64{}
	w.finished = nil
	w.expired = map[uint64]bool{}
}

// clock returns the time since the start of the incarnation; it is never zero.
func (w *fakeWorker) clock() time.Duration { return time.Since(w.startedAt) + time.Millisecond }

func (w *fakeWorker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%s: ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// Follow implements port.WorkerDirectory.
func (f *fleet) Follow(ctx context.Context, update func([]dispatch.WorkerInfo)) {
	time.Sleep(f.listDelay)
	for ctx.Err() == nil {
		if list := f.list(); list != nil {
			update(list)
		}
		select {
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// list returns the worker list, or nil while it cannot be read.
func (f *fleet) list() []dispatch.WorkerInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listFrozen {
		return nil
	}
	f.listRead = f.clock.Now()
	list := make([]dispatch.WorkerInfo, 0, len(f.workers))
	for _, w := range f.workers {
		if !w.unlisted {
			list = append(list, w.info)
		}
	}
	return list
}

// LastRead implements port.WorkerDirectory.
func (f *fleet) LastRead() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listRead
}

// deliver executes an order now, or later without an answer. A late order waits
// at the worker and is lost when the worker restarts.
func (f *fleet) deliver(ctx context.Context, id model.VMID, mayBeLate bool, order func(w *fakeWorker) error) error {
	time.Sleep(answerDelay)
	f.mu.Lock()
	w := f.workers[id]
	late := mayBeLate && f.rng.Float64() < f.lateProbability
	delay := 2*time.Second + time.Duration(f.rng.IntN(10000))*time.Millisecond
	if w != nil && w.down && !w.disconnected {
		restarted := w.restarted
		f.mu.Unlock()
		return awaitReset(ctx, restarted)
	}
	if w == nil || w.disconnected {
		f.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	if late {
		incarnation := w.startedAt
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.startedAt.Equal(incarnation) && !w.down {
				w.late = true
				_ = order(w)
				w.late = false
			}
		})
		<-ctx.Done()
		return ctx.Err()
	}
	err := order(w)
	down := w.down
	f.mu.Unlock()
	if down { // the order has crashed the worker
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// awaitReset returns when the worker has restarted, which resets the connection of a call
// to its earlier incarnation, or when the context ends.
func awaitReset(ctx context.Context, restarted <-chan struct{}) error {
	select {
	case <-restarted:
		return errNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkToken rejects an order with an outdated fencing token and records a newer
// one.
func (w *fakeWorker) checkToken(token uint64) error {
	if token < w.token {
		return &port.RejectedError{Reason: port.RejectFenced, Clock: w.clock()}
	}
	w.token = token
	return nil
}

func (f *fleet) Poll(ctx context.Context, target port.WorkerEndpoint, poll port.PollRequest) (dispatch.WorkerReport, error) {
	var report dispatch.WorkerReport
	var changed chan struct{}
	err := f.deliver(ctx, target.ID, false, func(w *fakeWorker) error {
		if poll.Incarnation != 0 && poll.Incarnation != w.info.Incarnation {
			return port.NotConnected.New("worker %s has restarted", target.ID)
		}
		if err := w.checkToken(poll.Token); err != nil {
			return err
		}
		if poll.LeaseUntil > 0 {
			w.renewLease(poll.LeaseUntil)
		}
		for len(w.finished) > 0 && w.finished[0].Sequence <= poll.AckedThrough {
			w.acknowledge(w.finished[0])
			w.finished = w.finished[1:]
		}
		report = w.report()
		changed = w.changed
		return nil
	})
	if err != nil || len(report.EndedRuns) > 0 || poll.Wait == 0 {
		return report, err
	}
	select {
	case <-changed:
	case <-time.After(poll.Wait):
	case <-ctx.Done():
		return report, ctx.Err()
	}
	f.mu.Lock()
	w := f.workers[target.ID]
	if w == nil || w.down { // a caller that only waits sends nothing that would reset the connection
		f.mu.Unlock()
		<-ctx.Done()
		return report, ctx.Err()
	}
	defer f.mu.Unlock()
	if w.disconnected {
		return report, errNoAnswer
	}
	return w.report(), nil
}

func (w *fakeWorker) report() dispatch.WorkerReport {
	report := dispatch.WorkerReport{Incarnation: w.info.Incarnation, Clock: w.clock()}
	for name, run := range w.running {
		report.ActiveRuns = append(report.ActiveRuns, dispatch.ActiveRun{Task: name, Run: run.run})
	}
	report.EndedRuns = append(report.EndedRuns, w.finished...)
	return report
}

// acknowledge records that the owner has acknowledged an end. An end that was not
// acknowledged before the worker's lease expired does not count: its task may run
// again.
func (w *fakeWorker) acknowledge(end dispatch.EndedRun) {
	j := w.fleet.jobs[end.Task.Job]
	if j == nil || w.expired[end.Sequence] {
		return
	}
	if end.Kind == dispatch.EndDone {
		j.acknowledged[end.Task] = true
	}
	if end.Kind == dispatch.EndFailed {
		j.failures[end.Task]++
	}
}

// renewLease extends the lease to until on the worker's clock, but to no more than
// maxLease from now. When the lease expires, the worker ends all runs.
func (w *fakeWorker) renewLease(until time.Duration) {
	w.lease = max(w.lease, min(until, w.clock()+maxLease))
	expiry, incarnation := w.lease, w.startedAt
	time.AfterFunc(expiry-w.clock(), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.startedAt.Equal(incarnation) && w.clock() >= w.lease {
			for _, end := range w.finished {
				w.expired[end.Sequence] = true
			}
			for name := range w.running {
				w.finish(name, dispatch.EndExpired)
			}
		}
	})
}

func (f *fleet) Start(ctx context.Context, target port.WorkerEndpoint, order dispatch.StartOrder, token uint64, until time.Duration) (time.Duration, error) {
	var clock time.Duration
	err := f.deliver(ctx, target.ID, true, func(w *fakeWorker) error {
		clock = w.clock()
		if order.Incarnation != w.info.Incarnation {
			return port.NotConnected.New("worker %s has restarted", target.ID)
		}
		if err := w.checkToken(token); err != nil {
			return err
		}
		if run, ok := w.running[order.Task]; ok && run.run == order.Run {
			return nil
		}
		if order.Run <= w.highestRun[order.Task] {
			return &port.RejectedError{Reason: port.RejectStaleRun, Clock: clock}
		}
		if until <= clock {
			return &port.RejectedError{Reason: port.RejectLeaseExpired, Clock: clock}
		}
		w.renewLease(until)
		w.begin(order)
		return nil
	})
	return clock, err
}

// begin starts a run and checks it.
func (w *fakeWorker) begin(order dispatch.StartOrder) {
	f := w.fleet
	j := f.jobs[order.Task.Job]
	if j == nil {
		f.addViolation("UNASKED: %s was never submitted", order.Task)
		return
	}
	f.checkStart(w, order, j)
	w.running[order.Task] = &fakeRun{run: order.Run}
	j.starts[order.Task]++
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	if j.deadly[order.Task] {
		f.crashBy(w, order)
		return
	}
	runTime := j.runTime
	kind := dispatch.EndDone
	if f.rng.Float64() < f.failProbability {
		kind, runTime = dispatch.EndFailed, runTime/2
	}
	if j.spec.Steps[order.Task.Step].Gang {
		f.joinGang(w, order, runTime)
		return
	}
	w.endAfter(order.Task, order.Run, runTime, kind)
}

func (w *fakeWorker) endAfter(name dispatch.TaskName, run uint64, runTime time.Duration, kind dispatch.EndKind) {
	incarnation := w.startedAt
	time.AfterFunc(runTime, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if current, ok := w.running[name]; ok && current.run == run && w.startedAt.Equal(incarnation) {
			w.finish(name, kind)
		}
	})
}

func (w *fakeWorker) finish(name dispatch.TaskName, kind dispatch.EndKind) {
	run := w.running[name]
	delete(w.running, name)
	if j := w.fleet.jobs[name.Job]; j != nil && kind == dispatch.EndDone {
		j.completed[name] = true
	}
	if j := w.fleet.jobs[name.Job]; j != nil && kind == dispatch.EndFailed {
		j.failedRuns[name]++
	}
	w.highestRun[name] = max(w.highestRun[name], run.run)
	w.lastSequence++
	w.finished = append(w.finished, dispatch.EndedRun{Sequence: w.lastSequence, Task: name, Run: run.run, Kind: kind})
	w.notify()
	if kind != dispatch.EndDone && kind != dispatch.EndGangBroken {
		w.fleet.breakGang(name, run.run)
	}
}

func gangKey(name dispatch.TaskName, run uint64) string {
	return fmt.Sprintf("%s.%d.%d/%d", name.Job, name.Occurrence, name.Step, run)
}

// joinGang counts a started task of a gang. The run time of the gang begins once all
// its tasks have started; a task that waits longer than gangTimeout ends alone.
func (f *fleet) joinGang(w *fakeWorker, order dispatch.StartOrder, runTime time.Duration) {
	key := gangKey(order.Task, order.Run)
	g, ok := f.gangs[key]
	if !ok {
		g = &fakeGang{}
		f.gangs[key] = g
	}
	g.started++
	size := f.jobs[order.Task.Job].spec.Steps[order.Task.Step].Tasks
	if g.started < size {
		w.endAfter(order.Task, order.Run, gangTimeout, dispatch.EndGangIncomplete)
		return
	}
	time.AfterFunc(runTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		remaining := 0
		for _, worker := range f.workers {
			for name, run := range worker.running {
				if gangKey(name, run.run) == key && !run.stopped {
					remaining++
				}
			}
		}
		if remaining < size {
			return
		}
		f.endGang(order.Task, order.Run, dispatch.EndDone)
	})
}

// breakGang ends the other tasks of a gang after one was lost or failed.
func (f *fleet) breakGang(name dispatch.TaskName, run uint64) {
	if j := f.jobs[name.Job]; j != nil && j.spec.Steps[name.Step].Gang {
		f.endGang(name, run, dispatch.EndGangBroken)
	}
}

func (f *fleet) endGang(name dispatch.TaskName, run uint64, kind dispatch.EndKind) {
	key := gangKey(name, run)
	for _, w := range f.workers {
		for task, r := range w.running {
			if gangKey(task, r.run) == key {
				w.finish(task, kind)
			}
		}
	}
}

func (f *fleet) Stop(ctx context.Context, target port.WorkerEndpoint, order dispatch.StopOrder, token uint64) (time.Duration, error) {
	var clock time.Duration
	err := f.deliver(ctx, target.ID, true, func(w *fakeWorker) error {
		clock = w.clock()
		if err := w.checkToken(token); err != nil {
			return err
		}
		if order.Run > w.highestRun[order.Task] {
			if run, ok := w.running[order.Task]; ok && run.run <= order.Run {
				run.stopped = true
				w.endAfter(order.Task, run.run, stopTime/2, dispatch.EndStopped)
			} else {
				w.highestRun[order.Task] = order.Run
			}
		}
		return nil
	})
	return clock, err
}

// crashBy makes a deadly task crash its worker, at once or soon. The worker restarts
// after 2 to 4 s.
func (f *fleet) crashBy(w *fakeWorker, order dispatch.StartOrder) {
	downtime := 2*time.Second + time.Duration(f.rng.IntN(2000))*time.Millisecond
	if f.rng.Float64() < f.silentCrashes {
		w.crash(downtime)
		return
	}
	incarnation := w.startedAt
	time.AfterFunc(time.Duration(1+f.rng.IntN(int(deadlyDelay/time.Millisecond)))*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if run, ok := w.running[order.Task]; ok && run.run == order.Run && w.startedAt.Equal(incarnation) && !w.down {
			w.crash(downtime)
		}
	})
}

// crash restarts a worker under the same id.
func (f *fleet) crash(id model.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; !w.down {
		w.crash(0)
	}
}

// losePower makes a worker silent for the downtime, after which it restarts under the
// same id.
func (f *fleet) losePower(id model.VMID, downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; !w.down {
		w.crash(downtime)
	}
}

// crash ends the worker's incarnation. All its runs are lost. It restarts under the
// same id after the downtime.
func (w *fakeWorker) crash(downtime time.Duration) {
	names := make([]dispatch.TaskName, 0, len(w.running))
	runs := make([]uint64, 0, len(w.running))
	for name, run := range w.running {
		names, runs = append(names, name), append(runs, run.run)
		if j := w.fleet.jobs[name.Job]; j != nil {
			j.crashes[name]++
		}
	}
	if downtime == 0 {
		w.reset()
	} else {
		w.down, w.running = true, map[dispatch.TaskName]*fakeRun{}
		time.AfterFunc(downtime, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			w.down = false
			if w.fleet.newIDs {
				w.rename()
			}
			w.reset()
			w.notify()
		})
	}
	w.notify()
	for i, name := range names {
		w.fleet.breakGang(name, runs[i])
	}
}

// rename gives the worker another id.
func (w *fakeWorker) rename() {
	delete(w.fleet.workers, w.info.ID)
	w.info.ID += "n"
	w.info.Address = string(w.info.ID)
	w.fleet.workers[w.info.ID] = w
}

func (f *fleet) setDisconnected(id model.VMID, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].disconnected = disconnected
}

func (f *fleet) setUnlisted(id model.VMID, unlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unlisted = unlisted
}

// Pace implements port.CellWorker. It has no effect, since the fake's tasks do not
// disturb each other.
func (f *fleet) Pace(context.Context, port.WorkerEndpoint, dispatch.PaceOrder, uint64) error {
	return nil
}

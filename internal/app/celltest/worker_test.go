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

// fleet is the cell's workers. It follows the platform's rules for orders and
// judges what it is told to do. All workers share its lock.
type fleet struct {
	mu      sync.Mutex
	rng     *rand.Rand
	workers map[model.VMID]*fakeWorker
	jobs    map[model.JobID]*submitted
	gangs   map[string]*fakeGang
	broken  []string // broken rules

	lateShare float64 // orders that get no answer and are carried out later
	failShare float64 // runs that fail
	limits    map[string]model.Resources
}

// submitted is what the clients handed in, as the checker knows it.
type submitted struct {
	spec      dispatch.JobSpec
	work      time.Duration              // of each task
	began     time.Time                  // of the first run
	cancelled time.Time                  // zero unless the cancellation was acknowledged
	done      map[dispatch.TaskName]bool // ended well, known to the owner or not
	ended     map[dispatch.TaskName]bool // ended well, and taken note of
	failures  map[dispatch.TaskName]int
}

type fakeWorker struct {
	fleet    *fleet
	info     dispatch.WorkerInfo
	born     time.Time
	token    uint64
	running  map[dispatch.TaskName]*fakeRun
	finished []dispatch.FinishedTask
	last     uint64
	lapsed   map[uint64]bool              // ends that were not taken note of before the lease ran out
	highest  map[dispatch.TaskName]uint64 // runs stopped or ended
	lease    time.Duration
	cut      bool
	changed  chan struct{}
}

type fakeRun struct {
	run     uint64
	stopped bool
}

type fakeGang struct{ present int }

const (
	longestLease = 6 * time.Second
	stopTime     = 400 * time.Millisecond
	gangTimeout  = 3 * time.Second
	answerTime   = 2 * time.Millisecond
)

func newFleet(rng *rand.Rand, count int) *fleet {
	f := &fleet{
		rng: rng, workers: map[model.VMID]*fakeWorker{}, jobs: map[model.JobID]*submitted{},
		gangs: map[string]*fakeGang{}, limits: map[string]model.Resources{},
	}
	for i := range count {
		id := model.VMID(fmt.Sprintf("w%d", i))
		w := &fakeWorker{fleet: f, changed: make(chan struct{}), info: dispatch.WorkerInfo{
			ID: id, Service: "pattern", Address: string(id), Domain: "z1",
			Capacity: model.Resources{MilliCPU: 8000, MemoryMiB: 8000},
		}}
		w.reset()
		f.workers[id] = w
	}
	return f
}

func (w *fakeWorker) reset() {
	w.born = time.Now()
	w.info.Incarnation = w.born.UnixMilli()
	w.token, w.last, w.lease = 0, 0, 0
	w.running = map[dispatch.TaskName]*fakeRun{}
	w.highest = map[dispatch.TaskName]uint64{}
	w.finished = nil
	w.lapsed = map[uint64]bool{}
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.born) + time.Millisecond }

func (w *fakeWorker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *fleet) breakRule(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf("%s: ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// Follow implements port.WorkerDirectory.
func (f *fleet) Follow(ctx context.Context, update func([]dispatch.WorkerInfo)) {
	for ctx.Err() == nil {
		f.mu.Lock()
		list := make([]dispatch.WorkerInfo, 0, len(f.workers))
		for _, w := range f.workers {
			list = append(list, w.info)
		}
		f.mu.Unlock()
		update(list)
		select {
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// deliver carries out an order now, or later without an answer. The worker
// itself holds a late order back, so that it is gone with the worker's life.
func (f *fleet) deliver(ctx context.Context, id model.VMID, mayBeLate bool, order func(w *fakeWorker) error) error {
	time.Sleep(answerTime)
	f.mu.Lock()
	w := f.workers[id]
	late := mayBeLate && f.rng.Float64() < f.lateShare
	delay := 2*time.Second + time.Duration(f.rng.IntN(10000))*time.Millisecond
	if w.cut {
		f.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	if late {
		life := w.born
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.born.Equal(life) {
				_ = order(w)
			}
		})
		<-ctx.Done()
		return ctx.Err()
	}
	defer f.mu.Unlock()
	return order(w)
}

func (w *fakeWorker) fenced(token uint64) error {
	if token < w.token {
		return &port.RejectedError{Reason: port.RejectFenced, Clock: w.clock()}
	}
	w.token = token
	return nil
}

func (f *fleet) Poll(ctx context.Context, target port.WorkerTarget, look port.PollRequest) (dispatch.WorkerReport, error) {
	var report dispatch.WorkerReport
	var changed chan struct{}
	err := f.deliver(ctx, target.ID, false, func(w *fakeWorker) error {
		if err := w.fenced(look.Token); err != nil {
			return err
		}
		if look.LeaseUntil > 0 {
			w.extend(look.LeaseUntil)
		}
		for len(w.finished) > 0 && w.finished[0].Sequence <= look.AckedThrough {
			w.noteTaken(w.finished[0])
			w.finished = w.finished[1:]
		}
		report = w.report()
		changed = w.changed
		return nil
	})
	if err != nil || len(report.Finished) > 0 || look.Wait == 0 {
		return report, err
	}
	select {
	case <-changed:
	case <-time.After(look.Wait):
	case <-ctx.Done():
		return report, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[target.ID].cut {
		return report, errNoAnswer
	}
	return f.workers[target.ID].report(), nil
}

func (w *fakeWorker) report() dispatch.WorkerReport {
	report := dispatch.WorkerReport{Incarnation: w.info.Incarnation, Clock: w.clock()}
	for name, run := range w.running {
		report.Running = append(report.Running, dispatch.RunningTask{Task: name, Run: run.run})
	}
	report.Finished = append(report.Finished, w.finished...)
	return report
}

// noteTaken counts an end that will not be told again. One that outlived the
// worker's lease does not count: its task may run again.
func (w *fakeWorker) noteTaken(end dispatch.FinishedTask) {
	j := w.fleet.jobs[end.Task.Job]
	if j == nil || w.lapsed[end.Sequence] {
		return
	}
	if end.Kind == dispatch.EndDone {
		j.ended[end.Task] = true
	}
	if end.Kind == dispatch.EndFailed {
		j.failures[end.Task]++
	}
}

func (w *fakeWorker) extend(until time.Duration) {
	w.lease = max(w.lease, min(until, w.clock()+longestLease))
	bound, life := w.lease, w.born
	time.AfterFunc(bound-w.clock(), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.born.Equal(life) && w.clock() >= w.lease {
			for _, end := range w.finished {
				w.lapsed[end.Sequence] = true
			}
			for name := range w.running {
				w.finish(name, dispatch.EndExpired)
			}
		}
	})
}

func (f *fleet) Start(ctx context.Context, target port.WorkerTarget, order dispatch.StartOrder, token uint64, until time.Duration) (time.Duration, error) {
	var clock time.Duration
	err := f.deliver(ctx, target.ID, true, func(w *fakeWorker) error {
		clock = w.clock()
		if err := w.fenced(token); err != nil {
			return err
		}
		if run, ok := w.running[order.Task]; ok && run.run == order.Run {
			return nil
		}
		if order.Run <= w.highest[order.Task] {
			return &port.RejectedError{Reason: port.RejectStaleRun, Clock: clock}
		}
		if until <= clock {
			return &port.RejectedError{Reason: port.RejectLeaseExpired, Clock: clock}
		}
		w.extend(until)
		w.begin(order)
		return nil
	})
	return clock, err
}

// begin starts a run and judges it.
func (w *fakeWorker) begin(order dispatch.StartOrder) {
	f := w.fleet
	j := f.jobs[order.Task.Job]
	if j == nil {
		f.breakRule("UNASKED: %s was never handed in", order.Task)
		return
	}
	f.judgeStart(w, order, j)
	w.running[order.Task] = &fakeRun{run: order.Run}
	if j.began.IsZero() {
		j.began = time.Now()
	}
	work := j.work
	how := dispatch.EndDone
	if f.rng.Float64() < f.failShare {
		how, work = dispatch.EndFailed, work/2
	}
	if j.spec.Steps[order.Task.Step].Gang {
		f.joinGang(w, order, work)
		return
	}
	w.endAfter(order.Task, order.Run, work, how)
}

func (w *fakeWorker) endAfter(name dispatch.TaskName, run uint64, work time.Duration, how dispatch.EndKind) {
	life := w.born
	time.AfterFunc(work, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if current, ok := w.running[name]; ok && current.run == run && w.born.Equal(life) {
			w.finish(name, how)
		}
	})
}

func (w *fakeWorker) finish(name dispatch.TaskName, how dispatch.EndKind) {
	run := w.running[name]
	delete(w.running, name)
	if j := w.fleet.jobs[name.Job]; j != nil && how == dispatch.EndDone {
		j.done[name] = true
	}
	w.highest[name] = max(w.highest[name], run.run)
	w.last++
	w.finished = append(w.finished, dispatch.FinishedTask{Sequence: w.last, Task: name, Run: run.run, Kind: how})
	w.notify()
	if how != dispatch.EndDone && how != dispatch.EndGangBroken {
		w.fleet.breakGang(name, run.run)
	}
}

func gangKey(name dispatch.TaskName, run uint64) string {
	return fmt.Sprintf("%s.%d.%d/%d", name.Job, name.Occurrence, name.Step, run)
}

// joinGang counts a member; the gang works from when it is whole.
func (f *fleet) joinGang(w *fakeWorker, order dispatch.StartOrder, work time.Duration) {
	key := gangKey(order.Task, order.Run)
	g, ok := f.gangs[key]
	if !ok {
		g = &fakeGang{}
		f.gangs[key] = g
	}
	g.present++
	size := f.jobs[order.Task.Job].spec.Steps[order.Task.Step].Tasks
	if g.present < size {
		w.endAfter(order.Task, order.Run, gangTimeout, dispatch.EndGangIncomplete)
		return
	}
	time.AfterFunc(work, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		whole := 0
		for _, member := range f.workers {
			for name, run := range member.running {
				if gangKey(name, run.run) == key && !run.stopped {
					whole++
				}
			}
		}
		if whole < size {
			return
		}
		f.endGang(order.Task, order.Run, dispatch.EndDone)
	})
}

func (f *fleet) breakGang(name dispatch.TaskName, run uint64) {
	if j := f.jobs[name.Job]; j != nil && j.spec.Steps[name.Step].Gang {
		f.endGang(name, run, dispatch.EndGangBroken)
	}
}

func (f *fleet) endGang(name dispatch.TaskName, run uint64, how dispatch.EndKind) {
	key := gangKey(name, run)
	for _, w := range f.workers {
		for member, r := range w.running {
			if gangKey(member, r.run) == key {
				w.finish(member, how)
			}
		}
	}
}

func (f *fleet) Stop(ctx context.Context, target port.WorkerTarget, order dispatch.StopOrder, token uint64) (time.Duration, error) {
	var clock time.Duration
	err := f.deliver(ctx, target.ID, true, func(w *fakeWorker) error {
		clock = w.clock()
		if err := w.fenced(token); err != nil {
			return err
		}
		if order.Run > w.highest[order.Task] {
			if run, ok := w.running[order.Task]; ok && run.run <= order.Run {
				run.stopped = true
				w.endAfter(order.Task, run.run, stopTime/2, dispatch.EndStopped)
			} else {
				w.highest[order.Task] = order.Run
			}
		}
		return nil
	})
	return clock, err
}

// crash ends all that runs; the worker comes back under its id.
func (f *fleet) crash(id model.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	names := make([]dispatch.TaskName, 0, len(w.running))
	runs := make([]uint64, 0, len(w.running))
	for name, run := range w.running {
		names, runs = append(names, name), append(runs, run.run)
	}
	w.reset()
	w.notify()
	for i, name := range names {
		f.breakGang(name, runs[i])
	}
}

func (f *fleet) setCut(id model.VMID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = cut
}

// Pace implements port.CellWorker; the stand-in's tasks do not disturb others.
func (f *fleet) Pace(context.Context, port.WorkerTarget, dispatch.PaceOrder, uint64) error {
	return nil
}

// Package dispatcher does the work of the cell's owner: it takes submissions
// from the cell's log, decides with the dispatch engine, makes the decisions
// durable and then gives the orders to the workers.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors that end a tenure.
var Error = errs.Class("dispatcher")

// Options are what a Dispatcher needs. All fields are required.
type Options struct {
	Node      string
	Log       port.KeyedLog
	Clock     port.Clock
	Replica   *replica.Replica
	Tail      *logtail.Tail
	Policy    *policy.Current
	Workers   port.CellWorker
	Directory port.WorkerDirectory
	Advice    port.Advisor
	Machines  port.MachineManager
	Pool      *ants.Pool
	Logger    logrus.FieldLogger
	Engine    dispatch.Settings
	// Lease is how long a worker's runs live without a word of the owner.
	Lease time.Duration
	// UpkeepTime is how long a machine is down for its upkeep.
	UpkeepDuration time.Duration
	// EndsKept is how long the end of a job can be asked for.
	EndRetention time.Duration
}

// Dispatcher serves as the cell's owner, one tenure at a time.
type Dispatcher struct {
	options Options
	owning  atomic.Bool
	leaving atomic.Bool
	epoch   atomic.Uint64 // of the last tenure
	current atomic.Pointer[tenure]
}

// New returns a Dispatcher.
func New(options Options) *Dispatcher { return &Dispatcher{options: options} }

// Owning reports whether this node owns the cell.
func (d *Dispatcher) Owning() bool { return d.owning.Load() }

// Serving reports whether this node is the owner of the epoch, or of a later
// one.
func (d *Dispatcher) Serving(epoch uint64) bool { return d.epoch.Load() >= epoch && d.owning.Load() }

// Epoch returns the epoch of the last tenure.
func (d *Dispatcher) Epoch() uint64 { return d.epoch.Load() }

// Resign makes a tenure under way end at its next append.
func (d *Dispatcher) Resign() { d.leaving.Store(true) }

// Serve implements tenure.Owner.
func (d *Dispatcher) Serve(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &tenure{
		Options:   d.options,
		owner:     d,
		epoch:     epoch,
		cancel:    cancel,
		contacts:  map[model.VMID]*contact{},
		kick:      make(chan struct{}, 1),
		committed: make(chan struct{}),
		engine:    dispatch.New(d.options.Engine),
	}
	d.epoch.Store(epoch)
	d.owning.Store(true)
	defer d.owning.Store(false)
	d.current.Store(t) // callers' records wait for the first batch
	defer func() {
		d.current.Store(nil)
		t.refuseWishes()
	}()
	if err := t.takeOver(ctx); err != nil {
		return err
	}
	defer d.options.Replica.Listen(nil, nil)
	d.options.Policy.Notify(t.policyChanged)
	var group sync.WaitGroup
	group.Go(func() {
		t.Directory.Follow(ctx, func(list []dispatch.WorkerInfo) { t.updateWorkers(ctx, &group, list) })
	})
	group.Go(func() { t.commitLoop(ctx) })
	group.Go(func() { t.upkeepLoop(ctx) })
	group.Wait()
	return context.Cause(ctx)
}

// Append adds records of callers to the next batch and waits until they are
// durable. An error of type NotStarted proves that they never will be.
func (d *Dispatcher) Append(ctx context.Context, records []port.KeyedRecord) error {
	t := d.current.Load()
	if t == nil {
		return notOwner()
	}
	w := &wish{records: records, done: make(chan error, 1)}
	if t.stuck.Load() {
		return port.NotStarted.New("the log takes no append from this node")
	}
	if !t.addWish(w) {
		return notOwner()
	}
	t.wake()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func notOwner() error {
	return port.NotStarted.Wrap(port.NoOwner.New("this node does not own the cell"))
}

// wish is a set of callers' records for the next batch.
type wish struct {
	records []port.KeyedRecord
	done    chan error // capacity 1
}

func (t *tenure) addWish(w *wish) bool {
	t.wishMu.Lock()
	defer t.wishMu.Unlock()
	if t.over {
		return false
	}
	t.wishes = append(t.wishes, w)
	return true
}

func (t *tenure) takeWishes() []*wish {
	t.wishMu.Lock()
	defer t.wishMu.Unlock()
	wishes := t.wishes
	t.wishes = nil
	return wishes
}

// refuseWishes ends the wishes that no batch has taken.
func (t *tenure) refuseWishes() {
	t.wishMu.Lock()
	defer t.wishMu.Unlock()
	t.over = true
	for _, w := range t.wishes {
		w.done <- notOwner()
	}
	t.wishes = nil
}

// tenure is one time in office.
type tenure struct {
	Options
	owner  *Dispatcher
	epoch  uint64
	cancel context.CancelCauseFunc

	sequence  uint64 // of the next append
	lastAck   atomic.Int64
	stuck     atomic.Bool   // the append under way has failed at least once
	signedAt  time.Duration // last sign of life, of the commit loop
	cleanedAt time.Duration
	agedAt    time.Duration // when a generation of ended jobs began

	mu     sync.Mutex // guards the engine
	engine *dispatch.Engine

	contactsMu sync.Mutex
	contacts   map[model.VMID]*contact

	kick        chan struct{}
	committedMu sync.Mutex
	committed   chan struct{} // closed at the next commit

	wishMu sync.Mutex
	wishes []*wish
	over   bool // no wish is taken any more

	stale []model.JobID // submissions that came again after the end; guarded by mu
}

const (
	// takeOverTime bounds the time until the replica has the first sign.
	takeOverTime = 3 * time.Second
	appendTime   = time.Second // of one attempt
	appendPause  = 50 * time.Millisecond
	// signInterval is how often the owner shows that it can write.
	signInterval = 250 * time.Millisecond
	// commitGap lets decisions gather into one append.
	commitGap = 8 * time.Millisecond
	// idleTick is how often time alone may lead to a decision.
	idleTick = 50 * time.Millisecond
	// cleanInterval is how often old ends are dropped.
	cleanInterval = 5 * time.Second
	producerName  = "cell"
	// renewLimit is how long leases are renewed without a word of the log. A
	// new owner waits it out for workers that it does not reach.
	renewLimit = 3 * time.Second
)

// takeOver fences the former owner and restores the jobs.
func (t *tenure) takeOver(ctx context.Context) error {
	began := t.Clock.Now()
	record, err := replica.OwnerRecord(t.epoch, t.Node, false)
	if err != nil {
		return Error.Wrap(err)
	}
	offset, err := t.append(ctx, []port.KeyedRecord{record})
	if err != nil {
		return err
	}
	for t.Tail.Offset() <= offset {
		if t.Clock.Now()-began > takeOverTime {
			return Error.New("own first sign was not read back within %v", takeOverTime)
		}
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return err
		}
	}
	t.applyPolicy()
	jobs := 0
	t.Replica.Listen(t, func(j *replica.Job) {
		jobs++
		t.restore(j)
	})
	t.mu.Lock()
	t.engine.AdoptPlaced()
	t.mu.Unlock()
	t.Logger.WithFields(logrus.Fields{"epoch": t.epoch, "jobs": jobs, "took_ms": (t.Clock.Now() - began).Milliseconds()}).Info("cell taken over")
	return nil
}

func (t *tenure) restore(j *replica.Job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.Submission == nil {
		return
	}
	if j.State.Ended() && len(j.Tasks) == 0 {
		t.stale = append(t.stale, j.ID)
		return
	}
	wall := t.Clock.Wall()
	t.engine.AddJob(j.ID, replica.Spec(j.Submission), wall)
	facts := make([]dispatch.TaskState, 0, len(j.Tasks))
	for name, record := range j.Tasks {
		facts = append(facts, replica.Fact(name, record))
	}
	t.engine.Restore(j.ID, j.State, j.Occurrences, facts, wall)
	if j.Cancelled {
		t.engine.Cancel(j.ID)
	}
}

// Submitted implements replica.Listener.
func (t *tenure) Submitted(id model.JobID, submission *logpb.Submission) {
	state, _ := t.Replica.State(id)
	t.mu.Lock()
	if state.Ended() && t.engine.HasJob(id) {
		t.mu.Unlock()
		return
	}
	if state.Ended() || !t.engine.AddJob(id, replica.Spec(submission), t.Clock.Wall()) {
		t.stale = append(t.stale, id)
	}
	t.mu.Unlock()
	t.wake()
}

// Cancelled implements replica.Listener.
func (t *tenure) Cancelled(id model.JobID) {
	t.mu.Lock()
	t.engine.Cancel(id)
	t.mu.Unlock()
	t.wake()
}

func (t *tenure) policyChanged() {
	t.applyPolicy()
	t.wake()
}

func (t *tenure) applyPolicy() {
	snapshot := t.Policy.Get()
	if snapshot == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.SetPolicy(snapshot.Queues(), snapshot.Teams, snapshot.OutOfService)
}

func (t *tenure) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// heard reports whether the log has confirmed this tenure within the time.
func (t *tenure) heard(within time.Duration) bool {
	return t.Clock.Now()-time.Duration(t.lastAck.Load()) < within
}

// sleep waits for d. It returns why the tenure ended if it did meanwhile.
func sleep(ctx context.Context, d time.Duration) error {
	pause.Sleep(ctx, d)
	return context.Cause(ctx)
}

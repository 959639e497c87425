// Package dispatcher does the work of the cell's owner: it reads submissions
// from the cell's log, schedules them with the dispatch engine, makes the
// decisions durable and then sends the orders to the workers.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/admission"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors of this package.
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
	Advisors  func() int // number of nodes that can call the placement policy; nil for all known nodes
	Machines  port.MachineManager
	Pool      *ants.Pool
	Logger    logrus.FieldLogger
	Engine    dispatch.Settings
	// Ease tells that an owner asks less of the workers while their answers are late.
	Ease bool
	// Lease is how long a worker's runs go on without a renewal by the owner.
	Lease time.Duration
	// UpkeepDuration is how long a machine is unavailable during its upkeep.
	UpkeepDuration time.Duration
	// MaxAppendBytes limits the records of one append together, in bytes.
	MaxAppendBytes int
	// EndRetention is how long the final state of an ended job can be queried.
	EndRetention time.Duration
	// Refuse makes the owner refuse jobs that would end too late for want of room.
	Refuse bool
}

// Dispatcher serves as the cell's owner, one session at a time. It is safe for
// concurrent use, except that Serve must not run twice at once.
type Dispatcher struct {
	options   Options
	owning    atomic.Bool
	resigning atomic.Bool
	epoch     atomic.Uint64 // of the latest session
	// appendedAt is the clock reading at which the log last answered an append of the
	// latest session, or at which that session began if that is later.
	appendedAt atomic.Int64
	session    atomic.Pointer[ownerSession]
}

// New returns a Dispatcher.
func New(options Options) *Dispatcher { return &Dispatcher{options: options} }

// Owning reports whether this node owns the cell.
func (d *Dispatcher) Owning() bool { return d.owning.Load() }

// Serving reports whether this node owns the cell with the given epoch or a
// later one.
func (d *Dispatcher) Serving(epoch uint64) bool { return d.epoch.Load() >= epoch && d.owning.Load() }

// Epoch returns the epoch of the latest session.
func (d *Dispatcher) Epoch() uint64 { return d.epoch.Load() }

// AppendAge returns the time since the log last answered an append of this node as the
// owner, or since the latest session began if that is later.
func (d *Dispatcher) AppendAge() time.Duration {
	return d.options.Clock.Now() - time.Duration(d.appendedAt.Load())
}

// Resign ends the current session, and any later one, with its next append.
func (d *Dispatcher) Resign() { d.resigning.Store(true) }

// Serve implements election.Owner.
func (d *Dispatcher) Serve(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &ownerSession{
		Options:  d.options,
		owner:    d,
		epoch:    epoch,
		cancel:   cancel,
		workers:  map[model.VMID]*workerState{},
		restarts: map[model.VMID]uint64{},
		wakeup:   make(chan struct{}, 1),
		engine:   dispatch.New(d.options.Engine),
	}
	if s.Refuse {
		s.admission = admission.New()
	}
	d.appendedAt.Store(int64(s.Clock.Now()))
	d.epoch.Store(epoch)
	d.owning.Store(true)
	defer d.owning.Store(false)
	d.session.Store(s) // callers' writes wait for the first batch
	defer func() {
		d.session.Store(nil)
		s.rejectPending()
	}()
	defer d.options.Policy.Subscribe(s.policyChanged)() // before takeOver reads the policy
	if err := s.takeOver(ctx); err != nil {
		return err
	}
	defer d.options.Replica.Listen(nil, nil)
	var group sync.WaitGroup
	group.Go(func() {
		s.Directory.Follow(ctx, func(list []dispatch.WorkerInfo) { s.updateWorkers(ctx, &group, list) })
	})
	group.Go(func() { s.commitLoop(ctx) })
	group.Go(func() { s.upkeepLoop(ctx) })
	group.Wait()
	return context.Cause(ctx)
}

// Append adds records to the next batch and waits until they are durable. An
// error of class NotStarted proves that they never will be. Jobs that would end too late
// for want of room are refused at once with an *port.OverloadedError.
func (d *Dispatcher) Append(ctx context.Context, records []port.KeyedRecord) error {
	s := d.session.Load()
	if s == nil {
		return notOwner()
	}
	w := &write{records: records, done: make(chan error, 1)}
	if s.appendFailing.Load() {
		return port.NotStarted.New("the log takes no append from this node")
	}
	if err := s.admit(records); err != nil {
		return err
	}
	if !s.enqueue(w) {
		return notOwner()
	}
	s.wake()
	timer := time.NewTimer(maxPendingTime)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		if s.withdraw(w) {
			return port.NotStarted.Wrap(ctx.Err())
		}
		return Error.Wrap(ctx.Err())
	case <-timer.C:
		if s.withdraw(w) {
			return port.NotStarted.New("the append before took longer than %v", maxPendingTime)
		}
	}
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

// write is a pending write of a caller: records that wait for the next batch.
type write struct {
	records []port.KeyedRecord
	done    chan error // receives the result; capacity 1
}

// enqueue adds a write to the next batch. It returns false once the session has
// ended.
func (s *ownerSession) enqueue(w *write) bool {
	s.pendingMu.Lock()
	defer s.pendingMu.Unlock()
	if s.closed {
		return false
	}
	s.pending = append(s.pending, w)
	return true
}

// takePending returns the pending writes and clears the list.
func (s *ownerSession) takePending() []*write {
	s.pendingMu.Lock()
	defer s.pendingMu.Unlock()
	pending := s.pending
	s.pending = nil
	return pending
}

// withdraw removes a pending write. It returns false if a batch includes the write.
func (s *ownerSession) withdraw(w *write) bool {
	s.pendingMu.Lock()
	defer s.pendingMu.Unlock()
	i := slices.Index(s.pending, w)
	if i < 0 {
		return false
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	return true
}

// rejectPending fails the writes that are not in a batch yet, and all later ones.
func (s *ownerSession) rejectPending() {
	s.pendingMu.Lock()
	defer s.pendingMu.Unlock()
	s.closed = true
	for _, w := range s.pending {
		w.done <- notOwner()
	}
	s.pending = nil
}

// ownerSession is the owner's state from its claim of the cell until another node
// owns it or this one resigns.
type ownerSession struct {
	Options
	owner  *Dispatcher
	epoch  uint64
	cancel context.CancelCauseFunc

	sequence           uint64        // of the next append
	lastAppendSent     atomic.Int64  // clock reading at which the latest successful append was sent
	lastAppendTime     atomic.Int64  // of the call that was answered with success last, in nanoseconds
	listWasCurrent     bool          // in the last commit round; used by the commit loop only
	appendFailing      atomic.Bool   // the current append has failed at least once
	lastHeartbeat      time.Duration // clock reading at the last heartbeat; used by the commit loop only
	lastCleanup        time.Duration // clock reading at the last cleanup; used by the commit loop only
	lastPurgedRotation time.Duration // clock reading at the last RotatePurged; used by the commit loop only

	mu        sync.Mutex // guards the engine and the admission
	engine    *dispatch.Engine
	admission *admission.Gate // nil unless jobs are refused for want of room

	refusalLoggedAt   time.Duration // guarded by mu
	refusalsNotLogged int           // since then; guarded by mu

	workersMu sync.Mutex
	workers   map[model.VMID]*workerState
	// restarts holds workerState.restarts of the workers that are no longer polled and
	// have restarted: they remember the token that this gave them.
	restarts map[model.VMID]uint64
	// inheritedExpiry holds the clock readings at which, by what the previous owner has
	// recorded, all leases of workers have certainly expired. It lacks workers that this
	// session has polled.
	inheritedExpiry map[model.VMID]time.Duration
	firstReports    atomic.Int64 // workers that have reported to this session

	wakeup chan struct{}
	lag    sessionLag
	// answers is how late workers answer.
	answers answerTimes
	eases   bool // as last logged

	pendingMu sync.Mutex
	pending   []*write
	closed    bool // no further write is accepted

	staleSubmissions []model.JobID // resubmitted after the job's end; guarded by mu
}

const (
	// takeOverTimeout bounds the time until the replica has read this owner's first
	// heartbeat.
	takeOverTimeout = 3 * time.Second
	// A call to append gets appendTimeFactor times the time of the one before, at least
	// minAppendTimeout: a call that is repeated while the log still works on it waits
	// behind itself. maxAppendTimeout is less than the age of the latest append at which
	// other nodes replace an owner.
	appendTimeFactor = 4
	minAppendTimeout = time.Second
	maxAppendTimeout = 2500 * time.Millisecond
	retryPause       = 50 * time.Millisecond
	// maxPendingTime is how long a caller's write waits for the append in flight, so that
	// the caller learns in time that it was not stored.
	maxPendingTime = time.Second
	// heartbeatInterval is the time between two heartbeat records, which show that
	// the owner can still write.
	heartbeatInterval = 250 * time.Millisecond
	// commitPause batches decisions into one append.
	commitPause = 8 * time.Millisecond
	// firstReportsWait bounds the wait for the workers' first reports to a new owner,
	// which take a read of the worker list and a poll.
	firstReportsWait = 100 * time.Millisecond
	// tickInterval is the time between two rounds when nothing else triggers one:
	// some decisions depend on the time alone.
	tickInterval = 50 * time.Millisecond
	// cleanupInterval is how often the records of old ends are deleted.
	cleanupInterval = 5 * time.Second
	producerName    = "cell"
	// maxUnconfirmedRenewal is how long leases are still renewed after the last
	// append that succeeded. A new owner that cannot reach a worker waits until
	// leases renewed that late have expired.
	maxUnconfirmedRenewal = 3 * time.Second
)

// takeOver fences the previous owner and restores the jobs from the replica.
func (s *ownerSession) takeOver(ctx context.Context) error {
	start := s.Clock.Now()
	record, err := replica.OwnerRecord(s.epoch, s.Node, false)
	if err != nil {
		return Error.Wrap(err)
	}
	offset, err := s.append(ctx, []port.KeyedRecord{record})
	if err != nil {
		return err
	}
	for s.Tail.Offset() <= offset {
		if s.Clock.Now()-start > takeOverTimeout {
			return Error.New("first heartbeat was not read back within %v", takeOverTimeout)
		}
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return err
		}
	}
	s.applyPolicy()
	jobs := 0
	s.Replica.Listen(s, func(j *replica.Job) {
		jobs++
		s.restore(j)
	})
	s.mu.Lock()
	s.engine.AdoptPlaced()
	s.mu.Unlock()
	s.inheritSuspensions()
	s.Logger.WithFields(logrus.Fields{"epoch": s.epoch, "jobs": jobs, "took_ms": (s.Clock.Now() - start).Milliseconds()}).Info("cell taken over")
	return nil
}

// restore adds a job of the replica to the engine.
func (s *ownerSession) restore(j *replica.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Submission == nil {
		return
	}
	if j.State.Ended() && len(j.Tasks) == 0 {
		s.staleSubmissions = append(s.staleSubmissions, j.ID)
		return
	}
	wall := s.Clock.Wall()
	s.engine.AddJob(j.ID, replica.Spec(j.Submission), wall)
	states := make([]dispatch.TaskState, 0, len(j.Tasks))
	for name, record := range j.Tasks {
		states = append(states, replica.TaskFromWire(name, record))
	}
	s.engine.Restore(j.ID, j.State, j.Occurrences, states, wall)
	if j.Cancelled {
		s.engine.Cancel(j.ID)
	}
}

// Submitted implements replica.Listener.
func (s *ownerSession) Submitted(id model.JobID, submission *logpb.Submission) {
	state, _ := s.Replica.State(id)
	s.mu.Lock()
	if state.Ended() && s.engine.HasJob(id) {
		s.mu.Unlock()
		return
	}
	if state.Ended() || !s.addJob(id, replica.Spec(submission), s.Clock.Wall()) {
		s.staleSubmissions = append(s.staleSubmissions, id)
	}
	s.mu.Unlock()
	s.wake()
}

// addJob adds a submitted job to the engine, and cancels it if its cancellation was
// read before its submission. It returns false for a job that was purged recently. The
// caller holds mu.
func (s *ownerSession) addJob(id model.JobID, spec dispatch.JobSpec, wall time.Time) bool {
	added := s.engine.AddJob(id, spec, wall)
	if added && s.Replica.Cancelled(id) {
		s.engine.Cancel(id)
	}
	return added
}

// Cancelled implements replica.Listener.
func (s *ownerSession) Cancelled(id model.JobID) {
	s.mu.Lock()
	s.engine.Cancel(id)
	s.mu.Unlock()
	s.wake()
}

func (s *ownerSession) policyChanged() {
	s.applyPolicy()
	s.wake()
}

// applyPolicy gives the engine the newest policy. It is read with the lock held: of two
// calls at once, the later one must not set an older policy.
func (s *ownerSession) applyPolicy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot := s.Policy.Get(); snapshot != nil {
		s.engine.SetPolicy(snapshot.Queues(), snapshot.Teams, snapshot.OutOfService)
	}
}

// wake triggers a commit round.
func (s *ownerSession) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// confirmedWithin reports whether the latest successful append was sent within the
// last d. When it took effect, no newer owner had fenced this one.
func (s *ownerSession) confirmedWithin(d time.Duration) bool {
	return s.Clock.Now()-time.Duration(s.lastAppendSent.Load()) < d
}

// mayStart reports whether starts may still be sent. An append confirms this owner only
// with its answer, so that a slow log has the time of the latest append beyond
// maxUnconfirmedOrder. A start grants a lease and is never sent later than a renewal.
func (s *ownerSession) mayStart() bool {
	return s.confirmedWithin(min(maxUnconfirmedOrder+time.Duration(s.lastAppendTime.Load()), maxUnconfirmedRenewal))
}

// sleep waits for d. It returns the cause if the context ended meanwhile.
func sleep(ctx context.Context, d time.Duration) error {
	pause.Sleep(ctx, d)
	return context.Cause(ctx)
}

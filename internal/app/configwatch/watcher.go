package configwatch

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// never is the clock reading of an event that has not happened.
const never = math.MinInt64

// state is a snapshot and its age as readings of the process's clock. The fields
// are read together: a process that is suspended between reading a snapshot and
// reading its age must not combine it with the age of a later one.
type state struct {
	snapshot    *config.Snapshot
	confirmedAt time.Duration // when the snapshot was last confirmed to be current
	assumedAt   time.Duration // when it was last established that no member can read the log
}

// Watcher keeps a snapshot of the configuration current. It is safe for
// concurrent use.
type Watcher struct {
	opt Options

	state            atomic.Pointer[state]
	reportedRevision atomic.Uint64 // newest revision reported by a member
	logShrunk        atomic.Bool   // the log answers but ends before the revision already read
	readFailing      atomic.Bool   // the last read of the log failed

	mu            sync.Mutex
	fold          *config.Fold // nil until loaded
	recentRecords recentRecords
	ready         chan struct{} // closed once loaded
}

// New returns a watcher with an empty snapshot; Run loads the configuration.
func New(opt Options) *Watcher {
	w := &Watcher{opt: opt.withDefaults(), ready: make(chan struct{})}
	w.state.Store(&state{snapshot: config.NewFold().Snapshot(), confirmedAt: never, assumedAt: never})
	return w
}

// Run keeps the snapshot current until the context is done.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		w.followLog(ctx)
		return nil
	})
	group.Go(func() error {
		w.followMembers(ctx)
		return nil
	})
	return group.Wait()
}

// Snapshot returns the newest snapshot, which is empty until the watcher is
// ready. Its revision never decreases.
func (w *Watcher) Snapshot() *config.Snapshot { return w.state.Load().snapshot }

// Ready reports whether the configuration has been loaded. Until then the
// snapshot must not be used for decisions.
func (w *Watcher) Ready() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// WaitReady blocks until the watcher is ready. It returns the context's error if
// the context is done first.
func (w *Watcher) WaitReady(ctx context.Context) error {
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View is one snapshot and its age, for a decision that reads the configuration
// several times. Fresh refers to just this snapshot: a process that is suspended
// in the middle of the decision does not combine it with the age of a later one.
type View struct {
	*config.Snapshot
	watcher   *Watcher
	currentAt time.Duration // when the snapshot was last confirmed or assumed to be current
}

// View returns the newest snapshot with its age.
func (w *Watcher) View() View {
	s := w.state.Load()
	return View{Snapshot: s.snapshot, watcher: w, currentAt: max(s.confirmedAt, s.assumedAt)}
}

// Fresh reports whether the snapshot may now be used to accept keys and to start
// work. It must be the last check before a decision takes effect.
func (v View) Fresh() bool {
	return v.currentAt != never && v.watcher.opt.Clock.Now()-v.currentAt <= v.watcher.opt.FreshFor
}

// Fresh reports whether the newest snapshot may now be used to accept keys and to
// start work.
func (w *Watcher) Fresh() bool { return w.View().Fresh() }

// Age returns the time since the snapshot was last confirmed to be current, or
// the maximum duration if it never was.
func (w *Watcher) Age() time.Duration {
	at := w.state.Load().confirmedAt
	if at == never {
		return math.MaxInt64
	}
	return w.opt.Clock.Now() - at
}

// ObserveRevision records a revision that a member reported. The watcher queries
// the members if that revision is newer than its own and does not arrive from the
// log. The report does not confirm that the snapshot is current, since it may
// have been delayed for any time in a suspended process; the age of the member's
// own confirmation is therefore ignored. The member's id is not needed.
func (w *Watcher) ObserveRevision(revision uint64, _ time.Duration, _ model.MemberID) {
	for {
		newest := w.reportedRevision.Load()
		if revision <= newest || w.reportedRevision.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// Counts returns the number of records per verdict, or nil before the watcher is
// ready.
func (w *Watcher) Counts() config.Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fold == nil {
		return nil
	}
	return w.fold.Counts()
}

// applyRecords applies records in log order. Their offsets must have no gap, and
// the first must be at most the fold's revision, which is the offset of the next
// record.
func (w *Watcher) applyRecords(records []port.Record) {
	if len(records) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		result := w.fold.Apply(r.Offset, r.Data)
		if result.Verdict == config.Repeated {
			continue
		}
		w.recentRecords.add(r)
		w.logResult(result)
	}
	w.publish()
}

// install replaces the fold by a loaded one, unless that is not newer.
func (w *Watcher) install(fold *config.Fold) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fold != nil && fold.Revision() <= w.fold.Revision() {
		return
	}
	first := w.fold == nil
	w.fold = fold
	w.recentRecords.reset(fold.Revision())
	w.publish()
	if first {
		close(w.ready)
		w.opt.Logger.WithField("revision", fold.Revision()).Info("configuration loaded")
	}
}

// publish makes the fold's state the current snapshot; w.mu must be held.
// confirmedAt and assumedAt are kept, since a newer snapshot is at least as
// current.
func (w *Watcher) publish() {
	snapshot := w.fold.Snapshot()
	w.update(func(s *state) bool {
		if snapshot.Revision() < s.snapshot.Revision() {
			return false
		}
		s.snapshot = snapshot
		return true
	})
}

// confirmCurrent records that the revision was the newest at the given clock
// reading. It has no effect if the snapshot has not reached the revision.
func (w *Watcher) confirmCurrent(revision uint64, at time.Duration) {
	w.update(func(s *state) bool {
		if !w.Ready() || s.snapshot.Revision() < revision || at <= s.confirmedAt {
			return false
		}
		s.confirmedAt = at
		return true
	})
}

// assumeCurrent records that, at the given clock reading, no member could read the
// log.
func (w *Watcher) assumeCurrent(at time.Duration) {
	w.update(func(s *state) bool {
		if !w.Ready() || at <= s.assumedAt {
			return false
		}
		s.assumedAt = at
		return true
	})
}

// update replaces the state by a changed copy, unless change returns false. It
// retries, calling change again, if the state was replaced concurrently.
func (w *Watcher) update(change func(*state) bool) {
	for {
		old := w.state.Load()
		next := *old
		if !change(&next) || w.state.CompareAndSwap(old, &next) {
			return
		}
	}
}

func (w *Watcher) logResult(result config.Result) {
	entry := w.opt.Logger.WithField("revision", result.Revision)
	switch result.Verdict {
	case config.Newer:
		entry.Warn("configuration record has a newer version; skipping it until this program is upgraded")
	case config.Undecodable:
		entry.Warn("configuration record cannot be decoded; skipping it")
	case config.Checkpoint:
		entry.Debug("configuration checkpoint read")
	default:
		entry.WithField("object", result.Object).WithField("verdict", result.Verdict).Info("configuration change read")
	}
}

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

// never is the reading of an event that did not happen.
const never = math.MinInt64

// state is a snapshot and what is known of its age, by the process's clock. The
// three are read together: a process that stops between reading a snapshot and
// its age must not take the age of a later one for it.
type state struct {
	snapshot  *config.Snapshot
	provenAt  time.Duration // when it was certainly the newest
	assumedAt time.Duration // when no member could read the log
}

// Watcher is safe for concurrent use.
type Watcher struct {
	opt Options

	state   atomic.Pointer[state]
	heard   atomic.Uint64 // newest revision that a member reported
	shrunk  atomic.Bool   // the log answers, but without records read before
	failing atomic.Bool   // the last read of the log failed

	mu     sync.Mutex
	fold   *config.Fold // nil until loaded
	recent recent
	ready  chan struct{} // closed once loaded
}

// New returns a watcher with an empty snapshot, which Run fills.
func New(opt Options) *Watcher {
	w := &Watcher{opt: opt.withDefaults(), ready: make(chan struct{})}
	w.state.Store(&state{snapshot: config.NewFold().Snapshot(), provenAt: never, assumedAt: never})
	return w
}

// Run keeps the snapshot current until the context ends.
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

// Snapshot returns the newest snapshot; its revision never falls. Before the
// watcher is ready it is empty.
func (w *Watcher) Snapshot() *config.Snapshot { return w.state.Load().snapshot }

// Ready reports whether the configuration was loaded. Until then nothing may
// be decided by the snapshot.
func (w *Watcher) Ready() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// WaitReady waits until Ready or the end of the context, whose error it
// returns.
func (w *Watcher) WaitReady(ctx context.Context) error {
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View is one snapshot and its age, for a decision that takes several looks at
// the configuration. Fresh belongs to just this snapshot: a process that stops
// in the middle of the decision does not take the age of a later one for it.
type View struct {
	*config.Snapshot
	watcher *Watcher
	newest  time.Duration // when the snapshot was the newest, as far as known
}

// View returns the newest snapshot with its age.
func (w *Watcher) View() View {
	s := w.state.Load()
	return View{Snapshot: s.snapshot, watcher: w, newest: max(s.provenAt, s.assumedAt)}
}

// Fresh reports whether keys may be taken and work started by the snapshot
// now. A decision asks last, right before it takes effect.
func (v View) Fresh() bool {
	return v.newest != never && v.watcher.opt.Clock.Now()-v.newest <= v.watcher.opt.FreshFor
}

// Fresh reports whether keys may be taken and work started by the newest
// snapshot.
func (w *Watcher) Fresh() bool { return w.View().Fresh() }

// Age returns the time since the snapshot was certainly the newest.
func (w *Watcher) Age() time.Duration {
	at := w.state.Load().provenAt
	if at == never {
		return math.MaxInt64
	}
	return w.opt.Clock.Now() - at
}

// Vouch takes in that a member reported a revision. It makes the watcher ask
// the members if that is newer than its own and the log does not bring it. It
// is no proof that the snapshot is the newest, since the report may have
// waited in a stopped process for any time.
func (w *Watcher) ObserveRevision(revision uint64, _ time.Duration, _ model.MemberID) {
	for {
		known := w.heard.Load()
		if revision <= known || w.heard.CompareAndSwap(known, revision) {
			return
		}
	}
}

// Counts returns how many records got each verdict.
func (w *Watcher) Counts() config.Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fold == nil {
		return nil
	}
	return w.fold.Counts()
}

// apply takes in records that follow one another without a gap and reach back
// to the fold's revision.
func (w *Watcher) apply(records []port.Record) {
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
		w.recent.add(r)
		w.report(result)
	}
	w.publish()
}

// install replaces the fold by one that was loaded, unless that is older.
func (w *Watcher) install(fold *config.Fold) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fold != nil && fold.Revision() <= w.fold.Revision() {
		return
	}
	first := w.fold == nil
	w.fold = fold
	w.recent.reset(fold.Revision())
	w.publish()
	if first {
		close(w.ready)
		w.opt.Logger.WithField("revision", fold.Revision()).Info("Loaded the configuration.")
	}
}

// publish makes the fold's state the snapshot; w.mu is held. What was known of
// the former snapshot's age holds for a newer one too.
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

// prove records that the snapshot of the revision was the newest at the
// reading. It has no effect if the process has not come as far.
func (w *Watcher) prove(revision uint64, at time.Duration) {
	w.update(func(s *state) bool {
		if !w.Ready() || s.snapshot.Revision() < revision || at <= s.provenAt {
			return false
		}
		s.provenAt = at
		return true
	})
}

// assume records that no member could read the log at the reading.
func (w *Watcher) assume(at time.Duration) {
	w.update(func(s *state) bool {
		if !w.Ready() || at <= s.assumedAt {
			return false
		}
		s.assumedAt = at
		return true
	})
}

// update changes a copy of the state and stores it, unless change returns
// false.
func (w *Watcher) update(change func(*state) bool) {
	for {
		known := w.state.Load()
		next := *known
		if !change(&next) || w.state.CompareAndSwap(known, &next) {
			return
		}
	}
}

func (w *Watcher) report(result config.Result) {
	entry := w.opt.Logger.WithField("revision", result.Revision)
	switch result.Verdict {
	case config.Newer:
		entry.Warn("Skipped a record of a newer version; upgrade this program.")
	case config.Undecodable:
		entry.Warn("Skipped a record that cannot be read.")
	case config.Checkpoint:
		entry.Debug("Passed a checkpoint.")
	default:
		entry.WithField("object", result.Object).WithField("verdict", result.Verdict).Info("Read a change.")
	}
}

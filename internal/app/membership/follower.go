package membership

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// listener hears what the follower reads. It is called with the follower's
// lock held.
type listener interface {
	// onRecord is called after the record, read at now, has been applied.
	onRecord(record *logpb.MembersRecord, change ownership.Change, now time.Duration)
	// onRebuilt is called after the state was built anew.
	onRebuilt()
	// onRead is called at the end of each read, at the clock reading now.
	onRead(now time.Duration)
}

// follower reads the members stream and folds it.
type follower struct {
	log    port.Log
	clock  port.Clock
	logger *logrus.Entry
	wait   time.Duration // of one read
	silent time.Duration // of an empty log, after which nobody can hold a lease
	dir    *directory
	listen listener

	// mu guards everything below. The clock is never read while it is held.
	mu          sync.Mutex
	replay      *ownership.Replay
	watch       *ownership.LeaseTracker
	readEnd     time.Duration // when a read last reached the end of the log
	silentSince time.Duration
	checkpoint  uint64 // Next of the newest checkpoint read
	tail        bool   // only the last records are being read
}

func newFollower(log port.Log, clock port.Clock, logger *logrus.Entry, o timing, l listener) *follower {
	return &follower{
		log:    log,
		clock:  clock,
		logger: logger,
		wait:   o.renewEvery,
		silent: 2 * (o.lease + o.margin),
		dir:    newDirectory(),
		listen: l,
		watch:  ownership.NewLeaseTracker(o.lease, o.margin),
	}
}

// timing holds the durations that members and observers share.
type timing struct {
	lease, renewEvery, margin time.Duration
}

// state returns the fold, or nil while it is unknown. mu must be held.
func (f *follower) state() *ownership.State {
	if f.replay == nil {
		return nil
	}
	return f.replay.State()
}

// follow reads until the context ends.
func (f *follower) follow(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = readRetryFirst
	delay.MaxInterval = readRetryMost
	failing := false
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			if failing {
				f.logger.Info("log reads work again")
			}
			failing = false
			delay.Reset()
			continue
		}
		if !failing && ctx.Err() == nil {
			f.logger.WithError(err).Warn("cannot read the log")
		}
		failing = true
		pause.Sleep(ctx, delay.NextBackOff())
	}
	return nil
}

func (f *follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from := uint64(0)
	if f.replay != nil {
		from = f.replay.Next()
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, f.wait+readSlack)
	defer cancel()
	batch, err := f.log.Read(ctx, ownership.Stream, from, readLimit, f.wait)
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if port.LogTruncated.Has(err) || (err == nil && f.gap(batch)) {
		if f.replay != nil {
			f.logger.WithField("earliest", batch.Earliest).
				Warn("the log dropped unread records; reading anew")
		}
		f.begin(batch, now)
		return nil
	}
	if err != nil {
		return err
	}
	f.take(batch, now)
	f.listen.onRead(now)
	return nil
}

// gap reports whether the log has dropped records that were not read yet.
// Some logs say so only by what they return.
func (f *follower) gap(batch port.Batch) bool {
	if f.state() == nil || batch.Earliest <= f.replay.Next() {
		return false
	}
	return len(batch.Records) == 0 || batch.Records[0].Offset != f.replay.Next()
}

// begin drops the state and starts over. Of a long log it reads the last
// records first, since a checkpoint is expected among them.
func (f *follower) begin(batch port.Batch, now time.Duration) {
	from := batch.Earliest
	f.tail = batch.Next > from+startWindow
	if f.tail {
		from = batch.Next - startWindow
	}
	f.restart(from, now)
}

// restart drops the state and reads from the offset on.
func (f *follower) restart(from uint64, now time.Duration) {
	f.replay = ownership.NewReplay(from)
	f.silentSince = now
	if f.state() != nil {
		f.rebuilt(now)
	}
}

func (f *follower) take(batch port.Batch, now time.Duration) {
	if f.replay == nil {
		f.begin(batch, now)
	}
	f.replay.Truncated(batch.Earliest)
	for _, r := range batch.Records {
		if r.Offset >= f.replay.Next() {
			f.apply(r, now)
		}
	}
	if len(batch.Records) > 0 && f.replay.Next() < batch.Next {
		return
	}
	f.readEnd = now
	if f.state() == nil && f.tail {
		f.tail = false
		f.restart(batch.Earliest, now)
		return
	}
	if len(batch.Records) > 0 {
		f.silentSince = now
	}
	if f.state() == nil && now-f.silentSince >= f.silent && f.replay.AssumeEmpty() {
		f.logger.Info("the log keeps no records; starting with an empty state")
		f.rebuilt(now)
	}
}

func (f *follower) apply(r port.Record, now time.Duration) {
	record := ownership.Decode(r.Data)
	if record == nil {
		skippedRecords.Inc()
	}
	change, found := f.replay.Apply(r.Offset, record)
	if c := record.GetCheckpoint(); c != nil {
		f.checkpoint = max(f.checkpoint, c.GetNext())
	}
	if found {
		f.rebuilt(now)
		return
	}
	state := f.state()
	if state == nil {
		return
	}
	if change.Renewed != "" {
		f.watch.Renewed(change.Renewed, now)
	}
	for _, p := range change.Partitions {
		f.dir.update(state, p)
	}
	f.listen.onRecord(record, change, now)
}

func (f *follower) rebuilt(now time.Duration) {
	f.dir.replace(f.state())
	f.watch.Reset(f.state().Members(), now)
	f.listen.onRebuilt()
}

// infos describes all members at the clock reading now.
func (f *follower) infos(now time.Duration) []Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state()
	if state == nil {
		return nil
	}
	holdings := make(map[model.MemberID]int)
	for _, p := range state.Partitions() {
		holdings[state.Assignment(p).Owner]++
	}
	var infos []Info
	for _, m := range state.Members() {
		infos = append(infos, Info{
			ID:             m.ID,
			Address:        m.Address,
			Domain:         m.Domain,
			Leaving:        m.Leaving,
			Expired:        f.watch.Expired(m.ID, now),
			PartitionCount: holdings[m.ID],
		})
	}
	return infos
}

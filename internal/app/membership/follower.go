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

// followerCallbacks receives what the follower reads. Its methods are called with
// the follower's lock held.
type followerCallbacks interface {
	// onRecord is called after the record, read at now, has been applied.
	onRecord(record *logpb.MembersRecord, change ownership.Change, now time.Duration)
	// onRebuilt is called after the state has been rebuilt.
	onRebuilt()
	// onRead is called at the end of each read, at the clock reading now.
	onRead(now time.Duration)
}

// follower reads the members stream and applies its records to the state.
type follower struct {
	log          port.Log
	clock        port.Clock
	logger       *logrus.Entry
	readWait     time.Duration // maximum time that a read waits for new records
	emptyTimeout time.Duration // how long the log must be empty until every lease has certainly expired
	dir          *directory
	callbacks    followerCallbacks

	// mu guards everything below. The clock is never read while it is held.
	mu             sync.Mutex
	replay         *ownership.Replay
	leases         *ownership.LeaseTracker
	caughtUpAt     time.Duration // when a read last reached the end of the log
	emptySince     time.Duration // when a read last returned records, or the replay started
	checkpointRead uint64        // next offset of the newest checkpoint read
	readingTail    bool          // the replay started with the last records of the log
}

func newFollower(log port.Log, clock port.Clock, logger *logrus.Entry, timing leaseTiming, c followerCallbacks) *follower {
	return &follower{
		log:          log,
		clock:        clock,
		logger:       logger,
		readWait:     timing.renewEvery,
		emptyTimeout: 2 * (timing.lease + timing.margin),
		dir:          newDirectory(),
		callbacks:    c,
		leases:       ownership.NewLeaseTracker(timing.lease, timing.margin),
	}
}

// leaseTiming holds the durations that members and observers share.
type leaseTiming struct {
	lease, renewEvery, margin time.Duration
}

// state returns the state, or nil while it is unknown. mu must be held.
func (f *follower) state() *ownership.State {
	if f.replay == nil {
		return nil
	}
	return f.replay.State()
}

// follow reads the log until the context is done. It retries failed reads with an
// exponential delay.
func (f *follower) follow(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = readRetryMin
	delay.MaxInterval = readRetryMax
	failing := false
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			if failing {
				f.logger.Info("log reads succeed again")
			}
			failing = false
			delay.Reset()
			continue
		}
		if !failing && ctx.Err() == nil {
			f.logger.WithError(err).Warn("log read failed; retrying")
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
	ctx, cancel := context.WithTimeout(ctx, f.readWait+readSlack)
	defer cancel()
	batch, err := f.log.Read(ctx, ownership.Stream, from, readLimit, f.readWait)
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if port.LogTruncated.Has(err) || (err == nil && f.hasGap(batch)) {
		if f.replay != nil {
			f.logger.WithField("earliest", batch.Earliest).
				Warn("log dropped unread records; rebuilding the state")
		}
		f.startReplay(batch, now)
		return nil
	}
	if err != nil {
		return err
	}
	f.applyBatch(batch, now)
	f.callbacks.onRead(now)
	return nil
}

// hasGap reports whether the log has dropped unread records. Some logs return no
// error for this; the gap then shows only in the offsets of the batch.
func (f *follower) hasGap(batch port.Batch) bool {
	if f.state() == nil || batch.Earliest <= f.replay.Next() {
		return false
	}
	return len(batch.Records) == 0 || batch.Records[0].Offset != f.replay.Next()
}

// startReplay drops the state and starts a new replay. In a long log it reads the
// last records first, because a checkpoint is expected among them.
func (f *follower) startReplay(batch port.Batch, now time.Duration) {
	from := batch.Earliest
	f.readingTail = batch.Next > from+startupWindow
	if f.readingTail {
		from = batch.Next - startupWindow
	}
	f.replayFrom(from, now)
}

// replayFrom drops the state and starts a new replay at the offset.
func (f *follower) replayFrom(from uint64, now time.Duration) {
	f.replay = ownership.NewReplay(from)
	f.emptySince = now
	if f.state() != nil {
		f.stateRebuilt(now)
	}
}

func (f *follower) applyBatch(batch port.Batch, now time.Duration) {
	if f.replay == nil {
		f.startReplay(batch, now)
	}
	f.replay.Truncated(batch.Earliest)
	for _, r := range batch.Records {
		if r.Offset >= f.replay.Next() {
			f.applyRecord(r, now)
		}
	}
	if len(batch.Records) > 0 && f.replay.Next() < batch.Next {
		return
	}
	f.caughtUpAt = now
	if f.state() == nil && f.readingTail {
		f.readingTail = false
		f.replayFrom(batch.Earliest, now)
		return
	}
	if len(batch.Records) > 0 {
		f.emptySince = now
	}
	if f.state() == nil && now-f.emptySince >= f.emptyTimeout && f.replay.AssumeEmpty() {
		f.logger.Info("log keeps no records; starting with an empty state")
		f.stateRebuilt(now)
	}
}

func (f *follower) applyRecord(r port.Record, now time.Duration) {
	record := ownership.Decode(r.Data)
	if record == nil {
		skippedRecords.Inc()
	}
	change, rebuilt := f.replay.Apply(r.Offset, record)
	if c := record.GetCheckpoint(); c != nil {
		f.checkpointRead = max(f.checkpointRead, c.GetNext())
	}
	if rebuilt {
		f.stateRebuilt(now)
		return
	}
	state := f.state()
	if state == nil {
		return
	}
	if change.Renewed != "" {
		f.leases.Renewed(change.Renewed, now)
	}
	for _, p := range change.Partitions {
		f.dir.update(state, p)
	}
	f.callbacks.onRecord(record, change, now)
}

func (f *follower) stateRebuilt(now time.Duration) {
	f.dir.replace(f.state())
	f.leases.Reset(f.state().Members(), now)
	f.callbacks.onRebuilt()
}

// infos returns the descriptions of all members at the clock reading now.
func (f *follower) infos(now time.Duration) []Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state()
	if state == nil {
		return nil
	}
	counts := make(map[model.MemberID]int)
	for _, p := range state.Partitions() {
		counts[state.Assignment(p).Owner]++
	}
	var infos []Info
	for _, m := range state.Members() {
		infos = append(infos, Info{
			ID:             m.ID,
			Address:        m.Address,
			Domain:         m.Domain,
			Leaving:        m.Leaving,
			Expired:        f.leases.Expired(m.ID, now),
			PartitionCount: counts[m.ID],
		})
	}
	return infos
}

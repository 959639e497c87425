// Package logtail follows a topic of a keyed log.
package logtail

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Follower receives the records that a Tail reads. Its methods are called one at a
// time.
type Follower interface {
	// Load receives the newest record of every key, which replaces all earlier
	// state. Records appended since the load began are then passed to Apply; Load may
	// have included some of them already.
	Load(records []port.KeyedRecord)
	// Apply receives records in the order of their offsets. complete reports that
	// they reach the end of the topic.
	Apply(records []port.KeyedRecord, complete bool)
}

const (
	// maxReadWait bounds the wait of a read for a record, and so the time until a dead
	// connection is noticed.
	maxReadWait = 600 * time.Millisecond
	// minReadMargin is the least time for the answer to a read, beyond the wait. A slow
	// log gets twice the time of its recent answers, up to maxReadMargin.
	minReadMargin = 500 * time.Millisecond
	maxReadMargin = time.Second
	// A topic is busy if a read returned busyRecords. Its reads rarely wait in vain, so one
	// in each measureInterval waits for no record and gives the answer time.
	busyRecords     = 8
	measureInterval = 500 * time.Millisecond
	// pageTimeout bounds the read of one page of the newest records, up to 1 MB.
	pageTimeout = 2 * time.Second
	retryPause  = 50 * time.Millisecond
)

// Tail reads one topic and passes its records to a follower.
type Tail struct {
	Log      port.KeyedLog
	Clock    port.Clock
	Topic    string
	Follower Follower
	Logger   logrus.FieldLogger
	// ReadPause returns the pause after a read that reached the end of the topic; it
	// limits the rate of calls.
	ReadPause func() time.Duration
	// MaxWait returns how long a read may wait for a record; it is limited to
	// maxReadWait. If nil, reads wait up to maxReadWait.
	MaxWait func() time.Duration

	recoveredAt atomic.Int64  // clock reading at which reads last succeeded again
	lastRead    atomic.Int64  // clock reading at which the last read that reached the topic's end was sent
	answerTime  atomic.Int64  // estimate, in nanoseconds
	measuredAt  time.Duration // clock reading at which a read last gave the answer time; used by Run only
	busy        bool          // used by Run only
	offset      atomic.Uint64 // of the next record to read
}

// LastRead returns the clock reading at which the last read that reached the topic's
// end was sent, zero before the first. All that was appended before it has been
// applied; what was appended after it may be missing.
func (t *Tail) LastRead() time.Duration { return time.Duration(t.lastRead.Load()) }

// RecoveredAt returns the clock reading at which reads last succeeded again after
// an outage, zero if there was none.
func (t *Tail) RecoveredAt() time.Duration { return time.Duration(t.recoveredAt.Load()) }

// AnswerTime returns an estimate of the time that the log takes for an answer, without
// the wait for a record. It is zero before the first read.
func (t *Tail) AnswerTime() time.Duration { return time.Duration(t.answerTime.Load()) }

// observeRead updates the estimate of the answer time after a read that took the given
// time and was allowed to wait for a record. A read that waited in vain gives the answer
// time, and so does one that was not to wait. Of other reads, the answer took all of the
// time at most, and what exceeds the wait at least; the estimate changes by the least that
// agrees with this.
func (t *Tail) observeRead(took, wait time.Duration, batch port.KeyedBatch, err error) {
	estimate := max(t.AnswerTime(), took-wait)
	switch {
	case err != nil: // the answer would have taken longer
	case len(batch.Records) == 0:
		estimate = max(0, took-wait)
	default:
		estimate = min(estimate, took)
	}
	t.answerTime.Store(int64(estimate))
}

// Offset returns the offset after the last record applied.
func (t *Tail) Offset() uint64 { return t.offset.Load() }

// Run follows the topic until the context ends.
func (t *Tail) Run(ctx context.Context) {
	loaded, failing := false, false
	for ctx.Err() == nil {
		sent := t.Clock.Now()
		var err error
		var complete bool
		if !loaded {
			err = t.load(ctx)
			loaded, complete = err == nil, err == nil
		} else {
			complete, err = t.read(ctx)
			if port.KeyedLogTruncated.Has(err) {
				t.Logger.WithField("topic", t.Topic).Warn("records at the read offset are no longer kept; loading the newest record of every key")
				loaded = false
				continue
			}
		}
		if complete {
			t.lastRead.Store(int64(sent))
		}
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			if !failing {
				t.recoveredAt.Store(int64(t.Clock.Now()))
			}
			t.logAvailability(failing, err)
		}
		if err != nil {
			pause.Sleep(ctx, retryPause)
		}
	}
}

func (t *Tail) logAvailability(failing bool, err error) {
	entry := t.Logger.WithField("topic", t.Topic)
	if failing {
		entry.WithError(err).Warn("reading the log topic failed; retrying")
		return
	}
	entry.WithField("offset", t.Offset()).Info("log topic is readable again")
}

// load reads the newest record of every key. Reading goes on at the end offset of
// the first page, so that changes made during the load are not missed. A page that repeats
// an earlier one ends the load: a store can't continue after a key that isn't text.
func (t *Tail) load(ctx context.Context) error {
	after, start := "", uint64(0)
	lastKeys := map[string]bool{} // of the pages
	var records []port.KeyedRecord
	for first := true; ; first = false {
		callCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := t.Log.Newest(callCtx, t.Topic, after)
		cancel()
		if err != nil {
			return err
		}
		if first {
			start = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
		if lastKeys[after] {
			t.Logger.WithField("topic", t.Topic).Warn("a page of the newest records repeats an earlier one; ending the load there")
			break
		}
		lastKeys[after] = true
	}
	t.Follower.Load(records)
	t.offset.Store(start)
	return nil
}

// read waits for records at the offset and applies them. It reports whether they
// reach the topic's end.
func (t *Tail) read(ctx context.Context) (complete bool, err error) {
	wait := maxReadWait
	if t.MaxWait != nil {
		wait = min(wait, t.MaxWait())
	}
	if t.busy && t.Clock.Now()-t.measuredAt > measureInterval {
		wait = 0
	}
	margin := min(max(minReadMargin, 2*t.AnswerTime()), maxReadMargin)
	callCtx, cancel := context.WithTimeout(ctx, wait+margin)
	sent := t.Clock.Now()
	batch, err := t.Log.Read(callCtx, t.Topic, t.Offset(), wait)
	cancel()
	t.observeRead(t.Clock.Now()-sent, wait, batch, err)
	if err != nil {
		return false, err
	}
	if wait == 0 || len(batch.Records) == 0 {
		t.measuredAt = t.Clock.Now()
	}
	t.busy = len(batch.Records) >= busyRecords
	if len(batch.Records) == 0 {
		return true, nil
	}
	next := batch.Records[len(batch.Records)-1].Offset + 1
	complete = next >= batch.End
	t.Follower.Apply(batch.Records, complete)
	t.offset.Store(next)
	if delay := t.ReadPause(); delay > 0 && complete {
		pause.Sleep(ctx, delay)
	}
	return complete, nil
}

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

// Follower takes what a Tail reads. Its methods are called one at a time.
type Follower interface {
	// Load takes the newest record of every key, which replaces everything
	// known before. What changed while they were read follows.
	Load(records []port.KeyedRecord)
	// Apply takes records in the order of their offsets. complete tells that no
	// others follow for now.
	Apply(records []port.KeyedRecord, complete bool)
}

const (
	// longPoll bounds how long a silent connection stays unnoticed.
	longPoll   = 600 * time.Millisecond
	readMargin = 500 * time.Millisecond // of an answer beyond the wait
	// pageBudget bounds one page of the newest records, up to 1 MB.
	pageBudget = 2 * time.Second
	retryPause = 50 * time.Millisecond
)

// Tail reads one topic and hands its records to a follower.
type Tail struct {
	Log      port.KeyedLog
	Clock    port.Clock
	Topic    string
	Follower Follower
	Logger   logrus.FieldLogger
	// Pace is the pause after records were read; it bounds the calls.
	ReadPause func() time.Duration
	// Poll is how long a read may wait for a record; nil for the longest.
	MaxWait func() time.Duration

	regained atomic.Int64 // clock reading at which reads were answered again
	fresh    atomic.Int64 // clock reading at which the last answered read was sent
	offset   atomic.Uint64
}

// Fresh returns the clock reading up to which the picture is known to be whole.
func (t *Tail) LastRead() time.Duration { return time.Duration(t.fresh.Load()) }

// Regained returns the clock reading at which reads were last answered again
// after none had been.
func (t *Tail) RecoveredAt() time.Duration { return time.Duration(t.regained.Load()) }

// Offset returns the offset after the last record that was applied.
func (t *Tail) Offset() uint64 { return t.offset.Load() }

// Run follows the topic until the context ends.
func (t *Tail) Run(ctx context.Context) {
	loaded, lost := false, false
	for ctx.Err() == nil {
		sent := t.Clock.Now()
		var err error
		if !loaded {
			err = t.load(ctx)
			loaded = err == nil
		} else {
			err = t.read(ctx)
			if port.Truncated.Has(err) {
				t.Logger.WithField("topic", t.Topic).Warn("history is gone, reading the newest records")
				loaded = false
				continue
			}
		}
		if err == nil {
			t.fresh.Store(int64(sent))
		}
		if lost != (err != nil) && ctx.Err() == nil {
			lost = err != nil
			if !lost {
				t.regained.Store(int64(t.Clock.Now()))
			}
			t.logContact(lost, err)
		}
		if err != nil {
			pause.Sleep(ctx, retryPause)
		}
	}
}

func (t *Tail) logContact(lost bool, err error) {
	entry := t.Logger.WithField("topic", t.Topic)
	if lost {
		entry.WithError(err).Warn("log topic lost")
		return
	}
	entry.WithField("offset", t.Offset()).Info("log topic followed")
}

// load reads the newest record of every key. Records that change meanwhile are
// read again from the first page's end on.
func (t *Tail) load(ctx context.Context) error {
	after, start := "", uint64(0)
	var records []port.KeyedRecord
	for first := true; ; first = false {
		callCtx, cancel := context.WithTimeout(ctx, pageBudget)
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
	}
	t.Follower.Load(records)
	t.offset.Store(start)
	return nil
}

func (t *Tail) read(ctx context.Context) error {
	wait := longPoll
	if t.MaxWait != nil {
		wait = min(wait, t.MaxWait())
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+readMargin)
	batch, err := t.Log.Read(callCtx, t.Topic, t.Offset(), wait)
	cancel()
	if err != nil {
		return err
	}
	if len(batch.Records) == 0 {
		return nil
	}
	next := batch.Records[len(batch.Records)-1].Offset + 1
	t.Follower.Apply(batch.Records, next >= batch.End)
	t.offset.Store(next)
	if gap := t.ReadPause(); gap > 0 && next >= batch.End {
		pause.Sleep(ctx, gap)
	}
	return nil
}

package configwatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// followLog reads the stream until the context is done, with a backoff after
// failed reads.
func (w *Watcher) followLog(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryDelay
	delay.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := w.readNext(ctx)
		if err == nil {
			if w.readFailing.Swap(false) {
				w.opt.Logger.Info("configuration reads succeed again")
			}
			delay.Reset()
			continue
		}
		if !w.readFailing.Swap(true) && ctx.Err() == nil {
			w.opt.Logger.WithError(err).Warn("configuration read failed; retrying")
		}
		pause.Sleep(ctx, delay.NextBackOff())
	}
}

// readNext loads the configuration if that has not been done yet or if records
// were truncated before they were read. Otherwise it reads the next records.
func (w *Watcher) readNext(ctx context.Context) error {
	if !w.Ready() {
		return w.load(ctx)
	}
	next := w.Snapshot().Revision()
	sent := w.opt.Clock.Now()
	batch, err := read(ctx, w.opt.Log, next, w.opt.readWait())
	if port.LogTruncated.Has(err) || (err == nil && batch.Earliest > next) {
		return w.load(ctx)
	}
	if err != nil {
		return err
	}
	w.logShrunk.Store(batch.Next < next)
	if batch.Next < next {
		return Error.New("the log ends at offset %d, before revision %d that was already read from it", batch.Next, next)
	}
	w.applyRecords(batch.Records)
	if end := endOffset(batch, next); end >= batch.Next {
		// The log answered after the request was sent, so the snapshot was
		// current at that time or later.
		w.confirmCurrent(end, sent)
	}
	return nil
}

// load builds the configuration from all records that the log holds.
func (w *Watcher) load(ctx context.Context) error {
	var sent time.Duration
	fold, err := load(ctx, w.opt.Log, func() { sent = w.opt.Clock.Now() })
	if err != nil {
		return err
	}
	w.install(fold)
	w.confirmCurrent(fold.Revision(), sent)
	return nil
}

// Load reads the complete configuration from the log once.
func Load(ctx context.Context, log port.Log) (*config.Fold, error) {
	return load(ctx, log, func() {})
}

// load is Load with a callback that is called before each read.
func load(ctx context.Context, log port.Log, beforeRead func()) (*config.Fold, error) {
	earliest, err := findEarliest(ctx, log)
	if err != nil {
		return nil, err
	}
	loader := config.NewLoader(earliest)
	next := earliest
	for {
		beforeRead()
		batch, err := read(ctx, log, next, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range batch.Records {
			loader.Add(r.Offset, r.Data)
		}
		next = endOffset(batch, next)
		if next < batch.Next && len(batch.Records) > 0 {
			continue
		}
		fold, ok := loader.Fold()
		if !ok {
			return nil, Error.New("the log starts at offset %d and no checkpoint covers the records before it", earliest)
		}
		return fold, nil
	}
}

// findEarliest returns the offset of the oldest record that the log holds.
func findEarliest(ctx context.Context, log port.Log) (uint64, error) {
	batch, err := read(ctx, log, 0, 0)
	if port.LogTruncated.Has(err) {
		return batch.Earliest, nil
	}
	return batch.Earliest, err
}

func read(ctx context.Context, log port.Log, from uint64, wait time.Duration) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return log.Read(ctx, config.Stream, from, readLimit, wait)
}

// endOffset returns the offset after the last record of a read that started at
// next.
func endOffset(batch port.Batch, next uint64) uint64 {
	if n := len(batch.Records); n > 0 {
		return batch.Records[n-1].Offset + 1
	}
	return next
}

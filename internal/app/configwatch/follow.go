package configwatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// followLog reads the stream until the context ends.
func (w *Watcher) followLog(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryDelay
	delay.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			if w.failing.Swap(false) {
				w.opt.Logger.Info("The log can be read again.")
			}
			delay.Reset()
			continue
		}
		if !w.failing.Swap(true) && ctx.Err() == nil {
			w.opt.Logger.WithError(err).Warn("Cannot read the configuration from the log.")
		}
		pause.Sleep(ctx, delay.NextBackOff())
	}
}

// step loads the configuration or reads what follows it.
func (w *Watcher) step(ctx context.Context) error {
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
	w.shrunk.Store(batch.Next < next)
	if batch.Next < next {
		return Error.New("the log ends at offset %d, before revision %d, which was read from it", batch.Next, next)
	}
	w.apply(batch.Records)
	if end := endOf(batch, next); end >= batch.Next {
		// The log's answer was given after the question was sent.
		w.prove(end, sent)
	}
	return nil
}

// load builds the configuration from all that the log keeps.
func (w *Watcher) load(ctx context.Context) error {
	var sent time.Duration
	fold, err := load(ctx, w.opt.Log, func() { sent = w.opt.Clock.Now() })
	if err != nil {
		return err
	}
	w.install(fold)
	w.prove(fold.Revision(), sent)
	return nil
}

// Load reads the whole configuration from the log once.
func Load(ctx context.Context, log port.Log) (*config.Fold, error) {
	return load(ctx, log, func() {})
}

// load calls asking before each read.
func load(ctx context.Context, log port.Log, asking func()) (*config.Fold, error) {
	earliest, err := findEarliest(ctx, log)
	if err != nil {
		return nil, err
	}
	loader := config.NewLoader(earliest)
	next := earliest
	for {
		asking()
		batch, err := read(ctx, log, next, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range batch.Records {
			loader.Add(r.Offset, r.Data)
		}
		next = endOf(batch, next)
		if next < batch.Next && len(batch.Records) > 0 {
			continue
		}
		fold, ok := loader.Fold()
		if !ok {
			return nil, Error.New("the log starts at offset %d and no checkpoint covers what came before", earliest)
		}
		return fold, nil
	}
}

// findEarliest returns the offset of the oldest record that the log keeps.
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

// endOf returns the offset after the last record of a read from next.
func endOf(batch port.Batch, next uint64) uint64 {
	if n := len(batch.Records); n > 0 {
		return batch.Records[n-1].Offset + 1
	}
	return next
}

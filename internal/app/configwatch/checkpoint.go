package configwatch

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
)

const (
	// checkpointRetry is the time between attempts to write a checkpoint.
	checkpointRetry = 5 * time.Second
	// checkpointTimeout bounds one attempt.
	checkpointTimeout = 10 * time.Second
)

// KeepCheckpoints writes checkpoints until the context ends. The holder of the
// system partition runs it. Checkpoints of several holders do no harm.
func (w *Watcher) RunCheckpoints(ctx context.Context) {
	if w.WaitReady(ctx) != nil {
		return
	}
	for ctx.Err() == nil {
		if err := w.Checkpoint(ctx); err != nil {
			w.opt.Logger.WithError(err).Warn("Cannot write a checkpoint.")
			pause.Sleep(ctx, checkpointRetry)
			continue
		}
		pause.Sleep(ctx, w.opt.CheckpointEvery)
	}
}

// Checkpoint appends a checkpoint of the present state. After an error it may
// or may not be on the log.
func (w *Watcher) Checkpoint(ctx context.Context) error {
	records, err := w.checkpoint()
	if err != nil || len(records) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	_, err = w.opt.Log.Append(ctx, config.Stream, records)
	return Error.Wrap(err)
}

// checkpoint returns the records of a checkpoint, none for an empty stream.
func (w *Watcher) checkpoint() ([][]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fold == nil {
		return nil, Error.New("the configuration is not loaded")
	}
	if w.fold.Revision() == 0 {
		return nil, nil
	}
	return w.fold.Checkpoint(ulid.Make().String())
}

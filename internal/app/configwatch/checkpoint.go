package configwatch

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
)

const (
	// checkpointRetry is the delay after a failed attempt to write a checkpoint.
	checkpointRetry = 5 * time.Second
	// checkpointTimeout limits one attempt.
	checkpointTimeout = 10 * time.Second
)

// RunCheckpoints writes a checkpoint every CheckpointEvery until the context is
// done. It is run by the owner of the system partition; checkpoints written by two
// processes at once are harmless.
func (w *Watcher) RunCheckpoints(ctx context.Context) {
	if w.WaitReady(ctx) != nil {
		return
	}
	for ctx.Err() == nil {
		if err := w.Checkpoint(ctx); err != nil {
			w.opt.Logger.WithError(err).Warn("configuration checkpoint failed; retrying")
			pause.Sleep(ctx, checkpointRetry)
			continue
		}
		pause.Sleep(ctx, w.opt.CheckpointEvery)
	}
}

// Checkpoint appends a checkpoint of the current state. After an error it is
// unknown whether the checkpoint is on the log.
func (w *Watcher) Checkpoint(ctx context.Context) error {
	records, err := w.encodeCheckpoint()
	if err != nil || len(records) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	_, err = w.opt.Log.Append(ctx, config.Stream, records)
	return Error.Wrap(err)
}

// encodeCheckpoint returns the records of a checkpoint; none if the stream is empty.
func (w *Watcher) encodeCheckpoint() ([][]byte, error) {
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

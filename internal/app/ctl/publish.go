package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// readLimit is the most records and readWait the longest wait of one read of
	// the log.
	readLimit = 512
	readWait  = time.Second
	// retryDelay and maxRetryDelay bound the delay between tries.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Outcome is the outcome of one change.
type Outcome struct {
	Object   config.ObjectID `json:"object"`
	Verdict  config.Verdict  `json:"verdict"`
	Revision uint64          `json:"revision"`          // of the change
	LostTo   uint64          `json:"lost_to,omitempty"` // revision of the conflicting change
	Reason   string          `json:"reason,omitempty"`
}

// err returns the error for the outcome, or nil if the change is applied.
func (o Outcome) err() error {
	switch o.Verdict {
	case config.Applied, Unchanged:
		return nil
	case config.Lost:
		return Conflict.New("%s: lost to revision %d, which was published first; review it and retry", o.Object, o.LostTo)
	case config.Expired:
		return Conflict.New("%s: too many other changes were published first; retry", o.Object)
	default:
		return BadInput.New("%s: %s", o.Object, o.Reason)
	}
}

// Unchanged is the verdict on a change that was not published because the object
// already has the wanted state.
const Unchanged config.Verdict = "unchanged"

// publish appends the changes, which are based on the revision of the fold, and
// returns their outcomes in order. The fold then includes them. An append whose
// answer is lost is never repeated; its records are looked up on the log.
func (c *Client) publish(ctx context.Context, fold *config.Fold, changes []config.Change) ([]Outcome, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	ids := make([]string, len(changes))
	records := make([][]byte, len(changes))
	for i, change := range changes {
		ids[i] = ulid.Make().String()
		data, err := change.Encode(ids[i], fold.Revision())
		if err != nil {
			return nil, BadInput.Wrap(err)
		}
		records[i] = data
	}
	mayBeAppended, err := c.append(ctx, records)
	if !mayBeAppended {
		return nil, err
	}
	return c.awaitOutcomes(ctx, fold, ids, err)
}

// append appends the records and reports whether they may be on the log. It
// retries only calls that are certain to have had no effect.
func (c *Client) append(ctx context.Context, records [][]byte) (mayBeAppended bool, err error) {
	delay := newBackOff()
	for {
		err = c.appendOnce(ctx, records)
		if err == nil {
			return true, nil
		}
		if !port.NotStarted.Has(err) {
			return true, err
		}
		if !sleep(ctx, delay.NextBackOff()) {
			return false, Failure.New("nothing was changed; the log accepts no records: %w", err)
		}
	}
}

// appendOnce appends the records. Its timeout is a part of c.Timeout, to leave
// time to read the log if no answer arrives.
func (c *Client) appendOnce(ctx context.Context, records [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout/3)
	defer cancel()
	_, err := c.Log.Append(ctx, config.Stream, records)
	return err
}

// awaitOutcomes reads the log from the revision of the fold until it has read the
// records with all ids, and returns their outcomes in order. It returns an Unknown
// error if the context is done before that.
func (c *Client) awaitOutcomes(ctx context.Context, fold *config.Fold, ids []string, appendErr error) ([]Outcome, error) {
	if appendErr != nil {
		c.progressf("the log's answer was lost; reading the log to find the change")
	}
	outcomes := make([]Outcome, len(ids))
	missing := make(map[string]int, len(ids))
	for i, id := range ids {
		missing[id] = i
	}
	delay := newBackOff()
	for len(missing) > 0 {
		batch, err := c.Log.Read(ctx, config.Stream, fold.Revision(), readLimit, readWait)
		if err != nil {
			if !sleep(ctx, delay.NextBackOff()) {
				return nil, unknownOutcomeError(appendErr, err)
			}
			continue
		}
		if ctx.Err() != nil && len(batch.Records) == 0 {
			return nil, unknownOutcomeError(appendErr, ctx.Err())
		}
		delay.Reset()
		for _, record := range batch.Records {
			result := fold.Apply(record.Offset, record.Data)
			if i, ok := missing[result.ID]; ok {
				outcomes[i] = outcomeOf(result)
				delete(missing, result.ID)
			}
		}
	}
	return outcomes, nil
}

func outcomeOf(r config.Result) Outcome {
	return Outcome{Object: r.Object, Verdict: r.Verdict, Revision: r.Revision, LostTo: r.LostTo, Reason: r.Reason}
}

func unknownOutcomeError(appendErr, readErr error) error {
	if appendErr != nil {
		return Unknown.New("the change may still take effect: %w; it was not found on the log: %w", appendErr, readErr)
	}
	return Unknown.New("the change is on the log, but its outcome cannot be read: %w", readErr)
}

func newBackOff() *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryDelay
	delay.MaxInterval = maxRetryDelay
	return delay
}

// sleep waits for the duration and returns true, or returns false as soon as the
// context is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Progress, format+"\n", args...)
}

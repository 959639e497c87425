package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// start gives a start order until its effect is known.
func (t *tenure) start(ctx context.Context, order dispatch.StartOrder) {
	c := t.contact(order.Worker)
	if c == nil {
		t.rejected(order, "worker is gone")
		return
	}
	unknown := false
	for attempt := 0; attempt < startAttempts && ctx.Err() == nil; attempt++ {
		now := t.Clock.Now()
		until := c.lease(now, t.Lease)
		token, current := c.tokenFor(t.epoch, order.Incarnation)
		if !current && unknown {
			return // the lists of the new life tell
		}
		if until == 0 || !current || !t.heard(startAge) {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, startTime)
		clock, err := t.Workers.Start(callCtx, c.target(), order, token, until)
		cancel()
		countOrder("start", err)
		if err == nil {
			t.started(order, clock)
			return
		}
		var refusal *port.RejectedError
		if errors.As(err, &refusal) {
			if t.refused(order, refusal, unknown) {
				return
			}
			continue
		}
		if !port.NotStarted.Has(err) {
			unknown = true
		}
		_ = sleep(ctx, appendPause)
	}
	if ctx.Err() != nil {
		return
	}
	if unknown {
		t.doubtful(order)
		return
	}
	t.rejected(order, "worker is out of reach")
}

// refused takes a worker's refusal of a start. It reports whether that settles
// the order; unknown tells that an earlier attempt may still take effect.
func (t *tenure) refused(order dispatch.StartOrder, refusal *port.RejectedError, unknown bool) bool {
	switch refusal.Reason {
	case port.RejectStaleRun: // an earlier attempt ran and has ended; the list tells how
		t.started(order, refusal.Clock)
	case port.RejectLeaseExpired:
		return false
	default:
		if unknown {
			t.doubtful(order)
		} else {
			t.rejected(order, string(refusal.Reason))
		}
	}
	return true
}

func (t *tenure) started(order dispatch.StartOrder, clock time.Duration) {
	t.mu.Lock()
	t.engine.ApplyStarted(order.Task, order.Run, order.Worker, clock)
	t.mu.Unlock()
}

func (t *tenure) rejected(order dispatch.StartOrder, reason string) {
	t.mu.Lock()
	t.engine.ApplyStartRejected(order.Task, order.Run, order.Worker, reason, t.Clock.Now())
	t.mu.Unlock()
	t.wake()
}

func (t *tenure) doubtful(order dispatch.StartOrder) {
	t.mu.Lock()
	t.engine.ApplyStartUnknown(order.Task, order.Run, order.Worker)
	t.mu.Unlock()
	t.wake()
}

// stop gives a stop order until the worker has answered or the run has ended.
func (t *tenure) stop(ctx context.Context, order dispatch.StopOrder) {
	for ctx.Err() == nil {
		c := t.contact(order.Worker)
		if c == nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, stopTime)
		clock, err := t.Workers.Stop(callCtx, c.target(), order, c.token(t.epoch))
		cancel()
		countOrder("stop", err)
		t.mu.Lock()
		if err == nil {
			t.engine.ApplyStopped(order.Task, order.Run, order.Worker, clock)
		}
		open := t.engine.StopPending(order.Task, order.Run, order.Worker)
		t.mu.Unlock()
		if err == nil || !open {
			return
		}
		_ = sleep(ctx, stopPause)
	}
}

// pace gives an order on pace once. Without an answer the worker's next report
// leads to another one.
func (t *tenure) pace(ctx context.Context, order dispatch.PaceOrder) {
	c := t.contact(order.Worker)
	if c == nil {
		return
	}
	token, current := c.tokenFor(t.epoch, order.Incarnation)
	if !current {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, stopTime)
	err := t.Workers.Pace(callCtx, c.target(), order, token)
	cancel()
	countOrder("pace", err)
	if err != nil {
		t.mu.Lock()
		t.engine.ApplyPaceFailed(order)
		t.mu.Unlock()
	}
}

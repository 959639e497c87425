package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// start sends a start order up to maxStartSends times, until its effect is known.
func (s *ownerSession) start(ctx context.Context, order dispatch.StartOrder) {
	w := s.workerState(order.Worker)
	if w == nil {
		s.rejected(order, "worker is no longer known")
		return
	}
	unknown := false
	reason := "no start could be sent in time"
	for sends := 0; sends < maxStartSends && ctx.Err() == nil; sends++ {
		// The order may have waited for the log, or for an answer.
		if !s.listIsCurrent() || !s.withinCapacity(order.Worker) {
			reason = "the worker list is too old, or the worker offers less than is assigned to it"
			break
		}
		now := s.Clock.Now()
		leaseUntil := w.grantLease(order.Incarnation, now, s.Lease)
		token, current := w.tokenFor(s.epoch, order.Incarnation)
		if !current && unknown {
			return // the first reports of the new incarnation show whether the run exists
		}
		if leaseUntil == 0 || !current || !s.mayStart() {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, s.workerPace().StartAnswer)
		clock, err := s.Workers.Start(callCtx, w.endpoint(), order, token, leaseUntil)
		cancel()
		s.observeAnswer(order.Worker, now)
		countOrder("start", err)
		if err == nil {
			s.started(order, clock)
			return
		}
		var rejection *port.RejectedError
		if errors.As(err, &rejection) {
			if s.handleRejection(order, rejection, unknown) {
				return
			}
			continue
		}
		if port.NotConnected.Has(err) {
			reason = "another incarnation of the worker answers"
			w.interruptPoll()
			break
		}
		if !port.NotStarted.Has(err) {
			unknown = true
		}
		_ = sleep(ctx, retryPause)
	}
	if ctx.Err() != nil {
		return
	}
	if unknown {
		s.outcomeUnknown(order)
		return
	}
	s.rejected(order, reason)
}

// withinCapacity reports whether the worker offers what is assigned to it.
func (s *ownerSession) withinCapacity(id model.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.WithinCapacity(id)
}

// handleRejection applies a worker's rejection of a start. It reports whether the
// order need not be sent again; unknown means that an earlier send may still take
// effect.
func (s *ownerSession) handleRejection(order dispatch.StartOrder, rejection *port.RejectedError, unknown bool) bool {
	switch rejection.Reason {
	case port.RejectStaleRun: // the run of an earlier send has ended; the worker's reports contain its end
		s.started(order, rejection.Clock)
	case port.RejectLeaseExpired:
		return false
	default:
		if unknown {
			s.outcomeUnknown(order)
		} else {
			s.rejected(order, string(rejection.Reason))
		}
	}
	return true
}

// started records that the worker has accepted the start. clock is the worker's
// own clock.
func (s *ownerSession) started(order dispatch.StartOrder, clock time.Duration) {
	s.mu.Lock()
	s.engine.ApplyStarted(order.Task, order.Run, order.Worker, clock)
	s.mu.Unlock()
}

// rejected records that the start has no effect and never will.
func (s *ownerSession) rejected(order dispatch.StartOrder, reason string) {
	s.mu.Lock()
	s.engine.ApplyStartRejected(order.Task, order.Run, order.Worker, reason, s.Clock.Now())
	s.mu.Unlock()
	s.wake()
}

// outcomeUnknown records that the start may or may not take effect.
func (s *ownerSession) outcomeUnknown(order dispatch.StartOrder) {
	s.mu.Lock()
	s.engine.ApplyStartUnknown(order.Task, order.Run, order.Worker)
	s.mu.Unlock()
	s.wake()
}

// stop sends a stop order up to maxStopSends times, until the worker has accepted it
// or the run is known to have ended. After that, or while the worker is not known
// yet, the worker's reports lead to further orders.
func (s *ownerSession) stop(ctx context.Context, order dispatch.StopOrder) {
	for sends := 0; sends < maxStopSends && ctx.Err() == nil; sends++ {
		w := s.workerState(order.Worker)
		if w == nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, s.workerPace().StopAnswer)
		clock, err := s.Workers.Stop(callCtx, w.endpoint(), order, w.token(s.epoch))
		cancel()
		countOrder("stop", err)
		s.mu.Lock()
		if err == nil {
			s.engine.ApplyStopped(order.Task, order.Run, order.Worker, clock)
		}
		stopping := s.engine.StopPending(order.Task, order.Run, order.Worker)
		s.mu.Unlock()
		if err == nil || !stopping {
			return
		}
		_ = sleep(ctx, stopRetryPause)
	}
	if ctx.Err() != nil {
		return
	}
	s.Logger.WithFields(logrus.Fields{"task": order.Task.String(), "run": order.Run, "worker": order.Worker, "epoch": s.epoch}).
		Info("stop was not accepted; the worker's next report leads to another order")
	s.mu.Lock()
	s.engine.ApplyStopUnsettled(order)
	s.mu.Unlock()
}

// pace sends a pace order once. After an error the worker's next report leads to
// another order.
func (s *ownerSession) pace(ctx context.Context, order dispatch.PaceOrder) {
	if err := s.sendPace(ctx, order); err != nil {
		s.mu.Lock()
		s.engine.ApplyPaceFailed(order)
		s.mu.Unlock()
	}
}

// sendPace sends a pace order. An error of class NotStarted proves that nothing was
// sent.
func (s *ownerSession) sendPace(ctx context.Context, order dispatch.PaceOrder) error {
	w := s.workerState(order.Worker)
	if w == nil {
		return port.NotStarted.New("worker %s is not known", order.Worker)
	}
	token, current := w.tokenFor(s.epoch, order.Incarnation)
	if !current {
		return port.NotStarted.New("worker %s has restarted", order.Worker)
	}
	callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := s.Workers.Pace(callCtx, w.endpoint(), order, token)
	countOrder("pace", err)
	return err
}

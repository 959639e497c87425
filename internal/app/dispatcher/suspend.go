package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// resumeWait bounds the wait for the append that ends a suspension.
const resumeWait = 500 * time.Millisecond

// inheritSuspensions takes over what the previous owner has recorded of the leases of
// unresponsive workers, so that this one need not wait for their expiry anew. It deletes
// the records; the session records again what it finds itself.
func (s *ownerSession) inheritSuspensions() {
	suspensions, previous := s.Replica.Suspensions()
	s.workersMu.Lock()
	s.inheritedExpiry = make(map[model.VMID]time.Duration, len(suspensions))
	var deleted []port.KeyedRecord
	for id, suspension := range suspensions {
		deleted = append(deleted, port.KeyedRecord{Key: replica.SuspensionKey(id)})
		if suspension.Epoch == previous {
			s.inheritedExpiry[id] = suspension.LeasesExpireBy
		}
	}
	inherited := len(s.inheritedExpiry)
	s.workersMu.Unlock()
	if len(deleted) > 0 {
		s.enqueue(&write{records: deleted, done: make(chan error, 1)})
		s.Logger.WithFields(logrus.Fields{"epoch": s.epoch, "previous_epoch": previous, "recorded": len(deleted), "inherited": inherited}).Info("suspensions of leases taken over")
	}
}

// suspendLeases suspends the leases of a worker that has been unresponsive for
// unresponsiveAfter and may have active runs. The record tells a later owner when its
// runs have certainly ended.
func (s *ownerSession) suspendLeases(w *workerState) {
	id := w.endpoint().ID
	s.mu.Lock()
	hasTasks := s.engine.HasTasks(id)
	s.mu.Unlock()
	if !hasTasks {
		return
	}
	unresponsive, remaining, ok := w.suspend(s.Clock.Now())
	if !ok {
		return
	}
	record, err := replica.SuspensionRecord(id, s.epoch, remaining)
	logger := s.Logger.WithFields(logrus.Fields{"worker": id, "epoch": s.epoch, "unresponsive_ms": unresponsive.Milliseconds(), "leases_end_ms": remaining.Milliseconds()})
	if err != nil {
		logger.WithError(err).Warn("encoding the suspension of leases failed; a later owner waits longer for the worker's runs")
		return
	}
	s.enqueue(&write{records: []port.KeyedRecord{record}, done: make(chan error, 1)})
	s.wake()
	logger.Info("worker is unresponsive; renewing no leases of its runs until it answers")
}

// suspend stops the granting of leases if the worker is unresponsive and its leases have
// not expired. It returns the time since its last answer, or since it is polled, and the
// time until its leases have certainly expired.
func (w *workerState) suspend(now time.Duration) (unresponsive, remaining time.Duration, suspended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	unresponsive, remaining = now-max(w.lastSeen, w.polledSince), w.leasesExpireBy-now
	if w.suspended || unresponsive <= unresponsiveAfter || remaining <= 0 {
		return unresponsive, remaining, false
	}
	w.suspended = true
	return unresponsive, remaining, true
}

// resumeLeases ends a suspension once the log has deleted its record: until then a later
// owner may rely on it. It waits for at most resumeWait and reports whether leases are
// granted again.
func (s *ownerSession) resumeLeases(ctx context.Context, w *workerState) bool {
	w.mu.Lock()
	id, suspended := w.info.ID, w.suspended
	if suspended && w.resumed == nil {
		w.resumed = make(chan error, 1)
		s.enqueue(&write{records: []port.KeyedRecord{{Key: replica.SuspensionKey(id)}}, done: w.resumed})
		s.wake()
	}
	resumed := w.resumed
	w.mu.Unlock()
	if !suspended {
		return true
	}
	timer := time.NewTimer(resumeWait)
	defer timer.Stop()
	select {
	case err := <-resumed:
		if err != nil {
			return false // the session ends
		}
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
	w.mu.Lock()
	w.suspended, w.resumed = false, nil
	w.mu.Unlock()
	s.Logger.WithFields(logrus.Fields{"worker": id, "epoch": s.epoch}).Info("suspension of the worker's leases has ended")
	return true
}

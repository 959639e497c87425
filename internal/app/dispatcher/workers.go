package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// pollWait is how long a worker may wait for the end of a run before it answers
	// a poll.
	pollWait = time.Second
	// pollMargin is the time that an answer may take beyond that wait.
	pollMargin = 600 * time.Millisecond
	// pollPause batches the ends of a busy worker into one answer.
	pollPause = 25 * time.Millisecond
	// pollRetryPause is the pause after a poll without an answer.
	pollRetryPause = 150 * time.Millisecond
	// unresponsiveAfter is the time since a worker's last answer after which its
	// lease is no longer renewed: a poll that reaches the worker but whose answer is
	// lost would postpone the time at which all its runs have certainly ended.
	unresponsiveAfter = 1900 * time.Millisecond
	// maxClockDrift is how much slower a worker's clock may run than this node's, as
	// a fraction.
	maxClockDrift = 0.025
	leaseSlack    = 100 * time.Millisecond
	// tokensPerEpoch is the number of fencing tokens of one epoch, as each restart
	// of a worker raises its token by one.
	tokensPerEpoch = 1000

	startTimeout  = 400 * time.Millisecond // of one call
	maxStartSends = 3
	// maxUnconfirmedOrder is how long orders are still sent after the last append
	// that succeeded.
	maxUnconfirmedOrder = time.Second
	// maxListAge is the maximum age of the worker list for placing tasks and for sending
	// starts: workers may have shrunk since.
	maxListAge     = 2500 * time.Millisecond
	stopTimeout    = 500 * time.Millisecond // of one call
	maxStopSends   = 3
	stopRetryPause = 100 * time.Millisecond
)

// workerState is an owner session's state of one worker.
type workerState struct {
	mu            sync.Mutex
	info          dispatch.WorkerInfo
	incarnation   int64
	restarts      uint64        // incarnations seen after the first
	justRestarted bool          // a new incarnation was seen whose reports are not trusted yet
	lastSeen      time.Duration // this node's clock at the last answer; zero before the first
	clock         time.Duration // the worker's clock at lastSeen
	// leasesExpireBy is the reading of this node's clock at which every lease
	// granted to the worker has certainly expired.
	leasesExpireBy time.Duration
	polledSince    time.Duration
	cancelPoll     context.CancelFunc // ends the poll in flight; nil while there is none
	fenced         bool               // the worker has rejected this owner's token
	// suspended means that no lease is granted; the log may hold the suspension.
	suspended bool
	resumed   chan error // result of the write that ends the suspension; nil while there is none

	// acksDurable receives a value when ends in the worker's reports have become
	// durable; its capacity is 1.
	acksDurable chan struct{}
}

func newWorkerState(info dispatch.WorkerInfo, leasesExpireBy time.Duration) *workerState {
	return &workerState{info: info, leasesExpireBy: leasesExpireBy, acksDurable: make(chan struct{}, 1)}
}

func (w *workerState) endpoint() port.WorkerEndpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return port.WorkerEndpoint{ID: w.info.ID, Address: w.info.Address}
}

// token returns the token for orders to the worker.
func (w *workerState) token(epoch uint64) uint64 {
	token, _ := w.tokenFor(epoch, 0)
	return token
}

// tokenFor returns the token for orders to the worker, and whether the given
// incarnation is still the latest one seen.
func (w *workerState) tokenFor(epoch uint64, incarnation int64) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return epoch*tokensPerEpoch + min(w.restarts, tokensPerEpoch-1), w.incarnation == incarnation
}

// grantLease returns the reading of the worker's clock until which the runs of the
// incarnation may go on, and extends leasesExpireBy accordingly. It returns zero if the
// worker's clock is not known, another incarnation was seen, the worker is unresponsive or
// its leases are suspended.
func (w *workerState) grantLease(incarnation int64, now, length time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.suspended || w.lastSeen == 0 || now-w.lastSeen > unresponsiveAfter {
		return 0
	}
	w.leasesExpireBy = max(w.leasesExpireBy, now+maxLeaseTime(length))
	return w.clock + (now - w.lastSeen) + length
}

// maxLeaseTime returns the time on this node's clock after which a lease has
// certainly expired on a worker's clock.
func maxLeaseTime(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*maxClockDrift) + leaseSlack
}

// recordReport records an answer of the worker to a poll that was sent to the given
// incarnation, zero if none was known. It reports whether the worker has restarted since.
func (w *workerState) recordReport(report *dispatch.WorkerReport, incarnation int64, now time.Duration) (restarted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSeen, w.clock, w.incarnation = now, report.Clock, report.Incarnation
	w.justRestarted = incarnation != 0 && report.Incarnation != incarnation
	if w.justRestarted {
		w.restarts++
	}
	return w.justRestarted
}

// interruptPoll ends the poll in flight. The next one tells which incarnation is there.
func (w *workerState) interruptPoll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

func (w *workerState) setCancelPoll(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelPoll = cancel
}

// leasesExpired reports whether the worker is unresponsive and all its runs have
// certainly ended.
func (w *workerState) leasesExpired(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now > w.leasesExpireBy && now-w.lastSeen > unresponsiveAfter
}

// updateWorkers applies a new worker list. It starts to poll the workers that are
// new in it, and unlisted ones on which runs may be active.
func (s *ownerSession) updateWorkers(ctx context.Context, group *sync.WaitGroup, list []dispatch.WorkerInfo) {
	s.mu.Lock()
	s.engine.UpdateWorkers(list)
	withTasks := s.engine.WorkersWithTasks()
	s.mu.Unlock()
	for _, info := range list {
		s.startPolling(ctx, group, info)
	}
	for _, id := range withTasks {
		s.startPolling(ctx, group, dispatch.WorkerInfo{ID: id})
	}
	s.wake()
}

// startPolling starts to poll the worker unless it is polled already. A worker that
// is not on the list has no address; only the expiry of its leases proves that its
// runs have ended.
func (s *ownerSession) startPolling(ctx context.Context, group *sync.WaitGroup, info dispatch.WorkerInfo) {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	if w, ok := s.workers[info.ID]; ok {
		if info.Address != "" {
			w.mu.Lock()
			w.info = info
			w.mu.Unlock()
		}
		return
	}
	now := s.Clock.Now()
	expiry := now + maxUnconfirmedRenewal + maxLeaseTime(s.Lease)
	if inherited, ok := s.inheritedExpiry[info.ID]; ok {
		expiry = min(expiry, inherited)
		delete(s.inheritedExpiry, info.ID)
	}
	w := newWorkerState(info, expiry)
	w.polledSince = now
	w.restarts = s.restarts[info.ID]
	delete(s.restarts, info.ID)
	s.workers[info.ID] = w
	group.Go(func() { s.pollLoop(ctx, w) })
}

// listIsCurrent reports whether the worker list is at most maxListAge old.
func (s *ownerSession) listIsCurrent() bool {
	read := s.Directory.LastRead()
	return read != 0 && s.Clock.Now()-read <= maxListAge
}

func (s *ownerSession) workerState(worker model.VMID) *workerState {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	return s.workers[worker]
}

// pollLoop polls one worker until a poll fails while the worker is not listed and
// has no tasks, or the session ends.
func (s *ownerSession) pollLoop(ctx context.Context, w *workerState) {
	for ctx.Err() == nil {
		ends, err := s.poll(ctx, w)
		if err == nil {
			s.resumeLeases(ctx, w)
		}
		switch {
		case err != nil:
			s.suspendLeases(w)
			if s.expireUnresponsive(w) && s.resumeLeases(ctx, w) && s.dropIdle(w) {
				return
			}
			_ = sleep(ctx, s.retryPause(w))
		case ends:
			_ = sleep(ctx, s.workerPace().PollPause)
			s.awaitAck(ctx, w)
		}
	}
}

// poll asks the worker once for its active and ended runs, and renews its leases. It
// reports whether runs have ended.
func (s *ownerSession) poll(ctx context.Context, w *workerState) (bool, error) {
	worker := w.endpoint()
	if worker.Address == "" {
		return false, port.NotStarted.New("worker %s has no address", worker.ID)
	}
	now := s.Clock.Now()
	w.mu.Lock()
	incarnation, responsive, restarted := w.incarnation, w.lastSeen != 0 && now-w.lastSeen < unresponsiveAfter, w.justRestarted
	w.mu.Unlock()
	request := port.PollRequest{Token: w.token(s.epoch)}
	if responsive {
		request.Incarnation = incarnation
		s.mu.Lock()
		request.AckedThrough = s.engine.AckCursor(worker.ID, incarnation)
		s.mu.Unlock()
		if !restarted {
			request.Wait = s.workerPace().PollWait
		}
		if s.confirmedWithin(maxUnconfirmedRenewal) {
			request.LeaseUntil = w.grantLease(incarnation, now, s.Lease)
		}
	}
	report, err := s.sendPoll(ctx, w, worker, request)
	if port.NotConnected.Has(err) {
		report, err = s.sendPoll(ctx, w, worker, port.PollRequest{Token: request.Token})
	}
	if err != nil {
		s.pollFailed(w, err)
		return false, err
	}
	return s.applyReport(w, report, incarnation), nil
}

func (s *ownerSession) sendPoll(ctx context.Context, w *workerState, worker port.WorkerEndpoint, request port.PollRequest) (dispatch.WorkerReport, error) {
	timeout := s.workerPace().PollMargin
	if request.Wait > 0 {
		timeout = pollWait + pollMargin // also with a shorter wait: the next poll renews leases in time
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w.setCancelPoll(cancel)
	defer w.setCancelPoll(nil)
	sent := s.Clock.Now()
	report, err := s.Workers.Poll(callCtx, worker, request)
	countOrder("look", err) // the metric's name for a poll
	s.observeAnswer(worker.ID, sent+request.Wait)
	return report, err
}

// pollFailed logs the first rejection by a worker that has seen a newer owner.
func (s *ownerSession) pollFailed(w *workerState, err error) {
	var rejected *port.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == port.RejectFenced {
		w.mu.Lock()
		first := !w.fenced
		w.fenced = true
		w.mu.Unlock()
		if first {
			s.Logger.WithField("worker", w.endpoint().ID).Warn("worker rejected the poll because it has seen a newer owner; continuing to poll it")
		}
	}
}

// applyReport applies the answer to a poll that was sent to the given incarnation,
// zero if none was known. It reports whether runs have ended.
func (s *ownerSession) applyReport(w *workerState, report dispatch.WorkerReport, incarnation int64) bool {
	now := s.Clock.Now()
	id := w.endpoint().ID
	if w.recordReport(&report, incarnation, now) {
		// The new incarnation has seen no order yet. Delayed orders to the earlier
		// one could still reach it; the next poll has a higher token, which fences
		// them before the reports of the new incarnation are trusted.
		s.Logger.WithFields(logrus.Fields{"worker": id, "life": report.Incarnation, "was": incarnation}).Info("worker restarted; ignoring this report and polling again with a higher token")
		return false
	}
	s.mu.Lock()
	s.engine.ApplyReport(id, report, now)
	s.mu.Unlock()
	s.lag.observe(now, s.Clock.Now())
	if incarnation == 0 {
		s.firstReports.Add(1)
	}
	if len(report.EndedRuns) > 0 || incarnation == 0 {
		s.wake()
	}
	return len(report.EndedRuns) > 0
}

// awaitAck waits until the ends in the worker's report are durable, for at most half
// of pollWait. An earlier poll would be answered at once with the same ends.
func (s *ownerSession) awaitAck(ctx context.Context, w *workerState) {
	deadline := time.NewTimer(pollWait / 2)
	defer deadline.Stop()
	id := w.endpoint().ID
	for {
		s.mu.Lock()
		unacked := s.engine.HasUnackedEnds(id)
		s.mu.Unlock()
		if !unacked {
			return
		}
		select {
		case <-w.acksDurable:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// expireUnresponsive ends the runs of an unresponsive worker once its leases have
// expired. It reports whether polling may stop: the worker is idle.
func (s *ownerSession) expireUnresponsive(w *workerState) bool {
	id := w.endpoint().ID
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.leasesExpired(s.Clock.Now()) && s.engine.HasTasks(id) {
		s.Logger.WithField("worker", id).Warn("worker is unresponsive and its leases have expired; ending its runs")
		s.engine.ExpireRuns(id)
		s.wake()
	}
	return s.idle(id)
}

// dropIdle removes the state of a worker that is not listed and has no tasks, except what
// its later tokens depend on. It returns false for any other worker.
func (s *ownerSession) dropIdle(w *workerState) bool {
	w.mu.Lock()
	id, restarts := w.info.ID, w.restarts
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle(id) {
		return false
	}
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	delete(s.workers, id)
	if restarts > 0 {
		s.restarts[id] = restarts
	}
	return true
}

// idle reports whether a worker is not listed and has no tasks. The caller holds mu.
func (s *ownerSession) idle(id model.VMID) bool {
	return !s.engine.Listed(id) && !s.engine.HasTasks(id)
}

package dispatcher

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/backlog"
	"github.com/balsamhitch/balsamhitch/internal/core/lag"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// sessionLag measures how far a session is behind with its own work; the time that the log
// and the workers take for an answer does not count. It is safe for concurrent use.
type sessionLag struct {
	mu    sync.Mutex
	meter lag.Meter
}

// observe records work that was to be done at the clock reading due and was at now.
func (l *sessionLag) observe(due, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Observe(now-due, now)
}

func (l *sessionLag) behind(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meter.Behind(now)
}

// answerTimes measures how late the workers' answers reach a session. It is safe for
// concurrent use.
type answerTimes struct {
	mu    sync.Mutex
	meter backlog.Meter
}

func (a *answerTimes) observe(worker model.VMID, late, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.Observe(worker, late, now)
}

// observeAnswer records that a worker's answer has come, or is no longer awaited, that was
// due at the given clock reading. One that comes before is due to an end and counts nothing.
func (s *ownerSession) observeAnswer(worker model.VMID, due time.Duration) {
	if now := s.Clock.Now(); now > due {
		s.answers.observe(worker, now-due, now)
	}
}

func (a *answerTimes) late(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meter.Late(now)
}

// workerPace returns what the session asks of the workers.
func (s *ownerSession) workerPace() backlog.Pace {
	pace := backlog.Pace{
		PollWait: pollWait, PollMargin: pollMargin, PollPause: pollPause, RetryPause: pollRetryPause,
		StartAnswer: startTimeout, StopAnswer: stopTimeout,
	}
	if !s.Ease {
		return pace
	}
	return pace.Slow(s.answers.late(s.Clock.Now()))
}

var answersLate = metrics.NewCounter("balsam_owner_answers_late_ms")

// reportLate sets the metric of the answers' lateness, and logs when the session begins and
// ends to ask less.
func (s *ownerSession) reportLate() {
	late := s.answers.late(s.Clock.Now())
	answersLate.Set(uint64(late.Milliseconds()))
	if eases := s.Ease && late > backlog.Tolerated; eases != s.eases {
		s.eases = eases
		s.Logger.WithFields(logrus.Fields{"late_ms": late.Milliseconds(), "eases": eases}).
			Info("lateness of three quarters of the workers has crossed what is tolerated")
	}
}

// retryPause returns the pause after a poll without an answer. A worker whose leases may
// still be renewed is polled again soon.
func (s *ownerSession) retryPause(w *workerState) time.Duration {
	w.mu.Lock()
	responsive := w.lastSeen != 0 && s.Clock.Now()-w.lastSeen < unresponsiveAfter
	w.mu.Unlock()
	if responsive {
		return pollRetryPause
	}
	return s.workerPace().RetryPause
}

// Behind returns how far the current session is behind: the longest of the last second or
// two that a report waited to be applied, a decision to be made or an order to be sent, or
// how late the answers of three quarters of the workers are, if that is longer. It is zero
// without a session.
func (d *Dispatcher) Behind() time.Duration {
	s := d.session.Load()
	if s == nil {
		return 0
	}
	now := s.Clock.Now()
	return max(s.lag.behind(now), s.answers.late(now))
}

package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// exitMargin is the time between a node's exit and the platform's kill.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time between the end of the last calls and the node's exit,
	// in which their answers are written.
	answerMargin = 200 * time.Millisecond
	// drainTime is how long a stopping node serves calls on open connections. Calls that
	// are in flight then are still answered.
	drainTime             = 4 * time.Second
	shutdownCheckInterval = 20 * time.Millisecond
)

// callers are the connections of callers to a stopping node.
type callers interface {
	// Drain makes the platform route new connections to other nodes and closes each
	// connection after its next answer.
	Drain()
	// CloseIdle accepts no further connections, closes those without a request, and
	// returns the number of the others.
	CloseIdle() int
	// EndCalls makes all calls answer at once with what is known about their outcome.
	EndCalls()
	// InFlight returns the number of calls that are being handled.
	InFlight() int
}

// shutdown stops a node so that every request that it has read is answered completely
// before it exits, whatever the owner, the log or the handover take.
type shutdown struct {
	clock        port.Clock
	logger       logrus.FieldLogger
	callers      callers
	refuseWrites func()
	handOver     func(context.Context) // makes another node the owner; returns when this one is not
	killAfter    time.Duration         // from the request to stop to the platform's kill
}

// run returns when the node can exit.
func (s *shutdown) run() {
	start := s.clock.Now()
	exitBy := s.killAfter - exitMargin
	answerBy := exitBy - answerMargin
	s.callers.Drain()
	s.logger.WithField("in_flight", s.callers.InFlight()).Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), answerBy)
	defer cancel()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		s.handOver(ctx)
	}()
	open := 0
	for refused, ended := false, false; ; time.Sleep(shutdownCheckInterval) {
		elapsed := s.clock.Now() - start
		if !refused && elapsed > answerBy-intake.LongestWrite {
			refused = true
			s.refuseWrites() // the answer to a later one could come too late
		}
		if !ended && elapsed > answerBy {
			ended = true
			s.logger.WithField("in_flight", s.callers.InFlight()).Warn("calls are still in flight before the exit; answering them now")
			s.callers.EndCalls()
		}
		if elapsed > min(drainTime, answerBy) {
			if open = s.callers.CloseIdle(); open == 0 && isClosed(handedOver) {
				break
			}
		}
		if elapsed > exitBy {
			break
		}
	}
	s.logger.WithFields(logrus.Fields{
		"after_ms": (s.clock.Now() - start).Milliseconds(), "in_flight": s.callers.InFlight(), "open": open, "handed_over": isClosed(handedOver),
	}).Info("node stopped")
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

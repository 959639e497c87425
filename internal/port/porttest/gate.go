// Package porttest provides in-memory fakes of the ports for tests. They block
// only on channels and timers created by the caller's goroutines and therefore
// work under testing/synctest.
package porttest

import (
	"context"
	"sync"
	"time"
)

// Gate blocks the calls of Wait while it is closed. The fakes of one process
// share a gate, so that closing it suspends the process. The zero value is
// open.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // non-nil while closed; closing the channel opens the gate
}

// Close makes subsequent calls of Wait block.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Open releases all blocked calls of Wait.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

// Wait blocks until the gate is open. A nil gate is always open.
func (g *Gate) Wait() {
	if g == nil {
		return
	}
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return
		}
		<-closed
	}
}

// Clock is a port.Clock based on the time of a testing/synctest bubble. Its
// methods block while the gate is closed, as in a suspended process.
type Clock struct {
	Gate *Gate
	// Offset is added to Now. Different offsets expose code that compares
	// readings of different clocks.
	Offset time.Duration
	// DriftPPM is the drift in parts per million; a positive value makes the
	// clock run fast.
	DriftPPM int64
	start    time.Time
}

// NewClock returns a clock that starts at offset.
func NewClock(gate *Gate, offset time.Duration, driftPPM int64) *Clock {
	return &Clock{Gate: gate, Offset: offset, DriftPPM: driftPPM, start: time.Now()}
}

// Now implements port.Clock.
func (c *Clock) Now() time.Duration {
	c.Gate.Wait()
	elapsed := time.Since(c.start)
	drift := time.Duration(elapsed.Microseconds()*c.DriftPPM/1000) * time.Nanosecond
	return c.Offset + elapsed + drift
}

// Wall implements port.Clock; it returns the bubble's time.
func (c *Clock) Wall() time.Time {
	c.Gate.Wait()
	return time.Now()
}

// sleep waits for d. If the context is done first, it returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

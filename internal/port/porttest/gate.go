// Package porttest holds in-memory fakes of the ports for tests. All of them
// block only on channels and timers made by the caller's goroutines, so they
// work under testing/synctest.
package porttest

import (
	"context"
	"sync"
	"time"
)

// Gate stops everything that passes through it while it is closed. Fakes of
// one process share a gate, so that closing it freezes the process. The zero
// value is open.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // non-nil while closed; closing the channel opens the gate
}

// Close makes later calls of Wait block.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Open lets all waiting calls go on.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// Closed reports whether calls of Wait block.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

// Wait returns once the gate is open. A nil gate is always open.
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

// Clock is a port.Clock on the bubble's time (see testing/synctest). Calls
// block while the gate is closed, as in a stopped process.
type Clock struct {
	Gate *Gate
	// Offset is added to Now; different values keep tests from comparing
	// readings of different clocks.
	Offset time.Duration
	// DriftPPM makes the clock run fast (positive) or slow, in parts per
	// million.
	DriftPPM int64
	start    time.Time
}

// NewClock returns a clock that starts now.
func NewClock(gate *Gate, offset time.Duration, driftPPM int64) *Clock {
	return &Clock{Gate: gate, Offset: offset, DriftPPM: driftPPM, start: time.Now()}
}

// Now returns the reading of the clock.
func (c *Clock) Now() time.Duration {
	c.Gate.Wait()
	passed := time.Since(c.start)
	drift := time.Duration(passed.Microseconds()*c.DriftPPM/1000) * time.Nanosecond
	return c.Offset + passed + drift
}

// Wall returns the bubble's time.
func (c *Clock) Wall() time.Time {
	c.Gate.Wait()
	return time.Now()
}

// sleep waits for d or the end of the context, whose error it returns.
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

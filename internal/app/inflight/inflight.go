// Package inflight counts calls in flight, so that a partition can finish them
// before it is handed over.
package inflight

import (
	"context"
	"sync"
)

// Counter counts calls in flight. The zero value is ready; it is safe for
// concurrent use.
type Counter struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when the count falls to zero
}

// Begin counts a call as in flight. It returns false, and counts nothing, once Drain
// has been called.
func (c *Counter) Begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.count++
	return true
}

// End records that a call counted by Begin has finished.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Draining reports whether Drain has been called.
func (c *Counter) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Drain makes Begin reject further calls and waits until none is in flight or the
// context is done.
func (c *Counter) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	if c.count == 0 {
		c.mu.Unlock()
		return
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

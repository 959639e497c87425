// Package lag measures how far an owner is behind with its work.
package lag

import "time"

// window is the time for which a delay counts.
const window = time.Second

// Meter keeps the longest delay of the last one to two windows. It is not safe for
// concurrent use. The zero value has observed nothing.
type Meter struct {
	current, previous time.Duration // longest delays of the current window and the one before
	since             time.Duration // begin of the current window
}

// Observe records work that was done late by delay, at the clock reading now.
func (m *Meter) Observe(delay, now time.Duration) {
	m.advance(now)
	m.current = max(m.current, delay)
}

// Behind returns the longest delay that still counts.
func (m *Meter) Behind(now time.Duration) time.Duration {
	m.advance(now)
	return max(m.current, m.previous)
}

func (m *Meter) advance(now time.Duration) {
	switch elapsed := now - m.since; {
	case elapsed >= 2*window:
		m.current, m.previous, m.since = 0, 0, now
	case elapsed >= window:
		m.current, m.previous, m.since = 0, m.current, m.since+window
	}
}

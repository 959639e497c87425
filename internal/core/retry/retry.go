// Package retry limits retries with a budget per team, exponential backoff with
// jitter and exclusions of nodes. It does no I/O. A Budget is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// BudgetPolicy configures a Budget. The zero value of a field selects its default.
type BudgetPolicy struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
}

// The defaults of BudgetPolicy.
const (
	defaultRatio = 0.1
	defaultBurst = 20
)

// Budget is a token bucket that limits a team's retries to a fraction of its first
// attempts, so that a fault does not multiply the load.
type Budget struct {
	policy BudgetPolicy
	tokens float64
}

// NewBudget returns a budget that holds Burst retries.
func NewBudget(policy BudgetPolicy) *Budget {
	if policy.Ratio == 0 {
		policy.Ratio = defaultRatio
	}
	if policy.Burst == 0 {
		policy.Burst = defaultBurst
	}
	return &Budget{policy: policy, tokens: policy.Burst}
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt() {
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst)
}

// Allow reports whether a retry is allowed, and if so removes it from the budget.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The delays of successive retries.
const (
	initialDelay = 50 * time.Millisecond
	maxDelay     = 5 * time.Second
	multiplier   = 2
	jitter       = 0.5
)

// Backoff returns the delays between the attempts of one request: they double up to
// maxDelay and vary randomly by half in each direction.
func Backoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     initialDelay,
		RandomizationFactor: jitter,
		Multiplier:          multiplier,
		MaxInterval:         maxDelay,
	}
}

// Delay returns the delay before the retry with the given number; the first retry is
// number 1.
func Delay(retry int) time.Duration {
	b := Backoff()
	delay := b.NextBackOff()
	for range min(retry, 16) - 1 {
		delay = b.NextBackOff()
	}
	return delay
}

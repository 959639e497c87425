// Package retry bounds how much work is sent again: a budget per team and an
// exponential backoff with jitter. It is pure; a Budget is not safe for
// concurrent use.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// BudgetPolicy tunes a Budget. The zero value of a field selects its default.
type BudgetPolicy struct {
	// Ratio is how many retries each first attempt pays for.
	Ratio float64
	// Burst is the most retries that can be saved up.
	Burst float64
}

// The defaults of BudgetPolicy.
const (
	defaultRatio = 0.1
	defaultBurst = 20
)

// Budget limits a team's retries to a share of its first attempts, so that a
// fault does not multiply the load.
type Budget struct {
	policy BudgetPolicy
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(policy BudgetPolicy) *Budget {
	if policy.Ratio == 0 {
		policy.Ratio = defaultRatio
	}
	if policy.Burst == 0 {
		policy.Burst = defaultBurst
	}
	return &Budget{policy: policy, tokens: policy.Burst}
}

// Attempted records a first attempt.
func (b *Budget) RecordAttempt() {
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst)
}

// Take takes a retry from the budget and reports whether there was one.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delays of successive retries.
const (
	initialDelay = 50 * time.Millisecond
	maxDelay     = 5 * time.Second
	multiplier   = 2
	jitter       = 0.5
)

// Backoff returns the delays between the attempts of one piece of work: they
// double up to five seconds and vary by half.
func Backoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     initialDelay,
		RandomizationFactor: jitter,
		Multiplier:          multiplier,
		MaxInterval:         maxDelay,
	}
}

// Delay returns the delay before the attempt, the first retry being attempt 1.
func Delay(attempt int) time.Duration {
	b := Backoff()
	delay := b.NextBackOff()
	for range min(attempt, 16) - 1 {
		delay = b.NextBackOff()
	}
	return delay
}

package retry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBudgetBoundsRetriesUnderAFault(t *testing.T) {
	b := NewBudget(BudgetPolicy{})
	const attempts = 10_000
	retries := 0
	for range attempts {
		b.RecordAttempt()
		for b.Allow() {
			retries++
		}
	}
	assert.InDelta(t, defaultBurst+attempts*defaultRatio, retries, 1)
}

func TestDelayGrowsWithinJitter(t *testing.T) {
	for range 100 {
		assert.InEpsilon(t, initialDelay, Delay(1), jitter+0.01)
		assert.InEpsilon(t, 4*initialDelay, Delay(3), jitter+0.01)
		assert.LessOrEqual(t, Delay(1000), maxDelay+maxDelay/2+1)
	}
}

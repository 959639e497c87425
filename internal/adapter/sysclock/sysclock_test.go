package sysclock

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNowIsMonotonic(t *testing.T) {
	var clock Clock
	previous := clock.Now()
	for range 1000 {
		now := clock.Now()
		assert.GreaterOrEqual(t, now, previous)
		previous = now
	}
}

package sysclock

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNowNeverGoesBack(t *testing.T) {
	var clock Clock
	last := clock.Now()
	for range 1000 {
		now := clock.Now()
		assert.GreaterOrEqual(t, now, last)
		last = now
	}
}

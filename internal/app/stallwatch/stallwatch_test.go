package stallwatch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// skippingClock is a clock whose reading can be advanced, as after a suspension.
type skippingClock struct {
	start   time.Time
	skipped atomic.Int64 // ns
}

func (c *skippingClock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.skipped.Load())
}

func (c *skippingClock) Wall() time.Time { return time.Now() }

func TestReportsTimeInWhichTheProcessStoodStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &skippingClock{start: time.Now()}
		logger, hook := test.NewNullLogger()
		go Run(t.Context(), clock, logger)
		time.Sleep(10 * time.Second)
		assert.Empty(t, hook.AllEntries())
		clock.skipped.Add(int64(1200 * time.Millisecond))
		time.Sleep(10 * time.Second)
		require.Len(t, hook.AllEntries(), 1)
		assert.Equal(t, int64(1200), hook.LastEntry().Data["late_ms"])
	})
}

package inflight

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrainWaitsForCallsInFlightAndRejectsNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counter
		assert.True(t, c.Begin())
		time.AfterFunc(time.Second, c.End)
		start := time.Now()
		c.Drain(t.Context())
		assert.Equal(t, time.Second, time.Since(start))
		assert.False(t, c.Begin())
	})
}

func TestDrainReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counter
		assert.True(t, c.Begin())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Drain(ctx)
		assert.Error(t, ctx.Err())
	})
}

package celltest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
)

const retryAfter = 200 * time.Millisecond // of a caller whose submission was not accepted

// The log of the large site when it is calm.
const (
	calmAnswer = 4 * time.Millisecond
	calmAppend = 2 * time.Millisecond
	calmBytes  = 20 << 20 // a second
)

// setSpeed makes the log the given factor slower than when it is calm.
func (c *cell) setSpeed(factor int) {
	c.setLog(func(l *memLog) {
		l.delay, l.appendTime = time.Duration(factor)*calmAnswer, time.Duration(factor)*calmAppend
		l.bytesPerSecond, l.finishesAll = calmBytes/factor, true
	})
}

// An append that is repeated while the log still works on it waits behind itself, and
// takes the log's time twice.
func TestSlowAppendsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 1, cellWorkers)
		time.Sleep(3 * time.Second)
		owner := c.node(0).cellDispatcher
		require.True(t, owner.Owning())
		epoch := owner.Epoch()
		c.setLog(func(l *memLog) {
			l.delay, l.appendTime, l.finishesAll = 200*time.Millisecond, 1100*time.Millisecond, true
		})
		time.Sleep(20 * time.Second)
		c.log.mu.Lock()
		repeats := c.log.repeats
		c.log.mu.Unlock()
		assert.LessOrEqual(t, repeats, 1, "the first append that took longer than those before it")
		assert.True(t, owner.Owning())
		assert.Equal(t, epoch, owner.Epoch())
		c.setSpeed(1)
		time.Sleep(3 * time.Second)
		c.close()
	})
}

// The orders of a batch follow its append. If an append takes longer than the time for
// which it confirms the owner, none would ever be sent.
func TestRunsStartWhileAppendsTakeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answer, appendTime = 200 * time.Millisecond, 1100 * time.Millisecond
		c := newCell(t, 1, 1, cellWorkers)
		time.Sleep(3 * time.Second)
		require.True(t, c.node(0).cellDispatcher.Owning())
		c.setLog(func(l *memLog) { l.delay, l.appendTime, l.finishesAll = answer, appendTime, true })
		time.Sleep(6 * time.Second)
		for i := range 5 {
			id := c.registerJob(i, smallSpec(), 500*time.Millisecond)
			at := time.Now()
			for time.Since(at) < 4*time.Second && !c.submitAt(0, id, smallSpec()) {
				time.Sleep(retryAfter)
			}
			time.Sleep(time.Second)
			c.fleet.mu.Lock()
			started := c.fleet.jobs[id].firstStart
			c.fleet.mu.Unlock()
			assert.False(t, started.IsZero(), "job %d has not started %v after its first submission", i, time.Since(at))
		}
		c.setSpeed(1)
		time.Sleep(10 * time.Second)
		assert.Empty(t, c.fleet.violations)
		c.close()
	})
}

// A caller whose record waits too long behind a slow append learns in time that it was
// not stored.
func TestWriteThatWaitsBehindASlowAppendIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const appendTime = 1500 * time.Millisecond
		c := newCell(t, 1, 1, cellWorkers)
		time.Sleep(3 * time.Second)
		require.True(t, c.node(0).cellDispatcher.Owning())
		c.setLog(func(l *memLog) { l.delay, l.appendTime, l.finishesAll = 200*time.Millisecond, appendTime, true })
		time.Sleep(6 * time.Second)
		inFlight := func() time.Duration { // the time until the append in flight is executed
			c.log.mu.Lock()
			defer c.log.mu.Unlock()
			return time.Until(c.log.topic(replica.CellTopic).idleAt)
		}
		for inFlight() < appendTime-20*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		id := c.registerJob(0, smallSpec(), 500*time.Millisecond)
		at := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), submitDeadline)
		assert.Equal(t, intake.Unavailable, c.node(0).service.Submit(ctx, id, smallSpec()))
		cancel()
		assert.Less(t, time.Since(at), 1100*time.Millisecond)
		c.setSpeed(1)
		time.Sleep(10 * time.Second)
		_, outcome := c.node(0).service.State(id)
		assert.Equal(t, intake.NoJob, outcome, "a refused job must never run")
		c.close()
	})
}

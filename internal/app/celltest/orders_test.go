package celltest

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Stops of unreachable workers must not keep the owner from its heartbeats.
func TestOrdersToUnreachableWorkersDoNotSilenceTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2, 48)
		time.Sleep(3 * time.Second)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		epoch := c.node(owner).cellDispatcher.Epoch()
		var callers sync.WaitGroup
		ids := make([]model.JobID, 500)
		for i := range ids {
			ids[i] = c.registerJob(i, smallSpec(), time.Hour)
			callers.Go(func() { assert.True(t, c.submitAt(owner, ids[i], smallSpec())) })
		}
		callers.Wait()
		time.Sleep(4 * time.Second)
		for id := range c.fleet.workers {
			c.fleet.setDisconnected(id, true)
		}
		for _, id := range ids {
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				c.node(owner).service.Cancel(ctx, id, "b")
			})
		}
		observer := c.node(1 - owner)
		var longest time.Duration
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			longest = max(longest, c.clock.Now()-observer.replica.Owner().ReadAt)
		}
		callers.Wait()
		assert.Less(t, longest, 700*time.Millisecond, "silence of the owner")
		assert.Equal(t, epoch, observer.replica.Owner().Epoch)
		for id := range c.fleet.workers {
			c.fleet.setDisconnected(id, false)
		}
		c.close()
	})
}

package celltest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHandoverIsTakenDuringTheDelayOfAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2, cellWorkers)
		time.Sleep(3 * time.Second)
		first := c.ownerIndex()
		require.GreaterOrEqual(t, first, 0)
		successor := c.node(1 - first)
		c.claimDelay.Store(int64(3 * time.Second))
		c.kill(first)
		handedOver := c.claimFor(successor.name, c.node(first).cellDispatcher.Epoch())
		time.Sleep(1900 * time.Millisecond) // the former owner counts as missing
		require.NoError(t, successor.candidate.OwnerChanged(handedOver, successor.name))
		time.Sleep(100 * time.Millisecond)
		assert.True(t, successor.cellDispatcher.Owning())
		assert.Equal(t, handedOver, successor.cellDispatcher.Epoch())
		c.restart(first)
		c.close()
	})
}

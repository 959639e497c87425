package celltest

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// claimFor appends a claim for a node that is not part of the cell and returns its epoch.
func (c *cell) claimFor(node string, previousEpoch uint64) uint64 {
	value, err := proto.Marshal(&logpb.OwnerClaim{Node: node})
	require.NoError(c.t, err)
	offset, err := c.log.Append(c.t.Context(), replica.OwnerTopic, []port.KeyedRecord{{Key: "owner", Value: value}}, port.AppendOptions{EndsAt: &previousEpoch})
	require.NoError(c.t, err)
	return offset + 1
}

func TestOwnerIsNotReplacedOnTheAnswerOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2, cellWorkers)
		time.Sleep(3 * time.Second)
		first := c.ownerIndex()
		require.GreaterOrEqual(t, first, 0)
		epoch := c.node(first).cellDispatcher.Epoch()
		observer := c.node(1 - first)
		c.kill(first)
		second := c.claimFor("second", epoch)
		observer.replica.ExpectOwner(second, "second")
		var third atomic.Uint64
		ask := func(asking *cellNode, owner replica.OwnerHeartbeat) bool {
			if owner.Epoch != second || third.Load() != 0 {
				return false
			}
			third.Store(c.claimFor("third", second))
			asking.replica.ExpectOwner(third.Load(), "third")
			return true // the second owner has stopped
		}
		c.askOwner.Store(&ask)
		for start := time.Now(); third.Load() == 0; time.Sleep(10 * time.Millisecond) {
			require.Less(t, time.Since(start), 3*time.Second, "the observer has not asked the second owner")
		}
		time.Sleep(600 * time.Millisecond) // less than until the third owner counts as missing
		assert.Equal(t, third.Load(), observer.replica.Owner().Epoch)
		assert.False(t, observer.cellDispatcher.Owning())
		c.restart(first)
		c.close()
	})
}

func TestHandedOverCellIsTakenWhileTheFormerOwnerIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2, cellWorkers)
		time.Sleep(3 * time.Second)
		first := c.ownerIndex()
		require.GreaterOrEqual(t, first, 0)
		successor := c.node(1 - first)
		c.kill(first)
		handedOver := c.claimFor(successor.name, c.node(first).cellDispatcher.Epoch())
		time.Sleep(1900 * time.Millisecond) // the former owner counts as missing
		require.False(t, successor.cellDispatcher.Owning())
		require.NoError(t, successor.candidate.OwnerChanged(handedOver, successor.name))
		time.Sleep(300 * time.Millisecond)
		assert.True(t, successor.cellDispatcher.Owning())
		assert.Equal(t, handedOver, successor.cellDispatcher.Epoch())
		c.restart(first)
		c.close()
	})
}

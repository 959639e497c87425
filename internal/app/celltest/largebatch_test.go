package celltest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
)

// smallAppend is the limit of one append in bytes, less than the records of some thousand tasks.
const smallAppend = 16 << 10

// manyTasks returns a job of team a with tasks that are all placed in one round once the
// team's limit is lifted. Their records are larger together than one append may be.
func manyTasks() dispatch.JobSpec {
	spec := smallSpec()
	spec.Team = "a"
	spec.Steps[0].Tasks = 1000
	spec.Steps[0].Size = model.Resources{MilliCPU: 3, MemoryMiB: 5}
	return spec
}

// setLimit gives team a another limit.
func (c *cell) setLimit(version uint64, milliCPU int64) {
	next := *c.policy.Get()
	next.Version = version
	next.Teams = []dispatch.Team{{Name: "a", UpperLimit: model.Resources{MilliCPU: milliCPU}}, {Name: "b"}}
	c.policy.Set(&next)
	c.setFleet(func(f *fleet) { f.limits["a"] = model.Resources{MilliCPU: max(milliCPU, f.limits["a"].MilliCPU)} })
	c.setPolicy(&next)
}

func (c *cell) setPolicy(snapshot *policy.Snapshot) {
	for i := range c.nodes {
		c.node(i).policy.Set(snapshot)
	}
}

// Guards against an owner that repeats an append for ever which the log refuses, as the
// records of one round are larger together than it takes.
func TestDecisionsBeyondOneAppendAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCellWithLimit(t, 1, 3, cellWorkers, smallAppend)
		time.Sleep(3 * time.Second)
		c.setLimit(2, 30)
		for i := range 2 {
			c.submit(i, manyTasks(), time.Second)
		}
		time.Sleep(5 * time.Second)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		epoch := c.node(owner).cellDispatcher.Epoch()
		c.setLimit(3, 48000)
		time.Sleep(20 * time.Second)
		c.submit(2, smallSpec(), time.Second)
		time.Sleep(10 * time.Second)
		for _, id := range c.jobs {
			state, _ := c.node(0).service.State(id)
			assert.Equal(t, dispatch.Completed, state, "job %s", id)
		}
		assert.Equal(t, epoch, c.node(owner).cellDispatcher.Epoch(), "the owner has not changed")
		c.check()
		c.close()
	})
}

// Guards against a new owner that cannot go on from the first parts of a batch.
func TestOwnerEndsBetweenTheAppendsOfOneBatch(t *testing.T) {
	for delay := range 5 {
		synctest.Test(t, func(t *testing.T) {
			c := newCellWithLimit(t, uint64(delay), 3, cellWorkers, smallAppend)
			time.Sleep(3 * time.Second)
			c.setLimit(2, 30)
			for i := range 2 {
				c.submit(i, manyTasks(), time.Second)
			}
			time.Sleep(5 * time.Second)
			c.setLimit(3, 48000)
			time.Sleep(time.Duration(2+7*delay) * time.Millisecond)
			if owner := c.ownerIndex(); owner >= 0 {
				c.kill(owner)
				time.Sleep(5 * time.Second)
				c.restart(owner)
			}
			time.Sleep(60 * time.Second)
			c.check()
			c.close()
		})
	}
}

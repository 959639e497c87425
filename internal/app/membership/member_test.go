package membership

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

const takeoverLimit = 2600 * time.Millisecond

func TestKilledOwnersPartitionsAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 30)
		defer c.stop()
		c.startMany(9)
		t.Logf("served after start: %v", c.settle(10*time.Second))
		c.run(10 * time.Second)
		worst := time.Duration(0)
		for i := range 8 {
			c.run(time.Duration(i) * 53 * time.Millisecond)
			c.kill(c.nodes[0])
			worst = max(worst, c.settle(takeoverLimit))
		}
		t.Logf("longest takeover: %v", worst)
	})
}

func TestLoadIsEvenAndAppendRateIsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 28)
		defer c.stop()
		c.startMany(9)
		c.run(20 * time.Second)
		c.requireNoError(c.checkServed())
		for _, kind := range []model.PartitionKind{model.KindSystem, model.KindTeam, model.KindRack} {
			loads := slices.Collect(maps.Values(c.loadsOf(kind)))
			assert.LessOrEqual(t, slices.Max(loads)-slices.Min(loads), 1, kind)
		}
		before := c.log.Next(ownership.Stream)
		c.run(10 * time.Second)
		rate := float64(c.log.Next(ownership.Stream)-before) / 10
		t.Logf("appends per second: %.1f", rate)
		assert.Less(t, rate, 40.0)
	})
}

func TestJoinMovesOnlyTheNewMembersShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 28)
		defer c.stop()
		c.startMany(4)
		c.run(20 * time.Second)
		before := c.epochs()
		joiner := c.start("10.0.0.5:7000")
		c.run(20 * time.Second)
		moved := 0
		for p, e := range c.epochs() {
			if before[p] != e {
				moved++
			}
		}
		assert.Len(t, joiner.published.Load().owned, moved, "all moved partitions must go to the new member")
		assert.Equal(t, 5, c.loadsOf(model.KindRack)[joiner.opt.ID], "share of 28 racks among five members")
		assert.LessOrEqual(t, moved, 7, "at most one partition of each other kind may move besides")
	})
}

func TestHandoverAllDoesNotInterruptService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20)
		defer c.stop()
		c.startMany(4)
		c.run(10 * time.Second)
		leaver := c.nodes[1]
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		begin := time.Now()
		require.NoError(t, leaver.HandoverAll(ctx))
		t.Logf("orderly exit took %v", time.Since(begin))
		assert.Less(t, c.settle(100*time.Millisecond), 100*time.Millisecond)
		c.kill(leaver)
		c.run(5 * time.Second)
		c.requireNoError(c.checkServed())
		assert.Len(t, c.nodes[0].Members(), 3)
	})
}

func TestLostReleaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stop()
		c.startMany(2)
		c.run(5 * time.Second)
		leaver := c.nodes[0]
		time.AfterFunc(9*time.Millisecond, func() { // while the partitions are drained
			leaver.log.SetFaults(porttest.Faults{FailAppends: true})
			time.AfterFunc(300*time.Millisecond, func() { leaver.log.SetFaults(healthy) })
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.NoError(t, leaver.HandoverAll(ctx))
		c.kill(leaver)
		c.requireNoError(c.checkServed())
	})
}

func TestUnwantedPartitionIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stop()
		c.startMany(2)
		c.run(5 * time.Second)
		unwanted := model.RackPartition("3")
		c.dropLastWanted()
		c.run(15 * time.Second)
		_, _, ok := c.nodes[0].Owner(unwanted)
		assert.False(t, ok)
	})
}

func TestNewVMsTakeOverAfterTheListDropsTheOldOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stop()
		c.startMany(2)
		c.setVMs("10.0.0.1:7000", "10.0.0.2:7000")
		c.run(5 * time.Second)
		c.stop()
		c.start("10.0.0.3:7000")
		c.run(30 * time.Second)
		assert.Empty(t, c.actors(), "the old VMs may still act on promises")
		c.setVMs("10.0.0.3:7000")
		c.settle(unlistedVMGrace + takeoverLimit)
	})
}

func TestRestartedProcessesTakeOverTheirPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		defer c.stop()
		c.startMany(5)
		c.run(5 * time.Second)
		c.stop()
		c.startMany(5)
		t.Logf("served after a restart of all: %v", c.settle(5*time.Second))
	})
}

func TestReusedMemberIDDoesNotInheritMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stop()
		c.startMany(1)
		c.run(5 * time.Second)
		first := c.nodes[0]
		c.kill(first)
		again := c.startAs(first.opt.ID, first.address)
		c.run(DefaultLease)
		assert.Empty(t, c.actors(), "promises of the ended process are unknown")
		reply := again.answerPromise(&peerpb.PromiseRequest{Member: "x", Receiver: string(first.opt.ID),
			TermMs: DefaultPromiseTerm.Milliseconds()})
		assert.False(t, reply.GetGranted())
		c.settle(time.Second)
	})
}

func TestStateIsRebuiltAfterUnreportedTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stop()
		c.startMany(3)
		c.run(5 * time.Second)
		paused := c.nodes[2]
		paused.gate.Close()
		c.run(30 * time.Second)
		c.log.Truncate(ownership.Stream, c.log.Next(ownership.Stream)-100)
		c.log.SkipTruncated()
		paused.gate.Open()
		c.run(5 * time.Second)
		c.requireNoError(c.checkServed())
		assert.Positive(t, c.loadsOf(model.KindRack)[paused.opt.ID])
	})
}

func TestJoinerStartsFromCheckpointOfTruncatedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stop()
		c.startMany(3)
		c.run(30 * time.Second)
		c.log.Truncate(ownership.Stream, c.log.Next(ownership.Stream)-400)
		joiner := c.start("10.0.0.9:7000")
		c.run(10 * time.Second)
		assert.Len(t, c.nodes[0].Members(), 4)
		assert.Positive(t, c.loadsOf(model.KindRack)[joiner.opt.ID])
	})
}

func TestObserverStartsWithTheNewestCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const junk = 3 * startupWindow
		c := newCluster(t, 4)
		defer c.stop()
		c.startMany(3)
		c.run(5 * time.Second)
		for range junk {
			_, _ = c.log.Append(t.Context(), ownership.Stream, [][]byte{{0xff}})
		}
		c.run(5 * time.Second)
		o := c.observe(time.Second)
		for _, p := range c.want() {
			wantAddress, wantEpoch, _ := c.nodes[0].Owner(p)
			address, epoch, ok := o.Owner(p)
			assert.True(t, ok, p)
			assert.Equal(t, wantAddress, address, p)
			assert.Equal(t, wantEpoch, epoch, p)
		}
		assert.Len(t, o.Members(), 3)
		assert.Less(t, o.state().Skipped(), uint64(junk), "the observer must not read the whole log")
	})
}

func TestObserverReadsAllWhenTheTailHasNoCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.startMany(1)
		c.run(5 * time.Second)
		c.stop()
		for range 2 * startupWindow {
			_, _ = c.log.Append(t.Context(), ownership.Stream, [][]byte{{0xff}})
		}
		assert.Len(t, c.observe(time.Second).Members(), 1)
	})
}

func TestPausedMemberServesAgainAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stop()
		c.startMany(3)
		c.run(5 * time.Second)
		paused := c.nodes[0]
		paused.gate.Close()
		c.run(10 * time.Second)
		c.requireNoError(c.checkServed())
		paused.gate.Open()
		c.run(10 * time.Second)
		c.requireNoError(c.checkServed())
		assert.Positive(t, c.loadsOf(model.KindRack)[paused.opt.ID], "the paused member must be assigned partitions again")
	})
}

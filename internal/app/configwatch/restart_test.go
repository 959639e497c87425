package configwatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

func TestProcessWithoutCoveringCheckpointIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0)
		key, _ := c.issueKey()
		c.append(config.DomainOut("bergen"))
		c.log.Truncate(config.Stream, 2)
		p := c.start()
		time.Sleep(time.Minute)
		assert.False(t, p.Ready(), "an empty configuration must not replace a lost one")
		assert.False(t, p.accepts(key))
	})
}

func TestRestartFromCheckpointAndTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		key, id := c.issueKey()
		time.Sleep(time.Second)
		require.NoError(t, c.procs[0].Checkpoint(c.ctx))
		c.append(config.DomainOut("bergen"))
		c.log.Truncate(config.Stream, 2)
		p := c.start()
		time.Sleep(time.Second)
		assert.True(t, p.accepts(key))
		assert.True(t, p.Snapshot().IsDomainOut("bergen"))
		c.append(config.WithdrawKey(id))
		checkWithdrawn(t, c, key)
	})
}

// A process that was suspended until the records it needs were truncated must
// continue from a checkpoint and accept no withdrawn key.
func TestProcessThatMissedTruncatedRecordsReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		key, id := c.issueKey()
		time.Sleep(5 * time.Second)
		c.isolate(c.procs[0])
		c.procs[0].gate.Close()
		time.Sleep(2 * time.Second) // the pending read is answered
		c.append(config.WithdrawKey(id))
		c.append(config.DomainOut("bergen"))
		time.Sleep(time.Second)
		require.NoError(t, c.procs[1].Checkpoint(c.ctx))
		c.log.Truncate(config.Stream, 4)
		c.procs[0].gate.Open()
		time.Sleep(time.Second)
		assert.True(t, c.procs[0].Snapshot().IsDomainOut("bergen"))
		checkWithdrawn(t, c, key)
	})
}

// shrinkingLog is a log that has lost all records once wiped is set.
type shrinkingLog struct {
	*porttest.MemLog
	wiped atomic.Bool
	empty *porttest.MemLog
}

func (l *shrinkingLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (port.Batch, error) {
	if l.wiped.Load() {
		return l.empty.Read(ctx, stream, from, limit, wait)
	}
	return l.MemLog.Read(ctx, stream, from, limit, wait)
}

// A log that lost its latest records must not revert the configuration.
func TestShorterLogDoesNotRevertConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0)
		c.issueKey()
		log := &shrinkingLog{MemLog: c.log, empty: porttest.NewMemLog()}
		w := New(Options{
			Log:     log,
			Clock:   porttest.NewClock(nil, 0, 0),
			Peer:    c.peers.Client("alone", nil),
			Members: func() ([]string, bool) { return nil, true },
			Logger:  discardLogger(),
		})
		go func() { _ = w.Run(c.ctx) }()
		time.Sleep(time.Second)
		require.True(t, w.Fresh())
		revision := w.Snapshot().Revision()
		log.wiped.Store(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, revision, w.Snapshot().Revision())
		assert.False(t, w.Fresh())
	})
}

func TestRunCheckpointsRetriesAndRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		c.issueKey()
		p := c.procs[0]
		go p.RunCheckpoints(c.ctx)
		p.log.SetFaults(porttest.Faults{FailAppends: true})
		time.Sleep(time.Minute)
		p.log.SetFaults(porttest.Faults{})
		time.Sleep(time.Hour)
		retained := c.log.Next(config.Stream)
		time.Sleep(2 * DefaultCheckpointEvery)
		c.log.Truncate(config.Stream, retained)
		restarted := c.start()
		c.isolate(restarted)
		time.Sleep(time.Second)
		assert.Equal(t, []model.TeamID{"quotes"}, restarted.Snapshot().Teams())
	})
}

func TestMemberThatStartsWithoutLogLoadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		key, _ := c.issueKey()
		time.Sleep(5 * time.Second)
		p := c.start()
		p.failLog()
		time.Sleep(2 * time.Second)
		assert.True(t, p.accepts(key))
	})
}

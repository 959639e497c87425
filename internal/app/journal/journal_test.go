package journal

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	core "github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func oneMember() int { return 1 }

func cancelled(id string) *logpb.JournalRecord {
	return &logpb.JournalRecord{Body: &logpb.JournalRecord_JobCancelled{
		JobCancelled: &logpb.JobCancelled{JobId: id, Team: "a"},
	}}
}

// countingLog counts the appends that reach the log.
type countingLog struct {
	port.Log
	appends atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, stream, records)
}

// TestAllMembersShareAppendRate appends constantly from nine members, more than the
// largest cell needs, and guards against exceeding the append rate of all members
// together.
func TestAllMembersShareAppendRate(t *testing.T) {
	const (
		members = 9
		seconds = 10
		maxRate = 300 // appends per second
	)
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{Log: porttest.NewMemLog()}
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		for range members {
			j := New(log, func() int { return members }, discardLogger())
			go func() { _ = j.Run(ctx) }()
			go func() {
				for ctx.Err() == nil {
					_ = j.Append(ctx, cancelled("j"))
				}
			}()
		}
		<-ctx.Done()
		synctest.Wait()
		assert.Less(t, log.appends.Load(), int64(maxRate*seconds))
		assert.Greater(t, log.appends.Load(), int64(maxRate*seconds/2))
	})
}

func TestAppendWithLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := porttest.NewMemLog().Client(nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		j := New(client, oneMember, discardLogger())
		go func() { _ = j.Run(ctx) }()
		require.NoError(t, j.WaitReady(ctx))
		events := make(chan string, 1)
		stop := j.Subscribe("a", func([]*core.JobState, []*logpb.Intent) {}, func(e core.Event) { events <- e.RecordID })
		defer stop()
		client.SetFaults(porttest.Faults{LoseAnswers: true})
		record := &logpb.JournalRecord{Body: &logpb.JournalRecord_Intent{
			Intent: &logpb.Intent{Team: "a", RequestId: "r", IdempotencyKey: "k"},
		}}
		require.Error(t, j.Append(ctx, record))
		assert.Equal(t, record.GetId(), <-events)
	})
}

// TestRestartAfterTruncationReadsCheckpoint truncates the log. Without a checkpoint
// that covers the dropped records a new process must return an error; with one it
// must become ready.
func TestRestartAfterTruncationReadsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := porttest.NewMemLog()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		j := New(log, oneMember, discardLogger())
		go func() { _ = j.Run(ctx) }()
		require.NoError(t, j.WaitReady(ctx))
		for range 20 {
			require.NoError(t, j.Append(ctx, cancelled("j")))
		}
		synctest.Wait()
		log.Truncate(core.Stream, 10)
		err := New(log, oneMember, discardLogger()).Run(ctx)
		assert.True(t, Error.Has(err), "no checkpoint covers the dropped records")
		require.NoError(t, j.Checkpoint(ctx, 1, time.Hour))
		log.Truncate(core.Stream, 20)
		restarted := New(log, oneMember, discardLogger())
		go func() { _ = restarted.Run(ctx) }()
		require.NoError(t, restarted.WaitReady(ctx))
	})
}

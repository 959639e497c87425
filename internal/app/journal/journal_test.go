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

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func alone() int { return 1 }

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

// TestMembersTogetherKeepToTheAppendsOfTheLog loads nine members all the time,
// more than today's largest cell needs.
func TestMembersTogetherKeepToTheAppendsOfTheLog(t *testing.T) {
	const (
		members = 9
		seconds = 10
		most    = 300 // appends a second
	)
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{Log: porttest.NewMemLog()}
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		for range members {
			j := New(log, func() int { return members }, quiet())
			go func() { _ = j.Run(ctx) }()
			go func() {
				for ctx.Err() == nil {
					_ = j.Append(ctx, cancelled("j"))
				}
			}()
		}
		<-ctx.Done()
		synctest.Wait()
		assert.Less(t, log.appends.Load(), int64(most*seconds))
		assert.Greater(t, log.appends.Load(), int64(most*seconds/2))
	})
}

func TestAppendWithALostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := porttest.NewMemLog().Client(nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		j := New(client, alone, quiet())
		go func() { _ = j.Run(ctx) }()
		require.NoError(t, j.WaitReady(ctx))
		heard := make(chan string, 1)
		stop := j.Subscribe("a", func([]*core.JobState, []*logpb.Intent) {}, func(e core.Event) { heard <- e.RecordID })
		defer stop()
		client.SetFaults(porttest.Faults{LoseAnswers: true})
		record := &logpb.JournalRecord{Body: &logpb.JournalRecord_Intent{
			Intent: &logpb.Intent{Team: "a", RequestId: "r", IdempotencyKey: "k"},
		}}
		require.Error(t, j.Append(ctx, record))
		assert.Equal(t, record.GetId(), <-heard)
	})
}

// TestRestartAfterTruncationReadsTheCheckpoint drops everything before a
// checkpoint; a process that starts with nothing is ready, one without a
// checkpoint must say so.
func TestRestartAfterTruncationReadsTheCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := porttest.NewMemLog()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		j := New(log, alone, quiet())
		go func() { _ = j.Run(ctx) }()
		require.NoError(t, j.WaitReady(ctx))
		for range 20 {
			require.NoError(t, j.Append(ctx, cancelled("j")))
		}
		synctest.Wait()
		log.Truncate(core.Stream, 10)
		err := New(log, alone, quiet()).Run(ctx)
		assert.True(t, Error.Has(err), "no checkpoint covers the dropped records")
		require.NoError(t, j.Checkpoint(ctx, 1, time.Hour))
		log.Truncate(core.Stream, 20)
		again := New(log, alone, quiet())
		go func() { _ = again.Run(ctx) }()
		require.NoError(t, again.WaitReady(ctx))
	})
}

package logtail

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// longLog is a topic with more records than one read returns. Each read takes a
// quarter of a second.
type longLog struct {
	port.KeyedLog
	end uint64
}

const (
	readTime       = 250 * time.Millisecond
	recordsPerRead = 10
)

func (l *longLog) Newest(context.Context, string, string) (port.NewestPage, error) {
	return port.NewestPage{}, nil
}

func (l *longLog) Read(_ context.Context, _ string, from uint64, wait time.Duration) (port.KeyedBatch, error) {
	time.Sleep(readTime)
	batch := port.KeyedBatch{End: l.end}
	for offset := from; offset < min(l.end, from+recordsPerRead); offset++ {
		batch.Records = append(batch.Records, port.KeyedRecord{Offset: offset, Key: "k"})
	}
	if len(batch.Records) == 0 {
		time.Sleep(wait)
	}
	return batch, nil
}

type discard struct{}

func (discard) Load([]port.KeyedRecord)        {}
func (discard) Apply([]port.KeyedRecord, bool) {}

// A node that was cut off reads a long backlog. Until it has reached the end it must
// not count as up to date: it would call accepted jobs unknown and a live owner silent.
func TestReadsThatDoNotReachTheEndDoNotCountAsRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		clock := porttest.NewClock(nil, time.Hour, 0)
		tail := &Tail{
			Log: &longLog{end: 100}, Clock: clock, Topic: "t", Follower: discard{}, Logger: logger,
			ReadPause: func() time.Duration { return 0 },
		}
		ctx, cancel := context.WithCancel(context.Background())
		start := clock.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			tail.Run(ctx)
		}()
		time.Sleep(9*readTime + readTime/2)
		assert.EqualValues(t, 90, tail.Offset())
		assert.Equal(t, start, tail.LastRead(), "the load was the last read that reached the end")
		time.Sleep(readTime)
		assert.Equal(t, start+9*readTime, tail.LastRead())
		cancel()
		<-done
	})
}

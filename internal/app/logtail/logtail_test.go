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

// loopingLog returns the same page of newest records again and again, as a store does
// whose keys can't be sent back to it unchanged.
type loopingLog struct {
	port.KeyedLog
	pages int
}

func (l *loopingLog) Newest(context.Context, string, string) (port.NewestPage, error) {
	if l.pages++; l.pages > 1000 {
		return port.NewestPage{}, io.ErrUnexpectedEOF
	}
	return port.NewestPage{Records: []port.KeyedRecord{{Key: "a"}, {Key: "\ufffd"}}, More: true, End: 7}, nil
}

func (l *loopingLog) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (port.KeyedBatch, error) {
	<-ctx.Done()
	return port.KeyedBatch{}, ctx.Err()
}

// loads passes on how many records each load had.
type loads chan int

func (l loads) Load(records []port.KeyedRecord) { l <- len(records) }
func (l loads) Apply([]port.KeyedRecord, bool)  {}

func TestPagesThatRepeatDoNotKeepALoadFromEnding(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	loaded := make(loads, 1)
	tail := &Tail{Log: &loopingLog{}, Clock: porttest.NewClock(nil, time.Hour, 0), Topic: "t", Follower: loaded, Logger: logger}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go tail.Run(ctx)
	select {
	case records := <-loaded:
		assert.LessOrEqual(t, records, 4)
	case <-ctx.Done():
		t.Fatal("the newest records were not loaded")
	}
}

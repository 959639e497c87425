package logtail

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// slowLog is a topic whose answers take answerTime. Reads return a record at once if
// records is set, and otherwise nothing after their wait.
type slowLog struct {
	port.KeyedLog
	answerTime atomic.Int64
	records    atomic.Bool
}

func (l *slowLog) pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait + time.Duration(l.answerTime.Load())):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *slowLog) Newest(ctx context.Context, _, _ string) (port.NewestPage, error) {
	return port.NewestPage{}, l.pause(ctx, 0)
}

func (l *slowLog) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (port.KeyedBatch, error) {
	if l.records.Load() {
		batch := port.KeyedBatch{End: from + 20}
		for offset := from; offset < batch.End; offset++ {
			batch.Records = append(batch.Records, port.KeyedRecord{Offset: offset, Key: "k"})
		}
		return batch, l.pause(ctx, 0)
	}
	return port.KeyedBatch{End: from}, l.pause(ctx, wait)
}

// follow runs a tail on the log until observe returns.
func follow(t *testing.T, log *slowLog, observe func(*Tail, port.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		clock := porttest.NewClock(nil, time.Hour, 0)
		tail := &Tail{
			Log: log, Clock: clock, Topic: "t", Follower: discard{}, Logger: logger,
			ReadPause: func() time.Duration { return 20 * time.Millisecond },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			tail.Run(ctx)
		}()
		observe(tail, clock)
		cancel()
		<-done
	})
}

// A node whose reads all end a little too early would never read anything again.
func TestReadsOfASlowLogGetTheTimeThatItTakes(t *testing.T) {
	log := &slowLog{}
	log.answerTime.Store(int64(4 * time.Millisecond))
	follow(t, log, func(tail *Tail, clock port.Clock) {
		time.Sleep(3 * time.Second)
		log.answerTime.Store(int64(700 * time.Millisecond))
		time.Sleep(10 * time.Second)
		assert.Less(t, clock.Now()-tail.LastRead(), 2*(maxReadWait+700*time.Millisecond))
	})
}

func TestAnswerTimeFollowsTheLog(t *testing.T) {
	for _, records := range []bool{false, true} {
		log := &slowLog{}
		log.records.Store(records)
		log.answerTime.Store(int64(4 * time.Millisecond))
		follow(t, log, func(tail *Tail, _ port.Clock) {
			time.Sleep(3 * time.Second)
			assert.LessOrEqual(t, tail.AnswerTime(), 4*time.Millisecond)
			log.records.Store(false)
			log.answerTime.Store(int64(200 * time.Millisecond))
			time.Sleep(3 * time.Second)
			assert.Equal(t, 200*time.Millisecond, tail.AnswerTime())
			log.records.Store(records)
			log.answerTime.Store(int64(4 * time.Millisecond))
			time.Sleep(3 * time.Second)
			assert.Equal(t, 4*time.Millisecond, tail.AnswerTime())
		})
	}
}

func TestAnswerTimeOfABusyTopicIsMeasured(t *testing.T) {
	for _, answer := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 590 * time.Millisecond} {
		log := &slowLog{}
		log.records.Store(true)
		log.answerTime.Store(int64(4 * time.Millisecond))
		follow(t, log, func(tail *Tail, _ port.Clock) {
			time.Sleep(3 * time.Second)
			assert.Equal(t, 4*time.Millisecond, tail.AnswerTime())
			log.answerTime.Store(int64(answer))
			time.Sleep(3 * time.Second)
			assert.Equal(t, answer, tail.AnswerTime())
		})
	}
}

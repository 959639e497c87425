package dispatcher

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// newPolledSession returns a session with workers that have reported one end each.
func newPolledSession(workers int) (*ownerSession, []*workerState) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &ownerSession{
		Options: Options{Clock: porttest.NewClock(nil, time.Hour, 0), Logger: logger},
		engine:  dispatch.New(dispatch.Settings{}), workers: map[model.VMID]*workerState{}, wakeup: make(chan struct{}, 1),
	}
	var states []*workerState
	for i := range workers {
		id := model.VMID(fmt.Sprintf("w%d", i))
		w := newWorkerState(dispatch.WorkerInfo{ID: id}, 0)
		s.workers[id] = w
		states = append(states, w)
		s.engine.ApplyReport(id, dispatch.WorkerReport{
			Incarnation: 1, Clock: time.Second,
			EndedRuns: []dispatch.EndedRun{{Sequence: 1, Task: dispatch.TaskName{Job: "j"}, Run: 1, Kind: dispatch.EndDone}},
		}, time.Second)
	}
	return s, states
}

// With 1,100 workers, waking the poll loops of all after each append would take more
// than the append.
func TestCommitWakesOnlyWorkersWithDurableEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, states := newPolledSession(1100)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batch := dispatch.Batch{Acks: []dispatch.Ack{
			{Worker: "w7", Incarnation: 1, Sequence: 1}, {Worker: "w8", Incarnation: 1, Sequence: 1}, {Worker: "unknown", Incarnation: 1, Sequence: 1},
		}}
		s.execute(ctx, &batch)
		for i, w := range states {
			assert.Len(t, w.acksDurable, map[bool]int{true: 1}[i == 7 || i == 8], "w%d", i)
		}
		var returned atomic.Int64
		for _, w := range states {
			go func() {
				s.awaitAck(ctx, w)
				returned.Add(1)
			}()
		}
		synctest.Wait()
		assert.EqualValues(t, 2, returned.Load())
		time.Sleep(pollWait)
		synctest.Wait()
		assert.EqualValues(t, 1100, returned.Load(), "the wait is bounded")
	})
}

// An acknowledgement that comes before the wait, or for an earlier end, is not lost.
func TestAwaitAckTakesEarlierAndRepeatedAcks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, states := newPolledSession(1)
		ack := func(sequence uint64) {
			s.execute(t.Context(), &dispatch.Batch{Acks: []dispatch.Ack{{Worker: "w0", Incarnation: 1, Sequence: sequence}}})
		}
		ack(0)
		ack(0)
		var returned atomic.Bool
		go func() {
			s.awaitAck(t.Context(), states[0])
			returned.Store(true)
		}()
		synctest.Wait()
		assert.False(t, returned.Load())
		ack(1)
		synctest.Wait()
		assert.True(t, returned.Load())
		start := time.Now()
		s.awaitAck(t.Context(), states[0])
		assert.Zero(t, time.Since(start))
	})
}

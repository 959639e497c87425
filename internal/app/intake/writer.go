package intake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// appendTime bounds one append; the store answers within milliseconds, or
	// within a few hundred when it is slow.
	appendTime = 700 * time.Millisecond
	// logShare is the part of the log's time that the appends of all nodes
	// together may take. A new owner needs the rest.
	logShare = 0.5
	// longestPause bounds the time between two appends, so that a caller still
	// gets an answer within the usual deadline.
	longestPause = time.Second
	// downPause is the pause while the log answers nothing at all.
	downPause = 150 * time.Millisecond
	// downAfter is how old the last answered read is when the log counts as
	// down: more than the longest poll and the time of a slow answer.
	downAfter = 1500 * time.Millisecond
)

// writer appends callers' records to the cell's log while no owner takes them.
// One append is under way at a time, with everything that waits for it. It is
// safe for concurrent use.
type writer struct {
	log   port.KeyedLog
	clock port.Clock
	tail  *logtail.Tail

	mu      sync.Mutex
	waiting []*pendingRecord
	running bool
}

type pendingRecord struct {
	record port.KeyedRecord
	done   chan error // capacity 1
}

// append waits until the record has been appended. An error of type NotStarted
// or Refused proves that it never will be.
func (w *writer) append(ctx context.Context, nodes int, record port.KeyedRecord) error {
	p := &pendingRecord{record: record, done: make(chan error, 1)}
	w.mu.Lock()
	w.waiting = append(w.waiting, p)
	if !w.running {
		w.running = true
		go w.run(nodes)
	}
	w.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if w.withdraw(p) {
		return port.NotStarted.Wrap(ctx.Err())
	}
	return ctx.Err()
}

// withdraw reports whether no append has taken the record, and none will.
func (w *writer) withdraw(p *pendingRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.waiting, p)
	if i < 0 {
		return false
	}
	w.waiting = slices.Delete(w.waiting, i, i+1)
	return true
}

// run appends until nothing waits.
func (w *writer) run(nodes int) {
	for {
		w.mu.Lock()
		batch := w.waiting
		w.waiting = nil
		w.running = len(batch) > 0
		w.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		records := make([]port.KeyedRecord, len(batch))
		for i, p := range batch {
			records[i] = p.record
		}
		began := w.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), appendTime)
		_, err := w.log.Append(ctx, replica.CellTopic, records, port.AppendOptions{})
		cancel()
		for _, p := range batch {
			p.done <- err
		}
		gap := min(longestPause, appendGap(w.clock.Now()-began, nodes))
		if err != nil && w.clock.Now()-w.tail.LastRead() > downAfter {
			gap = downPause
		}
		time.Sleep(gap)
	}
}

// appendGap returns the pause after an append that took the given time, when so
// many nodes may be appending.
func appendGap(took time.Duration, nodes int) time.Duration {
	return time.Duration(float64(took) * float64(max(1, nodes)) / logShare)
}

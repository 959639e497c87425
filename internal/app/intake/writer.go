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
	// appendTimeout bounds one append; the store answers within milliseconds, or
	// within a few hundred when it is slow.
	appendTimeout = 700 * time.Millisecond
	// logShare is the part of the log's time that the appends of all nodes together
	// may take; the rest is left for a new owner's takeover.
	logShare = 0.5
	// maxPause bounds the time between two appends, so that a caller still gets an
	// answer within the usual deadline.
	maxPause = time.Second
	// downPause is the pause after a failed append while the log is down.
	downPause = 150 * time.Millisecond
	// downAfter is the age of the last successful read from which the log counts as
	// down: more than the longest read wait of package logtail and the time of a slow
	// answer.
	downAfter = 1500 * time.Millisecond
)

const (
	// slowAnswer is the log's answer time from which the appends of all nodes can take so
	// much of its time that the owner's append waits for them.
	slowAnswer = 50 * time.Millisecond
	// maxOwnerSilence is the time since the owner's latest heartbeat or append for which
	// it counts as alive.
	maxOwnerSilence = 3 * time.Second
)

// writer appends callers' records to the cell's log when the owner can't be reached.
// It makes one append at a time, of all pending records within its limit. While the log is
// slow and the cell has a living owner, it makes none: the log takes one append after the
// other, and the owner's stores the records of all nodes. It is safe for concurrent use.
type writer struct {
	log     port.KeyedLog
	clock   port.Clock
	tail    *logtail.Tail
	replica *replica.Replica
	// maxBytes limits the records of one append together, in bytes.
	maxBytes int

	mu      sync.Mutex
	pending []*pendingRecord
	running bool // whether run is active
}

// pendingRecord is a record that waits for an append.
type pendingRecord struct {
	record port.KeyedRecord
	done   chan error // receives the result; capacity 1
}

// append waits until the record has been appended. An error of class NotStarted or
// Refused proves that it never will be. nodes is the number of nodes that may be
// appending.
func (w *writer) append(ctx context.Context, nodes int, record port.KeyedRecord) error {
	if age := w.clock.Now() - w.tail.LastRead(); age > downAfter {
		// An append would most likely get no answer, and a caller whose write has an
		// unknown outcome may not send it again as freely as one that was refused.
		return port.NotStarted.New("the log could not be read for %v", age)
	}
	if w.tail.AnswerTime() > slowAnswer && w.ownerAlive() {
		return port.NotStarted.New("the log takes %v for an answer; it is left to the cell's owner", w.tail.AnswerTime())
	}
	p := &pendingRecord{record: record, done: make(chan error, 1)}
	w.mu.Lock()
	w.pending = append(w.pending, p)
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

// ownerAlive reports whether the cell has an owner that has not resigned and has appended
// lately.
func (w *writer) ownerAlive() bool {
	owner := w.replica.Owner()
	return owner.Epoch != 0 && !owner.Resigned && w.clock.Now()-max(owner.ReadAt, owner.AppendedAt) < maxOwnerSilence
}

// withdraw removes the record if it is still pending. It returns false if an append
// includes the record.
func (w *writer) withdraw(p *pendingRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.pending, p)
	if i < 0 {
		return false
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	return true
}

// take removes and returns the first pending records, those that fit one append together
// or a single larger one. Without any, run has to end.
func (w *writer) take() []*pendingRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, count := 0, 0
	for _, p := range w.pending {
		if size += p.record.Size(); size > w.maxBytes && count > 0 {
			break
		}
		count++
	}
	batch := w.pending[:count:count]
	w.pending = w.pending[count:]
	w.running = count > 0
	return batch
}

// run appends until no record is pending.
func (w *writer) run(nodes int) {
	for {
		batch := w.take()
		if len(batch) == 0 {
			return
		}
		records := make([]port.KeyedRecord, len(batch))
		for i, p := range batch {
			records[i] = p.record
		}
		start := w.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		_, err := w.log.Append(ctx, replica.CellTopic, records, port.AppendOptions{})
		cancel()
		for _, p := range batch {
			p.done <- err
		}
		delay := min(maxPause, appendGap(w.clock.Now()-start, nodes))
		if err != nil && w.clock.Now()-w.tail.LastRead() > downAfter {
			delay = downPause
		}
		time.Sleep(delay)
	}
}

// appendGap returns the pause after an append that took the given time, if the given
// number of nodes may be appending. It keeps their appends within logShare.
func appendGap(took time.Duration, nodes int) time.Duration {
	return time.Duration(float64(took) * float64(max(1, nodes)) / logShare)
}

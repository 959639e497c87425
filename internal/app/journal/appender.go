package journal

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	core "github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// maxBatch is the number of records at which a batch is full; the records of
	// one caller are not split.
	maxBatch = 1000
	// appendsPerSecond bounds the appends of all processes together, since the log
	// accepts only several hundred per second from all of them.
	appendsPerSecond = 250
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// queueLength is the maximum number of pending appends.
	queueLength = 4096
)

// pendingAppend holds one caller's records until they are appended.
type pendingAppend struct {
	data [][]byte
	done chan error // capacity 1
}

// appender batches the records of several callers and sends one append at a time.
type appender struct {
	log         port.Log
	queue       chan pendingAppend
	memberCount func() int
}

func newAppender(log port.Log, memberCount func() int) *appender {
	return &appender{log: log, queue: make(chan pendingAppend, queueLength), memberCount: memberCount}
}

// minInterval returns the minimum time between two appends of this process, so
// that all processes together stay within appendsPerSecond. The first append after
// an idle period is not delayed.
func (a *appender) minInterval() time.Duration {
	return time.Duration(max(a.memberCount(), 1)) * time.Second / appendsPerSecond
}

// append queues the records and waits until they are appended or the context is
// done. It returns an error of class port.NotStarted if the queue is full; after
// other errors the outcome of the append may be unknown.
func (a *appender) append(ctx context.Context, records []*logpb.JournalRecord) error {
	item := pendingAppend{done: make(chan error, 1)}
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			return Error.Wrap(err)
		}
		item.data = append(item.data, data)
	}
	select {
	case a.queue <- item:
	default:
		return port.NotStarted.New("journal: too many pending appends")
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (a *appender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.queue:
			a.appendBatch(ctx, a.collectBatch(first))
			pause.Sleep(ctx, a.minInterval())
		}
	}
}

// collectBatch adds queued items to the first one without blocking, until the
// batch has maxBatch records or more.
func (a *appender) collectBatch(first pendingAppend) []pendingAppend {
	items := []pendingAppend{first}
	count := len(first.data)
	for count < maxBatch {
		select {
		case item := <-a.queue:
			items = append(items, item)
			count += len(item.data)
		default:
			return items
		}
	}
	return items
}

func (a *appender) appendBatch(ctx context.Context, items []pendingAppend) {
	var data [][]byte
	for _, item := range items {
		data = append(data, item.data...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.log.Append(ctx, core.Stream, data)
	for _, item := range items {
		item.done <- err
	}
}

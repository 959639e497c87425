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
	// maxBatch bounds the records of one append.
	maxBatch = 1000
	// appendsPerSecond bounds the appends of all processes together, since the
	// log takes several hundred a second for everybody.
	appendsPerSecond = 250
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// queueLength bounds the appends that wait.
	queueLength = 4096
)

// pending is one caller's records on their way to the log.
type pending struct {
	data [][]byte
	done chan error
}

// appender joins the records of several callers into one append at a time.
type appender struct {
	log     port.Log
	queue   chan pending
	members func() int
}

func newAppender(log port.Log, members func() int) *appender {
	return &appender{log: log, queue: make(chan pending, queueLength), members: members}
}

// gap returns the least time between two appends of this process, so that all
// processes together keep to the bound. The first append after a pause waits
// for nothing.
func (a *appender) gap() time.Duration {
	return time.Duration(max(a.members(), 1)) * time.Second / appendsPerSecond
}

func (a *appender) append(ctx context.Context, records []*logpb.JournalRecord) error {
	item := pending{done: make(chan error, 1)}
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
		return port.NotStarted.New("journal: too many appends wait")
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
			a.flush(ctx, a.collect(first))
			pause.Sleep(ctx, a.gap())
		}
	}
}

// collect takes what waits besides the first item.
func (a *appender) collect(first pending) []pending {
	items := []pending{first}
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

func (a *appender) flush(ctx context.Context, items []pending) {
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

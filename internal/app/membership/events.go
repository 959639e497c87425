package membership

import (
	"context"
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// tenureEvent is the begin or end of a tenure.
type tenureEvent struct {
	partition model.PartitionID
	epoch     model.Epoch
	acquired  bool
}

// eventQueue hands events to one goroutine without ever blocking the sender.
type eventQueue struct {
	mu     sync.Mutex
	events []tenureEvent
	more   chan struct{} // holds one token while events may wait
}

func newEventQueue() *eventQueue {
	return &eventQueue{more: make(chan struct{}, 1)}
}

func (q *eventQueue) push(e tenureEvent) {
	q.mu.Lock()
	q.events = append(q.events, e)
	q.mu.Unlock()
	notify(q.more)
}

func (q *eventQueue) take() []tenureEvent {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}

// run calls handle for each event in order until the context ends.
func (q *eventQueue) run(ctx context.Context, handle func(tenureEvent)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.more:
		}
		for _, e := range q.take() {
			handle(e)
		}
	}
}

// notify puts a token into a channel of capacity one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

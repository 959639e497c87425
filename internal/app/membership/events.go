package membership

import (
	"context"
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// ownershipEvent is the acquisition or loss of a partition by this member.
type ownershipEvent struct {
	partition model.PartitionID
	epoch     model.Epoch
	acquired  bool
}

// eventQueue passes events to one goroutine without blocking the sender. It is
// unbounded.
type eventQueue struct {
	mu     sync.Mutex
	events []ownershipEvent
	ready  chan struct{} // holds a token while events may be queued
}

func newEventQueue() *eventQueue {
	return &eventQueue{ready: make(chan struct{}, 1)}
}

func (q *eventQueue) push(e ownershipEvent) {
	q.mu.Lock()
	q.events = append(q.events, e)
	q.mu.Unlock()
	notify(q.ready)
}

func (q *eventQueue) popAll() []ownershipEvent {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}

// run calls handle for each event in order until the context is done.
func (q *eventQueue) run(ctx context.Context, handle func(ownershipEvent)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.ready:
		}
		for _, e := range q.popAll() {
			handle(e)
		}
	}
}

// notify puts a token into a channel of capacity one unless it holds one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

package teamowner

import "container/list"

// waiter is a quick request that waits for room under the upper limit.
type waiter struct {
	urgent bool
	turn   chan struct{} // receives one value when it may try again
}

// waiterQueue orders waiters: urgent ones first, then by arrival.
type waiterQueue struct {
	urgent list.List
	normal list.List
}

func (q *waiterQueue) len() int {
	return q.urgent.Len() + q.normal.Len()
}

func (q *waiterQueue) push(w *waiter) *list.Element {
	if w.urgent {
		return q.urgent.PushBack(w)
	}
	return q.normal.PushBack(w)
}

func (q *waiterQueue) remove(e *list.Element) {
	w, ok := e.Value.(*waiter)
	if !ok {
		return
	}
	if w.urgent {
		q.urgent.Remove(e)
		return
	}
	q.normal.Remove(e)
}

// isFirst reports whether the element's waiter comes before all others.
func (q *waiterQueue) isFirst(e *list.Element) bool {
	if front := q.urgent.Front(); front != nil {
		return front == e
	}
	return q.normal.Front() == e
}

// wake tells the first n waiters to try again. They stay queued until they
// remove themselves.
func (q *waiterQueue) wake(n int) {
	n = wakeList(&q.urgent, n)
	wakeList(&q.normal, n)
}

func wakeList(l *list.List, n int) int {
	for e := l.Front(); e != nil && n > 0; e = e.Next() {
		w, ok := e.Value.(*waiter)
		if !ok {
			continue
		}
		select {
		case w.turn <- struct{}{}:
			n--
		default:
			// Already told and not yet run.
		}
	}
	return n
}

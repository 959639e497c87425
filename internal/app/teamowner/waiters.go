package teamowner

import "container/list"

// waiter is a quick request that waits for headroom under the upper limit.
type waiter struct {
	urgent bool
	retry  chan struct{} // receives a value when the request may try again
}

// waiterQueue holds waiters, urgent ones first and otherwise by arrival.
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

// wake signals up to n waiters, in order, to try again and skips those with an
// unread signal. Waiters stay queued until they remove themselves.
func (q *waiterQueue) wake(n int) {
	n = wakeList(&q.urgent, n)
	wakeList(&q.normal, n)
}

// wakeList signals up to n waiters of the list and returns how many of the n are
// left.
func wakeList(l *list.List, n int) int {
	for e := l.Front(); e != nil && n > 0; e = e.Next() {
		w, ok := e.Value.(*waiter)
		if !ok {
			continue
		}
		select {
		case w.retry <- struct{}{}:
			n--
		default:
			// Already signalled and not yet run.
		}
	}
	return n
}

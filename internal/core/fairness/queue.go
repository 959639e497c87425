package fairness

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// Item is a piece of waiting work. All readings are of the same clock.
type Item[K comparable] struct {
	ID       K
	Urgent   bool
	Enqueued time.Duration
	// StartBy is the last moment at which a start still makes the window; zero
	// means any time will do.
	StartBy time.Duration
}

// Queue holds the waiting work of one team: urgent items first, then, under
// PolicyShare, by the end of their window, so that most are completed in time;
// under PolicyWaiting, by their time of arrival. Its zero value is not usable;
// see NewQueue.
type Queue[K comparable] struct {
	first itemHeap[K] // the next item on top
	last  itemHeap[K] // the item that would be served last on top
	byID  map[K]*queued[K]
	// serial numbers the items in the order of their arrival.
	serial uint64
}

type queued[K comparable] struct {
	item   Item[K]
	serial uint64
	pos    [2]int // in the two heaps
}

// The heaps of a Queue.
const (
	firstHeap = iota
	lastHeap
)

// NewQueue returns an empty queue.
func NewQueue[K comparable](policy Policy) *Queue[K] {
	return &Queue[K]{
		first: itemHeap[K]{policy: policy, slot: firstHeap},
		last:  itemHeap[K]{policy: policy, slot: lastHeap},
		byID:  make(map[K]*queued[K]),
	}
}

// Len returns the number of waiting items.
func (q *Queue[K]) Len() int { return len(q.first.items) }

// Push adds an item. It returns false if the id waits already.
func (q *Queue[K]) Push(item Item[K]) bool {
	if q.byID[item.ID] != nil {
		return false
	}
	q.serial++
	entry := &queued[K]{item: item, serial: q.serial}
	q.byID[item.ID] = entry
	heap.Push(&q.first, entry)
	heap.Push(&q.last, entry)
	return true
}

// Peek returns the next item without taking it.
func (q *Queue[K]) Peek() (Item[K], bool) {
	if q.Len() == 0 {
		return Item[K]{}, false
	}
	return q.first.items[0].item, true
}

// Pop takes the next item.
func (q *Queue[K]) Pop() (Item[K], bool) {
	if q.Len() == 0 {
		return Item[K]{}, false
	}
	return q.take(q.first.items[0]), true
}

// PopLast takes the item that would be served last.
func (q *Queue[K]) PopLast() (Item[K], bool) {
	if q.Len() == 0 {
		return Item[K]{}, false
	}
	return q.take(q.last.items[0]), true
}

// Remove takes one item out, wherever it is.
func (q *Queue[K]) Remove(id K) bool {
	entry := q.byID[id]
	if entry == nil {
		return false
	}
	q.take(entry)
	return true
}

func (q *Queue[K]) take(entry *queued[K]) Item[K] {
	heap.Remove(&q.first, entry.pos[firstHeap])
	heap.Remove(&q.last, entry.pos[lastHeap])
	delete(q.byID, entry.item.ID)
	return entry.item
}

// RemoveFunc takes out all items for which drop is true, in one pass, and
// returns them in no particular order. Use it for waves of cancellations.
func (q *Queue[K]) RemoveFunc(drop func(Item[K]) bool) []Item[K] {
	var removed []Item[K]
	kept := q.first.items[:0]
	for _, entry := range q.first.items {
		if drop(entry.item) {
			removed = append(removed, entry.item)
			delete(q.byID, entry.item.ID)
			continue
		}
		kept = append(kept, entry)
	}
	if len(removed) > 0 {
		q.first.rebuild(kept)
		q.last.rebuild(append(q.last.items[:0], kept...))
	}
	return removed
}

// Late takes out the items that can't make their window any more.
func (q *Queue[K]) RemoveOverdue(now time.Duration) []Item[K] {
	return q.RemoveFunc(func(i Item[K]) bool { return i.StartBy > 0 && i.StartBy < now })
}

// itemHeap keeps its entries' positions in their slot of pos.
type itemHeap[K comparable] struct {
	policy Policy
	slot   int
	items  []*queued[K]
}

// rebuild replaces the entries.
func (h *itemHeap[K]) rebuild(items []*queued[K]) {
	clear(h.items[len(items):])
	h.items = items
	for i, entry := range items {
		entry.pos[h.slot] = i
	}
	heap.Init(h)
}

func (h *itemHeap[K]) Len() int { return len(h.items) }

func (h *itemHeap[K]) Less(i, j int) bool {
	if h.slot == lastHeap {
		i, j = j, i
	}
	return h.before(h.items[i], h.items[j])
}

func (h *itemHeap[K]) before(a, b *queued[K]) bool {
	if a.item.Urgent != b.item.Urgent {
		return a.item.Urgent
	}
	if h.policy != PolicyWaiting {
		if order := cmp.Compare(a.window(), b.window()); order != 0 {
			return order < 0
		}
	}
	if a.item.Enqueued != b.item.Enqueued {
		return a.item.Enqueued < b.item.Enqueued
	}
	return a.serial < b.serial
}

func (q *queued[K]) window() time.Duration {
	if q.item.StartBy == 0 {
		return math.MaxInt64
	}
	return q.item.StartBy
}

func (h *itemHeap[K]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.slot], h.items[j].pos[h.slot] = i, j
}

func (h *itemHeap[K]) Push(x any) {
	entry := x.(*queued[K])
	entry.pos[h.slot] = len(h.items)
	h.items = append(h.items, entry)
}

func (h *itemHeap[K]) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	return last
}

package fairness

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// Item is an entry of a Queue. All times are readings of the same clock.
type Item[K comparable] struct {
	ID       K
	Urgent   bool
	Enqueued time.Duration
	// StartBy is the latest time at which the item can start and still meet its
	// deadline. Zero means that it has none.
	StartBy time.Duration
}

// Queue holds the pending work of one team. Urgent items come first, then items
// are ordered by StartBy under PolicyShare, so that as many as possible meet
// their deadline, and by Enqueued under PolicyWaiting. The zero value is not
// usable; see NewQueue.
type Queue[K comparable] struct {
	first  itemHeap[K] // the next item on top
	last   itemHeap[K] // the item to be served last on top
	byID   map[K]*queueEntry[K]
	serial uint64 // of the last item pushed
}

type queueEntry[K comparable] struct {
	item   Item[K]
	serial uint64
	pos    [2]int // index in firstHeap and lastHeap
}

// The heaps of a Queue, as indexes of queueEntry.pos.
const (
	firstHeap = iota
	lastHeap
)

// NewQueue returns an empty queue.
func NewQueue[K comparable](policy Policy) *Queue[K] {
	return &Queue[K]{
		first: itemHeap[K]{policy: policy, slot: firstHeap},
		last:  itemHeap[K]{policy: policy, slot: lastHeap},
		byID:  make(map[K]*queueEntry[K]),
	}
}

// Len returns the number of queued items.
func (q *Queue[K]) Len() int { return len(q.first.items) }

// Push adds an item. It returns false if an item with this ID is queued.
func (q *Queue[K]) Push(item Item[K]) bool {
	if q.byID[item.ID] != nil {
		return false
	}
	q.serial++
	entry := &queueEntry[K]{item: item, serial: q.serial}
	q.byID[item.ID] = entry
	heap.Push(&q.first, entry)
	heap.Push(&q.last, entry)
	return true
}

// Peek returns the next item without removing it.
func (q *Queue[K]) Peek() (Item[K], bool) {
	if q.Len() == 0 {
		return Item[K]{}, false
	}
	return q.first.items[0].item, true
}

// Pop removes and returns the next item.
func (q *Queue[K]) Pop() (Item[K], bool) {
	if q.Len() == 0 {
		return Item[K]{}, false
	}
	return q.removeEntry(q.first.items[0]), true
}

// PopLast removes and returns the item that would be served last.
func (q *Queue[K]) PopLast() (Item[K], bool) {
	if q.Len() == 0 {
		return Item[K]{}, false
	}
	return q.removeEntry(q.last.items[0]), true
}

// Remove removes the item with the given ID. It returns false if there is none.
func (q *Queue[K]) Remove(id K) bool {
	entry := q.byID[id]
	if entry == nil {
		return false
	}
	q.removeEntry(entry)
	return true
}

func (q *Queue[K]) removeEntry(entry *queueEntry[K]) Item[K] {
	heap.Remove(&q.first, entry.pos[firstHeap])
	heap.Remove(&q.last, entry.pos[lastHeap])
	delete(q.byID, entry.item.ID)
	return entry.item
}

// RemoveFunc removes all items for which drop returns true and returns them in
// no particular order. It takes one pass, which makes it suitable for bulk
// cancellations.
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

// RemoveOverdue removes and returns the items whose StartBy is before now.
func (q *Queue[K]) RemoveOverdue(now time.Duration) []Item[K] {
	return q.RemoveFunc(func(i Item[K]) bool { return i.StartBy > 0 && i.StartBy < now })
}

// itemHeap is a heap of entries. It keeps the index of each entry in the
// entry's pos[slot].
type itemHeap[K comparable] struct {
	policy Policy
	slot   int
	items  []*queueEntry[K]
}

// rebuild replaces the entries. The new ones are no more than the old ones.
func (h *itemHeap[K]) rebuild(items []*queueEntry[K]) {
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

// before reports whether a is served before b.
func (h *itemHeap[K]) before(a, b *queueEntry[K]) bool {
	if a.item.Urgent != b.item.Urgent {
		return a.item.Urgent
	}
	if h.policy != PolicyWaiting {
		if order := cmp.Compare(a.startBy(), b.startBy()); order != 0 {
			return order < 0
		}
	}
	if a.item.Enqueued != b.item.Enqueued {
		return a.item.Enqueued < b.item.Enqueued
	}
	return a.serial < b.serial
}

// startBy returns the item's StartBy, or the latest time if it has none.
func (e *queueEntry[K]) startBy() time.Duration {
	if e.item.StartBy == 0 {
		return math.MaxInt64
	}
	return e.item.StartBy
}

func (h *itemHeap[K]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.slot], h.items[j].pos[h.slot] = i, j
}

func (h *itemHeap[K]) Push(x any) {
	entry := x.(*queueEntry[K])
	entry.pos[h.slot] = len(h.items)
	h.items = append(h.items, entry)
}

func (h *itemHeap[K]) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	return last
}

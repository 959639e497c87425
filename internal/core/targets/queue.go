package targets

import (
	"container/heap"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
)

// workQueue is a heap of waiting work, ordered by the policy's comparison of the
// teams' ratios, then by deadline.
type workQueue struct {
	policy fairness.Policy
	items  []*Work
}

func (q *workQueue) push(work *Work) { heap.Push(q, work) }

func (q *workQueue) remove(work *Work) bool {
	i := work.index
	if i < 0 || i >= len(q.items) || q.items[i] != work {
		return false
	}
	heap.Remove(q, i)
	return true
}

// last returns the work that would be served last. It takes linear time and is
// meant for a full queue only.
func (q *workQueue) last() *Work {
	last := q.items[0]
	for _, work := range q.items[1:] {
		if q.before(last, work) {
			last = work
		}
	}
	return last
}

func (q *workQueue) before(a, b *Work) bool {
	turnA, turnB := turn(a), turn(b)
	if q.policy.Before(turnA, turnB) {
		return true
	}
	if q.policy.Before(turnB, turnA) {
		return false
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.Arrived < b.Arrived
}

// turn returns the sort key of the work. Waiting times are relative to the same
// instant for all work, so no clock is needed.
func turn(work *Work) fairness.SortKey {
	return fairness.SortKey{
		Team:   work.Permit.Team,
		Ratio:  work.Permit.Ratio,
		Urgent: work.Urgent,
		Waited: -work.Arrived,
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (q *workQueue) Len() int { return len(q.items) }

func (q *workQueue) Less(i, j int) bool { return q.before(q.items[i], q.items[j]) }

func (q *workQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}

func (q *workQueue) Push(x any) {
	work := x.(*Work)
	work.index = len(q.items)
	q.items = append(q.items, work)
}

func (q *workQueue) Pop() any {
	end := len(q.items) - 1
	work := q.items[end]
	q.items[end] = nil
	q.items = q.items[:end]
	work.index = notQueued
	return work
}

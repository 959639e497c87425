package dispatch

import (
	"math/bits"
	"time"
)

const (
	// freeLevels is the number of levels of free CPU that a workerIndex distinguishes.
	freeLevels = 64
	// levelWidth is the width of a level, in thousandths of a processor. The last
	// level has no upper bound.
	levelWidth = 1000
	// levelScanLimit is the number of fitting workers of one level that a best-fit
	// search rates.
	levelScanLimit = 16
)

// workerIndex holds the listed workers of one service by free CPU, so that the cost of
// a search does not grow with their number. An index of open CPU leaves out what the
// advice requests in flight are expected to use of it.
type workerIndex struct {
	open   bool
	levels [freeLevels][]*worker
	used   uint64 // bitmap of the levels with a worker
	// next is the position in a level at which the next search for advice candidates
	// begins, so that requests of the same time name different workers.
	next int
}

func freeLevel(milliCPU int64) int {
	return int(min(max(milliCPU, 0)/levelWidth, freeLevels-1))
}

// indexPlace is the place of a worker in an index.
type indexPlace struct {
	index           *workerIndex // nil if not listed
	level, position int
}

// place returns the worker's place in the index, or in another one of its kind.
func (x *workerIndex) place(w *worker) *indexPlace {
	if x.open {
		return &w.openPlace
	}
	return &w.indexPlace
}

// levelOf returns the level that the worker belongs to.
func (x *workerIndex) levelOf(w *worker) int {
	if x.open {
		return freeLevel(w.openCapacity().MilliCPU)
	}
	return freeLevel(w.free().MilliCPU)
}

func (x *workerIndex) insert(w *worker) {
	level := x.levelOf(w)
	*x.place(w) = indexPlace{x, level, len(x.levels[level])}
	x.levels[level] = append(x.levels[level], w)
	x.used |= 1 << level
}

func (x *workerIndex) remove(w *worker) {
	place := x.place(w)
	level := x.levels[place.level]
	last := len(level) - 1
	level[place.position] = level[last]
	x.place(level[place.position]).position = place.position
	level[last] = nil
	x.levels[place.level] = level[:last]
	if last == 0 {
		x.used &^= 1 << place.level
	}
	place.index = nil
}

// reindex moves the worker to the indexes and levels that its service and free capacity
// call for. Workers that are not listed are in no index.
func (e *Engine) reindex(w *worker) {
	if w.listed && e.indexes[w.info.Service] == nil {
		e.indexes[w.info.Service] = &workerIndex{}
		e.openIndexes[w.info.Service] = &workerIndex{open: true}
	}
	w.moveTo(e.indexes[w.info.Service], &w.indexPlace)
	e.reindexOpen(w)
}

// reindexOpen is reindex after a change of the worker's open capacity alone.
func (e *Engine) reindexOpen(w *worker) {
	w.moveTo(e.openIndexes[w.info.Service], &w.openPlace)
}

func (w *worker) moveTo(x *workerIndex, place *indexPlace) {
	if place.index != nil {
		if w.listed && place.index == x && place.level == x.levelOf(w) {
			return
		}
		place.index.remove(w)
	}
	if w.listed {
		x.insert(w)
	}
}

// relabel updates the sets of workers by label after a change of the worker's entry on
// the worker list.
func (e *Engine) relabel(w *worker, labels []string) {
	for _, label := range w.labels {
		delete(e.byLabel[label], w)
	}
	w.labels = labels
	for _, label := range labels {
		if e.byLabel[label] == nil {
			e.byLabel[label] = map[*worker]struct{}{}
		}
		e.byLabel[label][w] = struct{}{}
	}
}

// ascend calls visit with workers that have at least the free CPU, those with the least
// first, up to levelScanLimit fitting ones of each level. It stops after the level in
// which done holds. visit reports whether the worker fits. ascend reports whether it
// has left out workers.
func (x *workerIndex) ascend(milliCPU int64, limit int, visit func(*worker) bool, done func() bool) (truncated bool) {
	first := freeLevel(milliCPU)
	for used := x.used >> first << first; used != 0 && !done(); used &= used - 1 {
		fitting := 0
		for _, w := range x.levels[bits.TrailingZeros64(used)] {
			if fitting == limit {
				truncated = true
				break
			}
			if visit(w) {
				fitting++
			}
		}
	}
	return truncated
}

// descend calls visit with the workers that have at least the free CPU, those with the
// most first, until visit returns false.
func (x *workerIndex) descend(milliCPU int64, visit func(*worker) bool) {
	first := freeLevel(milliCPU)
	for used := x.used >> first << first; used != 0; {
		top := bits.Len64(used) - 1
		used &^= 1 << top
		level := x.levels[top]
		start := x.next % len(level)
		for i := range level {
			if !visit(level[(start+i)%len(level)]) {
				x.next = start + i
				return
			}
		}
	}
}

// search is one search for the worker that a task fits best.
type search struct {
	engine  *Engine
	step    *step
	task    *task
	now     time.Duration
	planned map[*worker]int // members of the same gang already planned per worker, nil outside of gangs
	rack    string          // preferred by the gang; "" for none

	best      *worker
	bestScore float64
}

// maxStarting is the number of runs that a worker may have to confirm when a task other than
// a member of a gang is placed on it. More would wait for each other, give up and be placed
// again when the starts of thousands of tasks fall together.
const maxStarting = 64

// visit rates the worker, and reports whether the task may run there now.
func (c *search) visit(w *worker) bool {
	e, s := c.engine, c.step
	size := s.spec.footprint()
	free := w.free()
	if n := c.planned[w]; n > 0 {
		free = free.Sub(size.Scale(int64(n)))
	}
	if c.task.awaitsSeparation(c.now) && !e.separable(w, c.now) {
		return false
	}
	if !size.Fits(free) {
		return false
	}
	if e.reservedForOther(s, w) || w.starting >= maxStarting && s.gang == nil {
		s.heldBriefly = true
		return false
	}
	if e.avoids(c.task, w, c.now) {
		s.heldBriefly = true
		return false
	}
	if !e.eligible(s, w, c.now) || !e.allowed(s, w, c.now) || !e.belowWorkerLimit(s, w, c.planned[w]) {
		return false
	}
	points := score(s, c.task, w, free.Sub(size)) - w.trust.penalty(c.task, e.isTopPriority(s), c.now)
	if c.rack != "" && w.info.Rack != c.rack {
		points -= rackPenalty
	}
	if c.best == nil || points > c.bestScore || points == c.bestScore && w.info.ID < c.best.info.ID {
		c.best, c.bestScore = w, points
	}
	return true
}

// satisfied reports whether the best worker found has no penalty, so that a worker with
// more free capacity cannot be better.
func (c *search) satisfied() bool {
	return c.best != nil && c.best.health.failures == 0 && c.best.trust.failures == 0 && c.bestScore > -maxUnpenalized
}

// maxUnpenalized is larger than what unused capacity and imbalance take off a score.
const maxUnpenalized = 1 + balanceWeight

// run returns the best worker found, or nil. With advice only the workers with a
// ticket are rated.
func (c *search) run() *worker {
	e, s := c.engine, c.step
	if e.requiresAdvice(s) {
		for _, t := range s.tickets {
			c.visit(t.worker)
		}
		return c.best
	}
	for _, label := range [...]string{c.rack, s.spec.PreferRack} {
		if label == "" {
			continue
		}
		for w := range e.byLabel[label] {
			c.visit(w)
		}
		if c.satisfied() {
			return c.best
		}
	}
	x := e.indexes[e.queue(s.occurrence.job).Service]
	if x == nil {
		return nil
	}
	milliCPU := s.spec.footprint().MilliCPU
	if x.ascend(milliCPU, levelScanLimit, c.visit, c.satisfied) && c.best == nil {
		x.ascend(milliCPU, -1, c.visit, c.satisfied)
	}
	return c.best
}

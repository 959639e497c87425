package main

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// fullScanCell is a cell that places tasks by scanning all workers.
type fullScanCell struct {
	capacity []model.Resources
	free     []model.Resources
}

func newFullScanCell(n int, capacity model.Resources) *fullScanCell {
	c := &fullScanCell{}
	for range n {
		c.capacity = append(c.capacity, capacity)
		c.free = append(c.free, capacity)
	}
	return c
}

// bestFit places a task on the worker with the least capacity left afterwards. It
// returns the worker's index, or -1 if none fits.
func (c *fullScanCell) bestFit(size model.Resources) int {
	best, lowest := -1, 0.0
	for i, free := range c.free {
		if !size.Fits(free) {
			continue
		}
		left := free.Sub(size).DominantShare(c.capacity[i])
		if best < 0 || left < lowest {
			best, lowest = i, left
		}
	}
	return c.reserve(best, size)
}

// firstFit places a task on the first worker that it fits on. It returns the
// worker's index, or -1 if none fits.
func (c *fullScanCell) firstFit(size model.Resources) int {
	return c.reserve(slices.IndexFunc(c.free, size.Fits), size)
}

// reserve subtracts the size from worker i's free capacity unless i is -1.
func (c *fullScanCell) reserve(i int, size model.Resources) int {
	if i >= 0 {
		c.free[i] = c.free[i].Sub(size)
	}
	return i
}

// fullScanPlacement returns the cost per placement of the full scan alone, without
// queues and accounting.
func fullScanPlacement(u user, workers int) time.Duration {
	type placedTask struct {
		vm   int
		size model.Resources
	}
	const placements = 4000
	c, m := newFullScanCell(workers, u.capacity), newTaskGenerator(uint64(workers), u.capacity)
	total := u.capacity.Scale(int64(workers))
	var used model.Resources
	var tasks []placedTask
	for used.DominantShare(total) < targetFill {
		size := m.task()
		if vm := c.firstFit(size); vm >= 0 {
			used = used.Add(size)
			tasks = append(tasks, placedTask{vm, size})
		}
	}
	start := time.Now()
	placed := 0
	for range placements {
		i := m.random.IntN(len(tasks))
		c.free[tasks[i].vm] = c.free[tasks[i].vm].Add(tasks[i].size)
		size := m.task()
		vm := c.bestFit(size)
		if vm < 0 {
			vm, size = c.firstFit(tasks[i].size), tasks[i].size
		} else {
			placed++
		}
		tasks[i] = placedTask{vm, size}
	}
	return time.Since(start) / time.Duration(max(placed, 1))
}

// firstFitDecreasing places the tasks first fit, largest first, and returns the
// total size of those that fit.
func firstFitDecreasing(sizes []model.Resources, workers int, capacity model.Resources) model.Resources {
	sorted := slices.Clone(sizes)
	slices.SortStableFunc(sorted, func(a, b model.Resources) int {
		x, y := a.DominantShare(capacity), b.DominantShare(capacity)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return firstFit(sorted, workers, capacity)
}

// firstFit places the tasks first fit in the given order and returns the total
// size of those that fit.
func firstFit(sizes []model.Resources, workers int, capacity model.Resources) model.Resources {
	c := newFullScanCell(workers, capacity)
	var placed model.Resources
	for _, size := range sizes {
		if c.firstFit(size) >= 0 {
			placed = placed.Add(size)
		}
	}
	return placed
}

// maxFilled returns the highest filledFraction of any assignment of tasks to
// workers. It tries all assignments, so it suits only few tasks and workers.
func maxFilled(sizes []model.Resources, workers int, capacity model.Resources) float64 {
	s := exhaustiveSearch{
		sizes: sizes, total: capacity.Scale(int64(workers)),
		free: make([]model.Resources, workers), remaining: make([]model.Resources, len(sizes)+1),
	}
	for i := range s.free {
		s.free[i] = capacity
	}
	for i := len(sizes) - 1; i >= 0; i-- {
		s.remaining[i] = s.remaining[i+1].Add(sizes[i])
	}
	s.search(0, model.Resources{})
	return s.best
}

// exhaustiveSearch is a depth-first search with a bound over all assignments.
type exhaustiveSearch struct {
	sizes     []model.Resources
	remaining []model.Resources // sum of the sizes from each index on
	free      []model.Resources
	total     model.Resources
	best      float64
}

// search tries all assignments of the tasks from index i on, with placed as the
// total size of the tasks assigned so far.
func (s *exhaustiveSearch) search(i int, placed model.Resources) {
	s.best = max(s.best, filledFraction(placed, s.total))
	if i == len(s.sizes) || filledFraction(placed.Add(s.remaining[i]), s.total) <= s.best {
		return
	}
	for vm := range s.free {
		if !s.sizes[i].Fits(s.free[vm]) || slices.Contains(s.free[:vm], s.free[vm]) {
			continue
		}
		s.free[vm] = s.free[vm].Sub(s.sizes[i])
		s.search(i+1, placed.Add(s.sizes[i]))
		s.free[vm] = s.free[vm].Add(s.sizes[i])
	}
	s.search(i+1, placed)
}

// filledFraction returns the mean of the fractions of processors and memory in
// use.
func filledFraction(placed, total model.Resources) float64 {
	return (float64(placed.MilliCPU)/float64(total.MilliCPU) +
		float64(placed.MemoryMiB)/float64(total.MemoryMiB)) / 2
}

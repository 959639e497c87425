package main

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// naiveCell places by looking at every worker.
type naiveCell struct {
	capacity []model.Resources
	free     []model.Resources
}

func newNaiveCell(n int, capacity model.Resources) *naiveCell {
	c := &naiveCell{}
	for range n {
		c.capacity = append(c.capacity, capacity)
		c.free = append(c.free, capacity)
	}
	return c
}

// bestFit places on the worker that has the least left, or returns -1.
func (c *naiveCell) bestFit(size model.Resources) int {
	best, least := -1, 0.0
	for i, free := range c.free {
		if !size.Fits(free) {
			continue
		}
		left := free.Sub(size).DominantShare(c.capacity[i])
		if best < 0 || left < least {
			best, least = i, left
		}
	}
	return c.take(best, size)
}

// firstFit places on the first worker with room, or returns -1.
func (c *naiveCell) firstFit(size model.Resources) int {
	return c.take(slices.IndexFunc(c.free, size.Fits), size)
}

func (c *naiveCell) take(i int, size model.Resources) int {
	if i >= 0 {
		c.free[i] = c.free[i].Sub(size)
	}
	return i
}

// naivePlacement returns the cost per placement of the full scan alone, with
// neither queues nor accounts.
func naivePlacement(u user, workers int) time.Duration {
	type held struct {
		vm   int
		size model.Resources
	}
	const placements = 4000
	c, m := newNaiveCell(workers, u.capacity), newMix(uint64(workers), u.capacity)
	total := u.capacity.Scale(int64(workers))
	var used model.Resources
	var tasks []held
	for used.DominantShare(total) < fillLevel {
		size := m.task()
		if vm := c.firstFit(size); vm >= 0 {
			used = used.Add(size)
			tasks = append(tasks, held{vm, size})
		}
	}
	began := time.Now()
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
		tasks[i] = held{vm, size}
	}
	return time.Since(began) / time.Duration(max(placed, 1))
}

// firstFitDecreasing places the largest first and returns what was placed.
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

// firstFit places in the given order and returns what was placed.
func firstFit(sizes []model.Resources, workers int, capacity model.Resources) model.Resources {
	c := newNaiveCell(workers, capacity)
	var placed model.Resources
	for _, size := range sizes {
		if c.firstFit(size) >= 0 {
			placed = placed.Add(size)
		}
	}
	return placed
}

// exhaustive returns the most that can be placed of few tasks on few workers,
// by trying every assignment. The measure is filled.
func exhaustive(sizes []model.Resources, workers int, capacity model.Resources) float64 {
	s := exhaustiveSearch{
		sizes: sizes, total: capacity.Scale(int64(workers)),
		free: make([]model.Resources, workers), rest: make([]model.Resources, len(sizes)+1),
	}
	for i := range s.free {
		s.free[i] = capacity
	}
	for i := len(sizes) - 1; i >= 0; i-- {
		s.rest[i] = s.rest[i+1].Add(sizes[i])
	}
	s.try(0, model.Resources{})
	return s.best
}

type exhaustiveSearch struct {
	sizes []model.Resources
	rest  []model.Resources // sum of the sizes from an index on
	free  []model.Resources
	total model.Resources
	best  float64
}

func (s *exhaustiveSearch) try(i int, placed model.Resources) {
	s.best = max(s.best, filled(placed, s.total))
	if i == len(s.sizes) || filled(placed.Add(s.rest[i]), s.total) <= s.best {
		return
	}
	for vm := range s.free {
		if !s.sizes[i].Fits(s.free[vm]) || slices.Contains(s.free[:vm], s.free[vm]) {
			continue
		}
		s.free[vm] = s.free[vm].Sub(s.sizes[i])
		s.try(i+1, placed.Add(s.sizes[i]))
		s.free[vm] = s.free[vm].Add(s.sizes[i])
	}
	s.try(i+1, placed)
}

// filled is the part of processors and memory in use, averaged.
func filled(placed, total model.Resources) float64 {
	return (float64(placed.MilliCPU)/float64(total.MilliCPU) +
		float64(placed.MemoryMiB)/float64(total.MemoryMiB)) / 2
}

// Package capacity measures how the cost of each role grows with its size and
// works out what the design target takes.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a straight line through measurements at several sizes.
type Slope struct {
	Name   string
	Unit   string // of a value, per unit of size
	Points []Point
	Per    float64 // cost of one more unit of size
	Base   float64 // cost at size zero
	// Spread is the largest distance of a point from the line as a fraction of
	// the point's value.
	Spread float64
}

// Fit returns the least-squares line through the points.
func Fit(name, unit string, points []Point) Slope {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s := Slope{Name: name, Unit: unit, Points: points}
	s.Per = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.Per*sx) / n
	for _, p := range points {
		if p.Value == 0 {
			continue
		}
		s.Spread = max(s.Spread, math.Abs(s.At(p.Size)-p.Value)/math.Abs(p.Value))
	}
	return s
}

// At returns the line's value at a size.
func (s Slope) At(size float64) float64 {
	return s.Base + s.Per*size
}

// measure runs f once for each size and fits a line through the results.
func measure(name, unit string, sizes []int, f func(size int) float64) Slope {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: float64(size), Value: f(size)})
	}
	return Fit(name, unit, points)
}

// heapOf returns the bytes that the result of build keeps alive.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuOf returns the processor time that f takes in all threads of the process.
func cpuOf(f func()) time.Duration {
	before := processCPU()
	f()
	return processCPU() - before
}

func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// fastest returns the least processor time of several runs, which is the one
// least disturbed by other programs.
func fastest(runs int, f func()) time.Duration {
	best := time.Duration(math.MaxInt64)
	for range runs {
		best = min(best, cpuOf(f))
	}
	return best
}

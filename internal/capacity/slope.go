// Package capacity measures how the cost of each role grows with its size and
// computes the load of one scheduler at the design target.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a straight line fitted through measurements at several sizes.
type Line struct {
	Name      string
	Unit      string // of PerUnit: a value per unit of size
	Points    []Point
	PerUnit   float64 // cost of one more unit of size
	Intercept float64 // cost at size zero
	// MaxDeviation is the largest distance of a point from the line, as a
	// fraction of the point's value.
	MaxDeviation float64
}

// Fit returns the least-squares line through the points.
func Fit(name, unit string, points []Point) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s := Line{Name: name, Unit: unit, Points: points}
	s.PerUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.PerUnit*sx) / n
	for _, p := range points {
		if p.Value == 0 {
			continue
		}
		s.MaxDeviation = max(s.MaxDeviation, math.Abs(s.At(p.Size)-p.Value)/math.Abs(p.Value))
	}
	return s
}

// At returns the value of the line at a size.
func (s Line) At(size float64) float64 {
	return s.Intercept + s.PerUnit*size
}

// measure runs f once for each size and fits a line through the results.
func measure(name, unit string, sizes []int, f func(size int) float64) Line {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: float64(size), Value: f(size)})
	}
	return Fit(name, unit, points)
}

// heapUsed returns the number of heap bytes that the result of build keeps alive.
func heapUsed(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuTime returns the CPU time that all threads of the process use while f runs.
func cpuTime(f func()) time.Duration {
	before := processCPUTime()
	f()
	return processCPUTime() - before
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// minCPUTime returns the lowest CPU time of several runs of f, because that run
// was disturbed least by other programs.
func minCPUTime(runs int, f func()) time.Duration {
	lowest := time.Duration(math.MaxInt64)
	for range runs {
		lowest = min(lowest, cpuTime(f))
	}
	return lowest
}

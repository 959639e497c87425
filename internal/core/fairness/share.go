// Package fairness orders teams and their pending work and computes the exact
// fair shares of the teams. It performs no I/O and reads no clock. Its types are
// not safe for concurrent use.
package fairness

import (
	"math"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Ratio returns a team's dominant share of the total divided by its weight. The
// team with the lowest ratio is served next. Teams with a weight of zero or less
// are served last.
func Ratio(used, total model.Resources, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return used.DominantShare(total) / weight
}

// Demand is the most that a team could use.
type Demand struct {
	Team   model.TeamID
	Weight float64         // WorkspaceTemplate.ShareWeight
	Task   model.Resources // size of one task
	Tasks  float64         // number of tasks that could run at once
	Limit  model.Resources // the team's upper limit
}

const dimensions = 4

type vector [dimensions]float64

func toVector(r model.Resources) vector {
	return vector{float64(r.MilliCPU), float64(r.MemoryMiB), float64(r.Accelerators), float64(r.Slots)}
}

// WaterFill returns, for each demand in order, the fractional number of tasks
// that the team runs under exact weighted max-min fairness of dominant shares.
// All shares grow together, each in proportion to its weight. A team stops
// growing when its demand or upper limit is reached or a resource that it needs is
// exhausted.
func WaterFill(total model.Resources, demands []Demand) []float64 {
	fill := newFillState(total, demands)
	for fill.step() {
	}
	return fill.tasks
}

// fillState is the state of a WaterFill computation. The level is the ratio that
// all growing teams have reached: dominant share divided by weight.
type fillState struct {
	demands   []Demand
	remaining vector
	maxTasks  []float64 // upper bound of tasks, by team
	rate      []float64 // tasks per unit of level; zero once the team stopped growing
	tasks     []float64
}

func newFillState(total model.Resources, demands []Demand) *fillState {
	n := len(demands)
	f := &fillState{
		demands: demands, remaining: toVector(total),
		maxTasks: make([]float64, n), rate: make([]float64, n), tasks: make([]float64, n),
	}
	for i, d := range demands {
		f.maxTasks[i] = taskLimit(d)
		share := d.Task.DominantShare(total)
		if share > 0 && d.Weight > 0 && f.maxTasks[i] > 0 && d.Task.Fits(total.Max(model.Resources{})) {
			f.rate[i] = d.Weight / share
		}
	}
	return f
}

// taskLimit returns the number of tasks that the team's demand and upper limit
// allow.
func taskLimit(d Demand) float64 {
	bound := d.Tasks
	task, limit := toVector(d.Task), toVector(d.Limit)
	for k := range task {
		if task[k] > 0 {
			bound = min(bound, limit[k]/task[k])
		}
	}
	return bound
}

// step raises the level until the next team reaches its bound or the next
// resource is exhausted. It returns false when no team could grow.
func (f *fillState) step() bool {
	rise, exhausted := f.nextEvent()
	if math.IsInf(rise, 1) {
		return false
	}
	for i, rate := range f.rate {
		f.tasks[i] += rate * rise
		task := toVector(f.demands[i].Task)
		for k := range f.remaining {
			f.remaining[k] -= rate * rise * task[k]
		}
	}
	f.freeze(exhausted)
	return true
}

// nextEvent returns by how much the level can rise and the index of the resource
// that is exhausted then, or -1 if a team reaches its bound first.
func (f *fillState) nextEvent() (rise float64, exhausted int) {
	rise, exhausted = math.Inf(1), -1
	var use vector
	for i, rate := range f.rate {
		if rate == 0 {
			continue
		}
		rise = min(rise, (f.maxTasks[i]-f.tasks[i])/rate)
		task := toVector(f.demands[i].Task)
		for k := range use {
			use[k] += rate * task[k]
		}
	}
	for k := range use {
		if use[k] > 0 && f.remaining[k]/use[k] < rise {
			rise, exhausted = f.remaining[k]/use[k], k
		}
	}
	return max(rise, 0), exhausted
}

// roundingError is the relative difference to its bound within which a team
// counts as having reached it.
const roundingError = 1e-9

// freeze stops the growth of teams that have reached their bound or need the
// exhausted resource, which is an index or -1 for none.
func (f *fillState) freeze(exhausted int) {
	for i := range f.rate {
		done := f.tasks[i] >= f.maxTasks[i]*(1-roundingError)
		blocked := exhausted >= 0 && toVector(f.demands[i].Task)[exhausted] > 0
		if done || blocked {
			f.rate[i] = 0
		}
	}
}

// Package fairness orders teams and their waiting work and computes the exact
// shares that the order aims at. It is pure and not safe for concurrent use.
package fairness

import (
	"math"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Ratio is a team's dominant share of the total divided by its weight. The
// team with the lowest ratio is next. A weight of zero or less goes last.
func Ratio(used, total model.Resources, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return used.DominantShare(total) / weight
}

// Demand is what a team could use at most.
type Demand struct {
	Team   model.TeamID
	Weight float64
	Task   model.Resources // one task of the team
	Tasks  float64         // that it could run at once
	Limit  model.Resources // the team's upper limit
}

const dimensions = 4

type vector [dimensions]float64

func toVector(r model.Resources) vector {
	return vector{float64(r.MilliCPU), float64(r.MemoryMiB), float64(r.Accelerators), float64(r.Slots)}
}

// WaterFill returns how many tasks, in fractions, each team runs under exact
// weighted max-min fairness of dominant shares: all shares rise together, each
// at the rate of its weight, until a team has all it can use or a resource
// that it needs is used up.
func WaterFill(total model.Resources, demands []Demand) []float64 {
	fill := newFilling(total, demands)
	for fill.step() {
	}
	return fill.tasks
}

// filling is the state of WaterFill.
type filling struct {
	demands []Demand
	left    vector
	most    []float64 // tasks per team
	rate    []float64 // tasks per unit of level; zero once the team is done
	tasks   []float64
}

func newFilling(total model.Resources, demands []Demand) *filling {
	n := len(demands)
	f := &filling{
		demands: demands, left: toVector(total),
		most: make([]float64, n), rate: make([]float64, n), tasks: make([]float64, n),
	}
	for i, d := range demands {
		f.most[i] = mostTasks(d)
		share := d.Task.DominantShare(total)
		if share > 0 && d.Weight > 0 && f.most[i] > 0 && d.Task.Fits(total.Max(d.Task.Scale(0))) {
			f.rate[i] = d.Weight / share
		}
	}
	return f
}

// mostTasks is the lesser of the team's demand and its upper limit.
func mostTasks(d Demand) float64 {
	most := d.Tasks
	task, limit := toVector(d.Task), toVector(d.Limit)
	for k := range task {
		if task[k] > 0 {
			most = min(most, limit[k]/task[k])
		}
	}
	return most
}

// step raises the level until the next team or resource is full. It reports
// whether any team can still grow.
func (f *filling) step() bool {
	rise, full := f.nextEvent()
	if math.IsInf(rise, 1) {
		return false
	}
	for i, rate := range f.rate {
		f.tasks[i] += rate * rise
		task := toVector(f.demands[i].Task)
		for k := range f.left {
			f.left[k] -= rate * rise * task[k]
		}
	}
	f.freeze(full)
	return true
}

// nextEvent returns by how much the level may rise and which resource is then
// used up, or -1 if it is a team that is full.
func (f *filling) nextEvent() (rise float64, full int) {
	rise, full = math.Inf(1), -1
	var use vector
	for i, rate := range f.rate {
		if rate == 0 {
			continue
		}
		rise = min(rise, (f.most[i]-f.tasks[i])/rate)
		task := toVector(f.demands[i].Task)
		for k := range use {
			use[k] += rate * task[k]
		}
	}
	for k := range use {
		if use[k] > 0 && f.left[k]/use[k] < rise {
			rise, full = f.left[k]/use[k], k
		}
	}
	return max(rise, 0), full
}

// roundOff is the relative error below which a team counts as full.
const roundOff = 1e-9

// freeze stops the teams that are full or need the resource that is used up.
func (f *filling) freeze(full int) {
	for i := range f.rate {
		done := f.tasks[i] >= f.most[i]*(1-roundOff)
		short := full >= 0 && toVector(f.demands[i].Task)[full] > 0
		if done || short {
			f.rate[i] = 0
		}
	}
}

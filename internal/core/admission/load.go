package admission

import (
	"math"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// load is an amount of room by resource, as a share of the capacity of a service, or such
// an amount times the seconds for which it is needed.
type load [3]float64

// shareOf returns the amount as a share of the capacity. A resource that the service does
// not have counts as nothing.
func shareOf(amount, capacity model.Resources) load {
	return load{
		model.Fraction(amount.MilliCPU, capacity.MilliCPU),
		model.Fraction(amount.MemoryMiB, capacity.MemoryMiB),
		model.Fraction(amount.Accelerators, capacity.Accelerators),
	}
}

func (l load) plus(o load, factor float64) load {
	for i := range l {
		l[i] += factor * o[i]
	}
	return l
}

// most returns the share of the resource of which most is needed.
func (l load) most() float64 { return max(l[0], l[1], l[2]) }

// work is what a set of demands needs: room at once, and that room for a time.
type work struct {
	room    load // share
	seconds load // share times seconds
}

func (w *work) add(room load, runTime time.Duration) {
	w.room = w.room.plus(room, 1)
	w.seconds = w.seconds.plus(room, runTime.Seconds())
}

func (w *work) plus(o work, factor float64) {
	w.room, w.seconds = w.room.plus(o.room, factor), w.seconds.plus(o.seconds, factor)
}

// profile is the room that is free, by forecast step, if nothing starts.
type profile []load

// newProfile returns the profile of the room, of which at most the share carried is used.
func newProfile(room *dispatch.Room, carried float64) profile {
	free := shareOf(room.Free(), room.Capacity).plus(load{1, 1, 1}, carried-1)
	steps := make(profile, len(room.Released)+1)
	steps[0] = free
	for i, released := range room.Released {
		free = free.plus(shareOf(released, room.Capacity), 1)
		steps[i+1] = free
	}
	return steps
}

// less returns so many steps of the profile without what arriving work takes of it.
func (p profile) less(taken []flow, steps int) profile {
	left := make(profile, steps)
	for step := range left {
		share := 0.0
		for i := range taken {
			share += taken[i].occupied(step)
		}
		room := p[min(step, len(p)-1)]
		for i := range room {
			left[step][i] = max(0, room[i]-share)
		}
	}
	return left
}

// flow is work that keeps arriving: the share of the room that it occupies if it arrives at
// its rate of each memory, and the time for which a task of it runs. What it occupies now is
// not part of the free room; it takes more only as that ends.
type flow struct {
	shares  [len(memories)]float64
	runTime time.Duration
}

// occupied returns the share that tasks occupy in the step that start from now on. What
// has lasted for less time than until then is not expected to go on.
func (f *flow) occupied(step int) float64 {
	after := time.Duration(step) * dispatch.ForecastStep
	share := f.shares[0]
	for i := 1; i < len(memories) && memories[i-1] <= after; i++ {
		share = min(share, f.shares[i])
	}
	return share * min(1, float64(after)/float64(max(dispatch.ForecastStep, f.runTime)))
}

// wait returns the time until the last of the work has started if it gets the room of the
// profile as that becomes free, at most the length of the profile. Each task that ends
// leaves its room to the next one.
func (w *work) wait(p profile) time.Duration {
	needed := 0
	started := make([]float64, len(p))
	for i := range w.room {
		if w.room[i] <= 0 {
			continue
		}
		turn := max(1, int(math.Round(w.seconds[i]/w.room[i]/dispatch.ForecastStep.Seconds())))
		for step := range started {
			started[step] = p[step][i]
			if step >= turn {
				started[step] += started[step-turn]
			}
			if started[step] >= w.room[i] || step == len(p)-1 {
				needed = max(needed, step)
				break
			}
		}
	}
	return time.Duration(needed) * dispatch.ForecastStep
}

// drain returns the time for which the part of the work that does not fit into the free
// room occupies all of the room.
func (w *work) drain(free load) time.Duration {
	longest := 0.0
	for i := range w.room {
		if excess := w.room[i] - free[i]; excess > 0 {
			longest = max(longest, w.seconds[i]*excess/w.room[i])
		}
	}
	return seconds(longest)
}

// sum returns the work of the demands.
func sum(demands []dispatch.Demand, capacity model.Resources) work {
	var total work
	for i := range demands {
		total.add(shareOf(demands[i].Size, capacity), demands[i].RunTime)
	}
	return total
}

// rate is a decaying mean of an amount a second.
type rate struct {
	perSecond float64
	at        time.Duration
}

// add decays the rate to the time now, with the time constant, and adds the amount.
func (r *rate) add(amount float64, now, constant time.Duration) {
	r.perSecond = r.value(now, constant) + amount/constant.Seconds()
	r.at = now
}

func (r *rate) value(now, constant time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(constant))
}

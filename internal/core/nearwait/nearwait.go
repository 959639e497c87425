// Package nearwait decides whether a task waits for a place near its data or starts at
// once elsewhere, where it runs longer. It reads no clock and keeps no state.
package nearwait

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Ending is the end of a run that makes room for one task near.
type Ending struct {
	Elapsed  time.Duration // since the run's start
	Expected time.Duration // whole run time; zero or less if not known
}

// Compare orders endings by the expected time that is left.
func (e Ending) Compare(other Ending) int {
	return cmp.Or(cmp.Compare(e.left(), other.left()), cmp.Compare(e.Expected, other.Expected))
}

func (e Ending) left() time.Duration { return max(0, e.Expected-e.Elapsed) }

// Situation is what a decision depends on.
type Situation struct {
	RunTime time.Duration // expected near
	Factor  float64       // of the run time elsewhere to that near
	Slack   time.Duration // by which the start may be delayed without missing the deadline
	Full    float64       // share of the cell in use, from 0 to 1
	Places  int           // tasks of this size that the whole cell has room for
	Spread  float64       // standard deviation of the logarithm of a run time to its estimate
	Ahead   int           // tasks that get a place near before this one
	Endings []Ending
	Offered float64 // places near that all tasks with data there would use, see Demand
}

// Decision is the answer for one task.
type Decision struct {
	Wait   time.Duration // longest time to wait for a place near; zero to start now
	Latest time.Duration // time after which waiting can't pay, whatever ends
	Gain   time.Duration // what a start near saves, the room that others get included
	Wanted float64       // probability that another task would use the place near
	Chance float64       // probability of a place near within Wait
	Cost   time.Duration // expected, of the wait and of a start elsewhere after it; of starting now it is Gain
}

const (
	// points is the number of waits that are compared.
	points = 12
	// maxEndings is the number of endings that are weighed, the soonest ones.
	maxEndings = 16
)

// Decide returns the wait with the lowest expected cost. With S(t) the probability that no
// place near is free by t, a wait of at most w costs the integral of S from 0 to w, and
// S(w) times the gain that is lost if none came. A waiting task holds no room; one that
// runs elsewhere holds its room for longer, which delays others the more the fuller the cell
// is. A place that another task would use saves nothing: that one runs elsewhere instead.
func Decide(s *Situation) Decision {
	extra := (s.Factor - 1) * s.RunTime.Seconds()
	wanted := busy(len(s.Endings), s.Offered)
	gain := extra * (1 + price(s.Full, s.Places)) * (1 - wanted)
	d := Decision{Gain: seconds(gain), Wanted: wanted}
	d.Latest = max(0, min(d.Gain, s.Slack))
	d.Cost = d.Gain
	endings := soonest(s.Endings)
	if d.Latest <= 0 || len(endings) <= s.Ahead {
		return d
	}
	step := d.Latest.Seconds() / points
	ended := make([]float64, len(endings))
	waited, before := 0.0, 1.0
	for i := 1; i <= points; i++ {
		t := float64(i) * step
		for j, e := range endings {
			ended[j] = endedBy(e, t, s.Spread)
		}
		none := fewer(ended, s.Ahead+1)
		waited += (before + none) / 2 * step
		before = none
		if cost := seconds(waited + none*gain); cost < d.Cost {
			d.Wait, d.Cost, d.Chance = seconds(t), cost, 1-none
		}
	}
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// soonest returns the endings with a known run time, at most maxEndings, by the expected
// time that is left.
func soonest(all []Ending) []Ending {
	known := make([]Ending, 0, len(all))
	for _, e := range all {
		if e.Expected > 0 {
			known = append(known, e)
		}
	}
	slices.SortFunc(known, Ending.Compare)
	return known[:min(len(known), maxEndings)]
}

// endedBy returns the probability that the run has ended t seconds from now. Run times are
// taken as log-normal about the estimate.
func endedBy(e Ending, t, spread float64) float64 {
	expected, elapsed := e.Expected.Seconds(), e.Elapsed.Seconds()
	if spread <= 0 {
		if elapsed+t >= expected {
			return 1
		}
		return 0
	}
	longer := func(d float64) float64 { // probability of a run time above d
		if d <= 0 {
			return 1
		}
		return math.Erfc(math.Log(d/expected)/(spread*math.Sqrt2)) / 2
	}
	still := longer(elapsed)
	if still < 1e-9 { // far beyond its estimate, which tells nothing any more
		return 0
	}
	return 1 - longer(elapsed+t)/still
}

// fewer returns the probability that fewer than n of the independent events happen.
func fewer(chances []float64, n int) float64 {
	counts := make([]float64, n) // probability of exactly so many
	counts[0] = 1
	for _, p := range chances {
		for k := n - 1; k >= 0; k-- {
			counts[k] *= 1 - p
			if k > 0 {
				counts[k] += counts[k-1] * p
			}
		}
	}
	sum := 0.0
	for _, c := range counts {
		sum += c
	}
	return min(sum, 1)
}

// busy returns the probability that all places are in use at the offered load, if tasks
// wait for them (Erlang's C formula).
func busy(places int, offered float64) float64 {
	if offered >= float64(places) {
		return 1
	}
	if offered <= 0 {
		return 0
	}
	blocked := 1.0 // if tasks do not wait (Erlang's B formula)
	for n := 1; n <= places; n++ {
		blocked = offered * blocked / (float64(n) + offered*blocked)
	}
	share := offered / float64(places)
	return blocked / (1 - share*(1-blocked))
}

// maxFull is the share in use above which the price of room grows no further.
const maxFull = 0.95

// price returns by how much others are delayed together for each second that one more place
// is in use (the approximation of the mean wait in an M/M/n queue by Sakasegawa).
func price(full float64, places int) float64 {
	full = min(max(full, 0), 1)
	return math.Pow(full, math.Sqrt(2*float64(places+1))) / (1 - min(full, maxFull))
}

// demandWindow is the time over which Demand averages.
const demandWindow = 2 * time.Minute

// Demand measures how many places near the tasks with data there would use. Its zero value
// has seen none.
type Demand struct {
	work        float64 // seconds, weighted by age
	first, last time.Duration
	seen        bool
}

// Add adds a task that starts, wherever it does.
func (d *Demand) Add(now, runTime time.Duration) {
	if !d.seen {
		d.seen, d.first, d.last = true, now, now
	}
	d.work = d.work*d.fade(now) + runTime.Seconds()
	d.last = now
}

// Offered returns the number of places in use on average if all tasks ran near.
func (d *Demand) Offered(now time.Duration) float64 {
	if !d.seen {
		return 0
	}
	covered := demandWindow.Seconds() * (1 - math.Exp(-(now-d.first).Seconds()/demandWindow.Seconds()))
	return d.work * d.fade(now) / max(covered, demandWindow.Seconds()/points)
}

// fade returns the weight at the time of what was added last.
func (d *Demand) fade(now time.Duration) float64 {
	return math.Exp(-(now - d.last).Seconds() / demandWindow.Seconds())
}

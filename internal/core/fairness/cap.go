package fairness

import (
	"math"
	"time"
)

// CapPolicy tunes a Cap. The zero value of a field selects its default.
type CapPolicy struct {
	// Reserve is the part of every target that is not granted, because tasks
	// never fill workers to the brim.
	Reserve float64
	// Idle and Busy are idle parts of the cell: above Idle teams may exceed
	// their targets more and more, below Busy less and less.
	IdleThreshold float64
	BusyThreshold float64
	// Empty is the idle part above which no cap applies.
	EmptyThreshold float64
	// Growth and Shrink are the relative changes per second.
	GrowthRate float64
	ShrinkRate float64
}

// The defaults of CapPolicy.
const (
	defaultReserve = 0.01
	defaultIdle    = 0.06
	defaultBusy    = 0.03
	defaultEmpty   = 0.25
	defaultGrowth  = 0.1
	defaultShrink  = 0.5
)

// maxExcess is the multiple of a target above which a cap is as good as none.
const maxExcess = 1e3

// Cap bounds what a team's owner has running while others wait. Owners decide
// side by side; each computes the exact targets from lagging demands with
// WaterFill and keeps to its own, which does not oscillate as following the
// lowest ratio of the others does. While part of the cell stays idle, because
// some team can't use its share, the cap rises.
type Cap struct {
	policy  CapPolicy
	excess  float64 // multiple of the target that is granted
	updated time.Duration
	begun   bool
}

// NewCap returns a cap at the target.
func NewCap(policy CapPolicy) *Cap {
	for _, f := range []struct {
		field    *float64
		fallback float64
	}{
		{&policy.Reserve, defaultReserve}, {&policy.IdleThreshold, defaultIdle}, {&policy.BusyThreshold, defaultBusy},
		{&policy.EmptyThreshold, defaultEmpty}, {&policy.GrowthRate, defaultGrowth}, {&policy.ShrinkRate, defaultShrink},
	} {
		if *f.field == 0 {
			*f.field = f.fallback
		}
	}
	return &Cap{policy: policy, excess: 1}
}

// Update takes the idle part of the cell's scarcest resource as last heard.
func (c *Cap) Update(idle float64, now time.Duration) {
	passed := (now - c.updated).Seconds()
	if !c.begun {
		passed = 0
	}
	c.updated, c.begun = now, true
	switch {
	case idle > c.policy.EmptyThreshold:
		c.excess = maxExcess
	case idle > c.policy.IdleThreshold:
		c.excess = min(c.excess*(1+c.policy.GrowthRate*passed), maxExcess)
	case idle < c.policy.BusyThreshold && c.excess >= maxExcess:
		c.excess = 1
	case idle < c.policy.BusyThreshold:
		c.excess = max(c.excess*(1-min(c.policy.ShrinkRate*passed, 1)), 1)
	}
}

// Allows reports whether a team may go from one dominant share to the next
// when its exact target is given. Steps are rounded to the nearest, so that a
// team of few large tasks is not a whole task short.
func (c *Cap) Allows(share, next, target float64) bool {
	if c.excess >= maxExcess || math.IsInf(target, 1) {
		return true
	}
	return (share+next)/2 <= target*(1-c.policy.Reserve)*c.excess
}

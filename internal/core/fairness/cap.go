package fairness

import (
	"math"
	"time"
)

// CapPolicy configures a Cap. The zero value of a field selects its default.
type CapPolicy struct {
	// Reserve is the fraction of every fair share that is not granted, because
	// tasks never fill the workers completely.
	Reserve float64
	// IdleThreshold and BusyThreshold are idle fractions of the cell. Above
	// IdleThreshold the cap rises, below BusyThreshold it falls back towards
	// the fair share.
	IdleThreshold float64
	BusyThreshold float64
	// EmptyThreshold is the idle fraction above which no cap applies.
	EmptyThreshold float64
	// GrowthRate and ShrinkRate are the relative changes of the cap per second.
	GrowthRate float64
	ShrinkRate float64
}

// The defaults of CapPolicy.
const (
	defaultReserve        = 0.01
	defaultIdleThreshold  = 0.06
	defaultBusyThreshold  = 0.03
	defaultEmptyThreshold = 0.25
	defaultGrowthRate     = 0.1
	defaultShrinkRate     = 0.5
)

// maxMultiplier is the multiple of a fair share from which the cap no longer
// applies.
const maxMultiplier = 1e3

// Cap limits the dominant share of a team's running tasks to a multiple of its
// fair share, which the caller computes from the demands of all teams. Team owners
// decide independently: each computes the exact fair shares with WaterFill from
// possibly stale demands and keeps to its own. Always serving the team with the lowest
// ratio would oscillate on stale data. While part of the cell stays idle because
// some team cannot use its share, the cap rises.
type Cap struct {
	policy     CapPolicy
	multiplier float64 // of the fair share, at least 1
	lastUpdate time.Duration
	started    bool
}

// NewCap returns a Cap that allows the fair share and no more.
func NewCap(policy CapPolicy) *Cap {
	for _, f := range []struct {
		field    *float64
		fallback float64
	}{
		{&policy.Reserve, defaultReserve}, {&policy.IdleThreshold, defaultIdleThreshold}, {&policy.BusyThreshold, defaultBusyThreshold},
		{&policy.EmptyThreshold, defaultEmptyThreshold}, {&policy.GrowthRate, defaultGrowthRate}, {&policy.ShrinkRate, defaultShrinkRate},
	} {
		if *f.field == 0 {
			*f.field = f.fallback
		}
	}
	return &Cap{policy: policy, multiplier: 1}
}

// Update adjusts the cap to the last reported idle fraction of the cell's
// scarcest resource. now is a reading of a monotonic clock.
func (c *Cap) Update(idle float64, now time.Duration) {
	elapsed := (now - c.lastUpdate).Seconds()
	if !c.started {
		elapsed = 0
	}
	c.lastUpdate, c.started = now, true
	switch {
	case idle > c.policy.EmptyThreshold:
		c.multiplier = maxMultiplier
	case idle > c.policy.IdleThreshold:
		c.multiplier = min(c.multiplier*(1+c.policy.GrowthRate*elapsed), maxMultiplier)
	case idle < c.policy.BusyThreshold && c.multiplier >= maxMultiplier:
		c.multiplier = 1
	case idle < c.policy.BusyThreshold:
		c.multiplier = max(c.multiplier*(1-min(c.policy.ShrinkRate*elapsed, 1)), 1)
	}
}

// Allows reports whether a team with the given fair share may grow its dominant
// share from share to next. The midpoint of the two is compared with the cap,
// so that a team with few large tasks does not stay a whole task below its fair
// share.
func (c *Cap) Allows(share, next, fairShare float64) bool {
	if c.multiplier >= maxMultiplier || math.IsInf(fairShare, 1) {
		return true
	}
	return (share+next)/2 <= fairShare*(1-c.policy.Reserve)*c.multiplier
}

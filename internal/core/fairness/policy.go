package fairness

import (
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Error is the class of errors of this package.
var Error = errs.Class("fairness")

// Policy selects how teams and their queued work are ordered. It is a setting.
type Policy string

// The policies.
const (
	// PolicyShare orders teams strictly by their ratio.
	PolicyShare Policy = "share"
	// PolicyWaiting prefers urgent and long-waiting work among teams whose
	// ratios are close to each other.
	PolicyWaiting Policy = "waiting"
)

// ParsePolicy parses a policy setting. The empty string means PolicyShare.
func ParsePolicy(name string) (Policy, error) {
	switch Policy(name) {
	case "", PolicyShare:
		return PolicyShare, nil
	case PolicyWaiting:
		return PolicyWaiting, nil
	default:
		return "", Error.New("unknown policy %q: want %q or %q", name, PolicyShare, PolicyWaiting)
	}
}

// bandsPerDoubling is the number of bands into which PolicyWaiting divides each
// doubling of the ratio. Ratios of one band, about 2 % wide, count as equal.
const bandsPerDoubling = 35

// Turn describes a team that competes for the next start.
type SortKey struct {
	Team   model.TeamID
	Ratio  float64
	Urgent bool          // whether its next task is urgent
	Waited time.Duration // how long its next task has waited
}

// Before reports whether a is served before b. It is a strict weak order.
func (p Policy) Before(a, b SortKey) bool {
	if p == PolicyWaiting {
		if x, y := band(a.Ratio), band(b.Ratio); x != y {
			return x < y
		}
		if a.Urgent != b.Urgent {
			return a.Urgent
		}
		if a.Waited != b.Waited {
			return a.Waited > b.Waited
		}
	}
	if a.Ratio != b.Ratio {
		return a.Ratio < b.Ratio
	}
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return a.Team < b.Team
}

// lowestRatio is the ratio up to which PolicyWaiting puts all teams into one
// band.
const lowestRatio = 1e-6

// band returns the index of the ratio's band under PolicyWaiting.
func band(ratio float64) int {
	return int(math.Floor(math.Log2(max(ratio, lowestRatio)) * bandsPerDoubling))
}

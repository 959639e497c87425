package fairness

import (
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Error is the class of errors of this package.
var Error = errs.Class("fairness")

// Policy says what the order of teams weighs most. It is a setting.
type Policy string

// The policies.
const (
	// PolicyShare keeps strictly to the shares.
	PolicyShare Policy = "share"
	// PolicyWaiting lets urgent and long-waiting work go first among teams
	// whose ratios are close to each other.
	PolicyWaiting Policy = "waiting"
)

// ParsePolicy reads a policy setting; empty means PolicyShare.
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

// bandsPerDoubling is how many bands PolicyWaiting tells apart while a ratio
// doubles: teams within 2 % of each other count as equal.
const bandsPerDoubling = 35

// Turn is a team that could go next.
type Turn struct {
	Team   model.TeamID
	Ratio  float64
	Urgent bool          // its next task is urgent
	Waited time.Duration // of its next task
}

// Before reports whether a goes before b. It is a strict weak order.
func (p Policy) Before(a, b Turn) bool {
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

// lowestRatio is the ratio below which PolicyWaiting tells no bands apart.
const lowestRatio = 1e-6

func band(ratio float64) int {
	return int(math.Floor(math.Log2(max(ratio, lowestRatio)) * bandsPerDoubling))
}

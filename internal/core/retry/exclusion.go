package retry

import "time"

const (
	// FirstExclusion is how long a node is passed over after a failed call. It doubles with
	// each further failure in a row.
	FirstExclusion = 2 * time.Second
	// MaxExclusion is the longest exclusion. The records of removed nodes stay.
	MaxExclusion = 32 * time.Second
)

// Exclusion is for how long a node is passed over after failed calls. The zero value, which
// is also that of a node whose last call succeeded, excludes nothing.
type Exclusion struct {
	Failures int           // in a row
	Until    time.Duration // clock reading
}

// Active reports whether the node is passed over now.
func (x Exclusion) Active(now time.Duration) bool { return now < x.Until }

// Fail records a failed call. It returns false if the node is excluded already, since this
// is then one of several calls that failed together.
func (x *Exclusion) Fail(now time.Duration) bool {
	if x.Active(now) {
		return false
	}
	x.Until = now + min(FirstExclusion<<min(x.Failures, 16), MaxExclusion)
	x.Failures++
	return true
}

package request

import "time"

// Reason is why a call was refused or ended without a result. The values are those
// of the peer messages.
type Reason int32

// The reasons.
const (
	Unspecified Reason = iota
	NotOwner
	StaleEpoch
	OverLimit
	QueueFull
	Deadline
	NoCapacity
	NotFound
	Conflict
	Unavailable
	Invalid
	DomainOut
	NeverFits
)

// Refusal is a reason with its details.
type Refusal struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // zero if unknown
}

// Transient reports whether a retry or a new look-up of the owner may help, as
// during a takeover.
func (r Refusal) Transient() bool {
	switch r.Reason {
	case NotOwner, StaleEpoch, Unavailable:
		return true
	default:
		return false
	}
}

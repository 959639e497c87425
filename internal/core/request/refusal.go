package request

import "time"

// Reason tells why a call had no effect. The values are those of the peer
// messages.
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

// Passes reports whether another look-up or a little time may help, as during
// a takeover.
func (r Refusal) Transient() bool {
	switch r.Reason {
	case NotOwner, StaleEpoch, Unavailable:
		return true
	default:
		return false
	}
}

package ownership

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Lease is a member's own lease as computed by that member. A renewal, that is a
// Renewal or Join record of this member, extends the lease once it has been read
// back from the log, counted from just before the record was sent.
type Lease struct {
	duration time.Duration
	sentAt   map[string]time.Duration // clock reading before sending, by record id
	expiry   time.Duration
}

// NewLease returns a lease that is not active before the first renewal.
func NewLease(duration time.Duration) *Lease {
	return &Lease{duration: duration, sentAt: make(map[string]time.Duration)}
}

// RenewalSent records that the renewal with the id is about to be sent, and
// drops older ones that can no longer extend the lease.
func (l *Lease) RenewalSent(id string, now time.Duration) {
	for other, at := range l.sentAt {
		if at+l.duration <= now {
			delete(l.sentAt, other)
		}
	}
	l.sentAt[id] = now
}

// RenewalRead extends the lease for a renewal that was read from the log and
// returns the clock reading before it was sent. ok is false if this process did
// not send it, or sent it too long ago to extend the lease.
func (l *Lease) RenewalRead(id string) (sentAt time.Duration, ok bool) {
	sentAt, ok = l.sentAt[id]
	if !ok {
		return 0, false
	}
	delete(l.sentAt, id)
	l.expiry = max(l.expiry, sentAt+l.duration)
	return sentAt, true
}

// Expiry returns the clock reading at which the lease expires.
func (l *Lease) Expiry() time.Duration { return l.expiry }

// LeaseTracker tracks the leases of other members. It counts a lease from when
// the renewal was read, so the lease never expires here before it expires at its
// member.
type LeaseTracker struct {
	timeout     time.Duration
	lastRenewal map[model.MemberID]time.Duration
}

// NewLeaseTracker returns a tracker that treats a lease as expired only after
// lease plus margin; margin covers clocks that drift apart during one lease.
func NewLeaseTracker(lease, margin time.Duration) *LeaseTracker {
	return &LeaseTracker{timeout: lease + margin, lastRenewal: make(map[model.MemberID]time.Duration)}
}

// Renewed records that a renewal of the member was read at now.
func (t *LeaseTracker) Renewed(id model.MemberID, now time.Duration) { t.lastRenewal[id] = now }

// Reset starts the leases of all members at now. It is used after the state has
// been rebuilt, when the times of the last renewals are unknown.
func (t *LeaseTracker) Reset(members []Member, now time.Duration) {
	clear(t.lastRenewal)
	for _, m := range members {
		t.lastRenewal[m.ID] = now
	}
}

// Forget stops tracking a removed member.
func (t *LeaseTracker) Forget(id model.MemberID) { delete(t.lastRenewal, id) }

// ExpiresAt returns the earliest clock reading at which the member's lease has
// certainly expired. The lease of an untracked member starts at now.
func (t *LeaseTracker) ExpiresAt(id model.MemberID, now time.Duration) time.Duration {
	at, ok := t.lastRenewal[id]
	if !ok {
		t.lastRenewal[id] = now
		at = now
	}
	return at + t.timeout
}

// Expired reports whether the member's lease has certainly expired.
func (t *LeaseTracker) Expired(id model.MemberID, now time.Duration) bool {
	return now >= t.ExpiresAt(id, now)
}

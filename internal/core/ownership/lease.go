package ownership

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Lease is a holder's view of its own lease. It counts from before a renewal
// was sent, and only once the renewal has been read back from the log.
type Lease struct {
	length time.Duration
	sent   map[string]time.Duration // record id to clock reading before sending
	until  time.Duration
}

// NewLease returns a lease that has not been obtained yet.
func NewLease(length time.Duration) *Lease {
	return &Lease{length: length, sent: make(map[string]time.Duration)}
}

// Sent notes that the renewal with the id is about to be sent.
func (l *Lease) RenewalSent(id string, now time.Duration) {
	for other, at := range l.sent {
		if at+l.length <= now {
			delete(l.sent, other)
		}
	}
	l.sent[id] = now
}

// ReadBack notes that the renewal with the id has been read from the log and
// returns when it was sent. ok is false if it was not sent by this holder, or
// too long ago to matter.
func (l *Lease) RenewalRead(id string) (sent time.Duration, ok bool) {
	sent, ok = l.sent[id]
	if !ok {
		return 0, false
	}
	delete(l.sent, id)
	l.until = max(l.until, sent+l.length)
	return sent, true
}

// Until returns the clock reading at which the lease runs out.
func (l *Lease) Expiry() time.Duration { return l.until }

// Watch is a claimer's view of the leases of others. It counts from when a
// renewal was read.
type LeaseTracker struct {
	wait time.Duration
	read map[model.MemberID]time.Duration
}

// NewWatch returns a watch that lets margin pass beyond the lease, for clocks
// that drift apart during one lease.
func NewLeaseTracker(lease, margin time.Duration) *LeaseTracker {
	return &LeaseTracker{wait: lease + margin, read: make(map[model.MemberID]time.Duration)}
}

// Renewed notes that a renewal of the member was read at now.
func (w *LeaseTracker) Renewed(id model.MemberID, now time.Duration) { w.read[id] = now }

// Reset counts the leases of all members from now, for a process that cannot
// tell when it could have read their renewals.
func (w *LeaseTracker) Reset(members []Member, now time.Duration) {
	clear(w.read)
	for _, m := range members {
		w.read[m.ID] = now
	}
}

// Forget drops a member that was removed.
func (w *LeaseTracker) Forget(id model.MemberID) { delete(w.read, id) }

// LapsesAt returns the clock reading from which on the member's lease has
// certainly run out.
func (w *LeaseTracker) ExpiresAt(id model.MemberID, now time.Duration) time.Duration {
	at, ok := w.read[id]
	if !ok {
		w.read[id] = now
		at = now
	}
	return at + w.wait
}

// Lapsed reports whether the member's lease has certainly run out.
func (w *LeaseTracker) Expired(id model.MemberID, now time.Duration) bool {
	return now >= w.ExpiresAt(id, now)
}

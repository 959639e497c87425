package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// GangOrder sorts the racks that a gang reserves on. All gangs reserve in this
// order and a rack refuses instead of waiting, so no two gangs can block each
// other.
func GangOrder(racks []model.PartitionID) {
	slices.Sort(racks)
}

// ReserveGang reserves room for all offers or for none. What is reserved is
// freed at the reading expiry unless CommitGang comes first. A repeated call
// with the same permits extends their expiry.
func (r *Rack) ReserveGang(offers []Offer, now, expiry time.Duration) ([]Decision, bool) {
	r.Expire(now)
	decisions := make([]Decision, len(offers))
	b := r.newBatch(offers)
	var placed []*entry
	whole := true
	for _, turn := range b.teams {
		for _, i := range turn.queue {
			e, reason := r.reserveMember(b, &offers[i], now, expiry)
			decisions[i] = Decision{Offer: offers[i], Reason: reason}
			if e == nil {
				whole = false
				continue
			}
			decisions[i].VM, decisions[i].Reserved = e.VM, true
			placed = append(placed, e)
		}
	}
	if !whole {
		r.abandonGang(placed, decisions, now)
	}
	return decisions, whole
}

func (r *Rack) reserveMember(b *batch, o *Offer, now, expiry time.Duration) (*entry, Reason) {
	if e := r.entries[o.Permit.ID]; e != nil {
		e.Expiry = max(e.Expiry, expiry)
		return e, ReasonNone
	}
	if reason := r.reject(o); reason != ReasonNone {
		return nil, reason
	}
	w := r.choose(b, o, now)
	if w == nil {
		return nil, r.shortage(o)
	}
	e := r.reserve(w, *o, StateGang, now)
	e.Expiry = expiry
	r.gangs[o.Permit.ID] = e
	return e, ReasonNone
}

// abandonGang frees what a gang got that did not fit as a whole and lets its
// tasks hold workers, so that smaller tasks do not starve it.
func (r *Rack) abandonGang(placed []*entry, decisions []Decision, now time.Duration) {
	for _, e := range placed {
		if e.State == StateGang {
			r.release(e)
		}
	}
	for i := range decisions {
		d := &decisions[i]
		if d.Reserved {
			d.Reserved, d.VM, d.Reason = false, "", ReasonNoCapacity
		}
		d.RetryAfter = r.policy.RetryMax
		if d.Reason == ReasonNoCapacity {
			d.RetryAfter = r.noteRefused(&d.Offer, true, now)
			d.Held = r.holds[d.Offer.Task] != nil
		}
	}
}

// CommitGang turns the gang's reservations into plain ones. It returns false,
// with everything released, if any of them expired.
func (r *Rack) CommitGang(permits []string, now time.Duration) bool {
	r.Expire(now)
	for _, id := range permits {
		if r.entries[id] == nil {
			r.ReleaseGang(permits)
			return false
		}
	}
	for _, id := range permits {
		e := r.entries[id]
		delete(r.gangs, id)
		r.dropHold(r.holds[e.Task])
		delete(r.refused, e.Task)
		if e.State == StateGang {
			e.State = StateReserved
		}
	}
	return true
}

// ReleaseGang frees those of the permits that are not committed.
func (r *Rack) ReleaseGang(permits []string) {
	for _, id := range permits {
		e := r.gangs[id]
		if e == nil {
			continue
		}
		r.dropHold(r.holds[e.Task])
		r.release(e)
	}
}

// Expire frees gang reservations past their expiry, drops holds of tasks that
// are no longer offered and returns the freed reservations. Placement calls
// do the same first.
func (r *Rack) Expire(now time.Duration) []Reservation {
	r.expireHolds(now)
	var expired []Reservation
	for _, e := range r.gangs {
		if now >= e.Expiry {
			expired = append(expired, e.Reservation)
		}
	}
	sortByPermit(expired)
	for i := range expired {
		r.release(r.entries[expired[i].Permit.ID])
	}
	return expired
}

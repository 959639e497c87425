package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// GangOrder sorts racks by id. If all gangs reserve on racks in this order, one of
// two gangs that need the same racks gets all of them. A rack refuses instead of
// waiting, so gangs can't deadlock. Only tests call GangOrder: planGang of package
// teamowner sorts racks in the same way itself.
func GangOrder(racks []model.PartitionID) {
	slices.Sort(racks)
}

// ReserveGang reserves capacity for all offers or for none. It returns one
// decision per offer, in their order, and whether all were reserved. The
// reservations are released at the clock reading expiry unless CommitGang is
// called before. A repeated call with the same permits extends their expiry.
func (r *Rack) ReserveGang(offers []Offer, now, expiry time.Duration) ([]Decision, bool) {
	r.Expire(now)
	decisions := make([]Decision, len(offers))
	b := r.newBatch(offers)
	var placed []*entry
	complete := true
	for _, q := range b.teams {
		for _, i := range q.pending {
			e, reason := r.reserveMember(b, &offers[i], now, expiry)
			decisions[i] = Decision{Offer: offers[i], Reason: reason}
			if e == nil {
				complete = false
				continue
			}
			decisions[i].VM, decisions[i].Reserved = e.VM, true
			placed = append(placed, e)
		}
	}
	if !complete {
		r.abandonGang(placed, decisions, now)
	}
	return decisions, complete
}

func (r *Rack) reserveMember(b *batch, o *Offer, now, expiry time.Duration) (*entry, Reason) {
	if e := r.entries[o.Permit.ID]; e != nil {
		e.Expiry = max(e.Expiry, expiry)
		return e, ReasonNone
	}
	if reason := r.rejectReason(o); reason != ReasonNone {
		return nil, reason
	}
	w := r.selectWorker(b, o, now)
	if w == nil {
		return nil, r.shortageReason(o)
	}
	e := r.reserve(w, *o, StateGang, now)
	e.Expiry = expiry
	r.gangs[o.Permit.ID] = e
	return e, ReasonNone
}

// abandonGang releases the partial reservations of a gang that did not fit
// completely and lets its tasks hold workers, so that smaller tasks do not
// starve it.
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
			d.RetryAfter = r.recordRefusal(&d.Offer, true, now)
			d.Held = r.holds[d.Offer.Task] != nil
		}
	}
}

// CommitGang turns the gang's reservations into regular ones, which do not
// expire, and returns true if all of them were still reserved. If any has
// expired, it releases the rest and returns false.
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

// ReleaseGang releases the reservations of those permits that are not
// committed.
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

// Expire releases gang reservations past their expiry, drops holds of tasks
// that are no longer offered and returns the released reservations. PlaceBatch,
// Offer, ReserveGang and CommitGang call it first.
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

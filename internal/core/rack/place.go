package rack

import (
	"container/heap"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// missMemory bounds the sizes that a batch knows not to fit.
const missMemory = 16

// batch is the state of one PlaceBatch call.
type batch struct {
	offers []Offer
	teams  teamHeap
	misses []model.Resources // sizes that no indexed worker has room for
}

// teamTurn is a team's remaining offers within a batch.
type teamTurn struct {
	team  model.TeamID
	ratio float64
	queue []int // indexes of offers, next first
}

type teamHeap []*teamTurn

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].ratio != h[j].ratio {
		return h[i].ratio < h[j].ratio
	}
	return h[i].team < h[j].team
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *teamHeap) Push(x any)   { *h = append(*h, x.(*teamTurn)) }
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// PlaceBatch decides on offers of any teams and returns one decision for each
// in the order of the offers. The team with the lowest ratio goes first;
// within a team urgent tasks come first, then lower ratios, then larger sizes.
// An offer whose permit is held already gets its earlier decision again.
func (r *Rack) PlaceBatch(offers []Offer, now time.Duration) []Decision {
	r.Expire(now)
	decisions := make([]Decision, len(offers))
	b := newBatch(offers, r.scale)
	for len(b.teams) > 0 {
		turn := b.teams[0]
		i := turn.queue[0]
		turn.queue = turn.queue[1:]
		decisions[i] = r.decide(b, &offers[i], now)
		b.advance(turn, decisions[i])
	}
	return decisions
}

// Offer decides on a single offer.
func (r *Rack) Offer(o Offer, now time.Duration) Decision {
	return r.PlaceBatch([]Offer{o}, now)[0]
}

func newBatch(offers []Offer, scale model.Resources) *batch {
	b := &batch{offers: offers}
	turns := make(map[model.TeamID]*teamTurn)
	for i := range offers {
		team := offers[i].Permit.Team
		turn := turns[team]
		if turn == nil {
			turn = &teamTurn{team: team}
			turns[team] = turn
			b.teams = append(b.teams, turn)
		}
		turn.queue = append(turn.queue, i)
	}
	shares := make([]float64, len(offers))
	for i := range offers {
		shares[i] = offers[i].Size.DominantShare(scale)
	}
	for _, turn := range b.teams {
		slices.SortFunc(turn.queue, func(i, j int) int { return compareOffers(offers, shares, i, j) })
		turn.ratio = offers[turn.queue[0]].Permit.Ratio
	}
	heap.Init(&b.teams)
	return b
}

func compareOffers(offers []Offer, shares []float64, i, j int) int {
	a, b := &offers[i], &offers[j]
	switch {
	case a.Urgent != b.Urgent:
		return before(a.Urgent)
	case a.Permit.Ratio != b.Permit.Ratio:
		return before(a.Permit.Ratio < b.Permit.Ratio)
	case shares[i] != shares[j]:
		return before(shares[i] > shares[j])
	default:
		return i - j
	}
}

func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// advance moves the team back by what it just got.
func (b *batch) advance(turn *teamTurn, d Decision) {
	if len(turn.queue) == 0 {
		heap.Pop(&b.teams)
		return
	}
	if d.Reserved {
		turn.ratio += d.Offer.RatioStep
	}
	turn.ratio = max(turn.ratio, b.offers[turn.queue[0]].Permit.Ratio)
	heap.Fix(&b.teams, 0)
}

// decide places one offer or refuses it.
func (r *Rack) decide(b *batch, o *Offer, now time.Duration) Decision {
	if held := r.entries[o.Permit.ID]; held != nil {
		return Decision{Offer: *o, VM: held.VM, Reserved: true}
	}
	if reason := r.reject(o); reason != ReasonNone {
		return Decision{Offer: *o, Reason: reason, Retry: r.policy.RetryMax}
	}
	w := r.probe(o, now)
	probe := w != nil
	if !probe {
		w = r.choose(b, o, now)
	}
	if w == nil {
		reason := r.shortage(o)
		return Decision{Offer: *o, Reason: reason, Retry: r.noteRefused(o, false, now)}
	}
	r.dropHold(r.holds[o.Task])
	e := r.reserve(w, *o, StateReserved, now)
	e.Probe = probe
	return Decision{Offer: *o, VM: w.vm.ID, Reserved: true}
}

// reject returns why the offer can't be placed here whatever is free.
func (r *Rack) reject(o *Offer) Reason {
	if o.Size.IsZero() || o.Size.IsNegative() {
		return ReasonInvalid
	}
	if r.tasks[o.Task] != nil {
		return ReasonDuplicate
	}
	inService, fits := 0, false
	listed := 0
	for domain, shapes := range r.shapes {
		if !allows(o.Domains, domain) {
			continue
		}
		listed++
		if !r.domainOut(domain) {
			inService++
		}
		for _, shape := range shapes {
			fits = fits || o.Size.Fits(shape)
		}
	}
	switch {
	case listed == 0 && len(r.shapes) > 0:
		return ReasonWrongDomain
	case listed == 0:
		return ReasonUnavailable
	case !fits:
		return ReasonNeverFits
	case inService == 0:
		return ReasonDomainOut
	}
	return ReasonNone
}

// choose picks a worker: the one held for the task, else the best fit, else a
// held one by backfill.
func (r *Rack) choose(b *batch, o *Offer, now time.Duration) *worker {
	if h := r.holds[o.Task]; h != nil && o.Size.Fits(h.worker.free) && r.allowed(o, h.worker) {
		return h.worker
	}
	if w := r.bestFit(b, o); w != nil {
		return w
	}
	return r.backfill(o, now)
}

// probe returns a quarantined worker that may be tried with the offer.
func (r *Rack) probe(o *Offer, now time.Duration) *worker {
	if o.Urgent || o.NonIdempotent || !r.health.AnyProbe(now) {
		return nil
	}
	for _, vm := range r.health.ProbesDue(now) {
		w := r.workers[vm]
		if w == nil || w.hold != nil || !w.available() || !r.allowed(o, w) || !o.Size.Fits(w.free) {
			continue
		}
		r.health.ProbeSent(vm)
		return w
	}
	return nil
}

// bestFit searches the indexes of the allowed domains. Of several domains the
// one that runs the fewest tasks of the job wins.
func (r *Rack) bestFit(b *batch, o *Offer) *worker {
	plain := len(o.Domains) == 0 && len(o.Avoid) == 0
	if plain && b.missed(o.Size) {
		return nil
	}
	var best *worker
	fewest := 0
	for _, domain := range r.domains {
		if !allows(o.Domains, domain) || r.domainOut(domain) {
			continue
		}
		spread := r.spread[jobDomain{o.Job, domain}]
		if best != nil && spread >= fewest {
			continue
		}
		if w := r.indexes[domain].find(o.Size, o.Avoid); w != nil {
			best, fewest = w, spread
		}
	}
	if best == nil && plain && len(b.misses) < missMemory {
		b.misses = append(b.misses, o.Size)
	}
	return best
}

// missed reports whether a size that is no larger was not placed before. Room
// only shrinks within a batch.
func (b *batch) missed(size model.Resources) bool {
	for _, miss := range b.misses {
		if miss.Fits(size) {
			return true
		}
	}
	return false
}

// allowed reports whether the offer may go to the worker's domain now.
func (r *Rack) allowed(o *Offer, w *worker) bool {
	domain := w.vm.FailureDomain
	return allows(o.Domains, domain) && !r.domainOut(domain) && !contains(o.Avoid, w.vm.ID)
}

// shortage tells why no worker was found: a sidelined one may have room.
func (r *Rack) shortage(o *Offer) Reason {
	reason := ReasonNoCapacity
	for _, w := range r.sidelined {
		if w.hold != nil || !o.Size.Fits(w.free) || !allows(o.Domains, w.vm.FailureDomain) {
			continue
		}
		if w.available() && r.health.Quarantined(w.vm.ID) {
			return ReasonQuarantined
		}
		reason = ReasonUnavailable
	}
	return reason
}

func allows(domains []model.FailureDomain, domain model.FailureDomain) bool {
	return len(domains) == 0 || slices.Contains(domains, domain)
}

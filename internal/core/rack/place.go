package rack

import (
	"container/heap"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// maxMisses bounds the number of sizes that a batch records as not fitting.
const maxMisses = 16

// batch is the state of one PlaceBatch call.
type batch struct {
	policy      fairness.Policy
	offers      []Offer
	byTeam      map[model.TeamID]*teamQueue
	teams       []*teamQueue      // heap
	misses      []model.Resources // sizes that fit on no indexed worker
	provisional []provisional
	shares      []float64    // dominant share per offer
	queues      []*teamQueue // reused between batches; this batch uses queues[:used]
	used        int
}

// teamQueue holds a team's remaining offers within a batch and the key that
// determines its place in the order of teams.
type teamQueue struct {
	team    model.TeamID
	key     fairness.SortKey
	pending []int // indexes of the remaining offers, next first
	buffer  []int // backing array of pending, reused between batches
}

func (b *batch) Len() int           { return len(b.teams) }
func (b *batch) Less(i, j int) bool { return b.policy.Before(b.teams[i].key, b.teams[j].key) }
func (b *batch) Swap(i, j int)      { b.teams[i], b.teams[j] = b.teams[j], b.teams[i] }
func (b *batch) Push(x any)         { b.teams = append(b.teams, x.(*teamQueue)) }
func (b *batch) Pop() any {
	last := b.teams[len(b.teams)-1]
	b.teams = b.teams[:len(b.teams)-1]
	return last
}

// PlaceBatch decides on offers of any teams and returns one decision for each,
// in the order of the offers. Teams take turns in the order of Policy.Order;
// within a team urgent tasks come first, then lower ratios, then larger sizes.
// An offer whose permit already has a reservation gets that reservation again.
func (r *Rack) PlaceBatch(offers []Offer, now time.Duration) []Decision {
	r.Expire(now)
	decisions := make([]Decision, len(offers))
	b := r.newBatch(offers)
	heap.Init(b)
	for len(b.teams) > 0 {
		q := b.teams[0]
		i := q.pending[0]
		q.pending = q.pending[1:]
		decisions[i] = r.decide(b, i, now)
		b.advance(q, decisions[i])
	}
	r.refine(b, decisions, now)
	r.recordOutcomes(decisions, now)
	return decisions
}

// Offer decides on a single offer.
func (r *Rack) Offer(o Offer, now time.Duration) Decision {
	return r.PlaceBatch([]Offer{o}, now)[0]
}

// newBatch groups the offers by team. It reuses the memory of the previous batch
// and thereby invalidates that batch.
func (r *Rack) newBatch(offers []Offer) *batch {
	b := &r.scratch
	b.reset(r.policy.Order, offers)
	for i := range offers {
		team := offers[i].Permit.Team
		q := b.byTeam[team]
		if q == nil {
			q = b.newTeamQueue(team)
			b.byTeam[team] = q
		}
		q.buffer = append(q.buffer, i)
		b.shares = append(b.shares, offers[i].Size.DominantShare(r.scale))
	}
	for _, q := range b.queues[:b.used] {
		slices.SortFunc(q.buffer, b.compare)
		b.addTeamQueue(q)
	}
	return b
}

func (b *batch) reset(policy fairness.Policy, offers []Offer) {
	b.policy, b.offers, b.used = policy, offers, 0
	b.teams = b.teams[:0]
	b.misses = b.misses[:0]
	b.provisional = b.provisional[:0]
	b.shares = b.shares[:0]
	if b.byTeam == nil {
		b.byTeam = make(map[model.TeamID]*teamQueue)
	}
	clear(b.byTeam)
}

func (b *batch) newTeamQueue(team model.TeamID) *teamQueue {
	if b.used == len(b.queues) {
		b.queues = append(b.queues, &teamQueue{})
	}
	q := b.queues[b.used]
	b.used++
	*q = teamQueue{team: team, buffer: q.buffer[:0]}
	return q
}

// addTeamQueue adds a team to the heap's slice, starting at its first offer. The
// caller restores the heap order.
func (b *batch) addTeamQueue(q *teamQueue) {
	q.pending = q.buffer
	q.key.Team = q.team
	b.updateKey(q, 0)
	b.teams = append(b.teams, q)
}

// updateKey sets the team's sort key from its next offer. The key's ratio is at
// least the given one.
func (b *batch) updateKey(q *teamQueue, ratio float64) {
	next := &b.offers[q.pending[0]]
	q.key.Ratio = max(ratio, next.Permit.Ratio)
	q.key.Urgent = next.Urgent
	q.key.Waited = next.Waited
}

// compare orders the offers i and j of one team.
func (b *batch) compare(i, j int) int {
	x, y := &b.offers[i], &b.offers[j]
	switch {
	case x.Urgent != y.Urgent:
		return before(x.Urgent)
	case x.Permit.Ratio != y.Permit.Ratio:
		return before(x.Permit.Ratio < y.Permit.Ratio)
	case b.shares[i] != b.shares[j]:
		return before(b.shares[i] > b.shares[j])
	default:
		return i - j
	}
}

// before returns the result of a comparison function: -1 if its first operand
// sorts first, else 1.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// advance moves the team at the top of the heap to its next offer and raises its
// ratio if the last one was placed.
func (b *batch) advance(q *teamQueue, d Decision) {
	if len(q.pending) == 0 {
		heap.Pop(b)
		return
	}
	ratio := q.key.Ratio
	if d.Reserved {
		ratio += d.Offer.RatioStep
	}
	b.updateKey(q, ratio)
	heap.Fix(b, 0)
}

// recordOutcomes records the tasks refused for lack of free capacity and sets
// when to offer refused tasks again.
func (r *Rack) recordOutcomes(decisions []Decision, now time.Duration) {
	for i := range decisions {
		d := &decisions[i]
		switch {
		case d.Reserved:
			if len(r.refused) > 0 {
				delete(r.refused, d.Offer.Task)
			}
		case d.Reason == ReasonNoCapacity:
			d.RetryAfter = r.recordRefusal(&d.Offer, false, now)
			d.Held = r.holds[d.Offer.Task] != nil
		default:
			d.RetryAfter = r.policy.RetryMax
		}
	}
}

// decide places one offer or refuses it.
func (r *Rack) decide(b *batch, i int, now time.Duration) Decision {
	o := &b.offers[i]
	if e := r.entries[o.Permit.ID]; e != nil {
		return Decision{Offer: *o, VM: e.VM, Reserved: true}
	}
	if reason := r.rejectReason(o); reason != ReasonNone {
		return Decision{Offer: *o, Reason: reason}
	}
	if w := r.probe(o, now); w != nil {
		r.reserve(w, *o, StateReserved, now).Probe = true
		return Decision{Offer: *o, VM: w.vm.ID, Reserved: true}
	}
	w := r.selectWorker(b, o, now)
	if w == nil {
		return Decision{Offer: *o, Reason: r.shortageReason(o)}
	}
	if h := r.holds[o.Task]; h != nil || w.hold != nil {
		// A reservation that ends the task's hold, or is on a worker held for
		// another task, is final: refine changes only provisional ones.
		r.dropHold(h)
		r.reserve(w, *o, StateReserved, now)
	} else {
		b.provisional = append(b.provisional, provisional{r.reserve(w, *o, StateReserved, now), i})
	}
	return Decision{Offer: *o, VM: w.vm.ID, Reserved: true}
}

// rejectReason returns why the offer can't be placed here regardless of the free
// capacity, or ReasonNone.
func (r *Rack) rejectReason(o *Offer) Reason {
	if o.Size.IsZero() || o.Size.IsNegative() {
		return ReasonInvalid
	}
	if r.tasks[o.Task] != nil {
		return ReasonDuplicate
	}
	allowedInService, fits := 0, false
	allowedDomains := 0
	for domain, shapes := range r.shapes {
		if !domainAllowed(o.Domains, domain) {
			continue
		}
		allowedDomains++
		if !r.domainOut(domain) {
			allowedInService++
		}
		for _, shape := range shapes {
			fits = fits || o.Size.Fits(shape)
		}
	}
	switch {
	case allowedDomains == 0 && len(r.shapes) > 0:
		return ReasonWrongDomain
	case allowedDomains == 0:
		return ReasonUnavailable
	case !fits:
		return ReasonNeverFits
	case allowedInService == 0:
		return ReasonDomainOut
	}
	return ReasonNone
}

// selectWorker returns the worker held for the task if the task fits there, else
// the best fit, else, as backfill, a worker held for another task, else nil.
func (r *Rack) selectWorker(b *batch, o *Offer, now time.Duration) *worker {
	if h := r.holds[o.Task]; h != nil && o.Size.Fits(h.worker.free) && r.allowed(o, h.worker) {
		return h.worker
	}
	if w := r.bestFit(b, o); w != nil {
		return w
	}
	return r.backfill(o, now)
}

// probe returns a quarantined worker to probe with the offer, or nil. It records
// the probe as sent.
func (r *Rack) probe(o *Offer, now time.Duration) *worker {
	if o.Urgent || o.NonIdempotent || !r.health.AnyProbeDue(now) {
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

// bestFit searches the indexes of the allowed domains. It prefers the domain
// that runs the fewest tasks of the job.
func (r *Rack) bestFit(b *batch, o *Offer) *worker {
	unrestricted := len(o.Domains) == 0 && len(o.Avoid) == 0
	if unrestricted && b.missed(o.Size) {
		return nil
	}
	var best *worker
	fewest := 0
	for _, domain := range r.domains {
		if !domainAllowed(o.Domains, domain) || r.domainOut(domain) {
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
	if best == nil && unrestricted && len(b.misses) < maxMisses {
		b.misses = append(b.misses, o.Size)
	}
	return best
}

// missed reports whether a size that is no larger in any dimension did not fit
// before. Free capacity only shrinks while a batch is being placed.
func (b *batch) missed(size model.Resources) bool {
	for _, miss := range b.misses {
		if miss.Fits(size) {
			return true
		}
	}
	return false
}

// allowed reports whether the offer may be placed on the worker as far as failure
// domains and avoided workers are concerned.
func (r *Rack) allowed(o *Offer, w *worker) bool {
	domain := w.vm.FailureDomain
	return domainAllowed(o.Domains, domain) && !r.domainOut(domain) && !contains(o.Avoid, w.vm.ID)
}

// shortageReason returns why no worker was found. It differs from
// ReasonNoCapacity if a worker outside the index has enough free capacity.
func (r *Rack) shortageReason(o *Offer) Reason {
	reason := ReasonNoCapacity
	for _, w := range r.unindexed {
		if w.hold != nil || !o.Size.Fits(w.free) || !domainAllowed(o.Domains, w.vm.FailureDomain) {
			continue
		}
		if w.available() && r.health.IsQuarantined(w.vm.ID) {
			return ReasonQuarantined
		}
		reason = ReasonUnavailable
	}
	return reason
}

func domainAllowed(domains []model.FailureDomain, domain model.FailureDomain) bool {
	return len(domains) == 0 || slices.Contains(domains, domain)
}

package rack

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// claimGrace is how long a claim outlasts the delay that the refusal
// suggested.
const claimGrace = 50 * time.Millisecond

// claim remembers what a team was refused for lack of room. While it lasts,
// teams with a higher ratio don't get room that would serve it: many owners
// offer side by side, and without claims the room that a task leaves goes to
// whoever offers next instead of the team whose turn it is.
type claim struct {
	offers []Offer
	until  time.Duration
}

// loan is room set aside for a claim while a batch is decided.
type loan struct {
	worker *worker
	size   model.Resources
}

// addClaims lets the claims of teams without offers in the batch take part.
func (r *Rack) addClaims(b *batch, now time.Duration) {
	for team, c := range r.claims {
		if now >= c.until {
			delete(r.claims, team)
			continue
		}
		if b.byTeam[team] != nil {
			continue
		}
		turn := b.newTurn(team)
		turn.ghost = true
		for i := range c.offers {
			b.ghosts = append(b.ghosts, c.offers[i])
			turn.space = append(turn.space, len(b.ghosts)-1)
		}
		b.addTurn(turn)
	}
}

// lend sets room aside for a claim until the batch is decided.
func (r *Rack) lend(b *batch, o *Offer, now time.Duration) {
	if r.tasks[o.Task] != nil || r.holds[o.Task] != nil {
		return
	}
	if w := r.choose(b, o, now); w != nil {
		b.loans = append(b.loans, loan{worker: w, size: o.Size})
		r.adjust(w, o.Size)
	}
}

// returnLoans frees what was set aside for claims.
func (r *Rack) returnLoans(b *batch) {
	for _, l := range b.loans {
		r.adjust(l.worker, l.size.Scale(-1))
	}
}

func (r *Rack) adjust(w *worker, by model.Resources) {
	w.reserved = w.reserved.Add(by)
	w.settle()
	r.refile(w)
}

// noteClaims replaces the claims of the teams in the batch by what they were
// refused now.
func (r *Rack) noteClaims(b *batch, decisions []Decision, now time.Duration) {
	for team := range b.byTeam {
		delete(r.claims, team)
	}
	if r.policy.MaxClaims < 0 {
		return
	}
	for i := range decisions {
		d := &decisions[i]
		if d.Reserved || d.Reason != ReasonNoCapacity {
			continue
		}
		c := r.claims[d.Offer.Permit.Team]
		if c == nil {
			c = &claim{}
			r.claims[d.Offer.Permit.Team] = c
		}
		if len(c.offers) < r.policy.MaxClaims {
			c.offers = append(c.offers, d.Offer)
			c.until = max(c.until, now+d.Retry+claimGrace)
		}
	}
}

// withdrawClaims drops the claims of tasks that seek room no longer.
func (r *Rack) withdrawClaims(tasks []model.TaskID) {
	if len(r.claims) == 0 {
		return
	}
	gone := make(map[model.TaskID]bool, len(tasks))
	for _, task := range tasks {
		gone[task] = true
	}
	for team, c := range r.claims {
		c.offers = slices.DeleteFunc(c.offers, func(o Offer) bool { return gone[o.Task] })
		if len(c.offers) == 0 {
			delete(r.claims, team)
		}
	}
}

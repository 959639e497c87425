// Package candidate picks the racks that a task is offered to, from lagging
// summaries of free capacity. It is pure; a Picker is not safe for concurrent
// use.
package candidate

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Rack is the lagging summary of one rack.
type Rack struct {
	Partition   model.PartitionID
	Free        model.Resources
	LargestFree model.Resources // per dimension, on a single worker
	LargestVM   model.Resources
	Capacity    model.Resources
	Domains     []model.FailureDomain
}

// Query describes the task that seeks a rack.
type Query struct {
	Size    model.Resources
	Domains []model.FailureDomain // allowed; empty for any
	// Out reports domains that are out of service; may be nil.
	Out func(model.FailureDomain) bool
	// Spread counts the job's tasks per domain; may be nil.
	Spread map[model.FailureDomain]int
	Avoid  []model.PartitionID // racks that refused the task just now
}

// Picker holds the random choices of one team owner.
type Picker struct {
	random  *rand.Rand
	choices int
}

// defaultChoices is how many random racks are compared per pick.
const defaultChoices = 4

// NewPicker returns a picker that compares that many random racks; zero
// selects the default. Equal seeds lead to equal picks.
func NewPicker(seed uint64, choices int) *Picker {
	if choices <= 0 {
		choices = defaultChoices
	}
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), choices: choices}
}

// maxDraws bounds the random draws per pick, as multiples of the choices.
const maxDraws = 4

// Pick returns up to n racks, the best first: racks with room on one worker
// before full ones, then domains with fewer tasks of the job, then the tighter
// fit. Only a few random racks are looked at, so that the cost does not grow
// with the cell and owners with the same view do not all pick the same rack.
// When no draw suits, one pass over all racks follows.
func (p *Picker) Pick(racks []Rack, q Query, n int) []model.PartitionID {
	drawn := p.draw(racks, q, max(p.choices, n))
	slices.SortStableFunc(drawn, func(a, b int) int { return compare(&racks[a], &racks[b], q) })
	picked := make([]model.PartitionID, 0, n)
	for _, i := range drawn[:min(n, len(drawn))] {
		picked = append(picked, racks[i].Partition)
	}
	return picked
}

// draw returns distinct suitable racks.
func (p *Picker) draw(racks []Rack, q Query, want int) []int {
	var drawn []int
	if len(racks) > want {
		roomy := 0
		for range maxDraws * want {
			i := p.random.IntN(len(racks))
			if slices.Contains(drawn, i) || !q.suits(&racks[i]) {
				continue
			}
			drawn = append(drawn, i)
			if q.roomy(&racks[i]) {
				roomy++
			}
			if roomy >= want {
				return drawn
			}
		}
		if roomy > 0 {
			return drawn
		}
	}
	return p.all(racks, q)
}

// all returns every suitable rack in random order.
func (p *Picker) all(racks []Rack, q Query) []int {
	var suited []int
	for i := range racks {
		if q.suits(&racks[i]) {
			suited = append(suited, i)
		}
	}
	p.random.Shuffle(len(suited), func(i, j int) { suited[i], suited[j] = suited[j], suited[i] })
	return suited
}

// suits reports whether the rack could ever run the task.
func (q *Query) suits(r *Rack) bool {
	if !q.Size.Fits(r.LargestVM) || slices.Contains(q.Avoid, r.Partition) {
		return false
	}
	return slices.ContainsFunc(r.Domains, q.allows)
}

func (q *Query) allows(domain model.FailureDomain) bool {
	if q.Out != nil && q.Out(domain) {
		return false
	}
	return len(q.Domains) == 0 || slices.Contains(q.Domains, domain)
}

// roomy reports whether a worker of the rack seems to have room now.
func (q *Query) roomy(r *Rack) bool {
	return q.Size.Fits(r.LargestFree)
}

func compare(a, b *Rack, q Query) int {
	if x, y := q.roomy(a), q.roomy(b); x != y {
		if x {
			return -1
		}
		return 1
	}
	if order := cmp.Compare(q.fewest(a), q.fewest(b)); order != 0 {
		return order
	}
	if q.roomy(a) {
		return cmp.Compare(leftover(a, q), leftover(b, q))
	}
	return 0
}

// fewest returns the job's tasks in the rack's allowed domain with the fewest.
func (q *Query) fewest(r *Rack) int {
	least := -1
	for _, domain := range r.Domains {
		if n := q.Spread[domain]; q.allows(domain) && (least < 0 || n < least) {
			least = n
		}
	}
	return least
}

// leftover is the dominant fraction that a worker would have left.
func leftover(r *Rack, q Query) float64 {
	return r.LargestFree.Sub(q.Size).DominantShare(r.LargestVM)
}

// Package targets decides for one target group which runner serves which quick
// request. It is pure: time comes in as readings of the holder's clock, chance
// as a function.
package targets

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Repeated is the class of errors for work whose permit is in use already.
var DuplicatePermit = errs.Class("repeated permit")

const (
	// DefaultMaxWaiting bounds the requests that wait in a group.
	DefaultMaxWaiting = 1024
	// DefaultSettle is how long after a takeover requests that the former
	// holder sent may still be running.
	DefaultTakeoverGrace = 2 * time.Second
	// minRefusalPause keeps a runner that refused a request out of the choice.
	// A busy one refuses now and then, because it counts a slot as used until
	// its answer has left; the pause doubles with each refusal in a row.
	minRefusalPause = time.Millisecond
	maxRefusalPause = 32 * time.Millisecond
)

// Options tunes a Group. The zero value of a field stands for its default.
type Options struct {
	Policy        fairness.Policy
	MaxWaiting    int
	TakeoverGrace time.Duration
}

// Work is one attempt of a quick request.
type Work struct {
	Permit   model.Permit
	Request  model.RequestID
	Urgent   bool
	Arrived  time.Duration
	Deadline time.Duration
	// Avoid lists runners that refused this work before.
	Avoid []model.VMID

	index int // in the queue, or notQueued
}

const notQueued = -1

// runner is what the group knows of one runner.
type runner struct {
	vm          model.VM
	listed      bool // on the newest VM list
	used        int64
	lost        []lostWork
	pausedUntil time.Duration
	refusals    int // in a row
}

// lostWork is work whose end is unknown. It counts as running until the
// reading.
type lostWork struct {
	work  *Work
	until time.Duration
}

// Group is the state of one target group. It is not safe for concurrent use.
type Group struct {
	options   Options
	settledAt time.Duration
	runners   map[model.VMID]*runner
	order     []*runner // listed ones, for random choices
	queue     workQueue
	held      map[string]*Work   // all that waits, runs or is lost, by permit id
	running   map[string]running // by permit id
	domainOut func(model.FailureDomain) bool
}

// running is work that was handed to a runner.
type running struct {
	work *Work
	vm   model.VMID
}

// New returns the group at the beginning of a tenure.
func New(options Options, now time.Duration) *Group {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if options.TakeoverGrace == 0 {
		options.TakeoverGrace = DefaultTakeoverGrace
	}
	return &Group{
		options:   options,
		settledAt: now + options.TakeoverGrace,
		runners:   make(map[model.VMID]*runner),
		queue:     workQueue{policy: options.Policy},
		held:      make(map[string]*Work),
		running:   make(map[string]running),
		domainOut: func(model.FailureDomain) bool { return false },
	}
}

// SetDomainOut sets the function that tells which failure domains get no work.
func (g *Group) SetDomainOut(out func(model.FailureDomain) bool) { g.domainOut = out }

// SetRunners takes over the runners of the newest VM list. Runners missing
// from it get no new work; what they run stays counted.
func (g *Group) SetRunners(vms []model.VM, now time.Duration) {
	for _, r := range g.runners {
		r.listed = false
	}
	g.order = g.order[:0]
	for _, vm := range vms {
		r := g.runners[vm.ID]
		if r == nil {
			r = &runner{}
			g.runners[vm.ID] = r
		}
		r.vm = vm
		r.listed = true
		g.order = append(g.order, r)
	}
	for id, r := range g.runners {
		g.forgetLost(r, now)
		if !r.listed && r.used == 0 && len(r.lost) == 0 && now >= r.pausedUntil {
			delete(g.runners, id)
		}
	}
}

// Push adds work to the queue. When the queue is full, the work that would be
// served last is returned as shed; that may be the new one.
func (g *Group) Push(work *Work) (shed *Work, err error) {
	if g.held[work.Permit.ID] != nil {
		return nil, DuplicatePermit.New("permit %s is in use", work.Permit.ID)
	}
	g.held[work.Permit.ID] = work
	g.queue.push(work)
	if g.queue.Len() <= g.options.MaxWaiting {
		return nil, nil
	}
	last := g.queue.last()
	g.Remove(last)
	return last, nil
}

// Withdraw takes work out of the queue. It returns false if the work does not
// wait any more.
func (g *Group) Remove(work *Work) bool {
	if !g.queue.remove(work) {
		return false
	}
	delete(g.held, work.Permit.ID)
	return true
}

// Assignment is work for a runner. The slot is taken until Done, Lost or
// Refused.
type Assignment struct {
	Work *Work
	VM   model.VM
}

// Next hands the first work of the queue that can be served to a runner; it
// returns false if there is none. chance returns a number in [0,n).
func (g *Group) Next(now time.Duration, chance func(n int) int) (Assignment, bool) {
	if g.queue.Len() == 0 {
		return Assignment{}, false
	}
	work := g.queue.items[0]
	r := g.pick(work, now, chance)
	if r == nil {
		return Assignment{}, false
	}
	g.queue.remove(work)
	r.used++
	g.running[work.Permit.ID] = running{work: work, vm: r.vm.ID}
	return Assignment{Work: work, VM: r.vm}, true
}

// pick returns the less loaded of two random runners that have a free slot. If
// neither has one, it looks at all of them.
func (g *Group) pick(work *Work, now time.Duration, chance func(n int) int) *runner {
	if len(g.order) == 0 {
		return nil
	}
	a, b := g.order[chance(len(g.order))], g.order[chance(len(g.order))]
	if best := g.better(work, a, b, now); best != nil {
		return best
	}
	var best *runner
	for _, r := range g.order {
		best = g.better(work, best, r, now)
	}
	return best
}

func (g *Group) better(work *Work, a, b *runner, now time.Duration) *runner {
	freeA, freeB := g.freeFor(work, a, now), g.freeFor(work, b, now)
	switch {
	case freeA <= 0 && freeB <= 0:
		return nil
	case freeA >= freeB:
		return a
	default:
		return b
	}
}

func (g *Group) freeFor(work *Work, r *runner, now time.Duration) int64 {
	if r == nil || now < r.pausedUntil {
		return 0
	}
	if slices.Contains(work.Avoid, r.vm.ID) {
		return 0
	}
	return g.free(r, now)
}

// Servable reports whether any runner may serve the work once it has a free
// slot. Work without one is better taken elsewhere than kept waiting.
func (g *Group) Servable(work *Work) bool {
	return slices.ContainsFunc(g.order, func(r *runner) bool {
		return g.takesWork(r) && !slices.Contains(work.Avoid, r.vm.ID)
	})
}

// Unservable takes out and returns the waiting work that no runner may serve.
func (g *Group) RemoveUnservable() []*Work {
	var found []*Work
	for _, work := range g.queue.items {
		if !g.Servable(work) {
			found = append(found, work)
		}
	}
	for _, work := range found {
		g.Remove(work)
	}
	return found
}

// takesWork reports whether the runner may get work at all.
func (g *Group) takesWork(r *runner) bool {
	return r.listed && !r.vm.Leaving && !g.domainOut(r.vm.FailureDomain)
}

// free returns how many more requests the runner may get.
func (g *Group) free(r *runner, now time.Duration) int64 {
	if !g.takesWork(r) {
		return 0
	}
	g.forgetLost(r, now)
	return g.usable(r, now) - r.used - int64(len(r.lost))
}

// usable returns how many slots this tenure may use. Until the group has
// settled, half of them are left to what the former holder may still have
// running.
func (g *Group) usable(r *runner, now time.Duration) int64 {
	slots := capacity(r.vm)
	if now < g.settledAt {
		return max(1, slots/2)
	}
	return slots
}

// capacity returns the most requests that the runner serves at once.
func capacity(vm model.VM) int64 {
	if vm.Connections > 0 {
		return min(vm.Capacity.Slots, int64(vm.Connections))
	}
	return vm.Capacity.Slots
}

// forgetLost ends the lost work of a runner whose time is over.
func (g *Group) forgetLost(r *runner, now time.Duration) {
	kept := r.lost[:0]
	for _, lost := range r.lost {
		if lost.until > now {
			kept = append(kept, lost)
			continue
		}
		delete(g.held, lost.work.Permit.ID)
	}
	r.lost = kept
}

// Done frees the slot of work that has certainly ended.
func (g *Group) ApplyDone(permit string) {
	if r := g.end(permit); r != nil {
		r.refusals = 0
	}
}

// Lost ends work whose effect is unknown. Its slot stays taken and its permit
// held until the reading.
func (g *Group) ApplyOutcomeUnknown(permit string, until time.Duration) {
	work := g.held[permit]
	if r := g.end(permit); r != nil {
		g.held[permit] = work
		r.lost = append(r.lost, lostWork{work: work, until: until})
	}
}

// Refused frees the slot of work that the runner certainly did not begin. The
// runner gets no other work for a moment.
func (g *Group) ApplyRefused(permit string, now time.Duration) {
	if r := g.end(permit); r != nil {
		r.pausedUntil = now + refusalPause(r.refusals)
		r.refusals++
	}
}

// refusalPause returns the pause after a refusal that came after so many in a
// row.
func refusalPause(before int) time.Duration {
	pause := minRefusalPause
	for range before {
		if pause >= maxRefusalPause {
			return maxRefusalPause
		}
		pause *= 2
	}
	return pause
}

func (g *Group) end(permit string) *runner {
	run, ok := g.running[permit]
	if !ok {
		return nil
	}
	delete(g.running, permit)
	delete(g.held, permit)
	r := g.runners[run.vm]
	r.used--
	return r
}

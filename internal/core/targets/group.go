// Package targets assigns quick requests to the runners of one target group. It
// does no I/O: callers pass in the time of the owner's clock and a function that
// returns random numbers.
package targets

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// DuplicatePermit is the class of errors for work whose permit is already in use.
var DuplicatePermit = errs.Class("repeated permit")

const (
	// DefaultMaxWaiting limits the requests that wait in a group.
	DefaultMaxWaiting = 1024
	// DefaultTakeoverGrace is how long after a takeover requests that the
	// previous owner sent may still be running.
	DefaultTakeoverGrace = 2 * time.Second
	// minRefusalBackoff is how long a runner gets no work after a refusal; the
	// backoff doubles with each consecutive refusal. A busy runner refuses
	// occasionally, because it frees a slot only after the answer has been sent,
	// which the group may receive earlier.
	minRefusalBackoff = time.Millisecond
	maxRefusalBackoff = 32 * time.Millisecond
)

// Options configures a Group. A zero field selects its default.
type Options struct {
	Policy        fairness.Policy
	MaxWaiting    int
	TakeoverGrace time.Duration
}

// Work is one quick request sent to this group under one permit. It may be tried
// on several runners.
type Work struct {
	Permit   model.Permit
	Request  model.RequestID
	Urgent   bool
	Arrived  time.Duration // time of the owner's clock, as is Deadline
	Deadline time.Duration
	// Avoid lists the runners that have refused this work.
	Avoid []model.VMID

	index int // in the queue, or notQueued
}

const notQueued = -1

// runner is the state of one runner.
type runner struct {
	vm                  model.VM
	listed              bool          // in the newest VM list
	used                int64         // slots of running requests
	unknown             []unknownWork // each uses a slot, too
	backoffUntil        time.Duration
	consecutiveRefusals int
}

// unknownWork is work of unknown outcome. It counts as running until the given
// time.
type unknownWork struct {
	work  *Work
	until time.Duration
}

// Group is the state of one target group. It is not safe for concurrent use.
type Group struct {
	options          Options
	takeoverGraceEnd time.Duration
	runners          map[model.VMID]*runner
	listedRunners    []*runner // for random choices
	queue            workQueue
	held             map[string]*Work       // waiting, running or of unknown outcome, by permit id
	running          map[string]runningWork // by permit id
	domainOut        func(model.FailureDomain) bool
}

// runningWork is work that was assigned to a runner.
type runningWork struct {
	work *Work
	vm   model.VMID
}

// New returns the group at the start of an owner's session.
func New(options Options, now time.Duration) *Group {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if options.TakeoverGrace == 0 {
		options.TakeoverGrace = DefaultTakeoverGrace
	}
	return &Group{
		options:          options,
		takeoverGraceEnd: now + options.TakeoverGrace,
		runners:          make(map[model.VMID]*runner),
		queue:            workQueue{policy: options.Policy},
		held:             make(map[string]*Work),
		running:          make(map[string]runningWork),
		domainOut:        func(model.FailureDomain) bool { return false },
	}
}

// SetDomainOut sets the function that reports whether a failure domain is out of
// service; its runners get no work.
func (g *Group) SetDomainOut(out func(model.FailureDomain) bool) { g.domainOut = out }

// SetRunners replaces the runners by those of the newest VM list. Runners missing
// from it get no new work; what they run still counts.
func (g *Group) SetRunners(vms []model.VM, now time.Duration) {
	for _, r := range g.runners {
		r.listed = false
	}
	g.listedRunners = g.listedRunners[:0]
	for _, vm := range vms {
		r := g.runners[vm.ID]
		if r == nil {
			r = &runner{}
			g.runners[vm.ID] = r
		}
		r.vm = vm
		r.listed = true
		g.listedRunners = append(g.listedRunners, r)
	}
	for id, r := range g.runners {
		g.dropExpiredUnknown(r, now)
		if !r.listed && r.used == 0 && len(r.unknown) == 0 && now >= r.backoffUntil {
			delete(g.runners, id)
		}
	}
}

// Push adds work to the queue. If the queue was full, Push removes and returns the
// work that would be served last; that may be the new one. It returns a
// DuplicatePermit error if the permit is in use.
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

// Remove removes work from the queue. It returns false if the work is not waiting
// any more.
func (g *Group) Remove(work *Work) bool {
	if !g.queue.remove(work) {
		return false
	}
	delete(g.held, work.Permit.ID)
	return true
}

// Assignment is work for a runner. The slot is in use until ApplyDone or
// ApplyRefused, or until the time given to ApplyOutcomeUnknown.
type Assignment struct {
	Work *Work
	VM   model.VM
}

// Next assigns the first work of the queue to a runner. It returns false if the
// queue is empty or no runner can serve that work now. intn returns a random
// number in [0,n).
func (g *Group) Next(now time.Duration, intn func(n int) int) (Assignment, bool) {
	if g.queue.Len() == 0 {
		return Assignment{}, false
	}
	work := g.queue.items[0]
	r := g.pick(work, now, intn)
	if r == nil {
		return Assignment{}, false
	}
	g.queue.remove(work)
	r.used++
	g.running[work.Permit.ID] = runningWork{work: work, vm: r.vm.ID}
	return Assignment{Work: work, VM: r.vm}, true
}

// pick returns the less loaded of two random runners. If neither has a free slot,
// it returns the least loaded of all runners, or nil if none has one.
func (g *Group) pick(work *Work, now time.Duration, intn func(n int) int) *runner {
	if len(g.listedRunners) == 0 {
		return nil
	}
	a, b := g.listedRunners[intn(len(g.listedRunners))], g.listedRunners[intn(len(g.listedRunners))]
	if best := g.lessLoaded(work, a, b, now); best != nil {
		return best
	}
	var best *runner
	for _, r := range g.listedRunners {
		best = g.lessLoaded(work, best, r, now)
	}
	return best
}

// lessLoaded returns the runner with more free slots for the work, or nil if
// neither has one.
func (g *Group) lessLoaded(work *Work, a, b *runner, now time.Duration) *runner {
	freeA, freeB := g.freeSlotsFor(work, a, now), g.freeSlotsFor(work, b, now)
	switch {
	case freeA <= 0 && freeB <= 0:
		return nil
	case freeA >= freeB:
		return a
	default:
		return b
	}
}

func (g *Group) freeSlotsFor(work *Work, r *runner, now time.Duration) int64 {
	if r == nil || now < r.backoffUntil {
		return 0
	}
	if slices.Contains(work.Avoid, r.vm.ID) {
		return 0
	}
	return g.freeSlots(r, now)
}

// Servable reports whether any runner may serve the work once it has a free
// slot. Work that no runner may serve should go to another group instead of
// waiting.
func (g *Group) Servable(work *Work) bool {
	return slices.ContainsFunc(g.listedRunners, func(r *runner) bool {
		return g.schedulable(r) && !slices.Contains(work.Avoid, r.vm.ID)
	})
}

// RemoveUnservable removes and returns the waiting work that no runner may serve.
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

// schedulable reports whether the runner may get work at all.
func (g *Group) schedulable(r *runner) bool {
	return r.listed && !r.vm.Leaving && !g.domainOut(r.vm.FailureDomain)
}

// freeSlots returns how many more requests the runner may get.
func (g *Group) freeSlots(r *runner, now time.Duration) int64 {
	if !g.schedulable(r) {
		return 0
	}
	g.dropExpiredUnknown(r, now)
	return g.usableSlots(r, now) - r.used - int64(len(r.unknown))
}

// usableSlots returns how many slots of the runner the group may use. During the
// takeover grace period, half of them are left for requests of the previous owner
// that may still be running.
func (g *Group) usableSlots(r *runner, now time.Duration) int64 {
	slots := capacity(r.vm)
	if now < g.takeoverGraceEnd {
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

// dropExpiredUnknown drops a runner's work of unknown outcome that no longer
// counts as running.
func (g *Group) dropExpiredUnknown(r *runner, now time.Duration) {
	kept := r.unknown[:0]
	for _, unknown := range r.unknown {
		if unknown.until > now {
			kept = append(kept, unknown)
			continue
		}
		delete(g.held, unknown.work.Permit.ID)
	}
	r.unknown = kept
}

// ApplyDone frees the slot of work that has certainly ended.
func (g *Group) ApplyDone(permit string) {
	if r := g.end(permit); r != nil {
		r.consecutiveRefusals = 0
	}
}

// ApplyOutcomeUnknown ends work whose outcome is unknown. Its slot stays in use
// and its permit held until the given time.
func (g *Group) ApplyOutcomeUnknown(permit string, until time.Duration) {
	work := g.held[permit]
	if r := g.end(permit); r != nil {
		g.held[permit] = work
		r.unknown = append(r.unknown, unknownWork{work: work, until: until})
	}
}

// ApplyRefused frees the slot of work that the runner certainly did not start. The
// runner gets no other work during its backoff.
func (g *Group) ApplyRefused(permit string, now time.Duration) {
	if r := g.end(permit); r != nil {
		r.backoffUntil = now + refusalBackoff(r.consecutiveRefusals)
		r.consecutiveRefusals++
	}
}

// refusalBackoff returns the backoff after a refusal that follows the given number
// of consecutive refusals.
func refusalBackoff(previous int) time.Duration {
	backoff := minRefusalBackoff
	for range previous {
		if backoff >= maxRefusalBackoff {
			return maxRefusalBackoff
		}
		backoff *= 2
	}
	return backoff
}

// end removes running work and frees its slot. It returns the work's runner, or
// nil if no work runs under the permit.
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

package targets

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// referenceGroup is a simple model of Group: it uses lists instead of heaps and
// computes all counts on demand.
type referenceGroup struct {
	policy       fairness.Policy
	vms          []model.VM
	out          map[model.FailureDomain]bool
	waiting      []*Work
	active       []referenceRun
	backoffUntil map[model.VMID]time.Duration
	refused      map[model.VMID]int // consecutive refusals
	graceEnd     time.Duration
}

type referenceRun struct {
	permit string
	vm     model.VMID
	until  time.Duration // zero while running; set for work of unknown outcome
}

func (ref *referenceGroup) before(a, b *Work) bool {
	x := fairness.SortKey{Team: a.Permit.Team, Ratio: a.Permit.Ratio, Urgent: a.Urgent, Waited: -a.Arrived}
	y := fairness.SortKey{Team: b.Permit.Team, Ratio: b.Permit.Ratio, Urgent: b.Urgent, Waited: -b.Arrived}
	if ref.policy.Before(x, y) || ref.policy.Before(y, x) {
		return ref.policy.Before(x, y)
	}
	return a.Deadline < b.Deadline
}

// eligible returns the runners that may serve the work now.
func (ref *referenceGroup) eligible(work *Work, now time.Duration) []model.VMID {
	var ids []model.VMID
	for _, vm := range ref.vms {
		limit := min(vm.Capacity.Slots, int64(vm.Connections))
		if now < ref.graceEnd {
			limit = max(1, limit/2)
		}
		for _, run := range ref.active {
			if run.vm == vm.ID && (run.until == 0 || run.until > now) {
				limit--
			}
		}
		if limit > 0 && !vm.Leaving && !ref.out[vm.FailureDomain] && now >= ref.backoffUntil[vm.ID] && !slices.Contains(work.Avoid, vm.ID) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func (ref *referenceGroup) drop(permit string) {
	ref.active = slices.DeleteFunc(ref.active, func(r referenceRun) bool { return r.permit == permit })
}

// TestGroupMatchesReference applies the same events to a Group and to a
// referenceGroup. It checks slots and connections, failure domains that are out of
// service, leaving VMs, the order of service, and that no work waits while a
// runner could serve it.
func TestGroupMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]fairness.Policy{fairness.PolicyShare, fairness.PolicyWaiting}).Draw(t, "policy")
		ref := &referenceGroup{policy: policy, out: map[model.FailureDomain]bool{}, backoffUntil: map[model.VMID]time.Duration{}, refused: map[model.VMID]int{}, graceEnd: time.Second}
		g := New(Options{Policy: policy, MaxWaiting: 12, TakeoverGrace: time.Second}, 0)
		g.SetDomainOut(func(d model.FailureDomain) bool { return ref.out[d] })
		now, serial := time.Duration(0), 0
		running := func() []string {
			var ids []string
			for _, r := range ref.active {
				if r.until == 0 {
					ids = append(ids, r.permit)
				}
			}
			return ids
		}
		end := func(t *rapid.T, f func(permit string)) {
			if ids := running(); len(ids) > 0 {
				f(rapid.SampledFrom(ids).Draw(t, "permit"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond },
			"vms": func(t *rapid.T) {
				ref.vms = nil
				for i := range rapid.IntRange(0, 4).Draw(t, "count") {
					ref.vms = append(ref.vms, model.VM{
						ID:            model.VMID(fmt.Sprint("vm", i)),
						FailureDomain: model.FailureDomain(fmt.Sprint("d", i%2)),
						Capacity:      model.Resources{Slots: 2},
						Connections:   1 + i%2,
						Leaving:       rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
					})
				}
				g.SetRunners(ref.vms, now)
			},
			"domain": func(t *rapid.T) {
				ref.out[model.FailureDomain(rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "domain"))] = rapid.Bool().Draw(t, "out")
			},
			"push": func(t *rapid.T) {
				serial++
				work := &Work{
					Permit:   model.Permit{ID: fmt.Sprint(serial), Team: model.TeamID(fmt.Sprint("t", serial%3)), Ratio: float64(rapid.IntRange(0, 3).Draw(t, "ratio"))},
					Urgent:   rapid.Bool().Draw(t, "urgent"),
					Arrived:  now,
					Deadline: now + time.Duration(serial),
				}
				ref.waiting = append(ref.waiting, work)
				shed, err := g.Push(work)
				require.NoError(t, err)
				if len(ref.waiting) > 12 {
					worst := slices.MaxFunc(ref.waiting, func(a, b *Work) int {
						if ref.before(a, b) {
							return -1
						}
						return 1
					})
					require.Same(t, worst, shed)
					ref.waiting = slices.DeleteFunc(ref.waiting, func(w *Work) bool { return w == shed })
				} else {
					require.Nil(t, shed)
				}
			},
			"next": func(t *rapid.T) {
				intn := func(k int) int { return rapid.IntRange(0, k-1).Draw(t, "chance") }
				got, ok := g.Next(now, intn)
				if len(ref.waiting) == 0 {
					require.False(t, ok)
					return
				}
				first := ref.waiting[0]
				for _, w := range ref.waiting {
					if ref.before(w, first) {
						first = w
					}
				}
				eligible := ref.eligible(first, now)
				require.Equal(t, len(eligible) > 0, ok, "work must be assigned exactly if a runner is free")
				if ok {
					require.Same(t, first, got.Work)
					require.Contains(t, eligible, got.VM.ID)
					ref.waiting = slices.DeleteFunc(ref.waiting, func(w *Work) bool { return w == first })
					ref.active = append(ref.active, referenceRun{permit: first.Permit.ID, vm: got.VM.ID})
				}
			},
			"done": func(t *rapid.T) {
				end(t, func(id string) {
					for _, r := range ref.active {
						if r.permit == id {
							ref.refused[r.vm] = 0
						}
					}
					g.ApplyDone(id)
					ref.drop(id)
				})
			},
			"refused": func(t *rapid.T) {
				end(t, func(id string) {
					for _, r := range ref.active {
						if r.permit == id {
							backoff := time.Millisecond << min(ref.refused[r.vm], 5)
							ref.backoffUntil[r.vm] = now + backoff
							ref.refused[r.vm]++
						}
					}
					g.ApplyRefused(id, now)
					ref.drop(id)
				})
			},
			"lost": func(t *rapid.T) {
				end(t, func(id string) {
					g.ApplyOutcomeUnknown(id, now+time.Second)
					for i := range ref.active {
						if ref.active[i].permit == id {
							ref.active[i].until = now + time.Second
						}
					}
				})
			},
			"": func(t *rapid.T) {
				require.NoError(t, g.Check())
				held := 0
				for _, team := range []model.TeamID{"t0", "t1", "t2"} {
					held += len(g.Held(team, now))
				}
				inUse := 0
				for _, r := range ref.active {
					if r.until == 0 || r.until > now {
						inUse++
					}
				}
				require.Equal(t, len(ref.waiting)+inUse, held, "number of permits that the group holds")
			},
		})
	})
}

func TestDuplicatePermitIsRejected(t *testing.T) {
	g := New(Options{}, 0)
	work := func() *Work { return &Work{Permit: model.Permit{ID: "p"}} }
	_, err := g.Push(work())
	require.NoError(t, err)
	_, err = g.Push(work())
	assert.True(t, DuplicatePermit.Has(err))
}

func TestConnectionsLimitRunner(t *testing.T) {
	g := New(Options{}, 0)
	g.SetRunners([]model.VM{{ID: "r", Capacity: model.Resources{Slots: 8}, Connections: 2}}, 0)
	for i := range 3 {
		_, err := g.Push(&Work{Permit: model.Permit{ID: fmt.Sprint(i)}})
		require.NoError(t, err)
		_, ok := g.Next(DefaultTakeoverGrace, func(int) int { return 0 })
		assert.Equal(t, i < 2, ok)
	}
}

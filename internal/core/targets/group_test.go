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

// naive is the group written for reading: lists in place of heaps, counts made
// anew for each question.
type naive struct {
	policy  fairness.Policy
	vms     []model.VM
	out     map[model.FailureDomain]bool
	waiting []*Work
	active  []naiveRun
	paused  map[model.VMID]time.Duration
	refused map[model.VMID]int // in a row
	settled time.Duration
}

type naiveRun struct {
	permit string
	vm     model.VMID
	until  time.Duration // zero while running, else the end of a lost one
}

func (n *naive) before(a, b *Work) bool {
	x := fairness.Turn{Team: a.Permit.Team, Ratio: a.Permit.Ratio, Urgent: a.Urgent, Waited: -a.Arrived}
	y := fairness.Turn{Team: b.Permit.Team, Ratio: b.Permit.Ratio, Urgent: b.Urgent, Waited: -b.Arrived}
	if n.policy.Before(x, y) || n.policy.Before(y, x) {
		return n.policy.Before(x, y)
	}
	return a.Deadline < b.Deadline
}

// eligible returns the runners that may serve the work now.
func (n *naive) eligible(work *Work, now time.Duration) []model.VMID {
	var ids []model.VMID
	for _, vm := range n.vms {
		limit := min(vm.Capacity.Slots, int64(vm.Connections))
		if now < n.settled {
			limit = max(1, limit/2)
		}
		for _, run := range n.active {
			if run.vm == vm.ID && (run.until == 0 || run.until > now) {
				limit--
			}
		}
		if limit > 0 && !vm.Leaving && !n.out[vm.FailureDomain] && now >= n.paused[vm.ID] && !slices.Contains(work.Avoid, vm.ID) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func (n *naive) drop(permit string) {
	n.active = slices.DeleteFunc(n.active, func(r naiveRun) bool { return r.permit == permit })
}

// TestGroupAgainstNaive drives the group and the naive one with the same
// events. It guards: slots and connections, domains that are out, leaving VMs,
// order of service, and no work left waiting while a runner could take it.
func TestGroupAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]fairness.Policy{fairness.PolicyShare, fairness.PolicyWaiting}).Draw(t, "policy")
		n := &naive{policy: policy, out: map[model.FailureDomain]bool{}, paused: map[model.VMID]time.Duration{}, refused: map[model.VMID]int{}, settled: time.Second}
		g := New(Options{Policy: policy, MaxWaiting: 12, TakeoverGrace: time.Second}, 0)
		g.SetDomainOut(func(d model.FailureDomain) bool { return n.out[d] })
		now, serial := time.Duration(0), 0
		running := func() []string {
			var ids []string
			for _, r := range n.active {
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
				n.vms = nil
				for i := range rapid.IntRange(0, 4).Draw(t, "count") {
					n.vms = append(n.vms, model.VM{
						ID:            model.VMID(fmt.Sprint("vm", i)),
						FailureDomain: model.FailureDomain(fmt.Sprint("d", i%2)),
						Capacity:      model.Resources{Slots: 2},
						Connections:   1 + i%2,
						Leaving:       rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
					})
				}
				g.SetRunners(n.vms, now)
			},
			"domain": func(t *rapid.T) {
				n.out[model.FailureDomain(rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "domain"))] = rapid.Bool().Draw(t, "out")
			},
			"push": func(t *rapid.T) {
				serial++
				work := &Work{
					Permit:   model.Permit{ID: fmt.Sprint(serial), Team: model.TeamID(fmt.Sprint("t", serial%3)), Ratio: float64(rapid.IntRange(0, 3).Draw(t, "ratio"))},
					Urgent:   rapid.Bool().Draw(t, "urgent"),
					Arrived:  now,
					Deadline: now + time.Duration(serial),
				}
				n.waiting = append(n.waiting, work)
				shed, err := g.Push(work)
				require.NoError(t, err)
				if len(n.waiting) > 12 {
					worst := slices.MaxFunc(n.waiting, func(a, b *Work) int {
						if n.before(a, b) {
							return -1
						}
						return 1
					})
					require.Same(t, worst, shed)
					n.waiting = slices.DeleteFunc(n.waiting, func(w *Work) bool { return w == shed })
				} else {
					require.Nil(t, shed)
				}
			},
			"next": func(t *rapid.T) {
				chance := func(k int) int { return rapid.IntRange(0, k-1).Draw(t, "chance") }
				got, ok := g.Next(now, chance)
				if len(n.waiting) == 0 {
					require.False(t, ok)
					return
				}
				first := n.waiting[0]
				for _, w := range n.waiting {
					if n.before(w, first) {
						first = w
					}
				}
				eligible := n.eligible(first, now)
				require.Equal(t, len(eligible) > 0, ok, "work waits while a runner is free, or none was")
				if ok {
					require.Same(t, first, got.Work)
					require.Contains(t, eligible, got.VM.ID)
					n.waiting = slices.DeleteFunc(n.waiting, func(w *Work) bool { return w == first })
					n.active = append(n.active, naiveRun{permit: first.Permit.ID, vm: got.VM.ID})
				}
			},
			"done": func(t *rapid.T) {
				end(t, func(id string) {
					for _, r := range n.active {
						if r.permit == id {
							n.refused[r.vm] = 0
						}
					}
					g.ApplyDone(id)
					n.drop(id)
				})
			},
			"refused": func(t *rapid.T) {
				end(t, func(id string) {
					for _, r := range n.active {
						if r.permit == id {
							pause := time.Millisecond << min(n.refused[r.vm], 5)
							n.paused[r.vm] = now + pause
							n.refused[r.vm]++
						}
					}
					g.ApplyRefused(id, now)
					n.drop(id)
				})
			},
			"lost": func(t *rapid.T) {
				end(t, func(id string) {
					g.ApplyOutcomeUnknown(id, now+time.Second)
					for i := range n.active {
						if n.active[i].permit == id {
							n.active[i].until = now + time.Second
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
				lost := 0
				for _, r := range n.active {
					if r.until == 0 || r.until > now {
						lost++
					}
				}
				require.Equal(t, len(n.waiting)+lost, held, "what the group holds for teams")
			},
		})
	})
}

func TestRepeatedPermitIsRefused(t *testing.T) {
	g := New(Options{}, 0)
	work := func() *Work { return &Work{Permit: model.Permit{ID: "p"}} }
	_, err := g.Push(work())
	require.NoError(t, err)
	_, err = g.Push(work())
	assert.True(t, DuplicatePermit.Has(err))
}

func TestConnectionsBoundARunnerToo(t *testing.T) {
	g := New(Options{}, 0)
	g.SetRunners([]model.VM{{ID: "r", Capacity: model.Resources{Slots: 8}, Connections: 2}}, 0)
	for i := range 3 {
		_, err := g.Push(&Work{Permit: model.Permit{ID: fmt.Sprint(i)}})
		require.NoError(t, err)
		_, ok := g.Next(DefaultTakeoverGrace, func(int) int { return 0 })
		assert.Equal(t, i < 2, ok)
	}
}

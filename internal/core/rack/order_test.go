package rack

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// teamOffer returns an offer of a team whose ratio rises by step per placed task.
func teamOffer(team string, serial int, ratio, step float64) Offer {
	o := offer(fmt.Sprint(team, serial), cores(1))
	o.Permit.Team, o.Permit.Ratio, o.RatioStep = model.TeamID(team), ratio, step
	return o
}

func reservedByTeam(decisions []Decision) map[model.TeamID]int {
	counts := make(map[model.TeamID]int)
	for _, d := range decisions {
		if d.Reserved {
			counts[d.Offer.Permit.Team]++
		}
	}
	return counts
}

func TestBatchServesLowestRatioAndAddsRatioStep(t *testing.T) {
	r := newRack(workers(3, cores(4)))
	var offers []Offer
	for i := range 20 {
		offers = append(offers, teamOffer("high", i, 0.5, 0.1), teamOffer("low", i, 0, 0.1))
	}
	got := reservedByTeam(r.PlaceBatch(offers, 0))
	assert.InDelta(t, 8.5, got["low"], 0.6, "the team with the lower ratio gets 5 tasks first, then both alternate")
	assert.Equal(t, 12, got["low"]+got["high"])
}

func TestWaitingPolicyPrefersUrgentWorkAtSimilarRatios(t *testing.T) {
	for policy, want := range map[fairness.Policy]bool{fairness.PolicyShare: false, fairness.PolicyWaiting: true} {
		r := New(Options{Policy: Policy{Order: policy}})
		r.SetVMs(workers(1, cores(1)), 0)
		normal, urgent := teamOffer("normal", 0, 0.5, 0), teamOffer("urgent", 0, 0.5001, 0)
		urgent.Urgent = true
		decisions := r.PlaceBatch([]Offer{normal, urgent}, 0)
		assert.Equal(t, want, decisions[1].Reserved, policy)
	}
}

// Compared with the greedy placement alone, the local search may reserve more
// but must neither reduce what another team has reserved nor drop urgent tasks.
func TestRefinementTakesNoCapacityFromOtherTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRackModel(t)
		var offers []Offer
		for range rapid.IntRange(1, 60).Draw(t, "offers") {
			offers = append(offers, m.drawOffer(t))
		}
		greedy := New(Options{})
		greedy.SetVMs(m.vms, 0)
		b := greedy.newBatch(offers)
		before := make([]Decision, len(offers))
		for _, q := range b.teams {
			for _, i := range q.pending {
				before[i] = greedy.decide(b, i, 0)
			}
		}
		normalizedSize := func(decisions []Decision) map[model.TeamID]float64 {
			sums := make(map[model.TeamID]float64)
			for _, d := range decisions {
				if d.Reserved {
					sums[d.Offer.Permit.Team] += (&refiner{rack: greedy}).normalizedSize(d.Offer.Size)
				}
			}
			return sums
		}
		sums := normalizedSize(before)
		after := append([]Decision(nil), before...)
		greedy.refine(b, after, 0)
		for team, sum := range normalizedSize(after) {
			require.GreaterOrEqual(t, sum, sums[team]-minGain)
		}
		for i := range before {
			if before[i].Reserved && before[i].Offer.Urgent {
				require.True(t, after[i].Reserved)
			}
		}
		require.NoError(t, greedy.Invariant())
	})
}

func TestRefinementExchangesWithinATeamOnly(t *testing.T) {
	for _, c := range []struct {
		team      model.TeamID
		extraWait time.Duration // how much longer the placed task has waited
		want      int
	}{{"t", 0, 2}, {"another", 0, 1}, {"t", 2 * waitMargin, 1}} {
		r := newRack(workers(1, cores(10)))
		offers := []Offer{offer("6", cores(6)), offer("5", cores(5)), offer("5b", cores(5))}
		offers[0].Permit.Team, offers[0].Waited = c.team, c.extraWait
		offers[1].Permit.Ratio, offers[2].Permit.Ratio = 0.1, 0.1
		decisions := r.PlaceBatch(offers, 0)
		got := reservedByTeam(decisions)
		assert.Equal(t, c.want, got["t"]+got["another"], "two tasks of 5 cores reserve more than one of 6: %+v", c)
		assert.Equal(t, c.want == 1, decisions[0].Reserved)
		require.NoError(t, r.Invariant())
	}
}

// Two gangs need the same two racks. If both reserve in GangOrder, one of them
// gets both racks; in opposite orders neither does.
func TestGangsInOrderDoNotBlockEachOther(t *testing.T) {
	for _, ordered := range []bool{true, false} {
		racks := map[model.PartitionID]*Rack{"rack/a": newRack(workers(1, cores(4))), "rack/b": newRack(workers(1, cores(4)))}
		plans := [][]model.PartitionID{{"rack/a", "rack/b"}, {"rack/b", "rack/a"}}
		blocked := map[int]bool{}
		for step := range 2 {
			for gang, plan := range plans {
				if ordered {
					GangOrder(plan)
				}
				o := offer(fmt.Sprint(gang, "-", step), cores(4))
				if _, complete := racks[plan[step]].ReserveGang([]Offer{o}, 0, time.Second); !complete {
					blocked[gang] = true
				}
			}
		}
		assert.Equal(t, !ordered, blocked[0] && blocked[1], "ordered: %v", ordered)
	}
}

func TestWorkerThatFailsEverythingGetsOnlyProbes(t *testing.T) {
	r := newRack(workers(4, cores(4)))
	now := time.Duration(0)
	onBad := 0
	for i := range 400 {
		now += 100 * time.Millisecond
		o := offer(fmt.Sprint(i), cores(4))
		o.Template = "t"
		d := r.Offer(o, now)
		require.True(t, d.Reserved)
		if d.VM == "w000" {
			onBad++
			r.Ended(o.Permit.ID, ResultFailed, now)
		} else {
			r.Ended(o.Permit.ID, ResultDone, now)
		}
		require.NoError(t, r.Invariant())
	}
	assert.Equal(t, []model.VMID{"w000"}, r.Quarantined())
	assert.Less(t, onBad, 20, "without quarantine, best fit would send every task to it")

	urgent := teamOffer("t", 1000, 0, 0)
	urgent.Urgent = true
	assert.NotEqual(t, model.VMID("w000"), r.Offer(urgent, now+time.Hour).VM, "urgent tasks must not be used as probes")
}

func TestIdleWorkerIsQuarantinedOnLaterEvidence(t *testing.T) {
	r := newRack(workers(2, cores(4)))
	for i := range 3 {
		o := offer(fmt.Sprint(i), cores(4))
		o.Avoid = []model.VMID{"w001"}
		require.True(t, r.Offer(o, 0).Reserved)
		r.Ended(o.Permit.ID, ResultFailed, 0)
	}
	require.Empty(t, r.Quarantined())
	for i := range 3 {
		o := offer(fmt.Sprint(i), cores(4))
		o.Avoid = []model.VMID{"w000"}
		require.Equal(t, model.VMID("w001"), r.Offer(o, 0).VM)
		r.Ended(o.Permit.ID, ResultDone, 0)
	}
	require.Equal(t, []model.VMID{"w000"}, r.Quarantined())
	assert.Equal(t, model.VMID("w001"), r.Offer(offer("next", cores(4)), 0).VM)
	d := r.Offer(offer("more", cores(4)), 0)
	assert.Equal(t, ReasonQuarantined, d.Reason)
}

func TestOneGangHoldsWorkersAtATime(t *testing.T) {
	r := New(Options{Policy: Policy{HoldAfter: time.Millisecond}})
	r.SetVMs(workers(8, cores(4)), 0)
	for i := range 8 {
		require.True(t, r.Offer(timedOffer(fmt.Sprint(i), cores(3), time.Minute), 0).Reserved)
	}
	held := map[string]bool{}
	for now := time.Duration(0); now < 4*time.Millisecond; now += time.Millisecond {
		for _, gang := range []string{"first", "second"} {
			offers := []Offer{offer(gang+"-1", cores(4)), offer(gang+"-2", cores(4))}
			offers[0].Job, offers[1].Job = model.JobID(gang), model.JobID(gang)
			decisions, _ := r.ReserveGang(offers, now, time.Second)
			held[gang] = held[gang] || decisions[0].Held
		}
	}
	assert.Equal(t, map[string]bool{"first": true, "second": false}, held)
}

package rack

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// rackModel drives a rack with random calls and records the reservations that it
// expects.
type rackModel struct {
	rack   *Rack
	vms    []model.VM
	out    map[model.FailureDomain]bool
	ledger map[string]Reservation // by permit
	gangs  [][]string
	now    time.Duration
	serial int
}

func newRackModel(t *rapid.T) *rackModel {
	m := &rackModel{out: make(map[model.FailureDomain]bool), ledger: make(map[string]Reservation)}
	m.rack = New(Options{Policy: Policy{HoldAfter: 50 * time.Millisecond}})
	domains := rapid.IntRange(1, 2).Draw(t, "domains")
	shapes := []model.Resources{drawSize(t, 8, "capacity"), drawSize(t, 8, "capacity")}
	for i := range rapid.IntRange(1, 24).Draw(t, "workers") {
		m.vms = append(m.vms, model.VM{
			ID: model.VMID(fmt.Sprintf("w%02d", i)), Rack: "r",
			FailureDomain: model.FailureDomain(fmt.Sprint("d", i%domains)),
			Capacity:      rapid.SampledFrom(shapes).Draw(t, "shape"),
		})
	}
	m.rack.SetVMs(m.vms, 0)
	m.rack.SetDomainOut(func(d model.FailureDomain) bool { return m.out[d] })
	return m
}

// sizeSteps makes sizes finer than the buckets of the index.
const sizeSteps = 20

func drawSize(t *rapid.T, most int64, label string) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(1, most*sizeSteps).Draw(t, label+" processors"),
		MemoryMiB:    rapid.Int64Range(1, most*sizeSteps).Draw(t, label+" memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, label+" accelerators"),
	}
}

func (m *rackModel) drawOffer(t *rapid.T) Offer {
	m.serial++
	o := offer(fmt.Sprint(m.serial), drawSize(t, 6, "size"))
	o.Permit.Team = model.TeamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"))
	o.Permit.Ratio = float64(rapid.IntRange(0, 3).Draw(t, "ratio"))
	o.ExpectedRun = time.Duration(rapid.IntRange(0, 3).Draw(t, "run")) * 100 * time.Millisecond
	o.Urgent = rapid.Bool().Draw(t, "urgent")
	o.Preemptible = !o.Urgent
	if rapid.IntRange(0, 3).Draw(t, "restricted") == 0 {
		o.Domains = []model.FailureDomain{"d1"}
	}
	return o
}

// record checks what must hold for every decision and records reservations.
func (m *rackModel) record(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		if !d.Reserved {
			require.NotEqual(t, ReasonNone, d.Reason)
			continue
		}
		held, ok := m.rack.Lookup(d.Offer.Permit.ID)
		require.True(t, ok)
		vm := m.vm(d.VM)
		require.False(t, m.out[vm.FailureDomain], "placed in a failure domain that is out of service")
		require.False(t, vm.Leaving, "placed on a leaving worker")
		require.True(t, domainAllowed(d.Offer.Domains, vm.FailureDomain))
		m.ledger[d.Offer.Permit.ID] = held
	}
}

func (m *rackModel) vm(id model.VMID) model.VM {
	for _, vm := range m.vms {
		if vm.ID == id {
			return vm
		}
	}
	return model.VM{Leaving: true}
}

func (m *rackModel) drawPermit(t *rapid.T) string {
	held := m.rack.Reservations("")
	if len(held) == 0 {
		t.Skip("nothing held")
	}
	return rapid.SampledFrom(held).Draw(t, "held").Permit.ID
}

func (m *rackModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"place": func(t *rapid.T) {
			var offers []Offer
			for range rapid.IntRange(1, 6).Draw(t, "offers") {
				offers = append(offers, m.drawOffer(t))
			}
			m.record(t, m.rack.PlaceBatch(offers, m.now))
		},
		"gang": func(t *rapid.T) {
			var offers []Offer
			var permits []string
			for range rapid.IntRange(2, 4).Draw(t, "tasks") {
				o := m.drawOffer(t)
				o.Job = "gang"
				offers = append(offers, o)
				permits = append(permits, o.Permit.ID)
			}
			decisions, complete := m.rack.ReserveGang(offers, m.now, m.now+200*time.Millisecond)
			for _, d := range decisions {
				require.Equal(t, complete, d.Reserved, "a gang must be reserved completely or not at all")
			}
			m.record(t, decisions)
			if complete {
				m.gangs = append(m.gangs, permits)
			}
		},
		"end gang": func(t *rapid.T) {
			if len(m.gangs) == 0 {
				t.Skip("no gang")
			}
			permits := m.gangs[0]
			m.gangs = m.gangs[1:]
			if rapid.Bool().Draw(t, "commit") {
				m.rack.CommitGang(permits, m.now)
			} else {
				m.rack.ReleaseGang(permits)
			}
		},
		"start": func(t *rapid.T) { m.rack.Started(m.drawPermit(t)) },
		"lose":  func(t *rapid.T) { m.rack.Unknown(m.drawPermit(t)) },
		"end": func(t *rapid.T) {
			result := rapid.SampledFrom([]Result{ResultDone, ResultFailed, ResultNotStarted}).Draw(t, "result")
			m.rack.Ended(m.drawPermit(t), result, m.now)
		},
		"report": m.report,
		"preempt": func(t *rapid.T) {
			o := m.drawOffer(t)
			o.Urgent = true
			for _, a := range m.rack.Preempt(o, m.now) {
				held, ok := m.rack.Lookup(a.Permit)
				require.True(t, ok)
				require.True(t, held.Preemptible)
				require.Greater(t, held.Permit.Ratio, o.Permit.Ratio)
			}
		},
		"adopt": func(t *rapid.T) {
			vm := rapid.SampledFrom(m.vms).Draw(t, "vm")
			o := m.drawOffer(t)
			_ = m.rack.Adopt(vm.ID, port.TaskStatus{
				Task: o.Task, Job: o.Job, Team: o.Permit.Team, Permit: o.Permit.ID,
				State: port.TaskRunning, Declared: o.Size,
			}, o.Permit, m.now)
		},
		"domain": func(t *rapid.T) {
			d := rapid.SampledFrom([]model.FailureDomain{"d0", "d1"}).Draw(t, "out")
			m.out[d] = !m.out[d]
		},
		"leave": func(t *rapid.T) {
			i := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
			m.vms[i].Leaving = !m.vms[i].Leaving
			m.rack.SetVMs(m.vms, m.now)
		},
		"gone": func(t *rapid.T) {
			vm := rapid.SampledFrom(m.vms).Draw(t, "vm").ID
			m.rack.ReleaseVM(vm, m.now)
			require.Empty(t, m.rack.ReservationsOn(vm))
			m.rack.SetUnresponsive(vm, false, m.now)
		},
		"silent": func(t *rapid.T) {
			vm := rapid.SampledFrom(m.vms).Draw(t, "vm").ID
			m.rack.SetUnresponsive(vm, rapid.Bool().Draw(t, "silent"), m.now)
		},
		"wait": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
		},
		"": func(t *rapid.T) { require.NoError(t, m.rack.Invariant()) },
	}
}

func (m *rackModel) report(t *rapid.T) {
	vm := rapid.SampledFrom(m.vms).Draw(t, "vm")
	var statuses []port.TaskStatus
	for _, held := range m.rack.ReservationsOn(vm.ID) {
		statuses = append(statuses, port.TaskStatus{Permit: held.Permit.ID, Used: drawSize(t, 8, "used")})
	}
	m.rack.Report(vm.ID, statuses, m.now)
}

// Random calls must never exceed a worker's capacity, place in a failure domain
// that is out of service, reserve a gang partially, or leave wrong totals after
// any way for a reservation to end.
func TestRackKeepsItsInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newRackModel(t).actions())
	})
}

// The index must find a worker exactly when a full scan does, and one that fits
// as tightly.
func TestBestFitAgreesWithFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRackModel(t)
		m.rack.policy.HoldAfter = time.Hour
		for range rapid.IntRange(1, 120).Draw(t, "offers") {
			o := m.drawOffer(t)
			want, score := m.fullScan(o)
			d := m.rack.Offer(o, 0)
			require.Equal(t, want, d.Reserved, "full scan and index disagree on %v", o.Size)
			if !d.Reserved {
				continue
			}
			w := m.rack.workers[d.VM]
			if len(m.rack.domains) == 1 {
				got := m.rack.indexes[w.vm.FailureDomain].score(w.free.Add(o.Size), o.Size)
				require.InDelta(t, score, got, 1e-9)
			}
			if rapid.Bool().Draw(t, "end") {
				m.rack.Ended(m.drawPermit(t), ResultDone, 0)
			}
		}
	})
}

// fullScan returns whether the offer fits on any worker, and the best score among
// those with the fewest free accelerators.
func (m *rackModel) fullScan(o Offer) (bool, float64) {
	found, best, fewest := false, 0.0, int64(0)
	for _, vm := range m.vms {
		w := m.rack.workers[vm.ID]
		if !o.Size.Fits(w.free) || !domainAllowed(o.Domains, vm.FailureDomain) {
			continue
		}
		score := m.rack.indexes[vm.FailureDomain].score(w.free, o.Size)
		free := w.free.Accelerators
		if !found || free < fewest || free == fewest && score < best {
			found, best, fewest = true, score, free
		}
	}
	return found, best
}

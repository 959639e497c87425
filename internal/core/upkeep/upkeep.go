// Package upkeep decides in which order the machines of a wave have their
// upkeep, so that few are down at a time and little work is lost.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
)

// State is what the platform says of a machine.
type State string

// The states of a machine.
const (
	Up       State = "up"
	Moving   State = "moving"
	InUpkeep State = "upkeep"
	Down     State = "down"
)

// Machine is a VM as the platform keeps it; a worker is one life of it.
type Machine struct {
	ID     string
	State  State
	Worker model.VMID
}

// Load is what an upkeep would end on a worker.
type Load struct {
	Tasks int
	// Sheltered counts the tasks that must not be ended with the machine: their
	// step may miss only so many, and they have to move one by one.
	Protected int
}

// Progress is what is known of a wave.
type Progress struct {
	Started       map[string]bool          // confirmed by the platform
	Orders        map[string]Order         // last order, answered or not
	DrainingSince map[string]time.Duration // since when the machine takes no new work
	FirstSeen     time.Duration            // when the wave was first seen
}

// Order is an order that a machine's upkeep begin.
type Order struct {
	SentAt time.Duration
	Worker model.VMID // life of the machine that it ends
}

// maybeDown reports whether the machine may be down for the order though the
// list does not show it: neither has the time passed, nor is a new life there.
func (o Order) maybeDown(machine Machine, settle, now time.Duration) bool {
	return now-o.SentAt < settle && (machine.State != Up || machine.Worker == o.Worker)
}

// NewProgress returns the progress of a wave that is seen for the first time.
func NewProgress(now time.Duration) *Progress {
	return &Progress{
		Started: map[string]bool{}, Orders: map[string]Order{}, DrainingSince: map[string]time.Duration{}, FirstSeen: now,
	}
}

// Plan is what to do next for a wave.
type Plan struct {
	Drain     []model.VMID // to take no new work
	Start     []string     // machines whose upkeep may begin now
	Completed bool
}

// patienceShare is the part of a wave's time that a machine may wait for its
// tasks to end, divided among the rounds of the wave.
const patienceShare = 0.5

// Decide plans the next step of a wave. settle is how long after an order a
// machine may be down without the platform's list showing it.
func Decide(wave policy.Wave, machines map[string]Machine, load func(model.VMID) Load, p *Progress, settle, now time.Duration) Plan {
	var left []Machine
	down := 0
	for _, id := range wave.Machines {
		machine, listed := machines[id]
		if !listed {
			continue // gone for good
		}
		order, known := p.Orders[id]
		if machine.State == InUpkeep || known && order.maybeDown(machine, settle, now) {
			down++
		}
		if !p.Started[id] {
			left = append(left, machine)
		}
	}
	if len(left) == 0 {
		return Plan{Completed: true}
	}
	slices.SortStableFunc(left, func(a, b Machine) int {
		_, first := p.DrainingSince[a.ID]
		_, second := p.DrainingSince[b.ID]
		if first != second { // those that are being emptied go on
			if first {
				return -1
			}
			return 1
		}
		return cmp.Compare(load(a.Worker).Tasks, load(b.Worker).Tasks)
	})
	return decideNext(wave, left, load, p, down, now, settle)
}

func decideNext(wave policy.Wave, left []Machine, load func(model.VMID) Load, p *Progress, down int, now, settle time.Duration) Plan {
	var plan Plan
	most := max(1, wave.MaxConcurrent)
	rounds := (len(wave.Machines) + most - 1) / most
	patience := time.Duration(float64(wave.Deadline) * patienceShare / float64(rounds))
	for _, machine := range left[:min(len(left), most)] {
		if machine.State != Up {
			continue
		}
		if _, closed := p.DrainingSince[machine.ID]; !closed {
			p.DrainingSince[machine.ID] = now
		}
		plan.Drain = append(plan.Drain, machine.Worker)
		if order, known := p.Orders[machine.ID]; known && order.maybeDown(machine, settle, now) {
			continue
		}
		on := load(machine.Worker)
		ready := on.Tasks == 0 || on.Protected == 0 && now-p.DrainingSince[machine.ID] > patience
		if ready && down < most {
			down++
			plan.Start = append(plan.Start, machine.ID)
		}
	}
	return plan
}

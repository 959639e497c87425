// Package upkeep decides in which order the machines of a wave go through their
// upkeep, so that few are down at a time and little work is lost.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
)

// State is the state of a machine as listed by the platform.
type State string

// States of a machine.
const (
	Up       State = "up"
	Moving   State = "moving"
	InUpkeep State = "upkeep"
	Down     State = "down"
)

// Machine is a machine of the platform's list. Each incarnation of it is a
// different worker.
type Machine struct {
	ID     string
	State  State
	Worker model.VMID
}

// Load counts the tasks of a worker that an upkeep of its machine would end.
type Load struct {
	Tasks int
	// Protected counts the tasks that upkeep may not end: their step allows only
	// a limited number of unavailable tasks, so they are moved one by one.
	Protected int
}

// Progress is the state of a wave, by machine id.
type Progress struct {
	Started       map[string]bool          // the platform confirmed the start
	Orders        map[string]Order         // last order, with or without an answer
	DrainingSince map[string]time.Duration // since when the machine gets no new tasks
	FirstSeen     time.Duration
}

// Order is a sent order to start a machine's upkeep.
type Order struct {
	SentAt time.Duration
	Worker model.VMID // incarnation that the upkeep ends
}

// mayBeDown reports whether the machine may be down because of the order although
// the list does not show it: less than settle has passed, and the list shows no
// new incarnation.
func (o Order) mayBeDown(machine Machine, settle, now time.Duration) bool {
	return now-o.SentAt < settle && (machine.State != Up || machine.Worker == o.Worker)
}

// NewProgress returns the state of a wave that was first seen at now.
func NewProgress(now time.Duration) *Progress {
	return &Progress{
		Started: map[string]bool{}, Orders: map[string]Order{}, DrainingSince: map[string]time.Duration{}, FirstSeen: now,
	}
}

// Plan is the next step of a wave.
type Plan struct {
	Drain     []model.VMID // workers that get no new tasks
	Start     []string     // machines whose upkeep is to start now
	Completed bool
}

// maxWaitShare is the share of a wave's deadline that machines may spend waiting
// for their tasks to end, divided among the rounds of the wave.
const maxWaitShare = 0.5

// Decide returns the next step of a wave and records in p the machines that begin
// to drain. load returns the tasks of a worker. settle is how long after an order
// a machine may be down without the platform's list showing it.
func Decide(wave policy.Wave, machines map[string]Machine, load func(model.VMID) Load, p *Progress, settle, now time.Duration) Plan {
	var remaining []Machine
	down := 0
	for _, id := range wave.Machines {
		machine, listed := machines[id]
		if !listed {
			continue // removed from the platform
		}
		order, ordered := p.Orders[id]
		if machine.State == InUpkeep || ordered && order.mayBeDown(machine, settle, now) {
			down++
		}
		if !p.Started[id] {
			remaining = append(remaining, machine)
		}
	}
	if len(remaining) == 0 {
		return Plan{Completed: true}
	}
	slices.SortStableFunc(remaining, func(a, b Machine) int {
		_, aDraining := p.DrainingSince[a.ID]
		_, bDraining := p.DrainingSince[b.ID]
		if aDraining != bDraining { // machines that are already draining come first
			if aDraining {
				return -1
			}
			return 1
		}
		return cmp.Compare(load(a.Worker).Tasks, load(b.Worker).Tasks)
	})
	return decideNext(wave, remaining, load, p, down, now, settle)
}

func decideNext(wave policy.Wave, remaining []Machine, load func(model.VMID) Load, p *Progress, down int, now, settle time.Duration) Plan {
	var plan Plan
	maxDown := max(1, wave.MaxConcurrent)
	rounds := (len(wave.Machines) + maxDown - 1) / maxDown
	maxWait := time.Duration(float64(wave.Deadline) * maxWaitShare / float64(rounds))
	for _, machine := range remaining[:min(len(remaining), maxDown)] {
		if machine.State != Up {
			continue
		}
		if _, draining := p.DrainingSince[machine.ID]; !draining {
			p.DrainingSince[machine.ID] = now
		}
		plan.Drain = append(plan.Drain, machine.Worker)
		if order, ordered := p.Orders[machine.ID]; ordered && order.mayBeDown(machine, settle, now) {
			continue
		}
		workload := load(machine.Worker)
		ready := workload.Tasks == 0 || workload.Protected == 0 && now-p.DrainingSince[machine.ID] > maxWait
		if ready && down < maxDown {
			down++
			plan.Start = append(plan.Start, machine.ID)
		}
	}
	return plan
}

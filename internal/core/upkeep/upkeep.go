// Package upkeep decides in which order the machines of a wave go through their
// upkeep, so that few are unavailable at a time and little work is lost.
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

// States of a machine. Decide starts upkeep only on machines that are Up, and counts
// only machines in upkeep as unavailable.
const (
	Up       State = "up"
	Moving   State = "moving"
	InUpkeep State = "upkeep"
	Down     State = "down"
)

// Machine is a machine of the platform's list. Each time it comes back, it has a new
// worker with a new id.
type Machine struct {
	ID     string
	State  State
	Worker model.VMID
}

// Load counts the tasks of a worker that an upkeep of its machine would end.
type Load struct {
	Runs int
	// Protected counts the tasks that upkeep may not end: their step allows only
	// a limited number of unavailable tasks, so they are moved one by one.
	Protected int
}

// Progress is what the owner remembers of a wave; the maps are keyed by machine id.
type Progress struct {
	Started       map[string]bool          // the platform confirmed the start
	Orders        map[string]Order         // last order, with or without an answer
	DrainingSince map[string]time.Duration // since when the machine gets no new tasks
	FirstSeen     time.Duration
}

// Order is a sent order to start a machine's upkeep.
type Order struct {
	SentAt time.Duration
	Worker model.VMID // worker that the upkeep ends
}

// mayBeUnavailable reports whether the machine may be unavailable because of the order
// although the list does not show it: less than listDelay has passed, and the list
// shows no new worker.
func (o Order) mayBeUnavailable(machine Machine, listDelay, now time.Duration) bool {
	return now-o.SentAt < listDelay && (machine.State != Up || machine.Worker == o.Worker)
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
// to drain. load returns the tasks of a worker. listDelay is how long after
// an order a machine may be unavailable without the platform's list showing it.
func Decide(wave policy.Wave, machines map[string]Machine, load func(model.VMID) Load, p *Progress, listDelay, now time.Duration) Plan {
	var remaining []Machine
	unavailable := 0
	for _, id := range wave.Machines {
		machine, listed := machines[id]
		if !listed {
			continue // removed from the platform
		}
		order, ordered := p.Orders[id]
		if machine.State == InUpkeep || ordered && order.mayBeUnavailable(machine, listDelay, now) {
			unavailable++
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
		return cmp.Compare(load(a.Worker).Runs, load(b.Worker).Runs)
	})
	return decideNext(wave, remaining, load, p, unavailable, now, listDelay)
}

func decideNext(wave policy.Wave, remaining []Machine, load func(model.VMID) Load, p *Progress, unavailable int, now, listDelay time.Duration) Plan {
	var plan Plan
	maxUnavailable := max(1, wave.MaxConcurrent)
	rounds := (len(wave.Machines) + maxUnavailable - 1) / maxUnavailable
	maxWait := time.Duration(float64(wave.Deadline) * maxWaitShare / float64(rounds))
	for _, machine := range remaining[:min(len(remaining), maxUnavailable)] {
		if machine.State != Up {
			continue
		}
		if _, draining := p.DrainingSince[machine.ID]; !draining {
			p.DrainingSince[machine.ID] = now
		}
		plan.Drain = append(plan.Drain, machine.Worker)
		if order, ordered := p.Orders[machine.ID]; ordered && order.mayBeUnavailable(machine, listDelay, now) {
			continue
		}
		workload := load(machine.Worker)
		ready := workload.Runs == 0 || workload.Protected == 0 && now-p.DrainingSince[machine.ID] > maxWait
		if ready && unavailable < maxUnavailable {
			unavailable++
			plan.Start = append(plan.Start, machine.ID)
		}
	}
	return plan
}

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

const (
	rackSize  = 8 // workers, as at both users
	mibPerGiB = 1024
	teamCount = 6
)

// user is the shape of one user's cell.
type user struct {
	name     string
	workers  int
	capacity model.Resources
	domains  []model.FailureDomain
}

var (
	guild = user{
		name: "Guild", workers: 50,
		capacity: model.Resources{MilliCPU: 32_000, MemoryMiB: 128 * mibPerGiB},
		domains:  []model.FailureDomain{"Marrakech", "Ouarzazate", "Guelmim"},
	}
	vestfjord = user{
		name: "Vestfjord", workers: 50,
		capacity: model.Resources{MilliCPU: 16_000, MemoryMiB: 64 * mibPerGiB},
		domains:  []model.FailureDomain{"Bergen", "Førde", "Haugesund"},
	}
)

// vms lists n workers, the racks spread over the domains.
func (u user) vms(n int) []model.VM {
	vms := make([]model.VM, n)
	for i := range vms {
		number := i / rackSize
		vms[i] = model.VM{
			ID: model.VMID(fmt.Sprintf("w%05d", i)), Role: model.RoleWorker,
			Rack:          fmt.Sprintf("r%04d", number),
			FailureDomain: u.domains[number%len(u.domains)],
			Capacity:      u.capacity,
		}
	}
	return vms
}

// mix draws tasks: many small ones, some tall in one dimension, few large.
type mix struct {
	random   *rand.Rand
	capacity model.Resources
	serial   int
}

func newMix(seed uint64, capacity model.Resources) *mix {
	return &mix{random: rand.New(rand.NewPCG(seed, 1)), capacity: capacity}
}

// task draws a size as fractions of a worker.
func (m *mix) task() model.Resources {
	part := func(low, high float64) float64 { return low + (high-low)*m.random.Float64() }
	cpu, memory := part(0.03, 0.12), part(0.03, 0.12)
	switch kind := m.random.IntN(10); {
	case kind == 0:
		cpu, memory = part(0.4, 0.75), part(0.4, 0.75)
	case kind <= 2:
		cpu = part(0.2, 0.4)
	case kind <= 4:
		memory = part(0.2, 0.4)
	case kind <= 6:
		cpu, memory = part(0.1, 0.3), part(0.1, 0.3)
	}
	return model.Resources{
		MilliCPU:  max(int64(cpu*float64(m.capacity.MilliCPU))/250*250, 250),
		MemoryMiB: max(int64(memory*float64(m.capacity.MemoryMiB))/256*256, 256),
	}
}

// offer wraps a size in an offer of its own job.
func (m *mix) offer(team int, size model.Resources, run time.Duration) rack.Offer {
	m.serial++
	id := fmt.Sprintf("%d-%d", team, m.serial)
	return rack.Offer{
		Permit: model.Permit{ID: id, Team: teamID(team), Size: size},
		Task:   model.TaskID(id), Job: model.JobID(id), Attempt: 1,
		Size: size, ExpectedRun: run, Preemptible: true,
	}
}

func teamID(i int) model.TeamID {
	return model.TeamID(fmt.Sprintf("team-%d", i))
}

// exponential draws a run time of the mean.
func (m *mix) exponential(mean time.Duration) time.Duration {
	return max(time.Duration(m.random.ExpFloat64()*float64(mean)), time.Millisecond)
}

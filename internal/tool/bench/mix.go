package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

const (
	rackSize  = 8 // workers, as in both users' cells
	mibPerGiB = 1024
	teamCount = 6
)

// user describes the cell of one user.
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

// vms returns n workers in racks that are spread evenly over the failure domains.
func (u user) vms(n int) []model.VM {
	vms := make([]model.VM, n)
	for i := range vms {
		rackNumber := i / rackSize
		vms[i] = model.VM{
			ID: model.VMID(fmt.Sprintf("w%05d", i)), Role: model.RoleWorker,
			Rack:          fmt.Sprintf("r%04d", rackNumber),
			FailureDomain: u.domains[rackNumber%len(u.domains)],
			Capacity:      u.capacity,
		}
	}
	return vms
}

// mix draws random tasks: many small ones, some that need much of one resource,
// and few large ones.
type taskGenerator struct {
	random   *rand.Rand
	capacity model.Resources
	lastID   int
}

func newTaskGenerator(seed uint64, capacity model.Resources) *taskGenerator {
	return &taskGenerator{random: rand.New(rand.NewPCG(seed, 1)), capacity: capacity}
}

// task draws the size of a task as fractions of a worker's capacity.
func (m *taskGenerator) task() model.Resources {
	fraction := func(low, high float64) float64 { return low + (high-low)*m.random.Float64() }
	cpu, memory := fraction(0.03, 0.12), fraction(0.03, 0.12)
	switch kind := m.random.IntN(10); {
	case kind == 0:
		cpu, memory = fraction(0.4, 0.75), fraction(0.4, 0.75)
	case kind <= 2:
		cpu = fraction(0.2, 0.4)
	case kind <= 4:
		memory = fraction(0.2, 0.4)
	case kind <= 6:
		cpu, memory = fraction(0.1, 0.3), fraction(0.1, 0.3)
	}
	return model.Resources{
		MilliCPU:  max(int64(cpu*float64(m.capacity.MilliCPU))/250*250, 250),
		MemoryMiB: max(int64(memory*float64(m.capacity.MemoryMiB))/256*256, 256),
	}
}

// offer returns an offer for the only task of a new job.
func (m *taskGenerator) offer(team int, size model.Resources, run time.Duration) rack.Offer {
	m.lastID++
	id := fmt.Sprintf("%d-%d", team, m.lastID)
	return rack.Offer{
		Permit: model.Permit{ID: id, Team: teamID(team), Size: size},
		Task:   model.TaskID(id), Job: model.JobID(id), Attempt: 1,
		Size: size, ExpectedRun: run, Preemptible: true,
	}
}

func teamID(i int) model.TeamID {
	return model.TeamID(fmt.Sprintf("team-%d", i))
}

// exponential draws an exponentially distributed duration of at least a
// millisecond.
func (m *taskGenerator) exponential(mean time.Duration) time.Duration {
	return max(time.Duration(m.random.ExpFloat64()*float64(mean)), time.Millisecond)
}

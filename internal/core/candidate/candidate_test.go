package candidate

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func drawResources(t *rapid.T, label string) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, 64).Draw(t, label) * 100,
		MemoryMiB:    rapid.Int64Range(0, 64).Draw(t, label) * 100,
		Accelerators: rapid.Int64Range(0, 2).Draw(t, label),
	}
}

func drawRack(t *rapid.T, i int) Rack {
	r := Rack{Partition: model.PartitionID(fmt.Sprint("rack/", i))}
	for range rapid.IntRange(1, 3).Draw(t, "workers") {
		r.FreeShapes = append(r.FreeShapes, drawResources(t, "free"))
		r.LargestVM = r.LargestVM.Max(r.FreeShapes[len(r.FreeShapes)-1])
	}
	r.LargestVM = r.LargestVM.Max(drawResources(t, "largest"))
	r.Domains = rapid.SampledFrom([][]model.FailureDomain{{"a"}, {"b"}, {"a", "b"}}).Draw(t, "domains")
	return r
}

// Every picked rack is allowed and large enough, and a rack is picked whenever
// any can run the task. Updates, removals and reservations must keep the index
// consistent for that.
func TestPickMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPicker(1)
		racks := map[model.PartitionID]Rack{}
		out := model.FailureDomain(rapid.SampledFrom([]string{"", "a"}).Draw(t, "out"))
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			r := drawRack(t, rapid.IntRange(0, 15).Draw(t, "rack"))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				p.Remove(r.Partition)
				delete(racks, r.Partition)
			case 1:
				p.Reserve(r.Partition, drawResources(t, "taken"))
			default:
				p.Update(r)
				racks[r.Partition] = r
			}
		}
		q := Query{Size: drawResources(t, "size"), DomainOut: func(d model.FailureDomain) bool { return d == out }}
		inService := func(d model.FailureDomain) bool { return d != out }
		suitable := 0
		for _, r := range racks {
			if q.Size.Fits(r.LargestVM) && slices.ContainsFunc(r.Domains, inService) {
				suitable++
			}
		}
		picked := p.Pick(q, 1)
		require.Equal(t, min(suitable, 1), len(picked))
		for _, id := range picked {
			r := racks[id]
			require.True(t, q.Size.Fits(r.LargestVM))
			require.True(t, slices.ContainsFunc(r.Domains, inService))
		}
	})
}

func newFullPicker(n int, domain func(int) model.FailureDomain) *Picker {
	p := NewPicker(1)
	vm := model.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	for i := range n {
		p.Update(Rack{
			Partition: model.PartitionID(fmt.Sprint("rack/", i)), FreeShapes: []model.Resources{{}},
			LargestVM: vm, Domains: []model.FailureDomain{domain(i)},
		})
	}
	return p
}

func TestPickFindsTheOnlyRackWithFreeCapacity(t *testing.T) {
	p := newFullPicker(1000, func(int) model.FailureDomain { return "a" })
	vm := model.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	p.Update(Rack{Partition: "rack/7", FreeShapes: []model.Resources{vm}, LargestVM: vm, Domains: []model.FailureDomain{"a"}})
	half := model.Resources{MilliCPU: 500, MemoryMiB: 500}
	for range 2 {
		require.Equal(t, []model.PartitionID{"rack/7"}, p.Pick(Query{Size: half}, 1))
		p.Reserve("rack/7", half)
	}
	assert.Len(t, p.Pick(Query{Size: half}, 1), 1, "a full rack is picked if no other fits")
	assert.Empty(t, p.Pick(Query{Size: vm.Scale(2)}, 1))
	p.Update(Rack{Partition: "large", FreeShapes: []model.Resources{{}}, LargestVM: vm.Scale(2), Domains: []model.FailureDomain{"a"}})
	assert.Equal(t, []model.PartitionID{"large"}, p.Pick(Query{Size: vm.Scale(2)}, 1))
}

func TestPickSpreadsAJobOverDomains(t *testing.T) {
	p := newFullPicker(30, func(i int) model.FailureDomain { return model.FailureDomain(fmt.Sprint(i % 3)) })
	spread := map[model.FailureDomain]int{"0": 2, "1": 1, "2": 2}
	picked := p.Pick(Query{Size: model.Resources{MilliCPU: 1}, TasksPerDomain: spread}, 1)
	require.Len(t, picked, 1)
	var i int
	_, err := fmt.Sscanf(string(picked[0]), "rack/%d", &i)
	require.NoError(t, err)
	assert.Equal(t, 1, i%3)
}

func TestOwnersWithTheSameSummariesPickDifferentRacks(t *testing.T) {
	vm := model.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	picks := map[model.PartitionID]bool{}
	for owner := range uint64(20) {
		p := NewPicker(owner)
		for i := range 50 {
			p.Update(Rack{
				Partition: model.PartitionID(fmt.Sprint("rack/", i)), FreeShapes: []model.Resources{vm},
				LargestVM: vm, Domains: []model.FailureDomain{"a"},
			})
		}
		picks[p.Pick(Query{Size: vm}, 1)[0]] = true
	}
	assert.Greater(t, len(picks), 10)
}

func TestReleasedCapacityIsPickedAgain(t *testing.T) {
	p := newFullPicker(1000, func(int) model.FailureDomain { return "a" })
	half := model.Resources{MilliCPU: 500, MemoryMiB: 500}
	p.Release("rack/7", half)
	assert.Equal(t, []model.PartitionID{"rack/7"}, p.Pick(Query{Size: half}, 1))
	for range 100 {
		p.Release("rack/7", half)
	}
	assert.LessOrEqual(t, len(p.racks["rack/7"].FreeShapes), maxFreeShapes)
}

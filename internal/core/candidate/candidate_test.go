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

func drawRoom(t *rapid.T, label string) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, 64).Draw(t, label) * 100,
		MemoryMiB:    rapid.Int64Range(0, 64).Draw(t, label) * 100,
		Accelerators: rapid.Int64Range(0, 2).Draw(t, label),
	}
}

func drawRack(t *rapid.T, i int) Rack {
	r := Rack{Partition: model.PartitionID(fmt.Sprint("rack/", i))}
	for range rapid.IntRange(1, 3).Draw(t, "rooms") {
		r.FreePerWorker = append(r.FreePerWorker, drawRoom(t, "room"))
		r.LargestVM = r.LargestVM.Max(r.FreePerWorker[len(r.FreePerWorker)-1])
	}
	r.LargestVM = r.LargestVM.Max(drawRoom(t, "largest"))
	r.Domains = rapid.SampledFrom([][]model.FailureDomain{{"a"}, {"b"}, {"a", "b"}}).Draw(t, "domains")
	return r
}

// Guards: a pick is always allowed and large enough; one is found whenever any
// rack suits; updates, removals and deductions keep the filing intact.
func TestPickMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewPicker(1)
		racks := map[model.PartitionID]Rack{}
		out := model.FailureDomain(rapid.SampledFrom([]string{"", "a"}).Draw(t, "out"))
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			r := drawRack(t, rapid.IntRange(0, 15).Draw(t, "rack"))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				v.Remove(r.Partition)
				delete(racks, r.Partition)
			case 1:
				v.Reserve(r.Partition, drawRoom(t, "taken"))
			default:
				v.Update(r)
				racks[r.Partition] = r
			}
		}
		q := Query{Size: drawRoom(t, "size"), DomainOut: func(d model.FailureDomain) bool { return d == out }}
		inService := func(d model.FailureDomain) bool { return d != out }
		suits := 0
		for _, r := range racks {
			if q.Size.Fits(r.LargestVM) && slices.ContainsFunc(r.Domains, inService) {
				suits++
			}
		}
		picked := v.Pick(q, 1)
		require.Equal(t, min(suits, 1), len(picked))
		for _, id := range picked {
			r := racks[id]
			require.True(t, q.Size.Fits(r.LargestVM))
			require.True(t, slices.ContainsFunc(r.Domains, inService))
		}
	})
}

func uniform(n int, domain func(int) model.FailureDomain) *Picker {
	v := NewPicker(1)
	vm := model.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	for i := range n {
		v.Update(Rack{
			Partition: model.PartitionID(fmt.Sprint("rack/", i)), FreePerWorker: []model.Resources{{}},
			LargestVM: vm, Domains: []model.FailureDomain{domain(i)},
		})
	}
	return v
}

func TestPickFindsTheOnlyRackWithFreeCapacity(t *testing.T) {
	v := uniform(1000, func(int) model.FailureDomain { return "a" })
	vm := model.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	v.Update(Rack{Partition: "rack/7", FreePerWorker: []model.Resources{vm}, LargestVM: vm, Domains: []model.FailureDomain{"a"}})
	half := model.Resources{MilliCPU: 500, MemoryMiB: 500}
	for range 2 {
		require.Equal(t, []model.PartitionID{"rack/7"}, v.Pick(Query{Size: half}, 1))
		v.Reserve("rack/7", half)
	}
	assert.Len(t, v.Pick(Query{Size: half}, 1), 1, "a full rack is better than none")
	assert.Empty(t, v.Pick(Query{Size: vm.Scale(2)}, 1))
	v.Update(Rack{Partition: "large", FreePerWorker: []model.Resources{{}}, LargestVM: vm.Scale(2), Domains: []model.FailureDomain{"a"}})
	assert.Equal(t, []model.PartitionID{"large"}, v.Pick(Query{Size: vm.Scale(2)}, 1))
}

func TestPickSpreadsAJobOverDomains(t *testing.T) {
	v := uniform(30, func(i int) model.FailureDomain { return model.FailureDomain(fmt.Sprint(i % 3)) })
	spread := map[model.FailureDomain]int{"0": 2, "1": 1, "2": 2}
	picked := v.Pick(Query{Size: model.Resources{MilliCPU: 1}, TasksPerDomain: spread}, 1)
	require.Len(t, picked, 1)
	var i int
	_, err := fmt.Sscanf(string(picked[0]), "rack/%d", &i)
	require.NoError(t, err)
	assert.Equal(t, 1, i%3)
}

func TestOwnersWithTheSameViewPickDifferentRacks(t *testing.T) {
	vm := model.Resources{MilliCPU: 1000, MemoryMiB: 1000}
	picks := map[model.PartitionID]bool{}
	for owner := range uint64(20) {
		v := NewPicker(owner)
		for i := range 50 {
			v.Update(Rack{
				Partition: model.PartitionID(fmt.Sprint("rack/", i)), FreePerWorker: []model.Resources{vm},
				LargestVM: vm, Domains: []model.FailureDomain{"a"},
			})
		}
		picks[v.Pick(Query{Size: vm}, 1)[0]] = true
	}
	assert.Greater(t, len(picks), 10)
}

func TestReleasedCapacityIsPickedAgain(t *testing.T) {
	v := uniform(1000, func(int) model.FailureDomain { return "a" })
	half := model.Resources{MilliCPU: 500, MemoryMiB: 500}
	v.Release("rack/7", half)
	assert.Equal(t, []model.PartitionID{"rack/7"}, v.Pick(Query{Size: half}, 1))
	for range 100 {
		v.Release("rack/7", half)
	}
	assert.LessOrEqual(t, len(v.racks["rack/7"].FreePerWorker), maxRoom)
}

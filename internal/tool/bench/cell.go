package main

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/candidate"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

// cell is a set of rack partitions and their lagging summaries.
type cell struct {
	racks    map[model.PartitionID]*rack.Rack
	order    []model.PartitionID
	position map[model.PartitionID]int
	views    []*candidate.Picker // one per owner that picks racks
}

func newCell(vms []model.VM, policy rack.Policy, owners int) *cell {
	c := &cell{racks: make(map[model.PartitionID]*rack.Rack), position: make(map[model.PartitionID]int)}
	byRack := make(map[model.PartitionID][]model.VM)
	for _, vm := range vms {
		id := vm.Partition()
		if byRack[id] == nil {
			c.order = append(c.order, id)
		}
		byRack[id] = append(byRack[id], vm)
	}
	for i, id := range c.order {
		c.racks[id] = rack.New(rack.Options{Policy: policy})
		c.racks[id].SetVMs(byRack[id], 0)
		c.position[id] = i
	}
	for owner := range owners {
		c.views = append(c.views, candidate.NewPicker(uint64(owner+1)))
	}
	c.summarize()
	return c
}

// summarize refreshes the summaries of all racks.
func (c *cell) summarize() {
	for i := range c.order {
		c.refresh(i)
	}
}

func (c *cell) refresh(i int) {
	s := c.racks[c.order[i]].Summary()
	for _, view := range c.views {
		view.Update(candidate.Rack{
			Partition: c.order[i], FreePerWorker: s.FreeShapes, LargestVM: s.LargestVM, Domains: s.Domains,
		})
	}
}

// capacity adds up what the racks offer now.
func (c *cell) capacity() model.Resources {
	var total model.Resources
	for _, id := range c.order {
		total = total.Add(c.racks[id].Summary().Capacity)
	}
	return total
}

func (c *cell) check() error {
	for _, r := range c.racks {
		if err := r.Invariant(); err != nil {
			return err
		}
	}
	return nil
}

// running is a task that ends at a reading of the virtual clock.
type running struct {
	end   time.Duration
	start time.Duration
	team  int
	rack  model.PartitionID
	vm    model.VMID
	offer rack.Offer
}

// endHeap orders running tasks by their end.
type endHeap []running

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(running)) }
func (h *endHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// rackBatch is what owners offer to one rack within a tick.
type rackBatch struct {
	rack   model.PartitionID
	offers []rack.Offer
}

// distribute lets an owner pick a rack for each offer, unless a rack holds a
// worker for the task.
func (c *cell) distribute(owner int, offers []rack.Offer, held map[model.TaskID]model.PartitionID) []rackBatch {
	byRack := make(map[model.PartitionID][]rack.Offer)
	for _, o := range offers {
		if id, ok := held[o.Task]; ok {
			byRack[id] = append(byRack[id], o)
			continue
		}
		picked := c.views[owner].Pick(candidate.Query{Size: o.Size, Domains: o.Domains}, 1)
		if len(picked) > 0 {
			c.views[owner].Reserve(picked[0], o.Size)
			byRack[picked[0]] = append(byRack[picked[0]], o)
		}
	}
	batches := make([]rackBatch, 0, len(byRack))
	for _, id := range c.order {
		if len(byRack[id]) > 0 {
			batches = append(batches, rackBatch{id, byRack[id]})
		}
	}
	return batches
}

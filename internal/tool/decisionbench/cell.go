package main

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/candidate"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

// cell is a set of rack partitions and, for each owner, a Picker built from the
// racks' last summaries.
type cell struct {
	racks      map[model.PartitionID]*rack.Rack
	partitions []model.PartitionID
	position   map[model.PartitionID]int // index in partitions
	views      []*candidate.Picker       // one for each team owner
}

func newCell(vms []model.VM, policy rack.Policy, owners int) *cell {
	c := &cell{racks: make(map[model.PartitionID]*rack.Rack), position: make(map[model.PartitionID]int)}
	byRack := make(map[model.PartitionID][]model.VM)
	for _, vm := range vms {
		id := vm.Partition()
		if byRack[id] == nil {
			c.partitions = append(c.partitions, id)
		}
		byRack[id] = append(byRack[id], vm)
	}
	for i, id := range c.partitions {
		c.racks[id] = rack.New(rack.Options{Policy: policy})
		c.racks[id].SetVMs(byRack[id], 0)
		c.position[id] = i
	}
	for owner := range owners {
		c.views = append(c.views, candidate.NewPicker(uint64(owner+1)))
	}
	c.updateSummaries()
	return c
}

// updateSummaries updates all owners' views with the current summaries of all racks.
func (c *cell) updateSummaries() {
	for i := range c.partitions {
		c.updateSummary(i)
	}
}

// updateSummary updates all owners' views with the current summary of one rack.
func (c *cell) updateSummary(i int) {
	s := c.racks[c.partitions[i]].Summary()
	for _, view := range c.views {
		view.Update(candidate.Rack{
			Partition: c.partitions[i], FreeShapes: s.FreeShapes, LargestVM: s.LargestVM, Domains: s.Domains,
		})
	}
}

// capacity returns the total capacity that is in service.
func (c *cell) capacity() model.Resources {
	var total model.Resources
	for _, id := range c.partitions {
		total = total.Add(c.racks[id].Summary().Capacity)
	}
	return total
}

func (c *cell) checkInvariants() error {
	for _, r := range c.racks {
		if err := r.Invariant(); err != nil {
			return err
		}
	}
	return nil
}

// runningTask is a task with its start and end on the virtual clock.
type runningTask struct {
	end   time.Duration
	start time.Duration
	team  int
	rack  model.PartitionID
	vm    model.VMID
	offer rack.Offer
}

// runningHeap is a heap of running tasks, earliest end first.
type runningHeap []runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningTask)) }
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// rackBatch holds the offers of one owner to one rack within a tick.
type rackBatch struct {
	rack   model.PartitionID
	offers []rack.Offer
}

// distribute picks a rack for each offer from the owner's view. A task for which
// a rack holds a worker is offered to that rack. It leaves out offers that fit no
// rack in the view.
func (c *cell) distribute(owner int, offers []rack.Offer, heldRack map[model.TaskID]model.PartitionID) []rackBatch {
	byRack := make(map[model.PartitionID][]rack.Offer)
	for _, o := range offers {
		if id, ok := heldRack[o.Task]; ok {
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
	for _, id := range c.partitions {
		if len(byRack[id]) > 0 {
			batches = append(batches, rackBatch{id, byRack[id]})
		}
	}
	return batches
}

package teamowner

import (
	"math/rand/v2"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/candidate"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// destination is a partition that work can be sent to: its last summary, less the
// capacity of the work sent since.
type destination struct {
	summary   *peerpb.PartitionSummary
	id        model.PartitionID
	epoch     model.Epoch
	free      model.Resources
	largestVM model.Resources
	domains   []model.FailureDomain
	waiting   int
}

// capacityView is the owner's view of free capacity, which lags behind the
// partitions. Owner.mu guards it.
type capacityView struct {
	racks        map[model.PartitionID]*destination
	picker       *candidate.Picker
	targets      map[model.ServiceID][]*destination
	workerShapes []workerShape   // distinct shapes of all listed workers
	freed        bool            // a rack reported free capacity since takeFreed
	total        model.Resources // capacity of all racks and target groups in the last summaries
}

func newCapacityView(seed uint64) capacityView {
	return capacityView{
		racks:   map[model.PartitionID]*destination{},
		picker:  candidate.NewPicker(seed),
		targets: map[model.ServiceID][]*destination{},
	}
}

// reconciledEpoch returns the epoch for which permits can be granted on a partition,
// and false if there is none.
type reconciledEpoch func(model.PartitionID) (model.Epoch, bool)

// refresh applies the newest summaries of the partitions on which permits can be
// granted.
func (v *capacityView) refresh(racks, targets []*peerpb.PartitionSummary, reconciled reconciledEpoch) {
	v.total = model.Resources{}
	listed := make(map[model.PartitionID]bool, len(racks))
	for _, summary := range racks {
		v.total = v.total.Add(convert.Resources(summary.GetCapacity()))
		if p := newDestination(summary, reconciled); p != nil {
			listed[p.id] = true
			v.setRack(p)
		}
	}
	for id := range v.racks {
		if !listed[id] {
			delete(v.racks, id)
			v.picker.Remove(id)
		}
	}
	v.targets = map[model.ServiceID][]*destination{}
	for _, summary := range targets {
		v.total = v.total.Add(convert.Resources(summary.GetCapacity()))
		if p := newDestination(summary, reconciled); p != nil {
			service := p.service()
			v.targets[service] = append(v.targets[service], p)
		}
	}
}

// setRack replaces a rack's summary. It does nothing if this summary was already
// applied, so that capacity offered since stays deducted.
func (v *capacityView) setRack(p *destination) {
	if present := v.racks[p.id]; present != nil && present.summary == p.summary {
		return
	}
	v.freed = v.freed || len(p.summary.GetRoom()) > 0
	v.racks[p.id] = p
	v.picker.Update(candidate.Rack{
		Partition:  p.id,
		FreeShapes: convert.ResourcesList(p.summary.GetRoom()),
		LargestVM:  p.largestVM,
		Domains:    p.domains,
	})
}

// newDestination returns the destination of a summary, or nil if permits cannot be
// granted for the summary's epoch.
func newDestination(summary *peerpb.PartitionSummary, reconciled reconciledEpoch) *destination {
	id := model.PartitionID(summary.GetPartition())
	epoch, ok := reconciled(id)
	if !ok || epoch != model.Epoch(summary.GetEpoch()) {
		return nil
	}
	return &destination{
		summary:   summary,
		id:        id,
		epoch:     epoch,
		free:      convert.Resources(summary.GetFree()),
		largestVM: convert.Resources(summary.GetLargestVm()),
		domains:   convert.Domains(summary.GetFailureDomains()),
		waiting:   int(summary.GetWaiting()),
	}
}

// service returns the service of a target group, which is its partition's name up
// to the first slash.
func (p *destination) service() model.ServiceID {
	name := p.id.Name()
	for i := range name {
		if name[i] == '/' {
			return model.ServiceID(name[:i])
		}
	}
	return model.ServiceID(name)
}

// pickTargetGroup returns the less loaded of a few random target groups of the
// service and adds the request to its load.
func (v *capacityView) pickTargetGroup(service model.ServiceID, avoid []string) (*destination, bool) {
	groups := v.targets[service]
	if len(avoid) > 0 {
		groups = excluding(groups, avoid)
	}
	if len(groups) == 0 {
		return nil, false
	}
	first := rand.IntN(len(groups))
	chosen := groups[first]
	// Compares two groups, and more only while none has a free slot.
	for i := 1; i < len(groups) && (i < 2 || chosen.free.Slots <= 0); i++ {
		chosen = lessLoaded(chosen, groups[(first+i)%len(groups)])
	}
	if chosen.free.Slots > 0 {
		chosen.free.Slots--
	} else {
		chosen.waiting++
	}
	return chosen, true
}

// excluding returns the groups without those to avoid, or all groups if that
// leaves none.
func excluding(groups []*destination, avoid []string) []*destination {
	kept := make([]*destination, 0, len(groups))
	for _, p := range groups {
		if !slices.Contains(avoid, string(p.id)) {
			kept = append(kept, p)
		}
	}
	if len(kept) == 0 {
		return groups
	}
	return kept
}

// lessLoaded returns the group with more free slots, or the one with fewer waiting
// requests if neither has a free slot.
func lessLoaded(a, b *destination) *destination {
	if max(a.free.Slots, b.free.Slots) <= 0 && a.waiting != b.waiting {
		if a.waiting < b.waiting {
			return a
		}
		return b
	}
	if b.free.Slots > a.free.Slots {
		return b
	}
	return a
}

// takeFreed reports whether a rack has reported free capacity since the last call.
func (v *capacityView) takeFreed() bool {
	freed := v.freed
	v.freed = false
	return freed
}

// pickRack returns a rack to offer a task of the job to, and whether the task fits
// there according to the view; ok is false if there is no rack. It deducts the task
// from the view.
func (v *capacityView) pickRack(job model.Job, domainOut func(model.FailureDomain) bool) (rack *destination, fits, ok bool) {
	ids := v.picker.Pick(candidate.Query{
		Size:      job.Size,
		Domains:   job.FailureDomains,
		DomainOut: domainOut,
	}, 1)
	if len(ids) == 0 || v.racks[ids[0]] == nil {
		return nil, false, false
	}
	rack = v.racks[ids[0]]
	fits = v.picker.HasFreeCapacity(rack.id, job.Size)
	v.picker.Reserve(rack.id, job.Size)
	return rack, fits, true
}

// delaysBeforeMove is the number of consecutive delays after which a task is
// offered to another full rack.
const delaysBeforeMove = 16

// chooseFullRack returns the rack to offer a task to if it fits on no rack now:
// the rack of the job's last refused offer, which may hold a worker for it, or the
// picked one after every delaysBeforeMove delays.
func (v *capacityView) chooseFullRack(picked *destination, offerable team.OfferableJob) *destination {
	last := v.racks[offerable.RefusedBy]
	if last == nil || offerable.Delays%delaysBeforeMove == 0 {
		return picked
	}
	return last
}

// canEverFit reports whether a task of the job would fit on any listed worker of
// an allowed failure domain if the worker were empty and in service. It returns
// true while no worker is listed.
func (v *capacityView) canEverFit(job model.Job) bool {
	if len(v.workerShapes) == 0 {
		return true
	}
	for _, s := range v.workerShapes {
		if job.AllowsDomain(s.domain) && job.Size.Fits(s.capacity) {
			return true
		}
	}
	return false
}

// workerShape is the failure domain and capacity of some worker.
type workerShape struct {
	domain   model.FailureDomain
	capacity model.Resources
}

// setWorkers applies the VM list, including workers that are out of service or
// unresponsive.
func (v *capacityView) setWorkers(vms []model.VM) {
	v.workerShapes = v.workerShapes[:0]
	for _, vm := range vms {
		if vm.Role != model.RoleWorker {
			continue
		}
		s := workerShape{domain: vm.FailureDomain, capacity: vm.Capacity}
		if !slices.Contains(v.workerShapes, s) {
			v.workerShapes = append(v.workerShapes, s)
		}
	}
}

// allowsAnyDomain reports whether the rack has a failure domain that is in service
// and that the job allows.
func (p *destination) allowsAnyDomain(job model.Job, out func(model.FailureDomain) bool) bool {
	for _, domain := range p.domains {
		if job.AllowsDomain(domain) && !out(domain) {
			return true
		}
	}
	return false
}

// update applies a newer summary of a rack.
func (v *capacityView) update(summary *peerpb.PartitionSummary, reconciled reconciledEpoch) {
	if p := newDestination(summary, reconciled); p != nil {
		v.setRack(p)
	}
}

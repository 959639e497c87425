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

// place is a partition that work can be sent to, by its last summary and what
// has been sent since.
type place struct {
	summary   *peerpb.PartitionSummary
	id        model.PartitionID
	epoch     model.Epoch
	free      model.Resources
	largestVM model.Resources
	domains   []model.FailureDomain
	waiting   int
}

// capacityView is the owner's lagging view of free capacity. The owner's lock
// guards it.
type capacityView struct {
	racks   map[model.PartitionID]*place
	picker  *candidate.View
	targets map[model.ServiceID][]*place
	shapes  []shape // distinct ones of all listed workers
	news    bool    // a rack told of room since takeNews
	total   model.Resources
}

func newCapacityView(seed uint64) capacityView {
	return capacityView{
		racks:   map[model.PartitionID]*place{},
		picker:  candidate.NewView(seed),
		targets: map[model.ServiceID][]*place{},
	}
}

// settledEpoch tells for which epoch permits can be granted on a partition.
type settledEpoch func(model.PartitionID) (model.Epoch, bool)

// refresh takes over the newest summaries of the partitions that permits can
// be granted on.
func (v *capacityView) refresh(racks, targets []*peerpb.PartitionSummary, settled settledEpoch) {
	v.total = model.Resources{}
	listed := make(map[model.PartitionID]bool, len(racks))
	for _, summary := range racks {
		v.total = v.total.Add(convert.Resources(summary.GetCapacity()))
		if p := newPlace(summary, settled); p != nil {
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
	v.targets = map[model.ServiceID][]*place{}
	for _, summary := range targets {
		v.total = v.total.Add(convert.Resources(summary.GetCapacity()))
		if p := newPlace(summary, settled); p != nil {
			service := p.service()
			v.targets[service] = append(v.targets[service], p)
		}
	}
}

// setRack replaces a rack's summary by a newer one. The same one again changes
// nothing, so that what has been offered since stays deducted.
func (v *capacityView) setRack(p *place) {
	if known := v.racks[p.id]; known != nil && known.summary == p.summary {
		return
	}
	v.news = v.news || len(p.summary.GetRoom()) > 0
	v.racks[p.id] = p
	v.picker.Update(candidate.Rack{
		Partition: p.id,
		Room:      convert.ResourcesList(p.summary.GetRoom()),
		LargestVM: p.largestVM,
		Domains:   p.domains,
	})
}

func newPlace(summary *peerpb.PartitionSummary, settled settledEpoch) *place {
	id := model.PartitionID(summary.GetPartition())
	epoch, ok := settled(id)
	if !ok || epoch != model.Epoch(summary.GetEpoch()) {
		return nil
	}
	return &place{
		summary:   summary,
		id:        id,
		epoch:     epoch,
		free:      convert.Resources(summary.GetFree()),
		largestVM: convert.Resources(summary.GetLargestVm()),
		domains:   convert.Domains(summary.GetFailureDomains()),
		waiting:   int(summary.GetWaiting()),
	}
}

// service returns the service of a target group.
func (p *place) service() model.ServiceID {
	name := p.id.Name()
	for i := range name {
		if name[i] == '/' {
			return model.ServiceID(name[:i])
		}
	}
	return model.ServiceID(name)
}

// pickTargets returns the less loaded of a few random target groups of the
// service and counts the request against it.
func (v *capacityView) pickTargets(service model.ServiceID, avoid []string) (*place, bool) {
	places := v.targets[service]
	if len(avoid) > 0 {
		places = without(places, avoid)
	}
	if len(places) == 0 {
		return nil, false
	}
	first := rand.IntN(len(places))
	chosen := places[first]
	// Two different groups at first; more only while none has a free slot.
	for i := 1; i < len(places) && (i < 2 || chosen.free.Slots <= 0); i++ {
		chosen = lessLoaded(chosen, places[(first+i)%len(places)])
	}
	if chosen.free.Slots > 0 {
		chosen.free.Slots--
	} else {
		chosen.waiting++
	}
	return chosen, true
}

// without drops the places to avoid, unless that leaves none.
func without(places []*place, avoid []string) []*place {
	kept := make([]*place, 0, len(places))
	for _, p := range places {
		if !slices.Contains(avoid, string(p.id)) {
			kept = append(kept, p)
		}
	}
	if len(kept) == 0 {
		return places
	}
	return kept
}

// lessLoaded returns the group with more free slots, or with fewer requests
// waiting if neither has any.
func lessLoaded(a, b *place) *place {
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

// takeNews reports whether a rack has told of room since the last call.
func (v *capacityView) takeNews() bool {
	news := v.news
	v.news = false
	return news
}

// pickRack returns the rack that a task of the job is offered to, and whether
// it had room by the last summaries.
func (v *capacityView) pickRack(job model.Job, domainOut func(model.FailureDomain) bool) (rack *place, room, ok bool) {
	ids := v.picker.Pick(candidate.Query{
		Size:    job.Size,
		Domains: job.FailureDomains,
		Out:     domainOut,
	}, 1)
	if len(ids) == 0 || v.racks[ids[0]] == nil {
		return nil, false, false
	}
	rack = v.racks[ids[0]]
	room = v.picker.HasRoom(rack.id, job.Size)
	v.picker.Take(rack.id, job.Size)
	return rack, room, true
}

// moveAfter is the number of refusals after which a task is offered to another
// full rack.
const moveAfter = 16

// stay returns the full rack that a task without room is offered to: the one
// that refused it last, which may hold a worker for it, and another now and
// then.
func (v *capacityView) stay(picked *place, candidate team.Candidate) *place {
	last := v.racks[candidate.RefusedBy]
	if last == nil || candidate.Refusals%moveAfter == 0 {
		return picked
	}
	return last
}

// canEverFit reports whether any listed worker would run a task of the job if
// it were empty and in service. It is true while no worker is listed.
func (v *capacityView) canEverFit(job model.Job) bool {
	if len(v.shapes) == 0 {
		return true
	}
	for _, s := range v.shapes {
		if job.AllowsDomain(s.domain) && job.Size.Fits(s.capacity) {
			return true
		}
	}
	return false
}

// shape is a capacity that some worker of a failure domain has.
type shape struct {
	domain   model.FailureDomain
	capacity model.Resources
}

// setWorkers takes over the VM list, whatever is out of service or silent.
func (v *capacityView) setWorkers(vms []model.VM) {
	v.shapes = v.shapes[:0]
	for _, vm := range vms {
		if vm.Role != model.RoleWorker {
			continue
		}
		s := shape{domain: vm.FailureDomain, capacity: vm.Capacity}
		if !slices.Contains(v.shapes, s) {
			v.shapes = append(v.shapes, s)
		}
	}
}

// allowsAny reports whether one of the rack's failure domains in service suits
// the job.
func (p *place) allowsAny(job model.Job, out func(model.FailureDomain) bool) bool {
	for _, domain := range p.domains {
		if job.AllowsDomain(domain) && !out(domain) {
			return true
		}
	}
	return false
}

// update replaces what is known of a rack by a newer summary.
func (v *capacityView) update(summary *peerpb.PartitionSummary, settled settledEpoch) {
	if p := newPlace(summary, settled); p != nil {
		v.setRack(p)
	}
}

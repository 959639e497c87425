package teamowner

import (
	"math/rand/v2"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// place is a partition that work can be sent to, by its last summary and what
// has been sent since.
type place struct {
	id          model.PartitionID
	epoch       model.Epoch
	free        model.Resources
	largestFree model.Resources
	largestVM   model.Resources
	domains     []model.FailureDomain
	waiting     int
}

// capacityView is the owner's lagging view of free capacity. The owner's lock
// guards it.
type capacityView struct {
	racks   []*place
	targets map[model.ServiceID][]*place
	total   model.Resources
}

// settledEpoch tells for which epoch permits can be granted on a partition.
type settledEpoch func(model.PartitionID) (model.Epoch, bool)

// newView builds a view of the partitions that permits can be granted on.
func newView(racks, targets []*peerpb.PartitionSummary, settled settledEpoch) capacityView {
	view := capacityView{targets: map[model.ServiceID][]*place{}}
	for _, summary := range racks {
		view.total = view.total.Add(convert.Resources(summary.GetCapacity()))
		if p := newPlace(summary, settled); p != nil {
			view.racks = append(view.racks, p)
		}
	}
	for _, summary := range targets {
		view.total = view.total.Add(convert.Resources(summary.GetCapacity()))
		if p := newPlace(summary, settled); p != nil {
			service := p.service()
			view.targets[service] = append(view.targets[service], p)
		}
	}
	return view
}

func newPlace(summary *peerpb.PartitionSummary, settled settledEpoch) *place {
	id := model.PartitionID(summary.GetPartition())
	epoch, ok := settled(id)
	if !ok || epoch != model.Epoch(summary.GetEpoch()) {
		return nil
	}
	return &place{
		id:          id,
		epoch:       epoch,
		free:        convert.Resources(summary.GetFree()),
		largestFree: convert.Resources(summary.GetLargestFree()),
		largestVM:   convert.Resources(summary.GetLargestVm()),
		domains:     convert.Domains(summary.GetFailureDomains()),
		waiting:     int(summary.GetWaiting()),
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

// pickTargets returns the less loaded of two random target groups of the
// service and counts the request against it.
func (v *capacityView) pickTargets(service model.ServiceID, avoid []string) (*place, bool) {
	places := v.targets[service]
	if len(avoid) > 0 {
		places = without(places, avoid)
	}
	if len(places) == 0 {
		return nil, false
	}
	chosen := lessLoaded(places[rand.IntN(len(places))], places[rand.IntN(len(places))])
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

func lessLoaded(a, b *place) *place {
	if a.waiting != b.waiting {
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

// pickRack returns the emptier of two random racks on which a task of the job
// fits, by the last summaries.
func (v *capacityView) pickRack(job model.Job, domainOut func(model.FailureDomain) bool) (*place, bool) {
	var fitting []*place
	for _, p := range v.racks {
		if job.Size.Fits(p.largestFree) && job.Size.Fits(p.free) && p.allows(job, domainOut) {
			fitting = append(fitting, p)
		}
	}
	if len(fitting) == 0 {
		return nil, false
	}
	a := fitting[rand.IntN(len(fitting))]
	b := fitting[rand.IntN(len(fitting))]
	if b.free.DominantShare(v.total) > a.free.DominantShare(v.total) {
		return b, true
	}
	return a, true
}

// canEverFit reports whether any rack has a VM that an empty fleet would run a
// task of the job on. It is true while no rack is known.
func (v *capacityView) canEverFit(job model.Job) bool {
	if len(v.racks) == 0 {
		return true
	}
	for _, p := range v.racks {
		if job.Size.Fits(p.largestVM) && p.allows(job, nil) {
			return true
		}
	}
	return false
}

// allows reports whether one of the rack's failure domains suits the job.
func (p *place) allows(job model.Job, domainOut func(model.FailureDomain) bool) bool {
	for _, domain := range p.domains {
		if domainOut != nil && domainOut(domain) {
			continue
		}
		if job.AllowsDomain(domain) {
			return true
		}
	}
	return false
}

// update replaces what is known of a rack by a newer summary.
func (v *capacityView) update(summary *peerpb.PartitionSummary) {
	for _, p := range v.racks {
		if string(p.id) == summary.GetPartition() && uint64(p.epoch) == summary.GetEpoch() {
			p.free = convert.Resources(summary.GetFree())
			p.largestFree = convert.Resources(summary.GetLargestFree())
		}
	}
}

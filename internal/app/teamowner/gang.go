package teamowner

import (
	"context"
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// planGang grants permits for all waiting tasks of a gang. Without room under
// the upper limit for all it grants none. Racks that seem full are asked too:
// they may hold workers for the gang.
func (o *Owner) planGang(candidate team.Candidate) (offerSet, bool) {
	now := o.env.Clock().Now()
	job := candidate.Job
	gang := offerSet{}
	for range candidate.Waiting {
		rack, _, ok := o.view.pickRack(job, o.env.Config().DomainOut)
		if !ok {
			o.takeBack(gang)
			return nil, false
		}
		offer, err := o.state.OfferTask(job.ID, rack.id, rack.epoch, now)
		if err != nil {
			o.takeBack(gang)
			return nil, false
		}
		gang[rack.id] = append(gang[rack.id], offer)
		o.offered++
	}
	return gang, true
}

// takeBack returns the permits of a gang that was not sent. The owner is
// locked.
func (o *Owner) takeBack(gang offerSet) {
	now := o.env.Clock().Now()
	for _, tasks := range gang {
		o.offered -= len(tasks)
		for _, task := range tasks {
			o.state.Refused(task.Permit.ID, false, now)
			o.state.Delay(task.Job.ID, now)
		}
	}
}

// startGang reserves a gang on its racks and commits it if all of them agree.
func (o *Owner) startGang(ctx context.Context, gang offerSet) {
	var all []team.TaskOffer
	for _, tasks := range gang {
		all = append(all, tasks...)
	}
	if err := o.call(func() { o.runGang(ctx, gang, all) }); err != nil {
		o.refuseAll(all)
	}
}

func (o *Owner) runGang(ctx context.Context, gang offerSet, all []team.TaskOffer) {
	if err := o.intendTasks(ctx, all); err != nil || !o.mayAct() {
		o.refuseAll(all)
		return
	}
	if !o.reserveGang(ctx, gang) {
		o.endGang(ctx, gang, false)
		o.refuseAll(all)
		return
	}
	if !o.mayAct() {
		o.endGang(ctx, gang, false)
		o.refuseAll(all)
		return
	}
	o.endGang(ctx, gang, true)
}

// reserveGang asks all racks at once and reports whether each reserved its
// whole part.
func (o *Owner) reserveGang(ctx context.Context, gang offerSet) bool {
	var wg sync.WaitGroup
	agreed := make(chan bool, len(gang))
	for partition, tasks := range gang {
		wg.Add(1)
		go func() {
			defer wg.Done()
			agreed <- o.reservePart(ctx, partition, tasks)
		}()
	}
	wg.Wait()
	close(agreed)
	for ok := range agreed {
		if !ok {
			return false
		}
	}
	return true
}

func (o *Owner) reservePart(ctx context.Context, partition model.PartitionID, tasks []team.TaskOffer) bool {
	address, _, ok := o.env.Owner(partition)
	if !ok {
		return false
	}
	reply, err := o.offer(ctx, partition, address, tasks, true)
	if err != nil || reply.GetRefusal() != nil || len(reply.GetResults()) != len(tasks) {
		return false
	}
	for _, result := range reply.GetResults() {
		if result.GetRefusal() != nil {
			return false
		}
	}
	return true
}

// endGang commits or releases the reservations on all racks.
func (o *Owner) endGang(ctx context.Context, gang offerSet, commit bool) {
	var wg sync.WaitGroup
	for partition, tasks := range gang {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o.endPart(ctx, partition, tasks, commit)
		}()
	}
	wg.Wait()
}

func (o *Owner) endPart(ctx context.Context, partition model.PartitionID, tasks []team.TaskOffer, commit bool) {
	ids := make([]string, 0, len(tasks))
	for _, task := range tasks {
		ids = append(ids, task.Permit.ID)
	}
	address, _, ok := o.env.Owner(partition)
	if !ok {
		if commit {
			o.forgetOffers(len(tasks), partition)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.env.Peer().Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_EndGang{EndGang: &peerpb.EndGang{
			Partition: string(partition),
			PermitIds: ids,
			Commit:    commit,
		}},
	})
	if !commit {
		return
	}
	reply := response.GetOfferTasks()
	switch {
	case err != nil || reply == nil:
		o.forgetOffers(len(tasks), partition)
	case reply.GetRefusal() != nil:
		o.refuseAll(tasks)
	default:
		o.takeResults(tasks, reply)
	}
}

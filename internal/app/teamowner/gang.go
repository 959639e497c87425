package teamowner

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// gangStart is one try to start all members of a gang at once.
type gangStart struct {
	job      model.Job
	racks    []*destination // ordered by id
	reserved offerSet
	missing  int // members without a reservation
}

// planGang returns a gangStart with all racks that have free capacity for a member,
// and delays the job's next offer.
// All gangs reserve on racks in the same order, and a rack refuses instead of
// waiting, so gangs cannot deadlock. The caller holds o.mu.
func (o *Owner) planGang(offerable team.OfferableJob) *gangStart {
	g := &gangStart{job: offerable.Job, reserved: offerSet{}, missing: offerable.Waiting}
	out := o.env.Config().IsDomainOut
	for _, rack := range o.view.racks {
		if g.job.Size.Fits(rack.free) && rack.allowsAnyDomain(g.job, out) {
			g.racks = append(g.racks, rack)
		}
	}
	slices.SortFunc(g.racks, func(a, b *destination) int { return cmp.Compare(a.id, b.id) })
	o.state.Delay(g.job.ID, o.env.Clock().Now())
	return g
}

// startGang runs the start of a gang on the pool.
func (o *Owner) startGang(ctx context.Context, g *gangStart) {
	if err := o.call(func() { o.runGang(ctx, g) }); err != nil {
		o.logger.WithError(err).Warn("starting a gang failed; retrying after the offer delay")
	}
}

// runGang reserves capacity for the members rack by rack and starts them if all
// have a reservation. Otherwise it releases the reservations.
func (o *Owner) runGang(ctx context.Context, g *gangStart) {
	for _, rack := range g.racks {
		if g.missing == 0 {
			break
		}
		o.reserveOn(ctx, g, rack)
	}
	commit := g.missing == 0 && o.mayAct()
	if commit {
		commit = o.appendTaskIntents(ctx, g.members()) == nil
	}
	o.endGang(ctx, g, commit)
	if !commit {
		o.withdrawOffers(g.members())
	}
}

// members returns all members with a reservation.
func (g *gangStart) members() []team.TaskOffer {
	var all []team.TaskOffer
	for _, tasks := range g.reserved {
		all = append(all, tasks...)
	}
	return all
}

// reserveOn reserves as many members on a rack as fit there.
func (o *Owner) reserveOn(ctx context.Context, g *gangStart, rack *destination) {
	address, _, ok := o.env.Owner(rack.id)
	if !ok || !o.mayAct() {
		return
	}
	tasks := o.grantGang(g, rack)
	if len(tasks) == 0 {
		return
	}
	reply, err := o.offer(ctx, rack.id, address, tasks, true)
	if err != nil || reply.GetRefusal() != nil || len(reply.GetResults()) != len(tasks) {
		// A reservation that the rack made for an unanswered offer expires there
		// without having started.
		o.withdrawOffers(tasks)
		return
	}
	var refused []team.TaskOffer
	for i, result := range reply.GetResults() {
		if result.GetRefusal() != nil {
			refused = append(refused, tasks[i])
			continue
		}
		g.reserved[rack.id] = append(g.reserved[rack.id], tasks[i])
		g.missing--
	}
	o.withdrawOffers(refused)
}

// grantGang grants permits on the rack for members without a reservation.
func (o *Owner) grantGang(g *gangStart, rack *destination) []team.TaskOffer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var tasks []team.TaskOffer
	now := o.env.Clock().Now()
	remaining := rack.free
	for range g.missing {
		if !g.job.Size.Fits(remaining) {
			break
		}
		offer, err := o.state.OfferTask(g.job.ID, rack.id, rack.epoch, now)
		if err != nil {
			break
		}
		remaining = remaining.Sub(g.job.Size)
		tasks = append(tasks, offer)
		o.offersInFlight++
	}
	return tasks
}

// endGang commits or releases the reservations on all racks.
func (o *Owner) endGang(ctx context.Context, g *gangStart, commit bool) {
	var wg sync.WaitGroup
	for partition, tasks := range g.reserved {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o.endGangOnRack(ctx, partition, tasks, commit)
		}()
	}
	wg.Wait()
}

// endGangOnRack commits or releases the reservations on one rack and applies the
// results of a commit.
func (o *Owner) endGangOnRack(ctx context.Context, partition model.PartitionID, tasks []team.TaskOffer, commit bool) {
	reply, err := o.sendEndGang(ctx, partition, tasks, commit)
	if !commit {
		return
	}
	switch {
	case err != nil || reply == nil:
		o.markOffersUnknown(len(tasks), partition)
	case reply.GetRefusal() != nil:
		o.withdrawOffers(tasks)
	default:
		o.applyResults(tasks, reply)
	}
}

// sendEndGang sends the commit or release to the rack's owner.
func (o *Owner) sendEndGang(ctx context.Context, partition model.PartitionID, tasks []team.TaskOffer, commit bool) (*peerpb.OfferTasksReply, error) {
	address, epoch, ok := o.env.Owner(partition)
	if !ok || epoch != tasks[0].Permit.PartitionEpoch {
		// The reservations ended with the session of the rack's previous owner.
		return &peerpb.OfferTasksReply{Refusal: convert.NewRefusal(peerpb.Refusal_NOT_OWNER, "the rack changed its owner")}, nil
	}
	ids := make([]string, 0, len(tasks))
	for _, task := range tasks {
		ids = append(ids, task.Permit.ID)
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
	return response.GetOfferTasks(), err
}

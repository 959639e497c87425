package rackowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// minReleaseDelay and maxReleaseDelay bound the delay before a release that a
	// team's owner did not acknowledge is repeated.
	minReleaseDelay = 50 * time.Millisecond
	maxReleaseDelay = 2 * time.Second
	// maxEndsPerRelease bounds the number of ends in one release.
	maxEndsPerRelease = 500
)

// attemptEnd is the certain end of an attempt, kept until the team's owner has
// acknowledged it.
type attemptEnd struct {
	team     model.TeamID
	permit   model.Permit
	task     model.TaskID
	attempt  int
	job      model.JobID
	vm       model.VMID
	state    port.TaskState
	detail   string
	needsAck bool // the worker keeps the end until it is acknowledged
}

// teamReleases are the ends that one team's owner has not acknowledged.
type teamReleases struct {
	ends     map[string]attemptEnd // by permit id
	inFlight bool
	nextAt   time.Duration
	delay    time.Duration
}

// releases holds the unacknowledged ends of all teams. The owner's lock guards it.
type releases struct {
	teams  map[model.TeamID]*teamReleases
	teamOf map[string]model.TeamID // permit id to team
}

func newReleases() *releases {
	return &releases{
		teams:  map[model.TeamID]*teamReleases{},
		teamOf: map[string]model.TeamID{},
	}
}

func (r *releases) add(e attemptEnd, now time.Duration) {
	team := r.teams[e.team]
	if team == nil {
		team = &teamReleases{ends: map[string]attemptEnd{}, delay: minReleaseDelay}
		r.teams[e.team] = team
	}
	if len(team.ends) == 0 {
		team.nextAt = now
	}
	team.ends[e.permit.ID] = e
	r.teamOf[e.permit.ID] = e.team
}

// contains reports whether the end of the permit's attempt is unacknowledged.
func (r *releases) contains(permit string) bool {
	_, ok := r.teamOf[permit]
	return ok
}

func (r *releases) remove(permit string) {
	team, ok := r.teamOf[permit]
	if !ok {
		return
	}
	delete(r.teamOf, permit)
	delete(r.teams[team].ends, permit)
}

// endsOf returns the unacknowledged ends of a team.
func (r *releases) endsOf(team model.TeamID) []attemptEnd {
	state := r.teams[team]
	if state == nil {
		return nil
	}
	ends := make([]attemptEnd, 0, len(state.ends))
	for _, e := range state.ends {
		ends = append(ends, e)
	}
	return ends
}

// sendReleases sends the due releases of ended attempts to the owners of their
// teams.
func (o *Owner) sendReleases(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for team, state := range o.releases.teams {
		if state.inFlight || len(state.ends) == 0 || now < state.nextAt {
			continue
		}
		address, _, ok := o.env.Owner(model.TeamPartition(team))
		if !ok {
			continue
		}
		ends := truncate(o.releases.endsOf(team), maxEndsPerRelease)
		state.inFlight = true
		if err := o.pool.Submit(func() { o.sendRelease(ctx, team, address, ends) }); err != nil {
			state.inFlight = false
		}
	}
}

func truncate(ends []attemptEnd, limit int) []attemptEnd {
	return ends[:min(len(ends), limit)]
}

// sendRelease sends one batch of ends and removes them once acknowledged.
func (o *Owner) sendRelease(ctx context.Context, team model.TeamID, address string, ends []attemptEnd) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := &peerpb.ReleasePermits{
		Team:           string(team),
		Partition:      string(o.id),
		PartitionEpoch: uint64(o.epoch),
	}
	for _, e := range ends {
		message.Tasks = append(message.Tasks, &peerpb.TaskEnd{
			TaskId:   string(e.task),
			Attempt:  int32(e.attempt),
			PermitId: e.permit.ID,
			State:    string(e.state),
			Detail:   e.detail,
			JobId:    string(e.job),
			Vm:       string(e.vm),
		})
	}
	response, err := o.env.Peer().Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_ReleasePermits{ReleasePermits: message},
	})
	ack := response.GetAck()
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.releases.teams[team]
	state.inFlight = false
	now := o.env.Clock().Now()
	if err != nil || ack == nil || ack.GetRefusal() != nil {
		state.nextAt = now + state.delay
		state.delay = min(2*state.delay, maxReleaseDelay)
		return
	}
	state.delay = minReleaseDelay
	state.nextAt = now
	for _, e := range ends {
		o.acknowledge(e)
	}
}

// acknowledge removes an end and queues its acknowledgement to the worker, which
// then drops it too. The owner is locked.
func (o *Owner) acknowledge(e attemptEnd) {
	o.releases.remove(e.permit.ID)
	state := o.workers[e.vm]
	if !e.needsAck || state == nil {
		return
	}
	state.acks = append(state.acks, port.TaskAttempt{Task: e.task, Attempt: e.attempt})
}

// usage returns the team's reservations and unacknowledged ends on this rack, and
// the capacity of workers that may still run tasks of a previous owner. It raises
// the team's fence first, so that permits which the team's owner has revoked are
// no longer accepted.
func (o *Owner) usage(call *peerpb.UsageQuery) *peerpb.UsageReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &peerpb.UsageReply{Partition: string(o.id), PartitionEpoch: uint64(o.epoch)}
	team := model.TeamID(call.GetTeam())
	if err := o.fence.Raise(team, model.Epoch(call.GetTeamEpoch()), call.GetMinSequence()); err != nil {
		reply.Refusal = convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
		return reply
	}
	for _, reservation := range o.rack.Reservations(team) {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{
			Permit:  convert.PermitPB(reservation.Permit),
			TaskId:  string(reservation.Task),
			JobId:   string(reservation.Job),
			Attempt: int32(reservation.Attempt),
		})
	}
	for _, e := range o.releases.endsOf(team) {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{
			Permit:  convert.PermitPB(e.permit),
			TaskId:  string(e.task),
			JobId:   string(e.job),
			Attempt: int32(e.attempt),
			Ended:   true,
		})
	}
	uncertain := o.unreportedCapacity()
	reply.Certain = uncertain.IsZero()
	reply.Uncertain = convert.ResourcesPB(uncertain)
	return reply
}

// unreportedCapacity returns the capacity of the workers that may still run tasks
// of a previous owner, because they have not reported to this one and their
// leases have not expired. The owner is locked.
func (o *Owner) unreportedCapacity() model.Resources {
	var total model.Resources
	for _, state := range o.workers {
		if !state.reported && !state.expired {
			total = total.Add(state.vm.Capacity)
		}
	}
	return total
}

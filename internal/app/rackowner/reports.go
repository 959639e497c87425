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
	// minReportDelay and maxReportDelay bound the delay before a report that a
	// team's owner did not acknowledge is repeated.
	minReportDelay = 50 * time.Millisecond
	maxReportDelay = 2 * time.Second
	// maxEndsPerReport bounds the number of ends in one report.
	maxEndsPerReport = 500
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

// teamReports are the ends that one team's owner has not acknowledged.
type teamReports struct {
	ends     map[string]attemptEnd // by permit id
	inFlight bool
	nextAt   time.Duration
	delay    time.Duration
}

// reports holds the unacknowledged ends of all teams. The owner's lock guards it.
type reports struct {
	teams  map[model.TeamID]*teamReports
	teamOf map[string]model.TeamID // permit id to team
}

func newReports() *reports {
	return &reports{
		teams:  map[model.TeamID]*teamReports{},
		teamOf: map[string]model.TeamID{},
	}
}

func (r *reports) add(e attemptEnd, now time.Duration) {
	team := r.teams[e.team]
	if team == nil {
		team = &teamReports{ends: map[string]attemptEnd{}, delay: minReportDelay}
		r.teams[e.team] = team
	}
	if len(team.ends) == 0 {
		team.nextAt = now
	}
	team.ends[e.permit.ID] = e
	r.teamOf[e.permit.ID] = e.team
}

// contains reports whether the end of the permit's attempt is unacknowledged.
func (r *reports) contains(permit string) bool {
	_, ok := r.teamOf[permit]
	return ok
}

func (r *reports) remove(permit string) {
	team, ok := r.teamOf[permit]
	if !ok {
		return
	}
	delete(r.teamOf, permit)
	delete(r.teams[team].ends, permit)
}

// endsOf returns the unacknowledged ends of a team.
func (r *reports) endsOf(team model.TeamID) []attemptEnd {
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

// sendReports sends the due reports of ends to the owners of their teams.
func (o *Owner) sendReports(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for team, state := range o.reports.teams {
		if state.inFlight || len(state.ends) == 0 || now < state.nextAt {
			continue
		}
		address, _, ok := o.env.Owner(model.TeamPartition(team))
		if !ok {
			continue
		}
		ends := truncate(o.reports.endsOf(team), maxEndsPerReport)
		state.inFlight = true
		if err := o.pool.Submit(func() { o.sendReport(ctx, team, address, ends) }); err != nil {
			state.inFlight = false
		}
	}
}

func truncate(ends []attemptEnd, limit int) []attemptEnd {
	return ends[:min(len(ends), limit)]
}

// sendReport sends one batch of ends and removes them once acknowledged.
func (o *Owner) sendReport(ctx context.Context, team model.TeamID, address string, ends []attemptEnd) {
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
	state := o.reports.teams[team]
	state.inFlight = false
	now := o.env.Clock().Now()
	if err != nil || ack == nil || ack.GetRefusal() != nil {
		state.nextAt = now + state.delay
		state.delay = min(2*state.delay, maxReportDelay)
		return
	}
	state.delay = minReportDelay
	state.nextAt = now
	for _, e := range ends {
		o.acknowledge(e)
	}
}

// acknowledge removes an end and queues its acknowledgement to the worker, which
// then drops it too. The owner is locked.
func (o *Owner) acknowledge(e attemptEnd) {
	o.reports.remove(e.permit.ID)
	state := o.vms[e.vm]
	if !e.needsAck || state == nil {
		return
	}
	state.acks = append(state.acks, port.TaskAttempt{Task: e.task, Attempt: e.attempt})
}

// usage returns everything that is reserved for a team and its unacknowledged
// ends. It raises the team's fence first, so that permits which the team's owner
// has given up are no longer accepted.
func (o *Owner) usage(call *peerpb.UsageQuery) *peerpb.UsageReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &peerpb.UsageReply{Partition: string(o.id), PartitionEpoch: uint64(o.epoch)}
	team := model.TeamID(call.GetTeam())
	if err := o.fence.Raise(team, model.Epoch(call.GetTeamEpoch()), call.GetMinSequence()); err != nil {
		reply.Refusal = convert.NewRefusal(peerpb.Refusal_STALE_EPOCH, err.Error())
		return reply
	}
	for _, held := range o.rack.Reservations(team) {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{
			Permit:  convert.PermitPB(held.Permit),
			TaskId:  string(held.Task),
			JobId:   string(held.Job),
			Attempt: int32(held.Attempt),
		})
	}
	for _, e := range o.reports.endsOf(team) {
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
	for _, state := range o.vms {
		if !state.reported && !state.expired {
			total = total.Add(state.vm.Capacity)
		}
	}
	return total
}

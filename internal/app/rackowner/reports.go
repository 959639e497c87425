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
	// minReportDelay and maxReportDelay bound the delay between reports to a
	// team's owner that were not acknowledged.
	minReportDelay = 50 * time.Millisecond
	maxReportDelay = 2 * time.Second
	// maxReported bounds the ends in one report.
	maxReported = 500
)

// end is the certain end of an attempt, kept until the team's owner has
// acknowledged it.
type end struct {
	team    model.TeamID
	permit  model.Permit
	task    model.TaskID
	attempt int
	job     model.JobID
	vm      model.VMID
	state   port.TaskState
	detail  string
	onVM    bool // the worker keeps it until told to forget
}

// teamReports are the ends that one team's owner has not acknowledged.
type teamReports struct {
	ends    map[string]end // by permit id
	sending bool
	nextAt  time.Duration
	delay   time.Duration
}

// reports keeps the unacknowledged ends of all teams. The owner's lock guards
// it.
type reports struct {
	teams map[model.TeamID]*teamReports
	known map[string]model.TeamID // permit id to team
}

func newReports() *reports {
	return &reports{
		teams: map[model.TeamID]*teamReports{},
		known: map[string]model.TeamID{},
	}
}

func (r *reports) add(e end, now time.Duration) {
	team := r.teams[e.team]
	if team == nil {
		team = &teamReports{ends: map[string]end{}, delay: minReportDelay}
		r.teams[e.team] = team
	}
	if len(team.ends) == 0 {
		team.nextAt = now
	}
	team.ends[e.permit.ID] = e
	r.known[e.permit.ID] = e.team
}

// knows reports whether the end of the permit waits to be acknowledged.
func (r *reports) knows(permit string) bool {
	_, ok := r.known[permit]
	return ok
}

func (r *reports) remove(permit string) {
	team, ok := r.known[permit]
	if !ok {
		return
	}
	delete(r.known, permit)
	delete(r.teams[team].ends, permit)
}

// of returns the unacknowledged ends of a team.
func (r *reports) of(team model.TeamID) []end {
	state := r.teams[team]
	if state == nil {
		return nil
	}
	ends := make([]end, 0, len(state.ends))
	for _, e := range state.ends {
		ends = append(ends, e)
	}
	return ends
}

// reportDue sends ends to the owners of their teams.
func (o *Owner) reportDue(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for team, state := range o.reports.teams {
		if state.sending || len(state.ends) == 0 || now < state.nextAt {
			continue
		}
		address, _, ok := o.env.Owner(model.TeamPartition(team))
		if !ok {
			continue
		}
		ends := first(o.reports.of(team), maxReported)
		state.sending = true
		if err := o.pool.Submit(func() { o.report(ctx, team, address, ends) }); err != nil {
			state.sending = false
		}
	}
}

func first(ends []end, limit int) []end {
	return ends[:min(len(ends), limit)]
}

// report sends one batch of ends and forgets those acknowledged.
func (o *Owner) report(ctx context.Context, team model.TeamID, address string, ends []end) {
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
	state.sending = false
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

// acknowledge forgets an end and lets the worker forget it too.
func (o *Owner) acknowledge(e end) {
	o.reports.remove(e.permit.ID)
	state := o.vms[e.vm]
	if !e.onVM || state == nil {
		return
	}
	state.acks = append(state.acks, port.TaskAttempt{Task: e.task, Attempt: e.attempt})
}

// usage answers a team owner's question for everything held for the team.
func (o *Owner) usage(call *peerpb.UsageQuery) *peerpb.UsageReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &peerpb.UsageReply{Partition: string(o.id), PartitionEpoch: uint64(o.epoch)}
	team := model.TeamID(call.GetTeam())
	if err := o.fence.Raise(team, model.Epoch(call.GetTeamEpoch()), call.GetMinSequence()); err != nil {
		reply.Refusal = convert.Refuse(peerpb.Refusal_STALE_EPOCH, err.Error())
		return reply
	}
	for _, held := range o.rack.Held(team) {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{
			Permit:  convert.PermitPB(held.Permit),
			TaskId:  string(held.Task),
			JobId:   string(held.Job),
			Attempt: int32(held.Attempt),
		})
	}
	for _, e := range o.reports.of(team) {
		reply.Held = append(reply.Held, &peerpb.HeldPermit{
			Permit:  convert.PermitPB(e.permit),
			TaskId:  string(e.task),
			JobId:   string(e.job),
			Attempt: int32(e.attempt),
			Ended:   true,
		})
	}
	uncertain := o.unheardCapacity()
	reply.Certain = uncertain.IsZero()
	reply.Uncertain = convert.ResourcesPB(uncertain)
	return reply
}

// unheardCapacity returns what the workers not heard in this tenure may still
// run for a former owner. The owner is locked.
func (o *Owner) unheardCapacity() model.Resources {
	var total model.Resources
	for _, state := range o.vms {
		if !state.heard && !state.expired {
			total = total.Add(state.vm.Capacity)
		}
	}
	return total
}

package rackowner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// beatEvery is the longest time between heartbeats to a worker.
	heartbeatInterval = time.Second
	// minBeat is the shortest time between heartbeats to a worker, used when
	// a task is expected to end.
	minHeartbeatInterval = 100 * time.Millisecond
	// endSlack is how long after a task's expected end its worker is asked: a
	// task starts a little after it was placed.
	endSlack = 20 * time.Millisecond
	// silentAfter is how long a worker may go unheard before it gets no work.
	unresponsiveAfter = 2500 * time.Millisecond
)

// vmState is what the owner knows of a worker's leases.
type vmState struct {
	vm                model.VM
	reported          bool          // by this owner
	clock             time.Duration // the worker's clock in its last report
	lastSeen          time.Duration // own clock when that report arrived
	leaseUntil        time.Duration // worker clock: latest lease given by this owner
	nextHeartbeat     time.Duration // own clock: when to beat next
	heartbeatInFlight bool
	unresponsive      bool
	expired           bool // its leases have certainly run out
	acks              []port.TaskAttempt
}

// estimate returns a reading that the worker's clock has certainly reached.
func (v *vmState) clockAt(now time.Duration) time.Duration {
	return v.clock + now - v.lastSeen
}

// leasesEnd returns the reading of the own clock at which every lease on the
// worker has run out. Leases given by a former owner were given before this
// tenure began.
func (v *vmState) leasesExpireAt(acquired, lease time.Duration) time.Duration {
	former := acquired + lease
	if !v.reported {
		return former + driftMargin
	}
	own := v.lastSeen + v.leaseUntil - v.clock
	return max(former, own) + driftMargin
}

// updateVMs takes over the VM list.
func (o *Owner) updateVMs() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	list := o.env.VMs()
	if host.SameList(list, o.vmList) {
		o.expireUnresponsive(now)
		return
	}
	o.vmList = list
	var mine []model.VM
	for _, vm := range list {
		if vm.Partition() == o.id {
			mine = append(mine, vm)
		}
	}
	if !o.vmsChanged(mine) {
		o.expireUnresponsive(now)
		return
	}
	o.rack.SetVMs(mine, now)
	listed := map[model.VMID]bool{}
	for _, vm := range mine {
		listed[vm.ID] = true
		if state := o.vms[vm.ID]; state != nil {
			state.vm = vm
			continue
		}
		// A worker takes no work before it has been heard, because it may
		// still run tasks of a former owner.
		o.vms[vm.ID] = &vmState{vm: vm, unresponsive: true}
		o.rack.SetUnresponsive(vm.ID, true, now)
	}
	for id, state := range o.vms {
		if !listed[id] && (state.expired || len(o.rack.HeldOn(id)) == 0) {
			delete(o.vms, id)
		}
	}
	o.expireUnresponsive(now)
}

func (o *Owner) vmsChanged(mine []model.VM) bool {
	if len(mine) != len(o.vms) {
		return true
	}
	for _, vm := range mine {
		if state := o.vms[vm.ID]; state == nil || state.vm != vm {
			return true
		}
	}
	return false
}

// expireSilent stops placing on workers that are not heard, and frees what
// they held once their leases have certainly run out.
func (o *Owner) expireUnresponsive(now time.Duration) {
	for id, state := range o.vms {
		if !state.unresponsive && now-state.lastSeen > unresponsiveAfter {
			state.unresponsive = true
			o.rack.SetUnresponsive(id, true, now)
			o.logger.WithField("vm", id).Warn("Worker does not answer.")
		}
		if !state.unresponsive || state.expired || now < state.leasesExpireAt(o.acquired, o.lease) {
			continue
		}
		state.expired = true
		for _, lost := range o.rack.ReleaseVM(id, now) {
			o.reportExpired(lost)
		}
	}
}

// noteLost reports an attempt whose worker's leases have run out.
func (o *Owner) reportExpired(lost rack.Reservation) {
	delete(o.starts, lost.Permit.ID)
	o.reports.add(attemptEnd{
		team:    lost.Permit.Team,
		permit:  lost.Permit,
		task:    lost.Task,
		attempt: lost.Attempt,
		job:     lost.Job,
		vm:      lost.VM,
		state:   port.TaskExpired,
		detail:  "the worker's lease ran out",
	}, o.env.Clock().Now())
}

// beatDue sends the heartbeats that are due.
func (o *Owner) sendHeartbeats(ctx context.Context) {
	if !o.mayAct() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for _, state := range o.vms {
		if state.heartbeatInFlight || now < state.nextHeartbeat {
			continue
		}
		state.heartbeatInFlight = true
		beat := port.Heartbeat{Epoch: o.epoch, Acknowledged: state.acks}
		// A worker that does not answer may still hear: renewing its leases
		// would put off the time at which they have certainly run out.
		if state.reported && !state.unresponsive {
			beat.LeaseUntil = state.clockAt(now) + o.lease
			state.leaseUntil = max(state.leaseUntil, beat.LeaseUntil)
		}
		address := state.vm.Address
		id := state.vm.ID
		if err := o.pool.Submit(func() { o.heartbeat(ctx, id, address, beat) }); err != nil {
			state.heartbeatInFlight = false
			state.nextHeartbeat = now + minHeartbeatInterval
		}
	}
}

// beat sends one heartbeat and takes over the report.
func (o *Owner) heartbeat(ctx context.Context, id model.VMID, address string, beat port.Heartbeat) {
	sent := o.env.Clock().Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := o.worker.Heartbeat(ctx, address, beat)
	o.mu.Lock()
	state := o.vms[id]
	if state == nil {
		o.mu.Unlock()
		return
	}
	state.heartbeatInFlight = false
	now := o.env.Clock().Now()
	state.nextHeartbeat = now + heartbeatInterval
	if err != nil {
		state.nextHeartbeat = now + heartbeatInterval/2
		o.mu.Unlock()
		return
	}
	actions := o.applyReport(state, report, beat, sent, now)
	o.mu.Unlock()
	o.executeActions(ctx, address, actions)
	o.signal()
}

// takeReport takes over what a worker says it runs. The owner is locked.
func (o *Owner) applyReport(state *vmState, report port.WorkerReport, beat port.Heartbeat, sent, now time.Duration) []rack.Action {
	id := state.vm.ID
	if state.reported && report.Clock < state.clock {
		// The worker restarted: leases on its former clock mean nothing.
		state.leaseUntil = 0
	}
	first := !state.reported || state.unresponsive
	state.reported = true
	state.expired = false
	state.clock = report.Clock
	state.lastSeen = now
	state.acks = trimAcks(state.acks, beat.Acknowledged)
	listed := make(map[string]bool, len(report.Tasks))
	for _, status := range report.Tasks {
		listed[status.Permit] = true
		o.applyStatus(state, status, sent, now)
	}
	o.dropUnlisted(id, listed, report.Clock, sent, now)
	if first {
		state.unresponsive = false
		o.rack.SetUnresponsive(id, false, now)
	}
	if len(beat.Acknowledged) == 0 && beat.LeaseUntil == 0 {
		// The first contact only tells the clock; renew at once.
		state.nextHeartbeat = now
	} else {
		state.nextHeartbeat = now + o.heartbeatDelay(id, now)
	}
	return o.rack.Report(id, report.Tasks, now)
}

// beatDelay returns when the next task is expected to end, within the bounds.
// It goes by the declared run time: what was learned includes the time until
// an end was noticed and would put the next look off further each time.
func (o *Owner) heartbeatDelay(id model.VMID, now time.Duration) time.Duration {
	delay := heartbeatInterval
	for _, held := range o.rack.HeldOn(id) {
		if s := o.starts[held.Permit.ID]; s != nil && s.expectedEnd > 0 {
			delay = min(delay, s.expectedEnd+endSlack-now)
		}
	}
	return max(delay, minHeartbeatInterval)
}

// takeStatus takes over the report of one attempt.
func (o *Owner) applyStatus(state *vmState, status port.TaskStatus, sent, now time.Duration) {
	if status.State == port.TaskRunning {
		o.adopt(state, status, sent, now)
		return
	}
	if o.reports.contains(status.Permit) {
		return
	}
	result := rack.ResultStopped
	switch status.State {
	case port.TaskDone:
		result = rack.ResultDone
	case port.TaskFailed:
		result = rack.ResultFailed
	case port.TaskRunning, port.TaskCheckpointed, port.TaskExpired:
	}
	held, _ := o.rack.Ended(status.Permit, result, now)
	o.recordUsage(held, status, now)
	recordEndMetrics(held, status.State, now)
	delete(o.starts, status.Permit)
	delete(o.gangOffers, status.Permit)
	named := held.Permit
	if named.ID == "" {
		named = o.rebuildPermit(status)
	}
	o.reports.add(attemptEnd{
		team:     status.Team,
		permit:   named,
		task:     status.Task,
		attempt:  status.Attempt,
		job:      status.Job,
		vm:       state.vm.ID,
		state:    status.State,
		detail:   status.Detail,
		needsAck: true,
	}, now)
}

func (o *Owner) adopt(state *vmState, status port.TaskStatus, sent, now time.Duration) {
	if known := o.starts[status.Permit]; known != nil {
		known.confirmed = true
		known.confirmedAt = sent
	} else {
		o.starts[status.Permit] = &start{confirmed: true, confirmedAt: sent}
	}
	if _, ok := o.rack.Lookup(status.Permit); ok {
		o.rack.Started(status.Permit)
		return
	}
	if err := o.rack.Adopt(state.vm.ID, status, o.rebuildPermit(status), now); err != nil {
		o.logger.WithError(err).WithFields(logrus.Fields{"vm": state.vm.ID, "task": status.Task}).Error("Running task was not adopted.")
	}
}

// permitOf rebuilds the permit of a task that a former owner started.
func (o *Owner) rebuildPermit(status port.TaskStatus) model.Permit {
	p, err := permit.ParseID(status.Permit)
	if err != nil {
		o.logger.WithError(err).Warn("Worker reported a foreign permit.")
		p = model.Permit{ID: status.Permit}
	}
	p.Team = status.Team
	p.Partition = o.id
	p.PartitionEpoch = o.epoch
	p.Size = status.Declared
	return p
}

// dropUnlisted frees reservations of attempts that the worker certainly does
// not run: confirmed before this heartbeat was sent and yet not listed, or
// unconfirmed and past the start deadline by the worker's clock.
func (o *Owner) dropUnlisted(id model.VMID, listed map[string]bool, clock, sent, now time.Duration) {
	for _, held := range o.rack.HeldOn(id) {
		if listed[held.Permit.ID] || held.State == rack.StateGang {
			continue
		}
		s := o.starts[held.Permit.ID]
		switch {
		case s == nil:
			continue
		case s.confirmed && s.confirmedAt < sent:
		case !s.confirmed && s.answered && clock > s.startBefore:
		default:
			continue
		}
		o.rack.Ended(held.Permit.ID, rack.ResultStopped, now)
		o.reportExpired(held)
	}
}

func trimAcks(acks, sent []port.TaskAttempt) []port.TaskAttempt {
	// Acknowledgements are appended at the end and sent from the front.
	return append([]port.TaskAttempt(nil), acks[len(sent):]...)
}

// startAction carries out an action on the pool and looks soon for its effect.
func (o *Owner) submitAction(ctx context.Context, action rack.Action) {
	o.mu.Lock()
	state := o.vms[action.VM]
	if state != nil {
		state.nextHeartbeat = min(state.nextHeartbeat, o.env.Clock().Now()+minHeartbeatInterval)
	}
	o.mu.Unlock()
	if state == nil {
		return
	}
	address := state.vm.Address
	if err := o.pool.Submit(func() { o.executeActions(ctx, address, []rack.Action{action}) }); err != nil {
		o.logger.WithError(err).WithField("vm", action.VM).Warn("Action was not sent.")
	}
}

// act carries out what the rack asks of a worker.
func (o *Owner) executeActions(ctx context.Context, address string, actions []rack.Action) {
	for _, action := range actions {
		if !o.mayAct() {
			return
		}
		if err := o.worker.Act(ctx, address, action.Task, o.epoch, action.Action); err != nil {
			o.logger.WithError(err).WithField("vm", action.VM).Warn("Action was not confirmed.")
		}
	}
}

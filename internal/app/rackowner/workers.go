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
	// heartbeatInterval is the longest time between heartbeats to a worker.
	heartbeatInterval = time.Second
	// minHeartbeatInterval is the shortest time between heartbeats to a worker,
	// used when a task is expected to end.
	minHeartbeatInterval = 100 * time.Millisecond
	// endSlack is added to a task's expected end to get the time of the next
	// heartbeat, because a task starts a little after it was placed.
	endSlack = 20 * time.Millisecond
	// unresponsiveAfter is how long after its last report a worker counts as
	// unresponsive and gets no new tasks.
	unresponsiveAfter = 2500 * time.Millisecond
)

// workerState holds what the owner knows about a worker and the leases that it
// granted to it.
type workerState struct {
	vm                model.VM
	reported          bool          // has reported to this owner
	clock             time.Duration // the worker's clock in its last report
	lastSeen          time.Duration // own clock when that report arrived; zero before the first
	leaseUntil        time.Duration // worker clock: end of the longest lease granted by this owner
	nextHeartbeat     time.Duration // own clock
	heartbeatInFlight bool
	unresponsive      bool
	expired           bool               // its leases have certainly expired
	acks              []port.TaskAttempt // ends to acknowledge with the next heartbeat
}

// clockAt returns a reading that the worker's clock has certainly reached when the
// owner's clock reads now.
func (w *workerState) clockAt(now time.Duration) time.Duration {
	return w.clock + now - w.lastSeen
}

// leasesExpireAt returns the reading of the own clock at which every lease on the
// worker has expired. A previous owner granted its leases before this one
// acquired the partition.
func (w *workerState) leasesExpireAt(acquired, lease time.Duration) time.Duration {
	previous := acquired + lease
	if !w.reported {
		return previous + driftMargin
	}
	own := w.lastSeen + w.leaseUntil - w.clock
	return max(previous, own) + driftMargin
}

// updateWorkers applies the VM list and checks the workers' leases.
func (o *Owner) updateWorkers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	vmList := o.env.VMs()
	if host.SameVMList(vmList, o.vmList) {
		o.checkWorkers(now)
		return
	}
	o.vmList = vmList
	var rackVMs []model.VM
	for _, vm := range vmList {
		if vm.Partition() == o.id {
			rackVMs = append(rackVMs, vm)
		}
	}
	if !o.workersChanged(rackVMs) {
		o.checkWorkers(now)
		return
	}
	o.rack.SetVMs(rackVMs, now)
	listed := map[model.VMID]bool{}
	for _, vm := range rackVMs {
		listed[vm.ID] = true
		if state := o.workers[vm.ID]; state != nil {
			state.vm = vm
			continue
		}
		// A worker gets no tasks before its first report, because it may still
		// run tasks of a previous owner.
		o.workers[vm.ID] = &workerState{vm: vm, unresponsive: true}
		o.rack.SetUnresponsive(vm.ID, true, now)
	}
	for id, state := range o.workers {
		if !listed[id] && (state.expired || len(o.rack.ReservationsOn(id)) == 0) {
			delete(o.workers, id)
		}
	}
	o.checkWorkers(now)
}

func (o *Owner) workersChanged(rackVMs []model.VM) bool {
	if len(rackVMs) != len(o.workers) {
		return true
	}
	for _, vm := range rackVMs {
		if state := o.workers[vm.ID]; state == nil || state.vm != vm {
			return true
		}
	}
	return false
}

// checkWorkers marks workers whose last report is too old as unresponsive and
// releases their reservations once their leases have certainly expired. The owner
// is locked.
func (o *Owner) checkWorkers(now time.Duration) {
	for id, state := range o.workers {
		if !state.unresponsive && now-state.lastSeen > unresponsiveAfter {
			state.unresponsive = true
			o.rack.SetUnresponsive(id, true, now)
			o.logger.WithField("vm", id).Warn("worker is unresponsive; placing no more tasks on it")
		}
		if !state.unresponsive || state.expired || now < state.leasesExpireAt(o.acquired, o.lease) {
			continue
		}
		state.expired = true
		for _, lost := range o.rack.ReleaseVM(id, now) {
			o.reportLost(lost)
		}
	}
}

// reportLost reports the end of an attempt that the worker certainly does not run
// any more: its lease has expired or the worker no longer lists it. The detail
// names the lease in both cases. The owner is locked.
func (o *Owner) reportLost(lost rack.Reservation) {
	delete(o.starts, lost.Permit.ID)
	o.releases.add(attemptEnd{
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

// sendHeartbeats sends the heartbeats that are due.
func (o *Owner) sendHeartbeats(ctx context.Context) {
	if !o.mayAct() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for _, state := range o.workers {
		if state.heartbeatInFlight || now < state.nextHeartbeat {
			continue
		}
		state.heartbeatInFlight = true
		heartbeat := port.Heartbeat{Epoch: o.epoch, Acknowledged: state.acks}
		// A worker that does not answer may still receive heartbeats: renewing
		// its leases would delay the time at which they have certainly expired.
		if state.reported && !state.unresponsive {
			heartbeat.LeaseUntil = state.clockAt(now) + o.lease
			state.leaseUntil = max(state.leaseUntil, heartbeat.LeaseUntil)
		}
		address := state.vm.Address
		id := state.vm.ID
		if err := o.pool.Submit(func() { o.heartbeat(ctx, id, address, heartbeat) }); err != nil {
			state.heartbeatInFlight = false
			state.nextHeartbeat = now + minHeartbeatInterval
		}
	}
}

// heartbeat sends one heartbeat and applies the report that the worker returns.
func (o *Owner) heartbeat(ctx context.Context, id model.VMID, address string, heartbeat port.Heartbeat) {
	sent := o.env.Clock().Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := o.worker.Heartbeat(ctx, address, heartbeat)
	o.mu.Lock()
	state := o.workers[id]
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
	actions := o.applyReport(state, report, heartbeat, sent, now)
	o.mu.Unlock()
	o.executeActions(ctx, address, actions)
	o.signal()
}

// applyReport applies a worker's report of its tasks and returns the actions that
// its usage requires. The owner is locked.
func (o *Owner) applyReport(state *workerState, report port.WorkerReport, heartbeat port.Heartbeat, sent, now time.Duration) []rack.Action {
	id := state.vm.ID
	if state.reported && report.Clock < state.clock {
		// The worker restarted: leases on its previous clock no longer count.
		state.leaseUntil = 0
	}
	newlyResponsive := !state.reported || state.unresponsive
	state.reported = true
	state.expired = false
	state.clock = report.Clock
	state.lastSeen = now
	state.acks = trimAcks(state.acks, heartbeat.Acknowledged)
	listed := make(map[string]bool, len(report.Tasks))
	for _, status := range report.Tasks {
		listed[status.Permit] = true
		o.applyStatus(state, status, sent, now)
	}
	o.dropUnlisted(id, listed, report.Clock, sent, now)
	if newlyResponsive {
		state.unresponsive = false
		o.rack.SetUnresponsive(id, false, now)
	}
	if len(heartbeat.Acknowledged) == 0 && heartbeat.LeaseUntil == 0 {
		// This heartbeat renewed no lease, because the worker had not reported or
		// was unresponsive when it was sent; the next one is sent at once.
		state.nextHeartbeat = now
	} else {
		state.nextHeartbeat = now + o.heartbeatDelay(id, now)
	}
	return o.rack.Report(id, report.Tasks, now)
}

// heartbeatDelay returns the time until the next task on the worker is expected
// to end, within the bounds of the heartbeat interval. It uses the declared run
// times: estimated ones include the delay until the end was noticed, so that delay
// would grow from task to task. The owner is locked.
func (o *Owner) heartbeatDelay(id model.VMID, now time.Duration) time.Duration {
	delay := heartbeatInterval
	for _, reservation := range o.rack.ReservationsOn(id) {
		if s := o.starts[reservation.Permit.ID]; s != nil && s.expectedEnd > 0 {
			delay = min(delay, s.expectedEnd+endSlack-now)
		}
	}
	return max(delay, minHeartbeatInterval)
}

// applyStatus applies the reported status of one attempt. The owner is locked.
func (o *Owner) applyStatus(state *workerState, status port.TaskStatus, sent, now time.Duration) {
	if status.State == port.TaskRunning {
		o.adopt(state, status, sent, now)
		return
	}
	if o.releases.contains(status.Permit) {
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
	reservation, _ := o.rack.Ended(status.Permit, result, now)
	o.recordUsage(reservation, status, now)
	recordEndMetrics(reservation, status.State, now)
	delete(o.starts, status.Permit)
	delete(o.gangOffers, status.Permit)
	endedPermit := reservation.Permit
	if endedPermit.ID == "" {
		endedPermit = o.rebuildPermit(status)
	}
	o.releases.add(attemptEnd{
		team:     status.Team,
		permit:   endedPermit,
		task:     status.Task,
		attempt:  status.Attempt,
		job:      status.Job,
		vm:       state.vm.ID,
		state:    status.State,
		detail:   status.Detail,
		needsAck: true,
	}, now)
}

// adopt records that an attempt runs and adds a reservation for it if there is
// none. The owner is locked.
func (o *Owner) adopt(state *workerState, status port.TaskStatus, sent, now time.Duration) {
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
		o.logger.WithError(err).WithFields(logrus.Fields{"vm": state.vm.ID, "task": status.Task}).Error("adopting a running task failed; retrying with the next report")
	}
}

// rebuildPermit returns the permit of a task that a previous owner started. If
// the reported id can't be parsed, the permit has no more than the reported
// data and this owner's partition and epoch.
func (o *Owner) rebuildPermit(status port.TaskStatus) model.Permit {
	p, err := permit.ParseID(status.Permit)
	if err != nil {
		o.logger.WithError(err).Warn("worker reported a malformed permit id; continuing without its details")
		p = model.Permit{ID: status.Permit}
	}
	p.Team = status.Team
	p.Partition = o.id
	p.PartitionEpoch = o.epoch
	p.Size = status.Declared
	return p
}

// dropUnlisted releases reservations of attempts that the worker certainly does
// not run: confirmed before this heartbeat was sent and yet not listed, or
// answered without a confirmation and past the start deadline by the worker's
// clock.
func (o *Owner) dropUnlisted(id model.VMID, listed map[string]bool, clock, sent, now time.Duration) {
	for _, reservation := range o.rack.ReservationsOn(id) {
		if listed[reservation.Permit.ID] || reservation.State == rack.StateGang {
			continue
		}
		s := o.starts[reservation.Permit.ID]
		switch {
		case s == nil:
			continue
		case s.confirmed && s.confirmedAt < sent:
		case !s.confirmed && s.answered && clock > s.startBefore:
		default:
			continue
		}
		o.rack.Ended(reservation.Permit.ID, rack.ResultStopped, now)
		o.reportLost(reservation)
	}
}

// trimAcks returns the acknowledgements that were not sent yet.
func trimAcks(acks, sent []port.TaskAttempt) []port.TaskAttempt {
	// New ones are appended, so those already sent are at the front.
	return append([]port.TaskAttempt(nil), acks[len(sent):]...)
}

// submitAction sends an action on the pool and schedules a heartbeat soon after to
// see its effect.
func (o *Owner) submitAction(ctx context.Context, action rack.Action) {
	o.mu.Lock()
	state := o.workers[action.VM]
	if state != nil {
		state.nextHeartbeat = min(state.nextHeartbeat, o.env.Clock().Now()+minHeartbeatInterval)
	}
	o.mu.Unlock()
	if state == nil {
		return
	}
	address := state.vm.Address
	if err := o.pool.Submit(func() { o.executeActions(ctx, address, []rack.Action{action}) }); err != nil {
		o.logger.WithError(err).WithField("vm", action.VM).Warn("submitting an action to the pool failed; dropping the action")
	}
}

// executeActions sends the actions to a worker while this owner may act.
func (o *Owner) executeActions(ctx context.Context, address string, actions []rack.Action) {
	for _, action := range actions {
		if !o.mayAct() {
			return
		}
		if err := o.worker.Act(ctx, address, action.Task, o.epoch, action.Action); err != nil {
			o.logger.WithError(err).WithField("vm", action.VM).Warn("worker did not confirm an action; waiting for its next report")
		}
	}
}

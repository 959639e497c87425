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
	beatEvery = time.Second
	// minBeat is the shortest time between heartbeats to a worker, used when
	// a task is expected to end.
	minBeat = 100 * time.Millisecond
	// endSlack is how long after a task's expected end its worker is asked: a
	// task starts a little after it was placed.
	endSlack = 20 * time.Millisecond
	// silentAfter is how long a worker may go unheard before it gets no work.
	silentAfter = 2500 * time.Millisecond
)

// vmState is what the owner knows of a worker's leases.
type vmState struct {
	vm      model.VM
	heard   bool          // by this owner
	clock   time.Duration // the worker's clock in its last report
	heardAt time.Duration // own clock when that report arrived
	until   time.Duration // worker clock: latest lease given by this owner
	nextAt  time.Duration // own clock: when to beat next
	beating bool
	silent  bool
	expired bool // its leases have certainly run out
	acks    []port.TaskAttempt
}

// estimate returns a reading that the worker's clock has certainly reached.
func (v *vmState) estimate(now time.Duration) time.Duration {
	return v.clock + now - v.heardAt
}

// leasesEnd returns the reading of the own clock at which every lease on the
// worker has run out. Leases given by a former owner were given before this
// tenure began.
func (v *vmState) leasesEnd(acquired, lease time.Duration) time.Duration {
	former := acquired + lease
	if !v.heard {
		return former + driftMargin
	}
	own := v.heardAt + v.until - v.clock
	return max(former, own) + driftMargin
}

// updateVMs takes over the VM list.
func (o *Owner) updateVMs() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	list := o.env.VMs()
	if host.SameList(list, o.list) {
		o.expireSilent(now)
		return
	}
	o.list = list
	var mine []model.VM
	for _, vm := range list {
		if vm.Partition() == o.id {
			mine = append(mine, vm)
		}
	}
	if !o.vmsChanged(mine) {
		o.expireSilent(now)
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
		o.vms[vm.ID] = &vmState{vm: vm, silent: true}
		o.rack.SetUnresponsive(vm.ID, true, now)
	}
	for id, state := range o.vms {
		if !listed[id] && (state.expired || len(o.rack.HeldOn(id)) == 0) {
			delete(o.vms, id)
		}
	}
	o.expireSilent(now)
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
func (o *Owner) expireSilent(now time.Duration) {
	for id, state := range o.vms {
		if !state.silent && now-state.heardAt > silentAfter {
			state.silent = true
			o.rack.SetUnresponsive(id, true, now)
			o.logger.WithField("vm", id).Warn("Worker does not answer.")
		}
		if !state.silent || state.expired || now < state.leasesEnd(o.acquired, o.lease) {
			continue
		}
		state.expired = true
		for _, lost := range o.rack.ReleaseVM(id, now) {
			o.noteLost(lost)
		}
	}
}

// noteLost reports an attempt whose worker's leases have run out.
func (o *Owner) noteLost(lost rack.Reservation) {
	delete(o.starts, lost.Permit.ID)
	o.reports.add(end{
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
func (o *Owner) beatDue(ctx context.Context) {
	if !o.mayAct() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for _, state := range o.vms {
		if state.beating || now < state.nextAt {
			continue
		}
		state.beating = true
		beat := port.Heartbeat{Epoch: o.epoch, Acknowledged: state.acks}
		// A worker that does not answer may still hear: renewing its leases
		// would put off the time at which they have certainly run out.
		if state.heard && !state.silent {
			beat.LeaseUntil = state.estimate(now) + o.lease
			state.until = max(state.until, beat.LeaseUntil)
		}
		address := state.vm.Address
		id := state.vm.ID
		if err := o.pool.Submit(func() { o.beat(ctx, id, address, beat) }); err != nil {
			state.beating = false
			state.nextAt = now + minBeat
		}
	}
}

// beat sends one heartbeat and takes over the report.
func (o *Owner) beat(ctx context.Context, id model.VMID, address string, beat port.Heartbeat) {
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
	state.beating = false
	now := o.env.Clock().Now()
	state.nextAt = now + beatEvery
	if err != nil {
		state.nextAt = now + beatEvery/2
		o.mu.Unlock()
		return
	}
	actions := o.takeReport(state, report, beat, sent, now)
	o.mu.Unlock()
	o.act(ctx, address, actions)
	o.signal()
}

// takeReport takes over what a worker says it runs. The owner is locked.
func (o *Owner) takeReport(state *vmState, report port.WorkerReport, beat port.Heartbeat, sent, now time.Duration) []rack.Action {
	id := state.vm.ID
	if state.heard && report.Clock < state.clock {
		// The worker restarted: leases on its former clock mean nothing.
		state.until = 0
	}
	first := !state.heard || state.silent
	state.heard = true
	state.expired = false
	state.clock = report.Clock
	state.heardAt = now
	state.acks = withoutAcked(state.acks, beat.Acknowledged)
	listed := make(map[string]bool, len(report.Tasks))
	for _, status := range report.Tasks {
		listed[status.Permit] = true
		o.takeStatus(state, status, sent, now)
	}
	o.dropUnlisted(id, listed, report.Clock, sent, now)
	if first {
		state.silent = false
		o.rack.SetUnresponsive(id, false, now)
	}
	if len(beat.Acknowledged) == 0 && beat.LeaseUntil == 0 {
		// The first contact only tells the clock; renew at once.
		state.nextAt = now
	} else {
		state.nextAt = now + o.beatDelay(id, now)
	}
	return o.rack.Report(id, report.Tasks, now)
}

// beatDelay returns when the next task is expected to end, within the bounds.
// It goes by the declared run time: what was learned includes the time until
// an end was noticed and would put the next look off further each time.
func (o *Owner) beatDelay(id model.VMID, now time.Duration) time.Duration {
	delay := beatEvery
	for _, held := range o.rack.HeldOn(id) {
		if s := o.starts[held.Permit.ID]; s != nil && s.dueAt > 0 {
			delay = min(delay, s.dueAt+endSlack-now)
		}
	}
	return max(delay, minBeat)
}

// takeStatus takes over the report of one attempt.
func (o *Owner) takeStatus(state *vmState, status port.TaskStatus, sent, now time.Duration) {
	if status.State == port.TaskRunning {
		o.adopt(state, status, sent, now)
		return
	}
	if o.reports.knows(status.Permit) {
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
	o.learn(held, status, now)
	countEnd(held, status.State, now)
	delete(o.starts, status.Permit)
	delete(o.payload, status.Permit)
	named := held.Permit
	if named.ID == "" {
		named = o.permitOf(status)
	}
	o.reports.add(end{
		team:    status.Team,
		permit:  named,
		task:    status.Task,
		attempt: status.Attempt,
		job:     status.Job,
		vm:      state.vm.ID,
		state:   status.State,
		detail:  status.Detail,
		onVM:    true,
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
	if err := o.rack.Adopt(state.vm.ID, status, o.permitOf(status), now); err != nil {
		o.logger.WithError(err).WithFields(logrus.Fields{"vm": state.vm.ID, "task": status.Task}).Error("Running task was not adopted.")
	}
}

// permitOf rebuilds the permit of a task that a former owner started.
func (o *Owner) permitOf(status port.TaskStatus) model.Permit {
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
		case !s.confirmed && s.answered && clock > s.before:
		default:
			continue
		}
		o.rack.Ended(held.Permit.ID, rack.ResultStopped, now)
		o.noteLost(held)
	}
}

func withoutAcked(acks, sent []port.TaskAttempt) []port.TaskAttempt {
	// Acknowledgements are appended at the end and sent from the front.
	return append([]port.TaskAttempt(nil), acks[len(sent):]...)
}

// startAction carries out an action on the pool and looks soon for its effect.
func (o *Owner) startAction(ctx context.Context, action rack.Action) {
	o.mu.Lock()
	state := o.vms[action.VM]
	if state != nil {
		state.nextAt = min(state.nextAt, o.env.Clock().Now()+minBeat)
	}
	o.mu.Unlock()
	if state == nil {
		return
	}
	address := state.vm.Address
	if err := o.pool.Submit(func() { o.act(ctx, address, []rack.Action{action}) }); err != nil {
		o.logger.WithError(err).WithField("vm", action.VM).Warn("Action was not sent.")
	}
}

// act carries out what the rack asks of a worker.
func (o *Owner) act(ctx context.Context, address string, actions []rack.Action) {
	for _, action := range actions {
		if !o.mayAct() {
			return
		}
		if err := o.worker.Act(ctx, address, action.Task, o.epoch, action.Action); err != nil {
			o.logger.WithError(err).WithField("vm", action.VM).Warn("Action was not confirmed.")
		}
	}
}

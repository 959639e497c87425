package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// reportMargin is the minimum time, on the worker's clock, from the answer to a start
// or stop order to a report that is certain to reflect the order.
const reportMargin = 50 * time.Millisecond

// reading is the time of a report: the reading of the worker's clock and the time since its
// previous report.
type reading struct{ clock, gap time.Duration }

// ApplyReport applies a worker's report of active and ended runs. Stop orders for
// orphaned runs are in the next TakeStopOrders. The reports of a worker must be applied in
// the order of its answers: another incarnation than the last one is a later one, even if
// its start time is lower, as after its clock was set back.
func (e *Engine) ApplyReport(id model.VMID, report WorkerReport, now time.Duration) {
	w := e.worker(id)
	e.resolveCrashes(id, report.Incarnation)
	if report.Incarnation != w.incarnation {
		e.applyRestart(w, report)
	}
	if !w.synced {
		w.synced = true
		e.version++
	}
	gap := now - w.lastReport
	w.lastReport = now
	for _, ended := range report.EndedRuns {
		if ended.Sequence <= w.handled {
			continue
		}
		w.handled = ended.Sequence
		e.applyEnd(w, ended, reading{report.Clock, gap}, now)
	}
	if w.handled > w.acked {
		e.batch.Acks = append(e.batch.Acks, Ack{Worker: id, Incarnation: w.incarnation, Sequence: w.handled})
	}
	reported := e.applyActive(w, report)
	e.pace(w, report.ActiveRuns, now)
	if e.settings.Features.LearnRunTimes {
		e.rateProgress(w, now)
	}
	if !report.Partial {
		e.endMissing(w, report.Clock, reported)
	}
	e.repeatStops(w, report.Clock, reported)
}

// repeatStops queues another stop order for each run that is being stopped if the
// last order was given up, or if the worker accepted it and still reports the run
// after StopTimeout. clock is the reading of the worker's clock in the report.
func (e *Engine) repeatStops(w *worker, clock time.Duration, reported map[TaskName]bool) {
	due := func(t *task) bool {
		if t.phase != stopping || t.stopOrdered {
			return false
		}
		accepted := t.confirmedAt != 0
		return !accepted || reported[t.name()] && clock >= t.confirmedAt+reportMargin
	}
	for _, t := range w.sortedTasksIf(due) {
		if due(t) {
			e.orderStop(t)
		}
	}
}

// applyRestart applies the first report of a new incarnation of the worker: the runs
// of the previous one have ended. A start order that was in flight may have reached
// the new incarnation, which then reports the run.
func (e *Engine) applyRestart(w *worker, report WorkerReport) {
	draining := w.info.Draining && w.info.Incarnation == report.Incarnation
	w.incarnation, w.acked, w.handled = report.Incarnation, 0, 0
	clear(w.orphaned)
	w.trust.forget()
	e.version++
	reported := map[TaskName]uint64{}
	for _, active := range report.ActiveRuns {
		reported[active.Task] = active.Run
	}
	for _, ended := range report.EndedRuns {
		reported[ended.Task] = max(reported[ended.Task], ended.Run)
	}
	var lost []*task
	for _, t := range w.sortedTasks() {
		if t.incarnation == report.Incarnation {
			continue
		}
		if run, ok := reported[t.name()]; ok && run == t.run {
			t.incarnation = report.Incarnation
			t.workedFrom, t.workedUntil = 0, 0
			continue
		}
		lost = append(lost, t)
	}
	if !w.plannedStop {
		e.attributeCrash(w, lost, report.Incarnation)
	}
	w.plannedStop = w.cordoned || draining
	for _, t := range lost {
		e.runEnded(t, EndLost, "")
		e.afterRunEnd(t)
	}
	for _, t := range lost {
		e.checkCrashes(t)
	}
}

// ApplyAck records that the worker's ends up to the sequence number are durable.
func (e *Engine) ApplyAck(ack Ack) {
	if w, ok := e.workers[ack.Worker]; ok && w.incarnation == ack.Incarnation {
		w.acked = max(w.acked, ack.Sequence)
	}
}

// AckCursor returns the sequence number up to which the ends of the worker's
// incarnation are durable, or 0 for any other incarnation than the current one.
func (e *Engine) AckCursor(id model.VMID, incarnation int64) uint64 {
	if w, ok := e.workers[id]; ok && w.incarnation == incarnation {
		return w.acked
	}
	return 0
}

func (e *Engine) applyEnd(w *worker, ended EndedRun, at reading, now time.Duration) {
	if w.orphan(ended.Task, ended.Run) != nil {
		delete(w.orphaned, ended.Task)
	}
	t := e.currentRun(ended.Task, ended.Run, w.info.ID)
	if t == nil {
		return
	}
	e.runStarted(t)
	if e.settings.Features.LearnRunTimes {
		e.rateEnd(w, ended.Kind, t, at.clock, now)
	} else {
		w.health.runEnded(ended.Kind, t, now)
	}
	if ended.Kind == EndFailed {
		t.failedOn = w.info.ID
	}
	if ended.Kind == EndDone && e.settings.Features.LearnRunTimes {
		e.learnRunTime(t, at.clock, at.gap)
	}
	e.runEnded(t, ended.Kind, ended.Checkpoint)
	e.afterRunEnd(t)
}

// applyActive applies the worker's list of active runs, queues stop orders for
// orphaned runs and returns the names of the tasks with an active run.
func (e *Engine) applyActive(w *worker, report WorkerReport) map[TaskName]bool {
	reported := make(map[TaskName]bool, len(report.ActiveRuns))
	for _, active := range report.ActiveRuns {
		reported[active.Task] = true
		t := e.currentRun(active.Task, active.Run, w.info.ID)
		if t == nil {
			o := w.orphan(active.Task, active.Run)
			if o == nil {
				o = &orphan{run: active.Run}
				w.orphaned[active.Task] = o
			}
			if !o.stopOrdered {
				o.stopOrdered = true
				e.stopOrders = append(e.stopOrders, StopOrder{Task: active.Task, Run: active.Run, Worker: w.info.ID, Incarnation: w.incarnation})
			}
			continue
		}
		e.runStarted(t)
		if t.phase == placed {
			t.leavePlaced()
			t.phase = running
		}
		if t.phase == running {
			t.confirmedAt = max(t.confirmedAt, report.Clock)
		}
		e.noteWork(t, report.Clock)
		t.percent = active.Percent
		if active.Checkpoint != "" {
			t.checkpoint = active.Checkpoint
		}
	}
	for name := range w.orphaned {
		if !reported[name] {
			delete(w.orphaned, name)
		}
	}
	return reported
}

// endMissing ends the runs that the worker confirmed before the report's clock, or
// that a previous owner placed, and that it reports neither as active nor as ended.
func (e *Engine) endMissing(w *worker, clock time.Duration, reported map[TaskName]bool) {
	missing := func(t *task) bool {
		return !reported[t.name()] && (t.confirmedAt != 0 || t.adopted) && clock >= t.confirmedAt+reportMargin
	}
	for _, t := range w.sortedTasksIf(missing) {
		if !missing(t) {
			continue // since the end of another task
		}
		kind := EndLost
		if t.phase == stopping {
			kind = EndStopped
		}
		e.runEnded(t, kind, "")
		e.afterRunEnd(t)
	}
}

// HasUnackedEnds reports whether the worker reported ends that are not durable yet.
func (e *Engine) HasUnackedEnds(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.handled > w.acked
}

package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// listMargin is the minimum time on the worker's clock between its answer to a start
// or stop order and a report for the report to count as the later one.
const listMargin = 50 * time.Millisecond

// ApplyReport applies a worker's report of running and ended runs. Stop orders for
// orphaned runs are in the next TakeStopOrders.
func (e *Engine) ApplyReport(id model.VMID, report WorkerReport, now time.Duration) {
	w := e.worker(id)
	if w.synced && report.Incarnation < w.incarnation {
		return // late report of a previous incarnation
	}
	if report.Incarnation != w.incarnation {
		e.applyRestart(w, report)
	}
	if !w.synced {
		w.synced = true
		e.version++
	}
	w.lastReport = now
	for _, finished := range report.EndedRuns {
		if finished.Sequence <= w.handled {
			continue
		}
		w.handled = finished.Sequence
		e.applyEnd(w, finished, now)
	}
	if w.handled > w.acked {
		e.batch.Acks = append(e.batch.Acks, Ack{Worker: id, Incarnation: w.incarnation, Sequence: w.handled})
	}
	listed := e.applyRunning(w, report)
	e.pace(w, report.ActiveRuns, now)
	if !report.Partial {
		e.endMissing(w, report.Clock, listed)
	}
}

// applyRestart applies the first report of a new incarnation of the worker: the runs
// of the previous one have ended. A start order that was in flight may have reached
// the new incarnation, which then reports the run.
func (e *Engine) applyRestart(w *worker, report WorkerReport) {
	w.incarnation, w.acked, w.handled = report.Incarnation, 0, 0
	w.info.Incarnation = report.Incarnation
	clear(w.orphaned)
	e.version++
	listed := map[TaskName]uint64{}
	for _, row := range report.ActiveRuns {
		listed[row.Task] = row.Run
	}
	for _, row := range report.EndedRuns {
		listed[row.Task] = max(listed[row.Task], row.Run)
	}
	for _, t := range w.sortedTasks() {
		if t.incarnation == report.Incarnation {
			continue
		}
		if run, ok := listed[t.name()]; ok && run == t.run {
			t.incarnation = report.Incarnation
			continue
		}
		e.runEnded(t, EndLost, "")
		e.afterRunEnd(t)
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

func (e *Engine) applyEnd(w *worker, finished EndedRun, now time.Duration) {
	if run, ok := w.orphaned[finished.Task]; ok && run == finished.Run {
		delete(w.orphaned, finished.Task)
	}
	t := e.currentRun(finished.Task, finished.Run, w.info.ID)
	if t == nil {
		return
	}
	e.runStarted(t)
	w.health.runEnded(finished.Kind, t, now)
	if finished.Kind == EndFailed {
		t.failedOn = w.info.ID
	}
	e.runEnded(t, finished.Kind, finished.Checkpoint)
	e.afterRunEnd(t)
}

// applyRunning applies the worker's list of running tasks, queues stop orders for
// orphaned runs and returns the names on the list.
func (e *Engine) applyRunning(w *worker, report WorkerReport) map[TaskName]bool {
	listed := make(map[TaskName]bool, len(report.ActiveRuns))
	for _, row := range report.ActiveRuns {
		listed[row.Task] = true
		t := e.currentRun(row.Task, row.Run, w.info.ID)
		if t == nil {
			if _, known := w.orphaned[row.Task]; !known {
				w.orphaned[row.Task] = row.Run
				e.stopOrders = append(e.stopOrders, StopOrder{Task: row.Task, Run: row.Run, Worker: w.info.ID, Incarnation: w.incarnation})
			}
			continue
		}
		e.runStarted(t)
		if t.phase == placed {
			t.phase = running
		}
		if t.phase == running {
			t.confirmedAt = max(t.confirmedAt, report.Clock)
		}
		t.percent = row.Percent
		if row.Checkpoint != "" {
			t.checkpoint = row.Checkpoint
		}
	}
	for name := range w.orphaned {
		if !listed[name] {
			delete(w.orphaned, name)
		}
	}
	return listed
}

// endMissing ends the runs that the worker confirmed before the report's clock, or
// that a previous owner placed, and that it reports neither as running nor as ended.
func (e *Engine) endMissing(w *worker, clock time.Duration, listed map[TaskName]bool) {
	for _, t := range w.sortedTasks() {
		if listed[t.name()] || t.confirmedAt == 0 && !t.adopted || clock < t.confirmedAt+listMargin {
			continue
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

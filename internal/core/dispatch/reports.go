package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// listMargin is the worker's time that must lie between an answer to a start
// or stop and a list for the list to be the later one.
const listMargin = 50 * time.Millisecond

// Report takes a worker's lists. The runs that the worker should stop are
// among the next stops.
func (e *Engine) ApplyReport(id model.VMID, report WorkerReport, now time.Duration) {
	w := e.worker(id)
	if w.synced && report.Incarnation < w.life {
		return // an answer of an earlier life, overtaken
	}
	if report.Incarnation != w.life {
		e.newLife(w, report)
	}
	if !w.synced {
		w.synced = true
		e.version++
	}
	w.reported = now
	for _, end := range report.Finished {
		if end.Sequence <= w.seen {
			continue
		}
		w.seen = end.Sequence
		e.takeEnd(w, end, now)
	}
	if w.seen > w.acked {
		e.batch.Acks = append(e.batch.Acks, Ack{Worker: id, Incarnation: w.life, Sequence: w.seen})
	}
	listed := e.takeRunning(w, report)
	e.pace(w, report.Running, now)
	if !report.Partial {
		e.takeMissing(w, report.Clock, listed)
	}
}

// newLife notes that the worker's process is another one: what ran on the
// earlier one has ended. A start that was under way may have reached the new
// one, which then lists the run.
func (e *Engine) newLife(w *worker, report WorkerReport) {
	w.life, w.acked, w.seen = report.Incarnation, 0, 0
	w.info.Incarnation = report.Incarnation
	clear(w.strange)
	e.version++
	listed := map[TaskName]uint64{}
	for _, row := range report.Running {
		listed[row.Task] = row.Run
	}
	for _, row := range report.Finished {
		listed[row.Task] = max(listed[row.Task], row.Run)
	}
	for _, t := range w.sortedTasks() {
		if t.life == report.Incarnation {
			continue
		}
		if run, ok := listed[t.name()]; ok && run == t.run {
			t.life = report.Incarnation
			continue
		}
		e.ended(t, EndLost, "")
		e.finishRound(t)
	}
}

// Acked notes that the ends up to the sequence number are durable.
func (e *Engine) ApplyAck(ack Ack) {
	if w, ok := e.workers[ack.Worker]; ok && w.life == ack.Incarnation {
		w.acked = max(w.acked, ack.Sequence)
	}
}

// AckCursor returns the number of the last end of the life that is durable.
func (e *Engine) AckCursor(id model.VMID, life int64) uint64 {
	if w, ok := e.workers[id]; ok && w.life == life {
		return w.acked
	}
	return 0
}

func (e *Engine) takeEnd(w *worker, end FinishedTask, now time.Duration) {
	if run, ok := w.strange[end.Task]; ok && run == end.Run {
		delete(w.strange, end.Task)
	}
	t := e.current(end.Task, end.Run, w.info.ID)
	if t == nil {
		return
	}
	e.began(t)
	w.health.ended(end.Kind, t, now)
	if end.Kind == EndFailed {
		t.failedOn = w.info.ID
	}
	e.ended(t, end.Kind, end.Checkpoint)
	e.finishRound(t)
}

// takeRunning notes what the worker lists as running and stops what no job
// accounts for.
func (e *Engine) takeRunning(w *worker, report WorkerReport) map[TaskName]bool {
	listed := make(map[TaskName]bool, len(report.Running))
	for _, row := range report.Running {
		listed[row.Task] = true
		t := e.current(row.Task, row.Run, w.info.ID)
		if t == nil {
			if _, known := w.strange[row.Task]; !known {
				w.strange[row.Task] = row.Run
				e.stops = append(e.stops, StopOrder{Task: row.Task, Run: row.Run, Worker: w.info.ID, Incarnation: w.life})
			}
			continue
		}
		e.began(t)
		if t.phase == placed {
			t.phase = running
		}
		if t.phase == running {
			t.seenAt = max(t.seenAt, report.Clock)
		}
		t.percent = row.Percent
		if row.Checkpoint != "" {
			t.checkpoint = row.Checkpoint
		}
	}
	for name := range w.strange {
		if !listed[name] {
			delete(w.strange, name)
		}
	}
	return listed
}

// takeMissing ends the runs that the worker knew at an earlier time and
// neither lists as running nor as ended.
func (e *Engine) takeMissing(w *worker, clock time.Duration, listed map[TaskName]bool) {
	for _, t := range w.sortedTasks() {
		if listed[t.name()] || t.seenAt == 0 && !t.adopted || clock < t.seenAt+listMargin {
			continue
		}
		how := EndLost
		if t.phase == stopping {
			how = EndStopped
		}
		e.ended(t, how, "")
		e.finishRound(t)
	}
}

// HasUnackedEnds reports whether the worker listed ends that are not durable.
func (e *Engine) HasUnackedEnds(id model.VMID) bool {
	w, ok := e.workers[id]
	return ok && w.seen > w.acked
}

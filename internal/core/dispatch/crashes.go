package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// The load that this file answers: a share of a queue's tasks each crash every worker
// that starts them, beside the sound tasks that run there. Without a limit, such a task
// takes one worker after another out of service, and all that runs on them.
const (
	// deadlyWindow is the time at work within which a task that crashes its workers has
	// done so. A run that has been at work for longer is not suspected.
	deadlyWindow = 3 * time.Second
	// crashLimit is the number of workers after whose crashes a task is given up, unless
	// its runs may not have started on them. Two may crash for other reasons, or just
	// after a run has ended and before it could say so.
	crashLimit = 3
	// reliableCrashes is the number of crashes under runs that were likely active from
	// which crashLimit holds.
	reliableCrashes = 2
	// totalCrashLimit is the limit that also counts crashes for which another task was
	// given up, those of workers on which a run may not have started, and unresolved
	// ones.
	totalCrashLimit = 5
	// suspectReportAge is the maximum age of a worker's last report for placing a
	// suspect on it. A start on a worker that has already crashed could not be told
	// from one that crashes it.
	suspectReportAge = 400 * time.Millisecond
	// separationWait is how long a suspect waits for a worker without other suspects.
	// After that it is placed like any other task.
	separationWait = 8 * time.Second
	// separationShare is the fraction of the listed workers that suspects may have for
	// themselves at a time, so that crashes of many workers leave room for other tasks.
	separationShare = 0.5
	// maxLoggedSuspects is the number of suspects that the log line of a crash names.
	maxLoggedSuspects = 8
)

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Worker      model.VMID
	Incarnation int64 // on which the task was placed
	// Unresolved reports that the worker was unresponsive until the run's lease expired
	// and has not reported since, so that it may not have crashed.
	Unresolved bool
	Started    bool // the run is known to have started there, and no stop order was accepted
	Early      bool // the run was not known to be at work for deadlyWindow
	Alone      bool // no other run on the worker can have caused the crash, and an unconfirmed start was placed apart
	Explained  bool // another task was given up because of the crash
}

// String returns the worker, its incarnation and what speaks against the task.
func (c Crash) String() string {
	var marks []string
	for _, mark := range [...]struct {
		set  bool
		name string
	}{
		{c.Unresolved, "unresolved"}, {!c.Started, "start unconfirmed"}, {c.Early, "early"}, {c.Alone, "alone"}, {c.Explained, "explained"},
	} {
		if mark.set {
			marks = append(marks, mark.name)
		}
	}
	return fmt.Sprintf("%s/%d (%s)", c.Worker, c.Incarnation, strings.Join(marks, ", "))
}

// crashHistory holds the crashes under the runs of one task, oldest first.
type crashHistory []Crash

func (h crashHistory) String() string {
	texts := make([]string, len(h))
	for i, crash := range h {
		texts[i] = crash.String()
	}
	return strings.Join(texts, ", ")
}

// index returns the position of the crash of the worker's incarnation, or -1.
func (h crashHistory) index(id model.VMID, incarnation int64) int {
	return slices.IndexFunc(h, func(c Crash) bool { return c.Worker == id && c.Incarnation == incarnation })
}

// on reports whether an incarnation of the worker has crashed under the task.
func (h crashHistory) on(id model.VMID) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Worker == id && !c.Unresolved })
}

// resolved returns the number of certain crashes.
func (h crashHistory) resolved() int {
	count := 0
	for _, crash := range h {
		if !crash.Unresolved {
			count++
		}
	}
	return count
}

// reliable reports whether the run is likely to have been active when the worker crashed.
func (c *Crash) reliable() bool { return c.Started || c.Alone }

// exceeded reports whether the task is to be given up. Unresolved crashes count towards
// totalCrashLimit, and towards crashLimit only beside two reliable ones. Each reliable
// one that is missing raises crashLimit by one.
func (h crashHistory) exceeded() bool {
	var last *Crash
	resolved, reliable, explained, unresolved := 0, 0, 0, 0
	for i := range h {
		crash := &h[i]
		if crash.Unresolved {
			unresolved++
			continue
		}
		resolved++
		last = crash
		if crash.reliable() {
			reliable++
		}
		if crash.Explained {
			explained++
		}
	}
	if resolved+unresolved >= totalCrashLimit {
		return true // even if none of the workers ever comes back under its id
	}
	if resolved < reliableCrashes {
		return false
	}
	if reliable < reliableCrashes {
		unresolved = 0
	}
	if last.Alone {
		explained = 0 // the task does the same without the other one
	}
	limit := crashLimit + max(0, reliableCrashes-reliable)
	return resolved-explained+unresolved >= limit
}

// runAtCrash is a run that may have been active on a worker when it crashed. The
// members of a gang on the worker have the same unit, other runs one of their own.
type runAtCrash struct {
	started bool
	worked  time.Duration // for which the run is known to have been at work
	unit    any
}

func (r *runAtCrash) early() bool { return r.worked < deadlyWindow }

// attribution is what a crash says about one run on the worker.
type attribution struct {
	suspect bool // the run may have caused the crash
	alone   bool // no other run may have caused it
}

// attribute returns for each run on a crashed worker what the crash says about it. A
// run whose start is unconfirmed is a suspect too: the worker may have crashed before
// it answered.
func attribute(runs []runAtCrash) []attribution {
	result := make([]attribution, len(runs))
	units := map[any]bool{}
	for i := range runs {
		if result[i].suspect = runs[i].early(); result[i].suspect {
			units[runs[i].unit] = true
		}
	}
	for i := range result {
		result[i].alone = result[i].suspect && len(units) == 1
	}
	return result
}

// unit returns what a crash on a worker can be blamed on: the gang or the task.
func (t *task) unit() any {
	if t.step.gang != nil {
		return t.step.gang
	}
	return t
}

// worked returns the time for which the current run is known to have been at work.
func (t *task) worked() time.Duration { return t.workedUntil - t.workedFrom }

// noteWork records that the worker has confirmed the run at the reading of its clock.
func (e *Engine) noteWork(t *task, clock time.Duration) {
	if t.workedFrom == 0 {
		t.workedFrom, t.workedUntil = clock, clock
	}
	t.workedUntil = max(t.workedUntil, clock)
	if t.worked() < deadlyWindow {
		return
	}
	changed := t.suspect
	if changed {
		e.clearSuspect(t, fmt.Sprintf("at work for %v on %s", t.worked(), t.worker.info.ID))
	}
	if t.step.spec.LongRunning && len(t.crashes) > 0 {
		t.crashes = nil
		changed = true
	}
	if changed {
		e.record(t)
	}
}

// setSuspect marks the task as a suspect. Its next run is placed apart from other
// suspects, and nothing is placed beside it until the task is cleared.
func (e *Engine) setSuspect(t *task) {
	if !t.suspect {
		t.suspect = true
		t.step.suspects++
	}
}

func (e *Engine) clearSuspect(t *task, detail string) {
	if !t.suspect {
		return
	}
	t.suspect = false
	t.step.suspects--
	e.endSeparation(t)
	e.version++
	e.event("suspect_cleared", t, detail)
}

// separate keeps other tasks off the worker of the suspect's run until the run ends or
// the task is cleared.
func (e *Engine) separate(t *task) {
	if !t.separated {
		t.separated = true
		t.worker.suspects++
		e.separatedRuns++
	}
}

func (e *Engine) endSeparation(t *task) {
	if t.separated {
		t.separated = false
		t.worker.suspects--
		e.separatedRuns--
	}
}

// awaitsSeparation reports whether the next run of the task must be placed apart.
func (t *task) awaitsSeparation(now time.Duration) bool {
	if !t.suspect {
		return false
	}
	if t.pendingSince == 0 {
		t.pendingSince = now
	}
	return now-t.pendingSince <= separationWait
}

// separable reports whether the suspect may be placed apart on the worker now.
func (e *Engine) separable(w *worker, now time.Duration) bool {
	return now-w.lastReport <= suspectReportAge && e.separatedRuns < max(1, int(separationShare*float64(e.listedWorkers)))
}

// attributeCrash records the crash of the worker's incarnations before the given one
// under the runs of the tasks. The caller then ends the runs.
func (e *Engine) attributeCrash(w *worker, tasks []*task, incarnation int64) {
	runs := make([]runAtCrash, len(tasks))
	for i, t := range tasks {
		runs[i] = runAtCrash{started: t.startConfirmed(), worked: t.worked(), unit: t.unit()}
	}
	blame := attribute(runs)
	var suspects []string
	for i, t := range tasks {
		if blame[i].suspect {
			suspects = append(suspects, fmt.Sprintf("%s run %d", t.name(), t.run))
		}
	}
	if more := len(suspects) - maxLoggedSuspects; more > 0 {
		suspects = append(suspects[:maxLoggedSuspects], fmt.Sprintf("and %d more", more))
	}
	for i, t := range tasks {
		if t.incarnation == incarnation || t.step.spec.LongRunning && !runs[i].early() || t.crashes.index(w.info.ID, t.incarnation) >= 0 {
			continue
		}
		before := t.crashes.resolved()
		e.addCrash(t, Crash{
			Worker: w.info.ID, Incarnation: t.incarnation, Started: runs[i].started, Early: runs[i].early(),
			Alone: blame[i].alone && (runs[i].started || t.separated),
		})
		if blame[i].suspect {
			e.setSuspect(t)
		}
		e.event("worker_crashed", t, fmt.Sprintf("incarnation %d, now %d, crashes under the task %d, now %d, suspects: %s",
			t.incarnation, incarnation, before, t.crashes.resolved(), strings.Join(suspects, ", ")))
	}
}

// startConfirmed reports whether the current run is known to have started and the worker
// has accepted no stop order for it. The other members of a gang are ordered to stop
// long before a crashed worker is back.
func (t *task) startConfirmed() bool {
	return t.workedFrom != 0 && (t.phase == running || t.phase == stopping && t.confirmedAt == 0)
}

func (e *Engine) addCrash(t *task, crash Crash) {
	t.crashes = append(t.crashes, crash)
	e.crashed[t] = struct{}{}
}

// noteUnresolved records that the worker may have crashed under the task, whose lease
// has expired.
func (e *Engine) noteUnresolved(t *task) {
	if t.step.spec.LongRunning && t.worked() >= deadlyWindow || t.crashes.index(t.worker.info.ID, t.incarnation) >= 0 {
		return
	}
	e.addCrash(t, Crash{Worker: t.worker.info.ID, Incarnation: t.incarnation, Unresolved: true, Early: t.worked() < deadlyWindow})
}

// resolveCrashes applies the worker's report of its incarnation to the unresolved
// crashes: a newer incarnation proves them, the same one refutes them.
func (e *Engine) resolveCrashes(id model.VMID, incarnation int64) {
	if !e.hasUnresolved(id) {
		return
	}
	for _, t := range e.crashedTasks() {
		if t.step.occurrence.job.state.Ended() {
			continue // an earlier task of the list was given up
		}
		changed := false
		for i := len(t.crashes) - 1; i >= 0; i-- {
			crash := t.crashes[i]
			if crash.Worker != id || !crash.Unresolved {
				continue
			}
			changed = true
			t.crashes = slices.Delete(slices.Clone(t.crashes), i, i+1)
			if incarnation == crash.Incarnation {
				continue
			}
			before := t.crashes.resolved()
			crash.Unresolved = false
			t.crashes = append(t.crashes, crash)
			if crash.Early && t.worked() < deadlyWindow {
				e.setSuspect(t)
				if t.worker != nil {
					e.separate(t)
				}
			}
			e.event("worker_crashed", t, fmt.Sprintf("worker %s: incarnation %d, now %d, after its leases had expired, crashes under the task %d, now %d",
				id, crash.Incarnation, incarnation, before, t.crashes.resolved()))
		}
		if changed {
			e.record(t)
			e.checkCrashes(t)
		}
	}
}

// hasUnresolved reports whether a task has an unresolved crash of the worker.
func (e *Engine) hasUnresolved(id model.VMID) bool {
	for t := range e.crashed {
		if slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.Unresolved && c.Worker == id }) {
			return true
		}
	}
	return false
}

// crashedTasks returns the unfinished tasks with crashes, sorted by name.
func (e *Engine) crashedTasks() []*task {
	list := make([]*task, 0, len(e.crashed))
	for t := range e.crashed {
		if len(t.crashes) == 0 || t.phase == done || t.step.occurrence.job.state.Ended() {
			delete(e.crashed, t)
			continue
		}
		list = append(list, t)
	}
	sortTasks(list)
	return list
}

// checkCrashes fails the task's job if too many workers have crashed under the task.
func (e *Engine) checkCrashes(t *task) {
	j := t.step.occurrence.job
	if j.state.Ended() || t.phase == done || !t.crashes.exceeded() {
		return
	}
	e.event("task_given_up", t, fmt.Sprintf("workers crashed under it: %s", t.crashes))
	e.explainCrashes(t)
	e.endJob(j, Failed, fmt.Sprintf("workers crashed under task %s: %s", t.name(), t.crashes))
}

// explainCrashes marks the crashes that the given up task has caused in the histories
// of the tasks that ran beside it.
func (e *Engine) explainCrashes(culprit *task) {
	for _, t := range e.crashedTasks() {
		if t.unit() == culprit.unit() {
			continue
		}
		for _, crash := range culprit.crashes {
			if i := t.crashes.index(crash.Worker, crash.Incarnation); i >= 0 && !crash.Unresolved && !t.crashes[i].Explained {
				t.crashes = slices.Clone(t.crashes)
				t.crashes[i].Explained = true
				e.record(t)
			}
		}
	}
}

// The weights of a suspect's placement beside other runs. They exceed all others, so
// that a suspect gets a worker of its own if one has free capacity.
const (
	neighborPenalty      = 20.0 // other runs are on the worker
	freshNeighborPenalty = 20.0 // one of them could have crashed the worker as well
	crashedHerePenalty   = 5.0  // the worker has crashed under the task
)

// separationPenalty returns what placing the suspect on the worker takes off the score.
func (t *task) separationPenalty(w *worker) float64 {
	penalty := 0.0
	if t.crashes.on(w.info.ID) {
		penalty += crashedHerePenalty
	}
	fresh := false
	for _, other := range w.tasks {
		fresh = fresh || other.worked() < deadlyWindow
	}
	if w.occupied() {
		penalty += neighborPenalty
	}
	if fresh {
		penalty += freshNeighborPenalty
	}
	return penalty
}

package dispatch

import "github.com/balsamhitch/balsamhitch/internal/core/model"

// DrainWorkers cordons exactly the given workers, so that they get no new tasks,
// and evacuates their long-running tasks as fast as MaxUnavailable of the steps
// allows. Workers that are not in ids are uncordoned.
func (e *Engine) DrainWorkers(ids []model.VMID) {
	cordoned := make(map[model.VMID]bool, len(ids))
	for _, id := range ids {
		cordoned[id] = true
	}
	for id, w := range e.workers {
		if w.cordoned != cordoned[id] {
			w.cordoned = cordoned[id]
			w.plannedStop = w.plannedStop || w.cordoned
			e.version++
		}
	}
	for _, id := range ids {
		if w, ok := e.workers[id]; ok {
			e.evacuate(w)
		}
	}
}

// evacuate stops the worker's running long-running tasks, so that they are placed
// elsewhere. Of each step it stops only as many as MaxUnavailable allows.
func (e *Engine) evacuate(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.phase == running && t.step.spec.LongRunning && (t.step.spec.MaxUnavailable == 0 || t.step.unavailable() < t.step.spec.MaxUnavailable) {
			e.event("run_moved", t, "worker is being drained for upkeep")
			e.stopRun(t)
		}
	}
}

// unavailable returns the number of the step's tasks that are not running at the
// full work rate.
func (s *step) unavailable() int {
	count := 0
	for _, t := range s.tasks {
		if t.phase != running || t.percent < fullPace {
			count++
		}
	}
	return count
}

// RunCounts returns the number of runs that may be active on the worker, and how many
// of them are protected: runs of long-running tasks of a step with MaxUnavailable.
func (e *Engine) RunCounts(id model.VMID) (runs, protected int) {
	w, ok := e.workers[id]
	if !ok {
		return 0, 0
	}
	for _, t := range w.tasks {
		if t.step.spec.LongRunning && t.step.spec.MaxUnavailable > 0 {
			protected++
		}
	}
	return len(w.tasks) + len(w.orphaned), protected
}

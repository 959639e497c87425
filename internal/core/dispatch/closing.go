package dispatch

import "github.com/balsamhitch/balsamhitch/internal/core/model"

// Close makes just these workers take no new work, and moves their long-running
// tasks away as fast as their steps allow.
func (e *Engine) DrainWorkers(ids []model.VMID) {
	closed := make(map[model.VMID]bool, len(ids))
	for _, id := range ids {
		closed[id] = true
	}
	for id, w := range e.workers {
		if w.closed != closed[id] {
			w.closed = closed[id]
			e.version++
		}
	}
	for _, id := range ids {
		if w, ok := e.workers[id]; ok {
			e.moveAway(w)
		}
	}
}

func (e *Engine) moveAway(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.phase == running && t.step.spec.LongRunning && (t.step.spec.MaxUnavailable == 0 || t.step.away() < t.step.spec.MaxUnavailable) {
			e.event("run_moved", t, "its worker is to have its upkeep")
			e.stop(t)
		}
	}
}

// away counts the tasks of the step that are not at work.
func (s *step) away() int {
	count := 0
	for _, t := range s.tasks {
		if t.phase != running || t.percent < fullPace {
			count++
		}
	}
	return count
}

// Load returns how many runs may be at work on the worker, and how many of them
// are long-running ones whose step may miss only so many.
func (e *Engine) Load(id model.VMID) (tasks, sheltered int) {
	w, ok := e.workers[id]
	if !ok {
		return 0, 0
	}
	for _, t := range w.tasks {
		if t.step.spec.LongRunning && t.step.spec.MaxUnavailable > 0 {
			sheltered++
		}
	}
	return len(w.tasks) + len(w.strange), sheltered
}

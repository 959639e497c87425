package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// The limits of pacing. The pace of a best-effort task is the share of its full work
// rate, in percent, at which it may run. The tail latency of a serving task is a rough
// estimate over the last half second, so the pace is lowered quickly and raised slowly.
const (
	fullPace = 100
	// paceDownAt and paceUpAt are the fractions of the latency target above which
	// best-effort tasks on the same worker are slowed down, and below which they are
	// sped up.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	paceStep   = 20 // percentage points per increase
	// paceUpPause is the minimum time between a change of the pace and an increase.
	paceUpPause = 1500 * time.Millisecond
)

// PaceOrder is an order to a worker to set the pace of a best-effort task.
type PaceOrder struct {
	Task        TaskName
	Run         uint64
	Worker      model.VMID
	Incarnation int64
	Percent     int // of the full work rate
}

// TakePaceOrders returns the pace orders decided since the last call.
func (e *Engine) TakePaceOrders() []PaceOrder {
	paceOrders := e.paceOrders
	e.paceOrders = nil
	return paceOrders
}

// pace lowers the pace of the best-effort tasks of a worker while the tail latency of
// a serving task on it is close to its target, and raises it again once all serving
// tasks are well below their targets.
func (e *Engine) pace(w *worker, activeRuns []ActiveRun, now time.Duration) {
	worst, serving := 0.0, false
	for _, active := range activeRuns {
		t := w.tasks[active.Task]
		if t == nil || t.run != active.Run || t.step.spec.TailLatencyTarget == 0 {
			continue
		}
		serving = true
		tail := time.Duration(active.Metric) * time.Millisecond
		worst = max(worst, float64(tail)/float64(t.step.spec.TailLatencyTarget))
	}
	percent := w.pace
	switch {
	case !serving:
		percent = fullPace
	case worst >= 1:
		percent = 0
	case worst > paceDownAt:
		percent = w.pace / 2
	case worst < paceUpAt && w.pace < fullPace && now-w.paceChangedAt > paceUpPause:
		percent = min(fullPace, w.pace+paceStep)
	}
	if percent != w.pace {
		w.pace, w.paceChangedAt = percent, now
	}
	for _, active := range activeRuns {
		t := w.tasks[active.Task]
		if t == nil || t.run != active.Run || !t.step.spec.BestEffortCPU || t.phase != running || t.orderedPace == w.pace {
			continue
		}
		t.orderedPace = w.pace
		e.paceOrders = append(e.paceOrders, PaceOrder{Task: active.Task, Run: active.Run, Worker: w.info.ID, Incarnation: w.incarnation, Percent: w.pace})
	}
}

// ApplyPaceFailed records that the outcome of a pace order is unknown, so that the
// next report leads to another order.
func (e *Engine) ApplyPaceFailed(order PaceOrder) {
	if t := e.currentRun(order.Task, order.Run, order.Worker); t != nil {
		t.orderedPace = unknownPace
	}
}

// unknownPace differs from every pace, so that the next report leads to an order.
const unknownPace = -1

package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// The bounds of pacing. A serving task's tail is a rough figure of the last
// half second, so that the reaction is strong downwards and slow upwards.
const (
	fullPace = 100 // percent of its work that a filling task may do
	// paceDownAt and paceUpAt are parts of the target at which the filling tasks
	// beside a serving one are slowed down and sped up.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	paceStep   = 20 // percentage points upwards at a time
	// paceUpPause is the least time between two steps upwards.
	paceUpPause = 1500 * time.Millisecond
)

// PaceOrder sets how much of its work a filling task may do.
type PaceOrder struct {
	Task        TaskName
	Run         uint64
	Worker      model.VMID
	Incarnation int64
	Percent     int
}

// TakePaces returns the paces decided since the last call.
func (e *Engine) TakePaceOrders() []PaceOrder {
	paces := e.paces
	e.paces = nil
	return paces
}

// pace slows the filling tasks of a worker down while a serving task beside
// them comes close to its target, and lets them go on when all have room.
func (e *Engine) pace(w *worker, rows []RunningTask, now time.Duration) {
	worst, serving := 0.0, false
	for _, row := range rows {
		t := w.tasks[row.Task]
		if t == nil || t.run != row.Run || t.step.spec.TailLatencyTarget == 0 {
			continue
		}
		serving = true
		tail := time.Duration(row.Load) * time.Millisecond
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
	case worst < paceUpAt && w.pace < fullPace && now-w.pacedAt > paceUpPause:
		percent = min(fullPace, w.pace+paceStep)
	}
	if percent != w.pace {
		w.pace, w.pacedAt = percent, now
	}
	for _, row := range rows {
		t := w.tasks[row.Task]
		if t == nil || t.run != row.Run || !t.step.spec.BestEffortCPU || t.phase != running || t.paced == w.pace {
			continue
		}
		t.paced = w.pace
		e.paces = append(e.paces, PaceOrder{Task: row.Task, Run: row.Run, Worker: w.info.ID, Incarnation: w.life, Percent: w.pace})
	}
}

// PaceLost notes that an order on pace had no known effect: the next report
// decides anew.
func (e *Engine) ApplyPaceFailed(order PaceOrder) {
	if t := e.current(order.Task, order.Run, order.Worker); t != nil {
		t.paced = unknownPace
	}
}

// unknownPace makes the next decision an order, whatever it is.
const unknownPace = -1

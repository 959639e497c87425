package dispatch

import (
	"math"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// headroomShare is the part of what the most urgent tasks use at their usual
	// peaks that is kept free beyond it: a burst of callers must not wait until
	// longer, less urgent tasks end.
	headroomShare = 0.25
	// peakHalfLife is the time in which a peak of urgent use is half forgotten.
	peakHalfLife = 2 * time.Second
)

// urgentUse follows what the tasks of the queues that go first use.
type urgentUse struct {
	now    model.Resources
	peak   model.Resources
	peakAt time.Duration
}

// observe notes the use at a pass.
func (u *urgentUse) observe(now time.Duration) {
	kept := math.Exp2(-float64(now-u.peakAt) / float64(peakHalfLife))
	u.peak, u.peakAt = scale(u.peak, kept).Max(u.now), now
}

// headroom returns what less urgent tasks must leave free.
func (u *urgentUse) headroom() model.Resources {
	return scale(u.peak, 1+headroomShare).Sub(u.now).Max(model.Resources{})
}

func scale(r model.Resources, factor float64) model.Resources {
	return model.Resources{
		MilliCPU:     int64(factor * float64(r.MilliCPU)),
		MemoryMiB:    int64(factor * float64(r.MemoryMiB)),
		Accelerators: int64(factor * float64(r.Accelerators)),
	}
}

// headroom returns what the step must leave free for more urgent ones. Tasks
// that last take none and need none: they come and go with no burst.
func (e *Engine) headroom(s *step) model.Resources {
	if e.isUrgent(s) || s.spec.LongRunning {
		return model.Resources{}
	}
	return e.urgent.headroom()
}

// isUrgent reports whether no queue goes before the step's.
func (e *Engine) isUrgent(s *step) bool {
	return e.queue(s.occurrence.job).Priority <= e.firstPriority
}

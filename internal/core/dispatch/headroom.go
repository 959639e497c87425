package dispatch

import (
	"math"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// headroomShare is the fraction of the top-priority tasks' recent peak usage that
	// is kept free on top of that peak. Without it, a burst of top-priority jobs waits
	// until longer, less urgent tasks end.
	headroomShare = 0.25
	// maxHeadroomShare bounds the headroom, as a fraction of the capacity of all workers.
	// The peak of a burst would otherwise keep most of the workers idle after its end.
	maxHeadroomShare = 0.25
	// peakHalfLife is the half-life of the exponentially decaying peak of top-priority
	// usage.
	peakHalfLife = 2 * time.Second
)

// peakUsage tracks the resources used by a set of tasks and their recent peak.
type peakUsage struct {
	current model.Resources
	peak    model.Resources
	peakAt  time.Duration
}

// observe decays the peak and raises it to the current usage.
func (u *peakUsage) observe(now time.Duration) {
	decay := math.Exp2(-float64(now-u.peakAt) / float64(peakHalfLife))
	u.peak, u.peakAt = scale(u.peak, decay).Max(u.current), now
}

// headroom returns the resources that other tasks must leave free for the set.
func (u *peakUsage) headroom() model.Resources {
	return scale(u.peak, 1+headroomShare).Sub(u.current).Max(model.Resources{})
}

func scale(r model.Resources, factor float64) model.Resources {
	return model.Resources{
		MilliCPU:     int64(factor * float64(r.MilliCPU)),
		MemoryMiB:    int64(factor * float64(r.MemoryMiB)),
		Accelerators: int64(factor * float64(r.Accelerators)),
	}
}

// headroom returns the resources that the step must leave free for top-priority
// ones. Long-running tasks neither count towards the headroom nor respect it,
// because they do not come in bursts.
func (e *Engine) headroom(s *step) model.Resources {
	if e.isTopPriority(s) || s.spec.LongRunning {
		return model.Resources{}
	}
	return e.topPriorityUsage.headroom().Min(scale(e.capacity, maxHeadroomShare))
}

// isTopPriority reports whether the step's queue has the highest priority.
func (e *Engine) isTopPriority(s *step) bool {
	return e.queue(s.occurrence.job).Priority <= e.topPriority
}

package rack

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Report takes a worker's lagging usage and returns what must be done before
// the worker is overrun.
func (r *Rack) Report(vm model.VMID, statuses []port.TaskStatus, _ time.Duration) []Action {
	w := r.workers[vm]
	if w == nil {
		return nil
	}
	for _, status := range statuses {
		if e := r.entries[status.Permit]; e != nil && e.worker == w {
			e.Used = status.Used
		}
	}
	return nil
}

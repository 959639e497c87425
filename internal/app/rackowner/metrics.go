package rackowner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsamhitch/balsamhitch/internal/core/rack"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// recordEndMetrics records how long an attempt ran and how it ended.
func recordEndMetrics(reservation rack.Reservation, state port.TaskState, now time.Duration) {
	team := reservation.Permit.Team
	if team == "" {
		return
	}
	ends := fmt.Sprintf(`balsamhitch_task_ends_total{team=%q,state=%q}`, team, state)
	metrics.GetOrCreateCounter(ends).Inc()
	ran := fmt.Sprintf(`balsamhitch_task_run_seconds{team=%q}`, team)
	metrics.GetOrCreateHistogram(ran).Update((now - reservation.Placed).Seconds())
}

// Package stallwatch reports times in which the process did not run: its VM was
// suspended or out of processor time, or the process did not schedule its timers.
package stallwatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	interval    = 250 * time.Millisecond // between two timers
	reportAfter = 300 * time.Millisecond // lateness of a timer that is logged
)

var lateness = metrics.NewHistogram("balsam_timer_late_seconds")

// Run sets one timer after the other until the context ends. It logs those that were
// late and records the lateness of all.
func Run(ctx context.Context, clock port.Clock, logger logrus.FieldLogger) {
	for set := clock.Now(); ctx.Err() == nil; {
		pause.Sleep(ctx, interval)
		now := clock.Now()
		late := now - set - interval
		set = now
		lateness.Update(max(0, late).Seconds())
		if late > reportAfter {
			logger.WithField("late_ms", late.Milliseconds()).Warn("a timer was late; the process or its VM stood still")
		}
	}
}

package configwatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
)

// verdicts lists the verdicts for which record counts are exported.
var verdicts = []config.Verdict{
	config.Applied, config.Lost, config.Expired, config.Rejected, config.Newer, config.Undecodable, config.Checkpoint,
}

// Register adds the watcher's metrics to the set.
func (w *Watcher) Register(set *metrics.Set) {
	set.NewGauge("balsam_config_revision", func() float64 { return float64(w.Snapshot().Revision()) })
	set.NewGauge("balsam_config_age_seconds", func() float64 { return w.Age().Seconds() })
	set.NewGauge("balsam_config_fresh", func() float64 {
		if w.Fresh() {
			return 1
		}
		return 0
	})
	for _, verdict := range verdicts {
		name := fmt.Sprintf("balsam_config_records_total{verdict=%q}", verdict)
		set.NewGauge(name, func() float64 { return float64(w.Counts()[verdict]) })
	}
}

package membership

import "github.com/VictoriaMetrics/metrics"

var (
	// renewalSeconds is the time from sending a renewal to reading it back.
	renewalSeconds  = metrics.NewHistogram("balsam_membership_renewal_seconds")
	acquisitions    = metrics.NewCounter("balsam_membership_tenures_total")
	removals        = metrics.NewCounter("balsam_membership_removals_total")
	promisesGranted = metrics.NewCounter(`balsam_membership_promises_total{result="granted"}`)
	promisesRefused = metrics.NewCounter(`balsam_membership_promises_total{result="refused"}`)
	skippedRecords  = metrics.NewCounter("balsam_membership_skipped_records_total")
)

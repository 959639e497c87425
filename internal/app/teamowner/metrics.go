package teamowner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// waitClass returns the class label of a job in the waiting time metric.
func waitClass(job model.Job) string {
	if job.Urgent {
		return "urgent"
	}
	return string(job.Kind)
}

// recordWait records how long a task waited from the acceptance of its job to its
// first start. The time of acceptance is part of the job's id, a ULID.
func (o *Owner) recordWait(task team.TaskOffer, wall time.Time) {
	id, err := ulid.ParseStrict(string(task.Job.ID))
	if err != nil || task.Attempt != 1 {
		return
	}
	name := fmt.Sprintf(`balsamhitch_task_wait_seconds{team=%q,class=%q}`, o.team, waitClass(task.Job))
	metrics.GetOrCreateHistogram(name).Update(wall.Sub(ulid.Time(id.Time())).Seconds())
}

// countRefusal counts offers that a rack refused, by reason.
func (o *Owner) countRefusal(reason peerpb.Refusal_Reason) {
	name := fmt.Sprintf(`balsamhitch_task_refusals_total{team=%q,reason=%q}`, o.team, reason)
	metrics.GetOrCreateCounter(name).Inc()
}

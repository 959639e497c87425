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

// class returns the label under which a job's waiting time is counted.
func class(job model.Job) string {
	if job.Urgent {
		return "urgent"
	}
	return string(job.Kind)
}

// countStart records how long a task waited from its job's acceptance, which
// the job's id carries, to its first start.
func (o *Owner) countStart(task team.TaskOffer, wall time.Time) {
	id, err := ulid.ParseStrict(string(task.Job.ID))
	if err != nil || task.Attempt != 1 {
		return
	}
	name := fmt.Sprintf(`balsamhitch_task_wait_seconds{team=%q,class=%q}`, o.team, class(task.Job))
	metrics.GetOrCreateHistogram(name).Update(wall.Sub(ulid.Time(id.Time())).Seconds())
}

// countRefusal counts offers that a rack refused, by reason.
func (o *Owner) countRefusal(reason peerpb.Refusal_Reason) {
	name := fmt.Sprintf(`balsamhitch_task_refusals_total{team=%q,reason=%q}`, o.team, reason)
	metrics.GetOrCreateCounter(name).Inc()
}

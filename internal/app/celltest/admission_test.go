package celltest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// wideSpec returns a job that uses half of a cell of two workers for a second.
func wideSpec() dispatch.JobSpec {
	return dispatch.JobSpec{Team: "b", Queue: cellQueue, Payload: "p", Steps: []dispatch.StepSpec{{
		Tasks: 2, DeclaredRunTime: time.Second, Size: model.Resources{MilliCPU: 4000, MemoryMiB: 100},
	}}}
}

// An overloaded cell refuses at once, at every node and also by a new owner, and leaves
// no trace of the job; once the queue has drained, the same id is taken.
func TestOverloadedCellRefusesWhatItCannotServeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3, 2)
		time.Sleep(3 * time.Second)
		refused := model.JobID("")
		submitUntilRefused := func(from int) {
			refused = ""
			for i := range 400 {
				id := c.registerJob(from+i, wideSpec(), time.Second)
				start := time.Now()
				outcome, retryAfter := c.node(i).service.SubmitJob(t.Context(), id, wideSpec())
				if outcome != intake.Overloaded {
					require.Equal(t, intake.Done, outcome)
					c.jobs = append(c.jobs, id)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				assert.Less(t, time.Since(start), 50*time.Millisecond)
				assert.GreaterOrEqual(t, retryAfter, time.Second)
				for n := range 3 {
					state, outcome := c.node(n).service.State(id)
					assert.Equal(t, intake.NoJob, outcome, state)
				}
				refused = id
				return
			}
		}
		submitUntilRefused(0)
		require.NotEmpty(t, refused, "200 s of work are waiting")
		assert.Less(t, len(c.jobs), 40)

		previous := c.ownerIndex()
		c.kill(previous)
		time.Sleep(2 * time.Second)
		c.restart(previous)
		time.Sleep(time.Second)
		submitUntilRefused(1000)
		require.NotEmpty(t, refused, "by the new owner")

		time.Sleep(30 * time.Second)
		outcome, _ := c.node(0).service.SubmitJob(t.Context(), refused, wideSpec())
		assert.Equal(t, intake.Done, outcome, "the same id, after the queue has drained")
		c.jobs = append(c.jobs, refused)
		time.Sleep(10 * time.Second)
		c.check()
		c.close()
	})
}

package dispatcher

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// jobRecords returns the log records of the given number of jobs. Each job has two
// steps of four tasks; the first step is placed.
func jobRecords(tb testing.TB, jobs int) []port.KeyedRecord {
	queue := dispatch.Queue{Name: "q", Service: "s", MaxAttempts: 3, Slowdown: 4, BaseLatency: time.Second}
	step := dispatch.StepSpec{Tasks: 4, Size: model.Resources{MilliCPU: 1000, MemoryMiB: 500}, DeclaredRunTime: time.Second}
	second := step
	second.DependsOn = []int{0}
	var batch dispatch.Batch
	var records []port.KeyedRecord
	for i := range jobs {
		id := model.JobID(fmt.Sprintf("%016x", i))
		record, err := replica.SubmissionRecord(id, dispatch.JobSpec{
			Team: "a", Queue: queue, Payload: fmt.Sprintf("%0400d", i), Steps: []dispatch.StepSpec{step, second}, Submitted: time.Now(),
		})
		require.NoError(tb, err)
		records = append(records, record)
		for t := range step.Tasks {
			batch.Tasks = append(batch.Tasks, dispatch.TaskState{
				Task: dispatch.TaskName{Job: id, Index: t}, Phase: dispatch.TaskPlaced, Run: 1,
				Worker: model.VMID(fmt.Sprintf("w%03d", (i*4+t)%400)), Incarnation: 1,
			})
		}
	}
	placed, err := replica.BatchRecords(&batch, time.Now())
	require.NoError(tb, err)
	return append(records, placed...)
}

// restoreJobs loads the records into a new replica and restores a new engine
// from it.
func restoreJobs(records []port.KeyedRecord) *ownerSession {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	copied := replica.New(sysclock.Clock{}, logger)
	copied.Load(records)
	s := &ownerSession{Options: Options{Clock: sysclock.Clock{}, Replica: copied, Logger: logger}, engine: dispatch.New(dispatch.Settings{})}
	copied.Listen(s, s.restore)
	return s
}

// BenchmarkTakeover measures the processor time of a takeover and the memory of
// the restored state, by the number of jobs.
func BenchmarkTakeover(b *testing.B) {
	for _, jobs := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			records := jobRecords(b, jobs)
			size := 0
			for _, record := range records {
				size += len(record.Key) + len(record.Value)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			var s *ownerSession
			for range b.N {
				s = restoreJobs(records)
			}
			b.StopTimer()
			runtime.GC()
			runtime.ReadMemStats(&after)
			held, waiting, placed := s.engine.Counts()
			require.Equal(b, []int{jobs, 0, 4 * jobs}, []int{held, waiting, placed})
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-held")
			b.ReportMetric(float64(size)/(1<<20), "MiB-log")
		})
	}
}

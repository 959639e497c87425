package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An owner of 1,100 workers writes and reads some 15,000 names of tasks a second. One
// allocation for each is 1 ms of processor time.
func TestTaskNameNeedsOneAllocation(t *testing.T) {
	name := TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 1200, Step: 300, Index: 1700}
	text := name.String()
	assert.Equal(t, "5c0e7a21d94b36f8.1200.300.1700", text)
	assert.LessOrEqual(t, testing.AllocsPerRun(100, func() { _ = name.String() }), 1.0)
	assert.Zero(t, testing.AllocsPerRun(100, func() { _, _ = ParseTaskName(text) }))
	parsed, err := ParseTaskName(text)
	require.NoError(t, err)
	assert.Equal(t, name, parsed)
	for _, invalid := range []string{"", ".", "...", "a", "a.1.2", "a.1.2.3.4", "a.1.2.", "a.1..3", ".1.2.3", "a.1.2.x", "a.-1.2.3", "a.1.2.3.", "a.1.2.99999999999999999999"} {
		_, err := ParseTaskName(invalid)
		assert.Error(t, err, invalid)
	}
}

// An owner of 1,100 workers applies some 2,000 reports a second, nearly all without a run
// that is missing or a stop to repeat. Sorting the worker's tasks for these would cost
// more than the rest of the report.
func TestReportWithoutChangesAllocatesLittle(t *testing.T) {
	queue := batchQueue
	queue.RequiresAdvice = false
	b := newBurstTest(t, 1, []Queue{queue}, []Team{{Name: "a"}})
	for i := range 8 {
		b.submit(fmt.Sprintf("job%d", i), "a", queue, wideStep(1, 4000))
	}
	b.advance()
	report := WorkerReport{Incarnation: 1, Clock: b.now}
	for _, order := range b.running[b.workers[0]] {
		report.ActiveRuns = append(report.ActiveRuns, ActiveRun{Task: order.Task, Run: order.Run})
	}
	require.Len(t, report.ActiveRuns, 8)
	allocations := testing.AllocsPerRun(100, func() {
		report.Clock += 10 * time.Millisecond
		b.engine.ApplyReport(b.workers[0], report, b.now)
	})
	assert.LessOrEqual(t, allocations, 2.0, "the set of reported names is the only memory")
}

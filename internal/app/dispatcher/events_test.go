package dispatcher

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/app/logsink"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
)

// An owner of 0.8 processors reports 3,000 decisions a second, of which the log takes a
// part. What the log doesn't take must cost no allocations: 3,000 lines of 25 allocations
// each are some 2 % of a core.
func TestDecisionsThatAreNotLoggedAreOnlyCounted(t *testing.T) {
	logger, sink := logsink.New(io.Discard, 0.01)
	defer sink.Close(time.Second)
	s := &ownerSession{Options: Options{Logger: logger.WithField("part", "dispatcher")}}
	events := make([]dispatch.Event, 1000)
	for i := range events {
		events[i] = dispatch.Event{Kind: "test_decision", Job: "j", Task: fmt.Sprintf("j.0.0.%d", i), Run: 1, Worker: "w", Team: "a", Queue: "q"}
	}
	s.logEvents(events) // takes what the log permits at once
	counter := metrics.GetOrCreateCounter(`balsam_decisions_total{kind="test_decision",queue="q"}`)
	before := counter.Get()
	allocations := testing.AllocsPerRun(5, func() { s.logEvents(events) })
	assert.Less(t, allocations, 1000.0, "allocations for 1,000 decisions")
	assert.EqualValues(t, 6000, counter.Get()-before, "all are counted")
}

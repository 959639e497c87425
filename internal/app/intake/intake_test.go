package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// silentLog is a log that answers no append.
type silentLog struct{ port.KeyedLog }

func (silentLog) Append(ctx context.Context, _ string, _ []port.KeyedRecord, _ port.AppendOptions) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestWriteWithoutAnyAnswerEndsAfterLongestWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, _ := test.NewNullLogger()
		clock := porttest.NewClock(nil, time.Hour, 0)
		current := &policy.Current{}
		current.Set(&policy.Snapshot{Version: 1})
		service := New(Options{
			MaxAppendBytes: 1 << 20,
			Policy:         current, Log: silentLog{}, Replica: replica.New(clock, logger), Tail: &logtail.Tail{}, Clock: clock, Logger: logger,
			Forward: func(ctx context.Context, _ port.KeyedRecord) error {
				<-ctx.Done()
				return ctx.Err()
			},
		})
		start := time.Now()
		outcome := service.Submit(t.Context(), "00000000000000aa", dispatch.JobSpec{Steps: []dispatch.StepSpec{{Tasks: 1}}})
		assert.Equal(t, Unknown, outcome)
		assert.LessOrEqual(t, time.Since(start), LongestWrite)
		time.Sleep(5 * time.Second) // until the writer has stopped
	})
}

package intake

import (
	"context"
	"errors"
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

// countingLog counts the appends and fails them with an unknown outcome.
type countingLog struct {
	port.KeyedLog
	appends int
}

func (l *countingLog) Append(context.Context, string, []port.KeyedRecord, port.AppendOptions) (uint64, error) {
	l.appends++
	return 0, errors.New("no answer")
}

// newForwardingService returns a service whose record is forwarded to the answers in
// turn; the last one repeats.
func newForwardingService(log port.KeyedLog, answers ...error) *Service {
	logger, _ := test.NewNullLogger()
	clock := porttest.NewClock(nil, time.Hour, 0)
	current := &policy.Current{}
	current.Set(&policy.Snapshot{Version: 1})
	return New(Options{
		Policy: current, Log: log, Replica: replica.New(clock, logger), Tail: &logtail.Tail{}, Clock: clock, Logger: logger,
		Forward: func(context.Context, port.KeyedRecord) error {
			answer := answers[0]
			if len(answers) > 1 {
				answers = answers[1:]
			}
			return answer
		},
	})
}

var errOverloaded = port.NotStarted.Wrap(&port.OverloadedError{RetryAfter: 2 * time.Second})

func TestJobThatCannotBeServedInTimeIsRefusedWithoutAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{}
		service := newForwardingService(log, errOverloaded, nil)
		start := time.Now()
		spec := dispatch.JobSpec{Steps: []dispatch.StepSpec{{Tasks: 1}}}
		outcome, retryAfter := service.SubmitJob(t.Context(), "00000000000000aa", spec)
		assert.Equal(t, Overloaded, outcome)
		assert.Equal(t, 2*time.Second, retryAfter)
		assert.Zero(t, time.Since(start), "refused at once")
		assert.Zero(t, log.appends, "not appended directly either")

		outcome, _ = service.SubmitJob(t.Context(), "00000000000000aa", spec)
		assert.Equal(t, Done, outcome, "the same id later")
		assert.Zero(t, log.appends)
	})
}

// An earlier attempt of the call may have been stored, so that a refusal could be
// untrue.
func TestRefusalAfterAnUnknownAttemptIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{}
		service := newForwardingService(log, errors.New("no answer"), errOverloaded)
		outcome, _ := service.SubmitJob(t.Context(), "00000000000000aa", dispatch.JobSpec{Steps: []dispatch.StepSpec{{Tasks: 1}}})
		assert.Equal(t, Unknown, outcome)
		assert.Equal(t, 1, log.appends, "only after the attempt without an answer")
		time.Sleep(5 * time.Second) // until the writer has stopped
	})
}

package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
)

// Guards against an engine that keeps an older policy because a change was applied while
// an earlier one waited for the engine.
func TestLaterOfTwoPolicyChangesWins(t *testing.T) {
	s, _ := newPolledSession(0)
	s.Policy = &policy.Current{}
	limit := func(version uint64, milliCPU int64) *policy.Snapshot {
		return &policy.Snapshot{Version: version, Teams: []dispatch.Team{{Name: "t", UpperLimit: model.Resources{MilliCPU: milliCPU}}}}
	}
	s.Policy.Set(limit(1, 1000))
	s.mu.Lock()
	done := make(chan struct{})
	go func() {
		s.policyChanged()
		close(done)
	}()
	time.Sleep(50 * time.Millisecond) // until the goroutine waits for the engine
	s.Policy.Set(limit(2, 5000))
	s.mu.Unlock()
	<-done
	step := dispatch.StepSpec{Tasks: 1, Size: model.Resources{MilliCPU: 4000}}
	assert.Empty(t, s.engine.NeverFits(dispatch.JobSpec{Team: "t", Steps: []dispatch.StepSpec{step}}))
}

package health

import (
	"fmt"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// JobPolicy bounds the attempts of a task. The zero value of a field selects
// its default.
type JobPolicy struct {
	// MaxFailures ends the task whatever the workers.
	MaxFailures int
	// MaxWorkers ends the task once it failed on so many different workers
	// that finish other work.
	MaxWorkers int
}

// The defaults of JobPolicy.
const (
	defaultMaxFailures = 5
	defaultMaxWorkers  = 3
)

// Tries is the history of one task's failed attempts. Its zero value is a
// task that has not failed.
type FailureHistory struct {
	Failures int
	// Workers are those that failed the task, for Offer.Avoid.
	Workers []model.VMID
}

// Verdict is what to do with a task after a failure.
type RetryDecision struct {
	Retry  bool
	Detail string // why the task is given up; set when not Retry
}

// Failed records a failure. A worker in quarantine counts towards the bound
// on failures but not as proof against the task.
func (t *FailureHistory) RecordFailure(vm model.VMID, quarantined bool, detail string, policy JobPolicy) RetryDecision {
	set(&policy.MaxFailures, defaultMaxFailures)
	set(&policy.MaxWorkers, defaultMaxWorkers)
	t.Failures++
	if !quarantined && !slices.Contains(t.Workers, vm) {
		t.Workers = append(t.Workers, vm)
	}
	switch {
	case len(t.Workers) >= policy.MaxWorkers:
		return RetryDecision{Detail: fmt.Sprintf("failed on %d workers, last on %s: %s", len(t.Workers), vm, detail)}
	case t.Failures >= policy.MaxFailures:
		return RetryDecision{Detail: fmt.Sprintf("failed %d times, last on %s: %s", t.Failures, vm, detail)}
	}
	return RetryDecision{Retry: true}
}

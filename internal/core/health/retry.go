package health

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// RetryPolicy limits the attempts of a task. The zero value of a field selects its
// default.
type RetryPolicy struct {
	// MaxFailures is the number of failures, on any workers, after which the
	// task is not retried.
	MaxFailures int
	// MaxWorkers is the number of distinct workers, not counting quarantined
	// ones, on which the task may fail before it is no longer retried.
	MaxWorkers int
}

// Defaults of RetryPolicy.
const (
	defaultMaxFailures = 5
	defaultMaxWorkers  = 3
)

// FailureHistory records the failed attempts of one task. The zero value is a
// task without failures.
type FailureHistory struct {
	Failures int
	// Workers are the workers on which the task failed, without those that were
	// in quarantine; the next placement avoids them.
	Workers []model.VMID
}

// RetryDecision is the decision about a task after a failure.
type RetryDecision struct {
	Retry  bool
	Detail string // why the task is not retried; set if Retry is false
}

// RecordFailure records a failure and decides whether the task is retried. A
// failure on a quarantined worker counts towards MaxFailures but not towards
// MaxWorkers.
func (h *FailureHistory) RecordFailure(vm model.VMID, quarantined bool, detail string, policy RetryPolicy) RetryDecision {
	policy.MaxFailures = cmp.Or(policy.MaxFailures, defaultMaxFailures)
	policy.MaxWorkers = cmp.Or(policy.MaxWorkers, defaultMaxWorkers)
	h.Failures++
	if !quarantined && !slices.Contains(h.Workers, vm) {
		h.Workers = append(h.Workers, vm)
	}
	switch {
	case len(h.Workers) >= policy.MaxWorkers:
		return RetryDecision{Detail: fmt.Sprintf("failed on %d workers, last on %s: %s", len(h.Workers), vm, detail)}
	case h.Failures >= policy.MaxFailures:
		return RetryDecision{Detail: fmt.Sprintf("failed %d times, last on %s: %s", h.Failures, vm, detail)}
	}
	return RetryDecision{Retry: true}
}

// Package rack decides on which worker of a rack partition a task runs. It
// tracks the reservations on each worker and never places a task beyond a
// worker's capacity.
//
// The package does no I/O: callers pass readings of their monotonic clock as
// now. A Rack is not safe for concurrent use; its owner's lock guards it.
package rack

import (
	"cmp"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/health"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors of this package.
var Error = errs.Class("rack")

// Policy configures a rack. The zero value of a field selects its default.
type Policy struct {
	// Order is the order in which teams are served.
	Order fairness.Policy
	// HoldAfter is how long a task must have been refused for lack of free
	// capacity before a worker is held for it.
	HoldAfter time.Duration
	// HoldGrace is how long a hold is kept after the suggested time of the next
	// offer of its task.
	HoldGrace time.Duration
	// MaxHoldFraction is the largest fraction of the workers that may be held
	// for single tasks.
	MaxHoldFraction float64
	// MaxGangHoldFraction is the largest fraction of the workers that may be
	// held for a gang.
	MaxGangHoldFraction float64
	// RetryMin and RetryMax bound Decision.RetryAfter.
	RetryMin time.Duration
	RetryMax time.Duration
	// MemoryHigh and CPUHigh are the fractions of a worker's capacity above
	// which projected usage leads to actions.
	MemoryHigh float64
	CPUHigh    float64
	Health     health.Policy
}

// Options configures a Rack.
type Options struct {
	Policy Policy
}

// Offer asks for a worker for one attempt of a task.
type Offer struct {
	Permit  model.Permit
	Task    model.TaskID
	Attempt int
	Job     model.JobID
	// Size is what to reserve: the declared size corrected by estimates.
	Size        model.Resources
	ExpectedRun time.Duration // zero or less means unknown
	Domains     []model.FailureDomain
	Urgent      bool
	Template    string
	Avoid       []model.VMID
	// RatioStep is how much the team's ratio (its dominant share divided by its
	// weight; see fairness.Ratio) rises when this task is placed. With zero,
	// only the permits' own ratios determine the order.
	RatioStep float64
	// Waited is how long the task has waited for its start.
	Waited time.Duration
	// RefusedFor is how long racks have refused the task for lack of free
	// capacity.
	RefusedFor time.Duration
	// NonIdempotent keeps the task off workers that are being probed.
	NonIdempotent bool
	// Preemptible allows the task to be checkpointed and stopped, for urgent work or
	// because its worker runs short of memory.
	Preemptible bool
}

// Reason is why an offer was refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonNone        Reason = iota
	ReasonNoCapacity         // no eligible worker has enough free capacity now
	ReasonNeverFits          // larger than any worker in an allowed domain of this rack
	ReasonDomainOut          // every allowed failure domain is out of service
	ReasonWrongDomain        // the rack has no worker in an allowed domain
	ReasonQuarantined        // only quarantined workers have enough free capacity
	ReasonUnavailable        // workers with enough free capacity are leaving, unlisted or unresponsive, or all listed ones are leaving
	ReasonDuplicate          // the task has a reservation under another permit
	ReasonInvalid            // the size is zero or negative
)

var reasonNames = [...]string{
	"none", "no capacity", "never fits", "domain out", "wrong domain",
	"quarantined", "unavailable", "duplicate", "invalid",
}

// String returns the reason as it is sent to callers.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the answer to one offer.
type Decision struct {
	Offer      Offer
	VM         model.VMID // set when Reserved
	Reserved   bool
	Reason     Reason        // set when not Reserved
	RetryAfter time.Duration // set when not Reserved: suggested delay before the next offer
	// Held is set when a worker is held for the refused task. The task should
	// be offered to the same rack again.
	Held bool
}

// State is the state of a reservation.
type State uint8

// The states of a reservation.
const (
	StateReserved State = iota // placed, start not yet confirmed
	StateGang                  // placed for a gang, not yet committed or released
	StateStarted               // the worker confirmed the start
	StateUnknown               // it is not known whether the task runs
)

// Reservation is the capacity reserved for a task on a worker.
type Reservation struct {
	Permit      model.Permit
	Task        model.TaskID
	Attempt     int
	Job         model.JobID
	Template    string
	Size        model.Resources
	VM          model.VMID
	State       State
	Urgent      bool
	Preemptible bool
	Probe       bool // placed to test a quarantined worker
	Placed      time.Duration
	ExpectedEnd time.Duration   // zero for unknown
	Expiry      time.Duration   // of a reservation in StateGang
	Used        model.Resources // as last reported
	Peak        model.Resources // largest reported
}

// Result is the outcome of an attempt that has certainly ended.
type Result uint8

// The results of an attempt.
const (
	ResultDone       Result = iota
	ResultFailed            // the task itself failed
	ResultNotStarted        // the worker never started it
	ResultStopped           // stopped, checkpointed or expired
)

// Action is an action that a worker has to execute on a running task.
type Action struct {
	VM     model.VMID
	Task   port.TaskAttempt
	Permit string
	Action port.TaskAction
	Detail string
}

// Summary is a rack's capacity and load, used to select candidate racks.
type Summary struct {
	Capacity    model.Resources
	Free        model.Resources
	LargestFree model.Resources // per dimension, the most that any worker without a hold has free
	// FreeShapes lists the free capacities of single workers without a hold, except
	// those that another one matches or exceeds in every dimension; at most
	// MaxFreeShapes, sorted by dominant share, largest first.
	FreeShapes   []model.Resources
	LargestVM    model.Resources // per dimension
	Domains      []model.FailureDomain
	VMs          int // workers that may get new tasks
	Quarantined  int
	Held         int // workers held for tasks that wait for free capacity
	Reservations int // in any state
	Unknown      int // reservations in StateUnknown
}

// MaxFreeShapes bounds the length of Summary.FreeShapes.
const MaxFreeShapes = 4

// The defaults of Policy.
const (
	defaultHoldAfter           = 300 * time.Millisecond
	defaultHoldGrace           = 2 * time.Second
	defaultMaxHoldFraction     = 0.125
	defaultMaxGangHoldFraction = 0.5
	defaultRetryMin            = 20 * time.Millisecond
	defaultRetryMax            = 2 * time.Second
	defaultMemoryHigh          = 0.95
	defaultCPUHigh             = 1.0
)

func (p Policy) withDefaults() Policy {
	p.HoldAfter = cmp.Or(p.HoldAfter, defaultHoldAfter)
	p.HoldGrace = cmp.Or(p.HoldGrace, defaultHoldGrace)
	p.MaxHoldFraction = cmp.Or(p.MaxHoldFraction, defaultMaxHoldFraction)
	p.MaxGangHoldFraction = cmp.Or(p.MaxGangHoldFraction, defaultMaxGangHoldFraction)
	p.RetryMin = cmp.Or(p.RetryMin, defaultRetryMin)
	p.RetryMax = cmp.Or(p.RetryMax, defaultRetryMax)
	p.MemoryHigh = cmp.Or(p.MemoryHigh, defaultMemoryHigh)
	p.CPUHigh = cmp.Or(p.CPUHigh, defaultCPUHigh)
	return p
}

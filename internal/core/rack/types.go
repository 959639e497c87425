// Package rack decides which worker of one rack partition a task runs on. It
// keeps what is reserved on each worker and never reserves more than a worker
// holds.
//
// The package is pure: callers pass readings of their clock as now. A Rack is
// not safe for concurrent use; each rack is a shard under its owner's lock.
package rack

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/health"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors of this package.
var Error = errs.Class("rack")

// Policy tunes a rack. The zero value of a field selects its default.
type Policy struct {
	// Order says which team goes first.
	Order fairness.Policy
	// HoldAfter is how long a task must have been refused for lack of room
	// before a worker is held for it.
	HoldAfter time.Duration
	// HoldGrace is how long a hold outlasts the expected start of its task.
	HoldGrace time.Duration
	// HoldShare is the largest fraction of the workers that may be held.
	MaxHoldFraction float64
	// GangHoldShare is the same for the gang that waits the longest.
	MaxGangHoldFraction float64
	// RetryMin and RetryMax bound the delay that refusals suggest.
	RetryMin time.Duration
	RetryMax time.Duration
	// MemoryHigh and CPUHigh are the fractions of a worker's capacity from
	// which reported usage calls for action.
	MemoryHigh float64
	CPUHigh    float64
	Health     health.Policy
}

// Options configures a Rack.
type Options struct {
	Policy Policy
}

// Offer is one attempt of a task that seeks a worker.
type Offer struct {
	Permit  model.Permit
	Task    model.TaskID
	Attempt int
	Job     model.JobID
	// Size is what is reserved: the declared size corrected by estimates.
	Size        model.Resources
	ExpectedRun time.Duration // zero or less means unknown
	Domains     []model.FailureDomain
	Urgent      bool
	Template    string
	Avoid       []model.VMID
	// RatioStep is by how much the team's ratio rises with this task. Zero
	// leaves the order to the permits' own ratios.
	RatioStep float64
	// Waited is for how long the task has waited for its start.
	Waited time.Duration
	// Refused is for how long racks have refused the task for lack of room.
	RefusedFor time.Duration
	// NonIdempotent keeps the task off workers that are being probed.
	NonIdempotent bool
	// Preemptible allows a checkpoint in favor of urgent work.
	Preemptible bool
}

// Reason tells why an offer was refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonNone        Reason = iota
	ReasonNoCapacity         // no eligible worker has room now
	ReasonNeverFits          // larger than any worker of this rack
	ReasonDomainOut          // every allowed failure domain is out of service
	ReasonWrongDomain        // the rack has no worker in an allowed domain
	ReasonQuarantined        // only quarantined workers have room
	ReasonUnavailable        // workers with room are leaving, silent or avoided
	ReasonDuplicate          // the task is held under another permit
	ReasonInvalid            // the size is zero or negative
)

var reasonNames = [...]string{
	"none", "no capacity", "never fits", "domain out", "wrong domain",
	"quarantined", "unavailable", "duplicate", "invalid",
}

// String returns the reason in words.
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
	RetryAfter time.Duration // suggested delay before the next offer
	// Held is set when a worker is held for the refused task: offer it to the
	// same rack again.
	Held bool
}

// State is the phase of a reservation.
type State uint8

// The phases of a reservation.
const (
	StateReserved State = iota // placed, start not yet confirmed
	StateGang                  // placed for a gang, neither committed nor released
	StateStarted               // the worker confirmed the start
	StateUnknown               // the start's or the task's outcome is not known
)

// Reservation is what a task holds on a worker.
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
	Probe       bool
	Placed      time.Duration
	ExpectedEnd time.Duration   // zero for unknown
	Expiry      time.Duration   // of a gang's reservation
	Used        model.Resources // as last reported
	Peak        model.Resources // largest reported
}

// Result is the certain end of an attempt.
type Result uint8

// The certain ends of an attempt.
const (
	ResultDone       Result = iota
	ResultFailed            // the task itself failed
	ResultNotStarted        // the worker never began it
	ResultStopped           // stopped, checkpointed or expired on request
)

// Action is what a worker has to do with a running task.
type Action struct {
	VM     model.VMID
	Task   port.TaskAttempt
	Permit string
	Action port.TaskAction
	Detail string
}

// Summary is a rack's free capacity for those who pick candidates.
type Summary struct {
	Capacity    model.Resources
	Free        model.Resources
	LargestFree model.Resources // per dimension, on a single worker
	// Room lists what single workers have free, without those that have less
	// of everything than another one; at most MaxRoom, the roomiest first.
	FreeShapes  []model.Resources
	LargestVM   model.Resources // per dimension
	Domains     []model.FailureDomain
	VMs         int // that take work
	Quarantined int
	Held        int // workers held for tasks that wait for room
	Running     int
	Unknown     int
}

// MaxRoom bounds Summary.Room.
const MaxFreeShapes = 4

// The defaults of Policy.
const (
	defaultHoldAfter     = 300 * time.Millisecond
	defaultHoldGrace     = 2 * time.Second
	defaultHoldShare     = 0.125
	defaultGangHoldShare = 0.5
	defaultRetryMin      = 20 * time.Millisecond
	defaultRetryMax      = 2 * time.Second
	defaultMemoryHigh    = 0.95
	defaultCPUHigh       = 1.0
)

func (p Policy) withDefaults() Policy {
	p.HoldAfter = orDefault(p.HoldAfter, defaultHoldAfter)
	p.HoldGrace = orDefault(p.HoldGrace, defaultHoldGrace)
	p.MaxHoldFraction = orDefault(p.MaxHoldFraction, defaultHoldShare)
	p.MaxGangHoldFraction = orDefault(p.MaxGangHoldFraction, defaultGangHoldShare)
	p.RetryMin = orDefault(p.RetryMin, defaultRetryMin)
	p.RetryMax = orDefault(p.RetryMax, defaultRetryMax)
	p.MemoryHigh = orDefault(p.MemoryHigh, defaultMemoryHigh)
	p.CPUHigh = orDefault(p.CPUHigh, defaultCPUHigh)
	return p
}

func orDefault[T time.Duration | float64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

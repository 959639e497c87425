package port

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/core/upkeep"
)

// RejectReason tells why a worker did not carry out an order.
type RejectReason string

// The reasons of a worker.
const (
	RejectFenced        RejectReason = "fence"     // a higher token has been seen
	RejectStaleRun      RejectReason = "old"       // the run, or a later one, has ended or was stopped there
	RejectLeaseExpired  RejectReason = "late"      // the lease is over on the worker's clock
	RejectNoCapacity    RejectReason = "room"      // the task does not fit
	RejectTicket        RejectReason = "ticket"    // the placement policy's ticket is not valid
	RejectUnavailable   RejectReason = "unhealthy" // nothing was done
	RejectWrongInstance RejectReason = "instance"  // another worker answers at the address
	RejectInvalid       RejectReason = "invalid"
)

// RejectedError is a worker's word that this order had no effect. An earlier
// order for the same run may still have one.
type RejectedError struct {
	Reason RejectReason
	Clock  time.Duration // the worker's own clock; zero if it did not say
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("worker rejected the order: %s", e.Reason) }

// WorkerTarget says where a worker's orders go.
type WorkerTarget struct {
	ID      model.VMID
	Address string
}

// Look asks a worker what runs on it and renews the lease of all of it.
type PollRequest struct {
	Token uint64 // of the sender; the worker ignores orders with a lower one from then on
	// Acked lets the worker forget its ends up to this number.
	AckedThrough uint64
	// LeaseUntil is a time on the worker's clock; zero renews nothing.
	LeaseUntil time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// CellWorker gives orders to the workers of a cell. Errors of type NotStarted
// and RejectedError prove that this call had no effect; after any other error
// it may have one, even seconds later.
type CellWorker interface {
	Poll(ctx context.Context, target WorkerTarget, look PollRequest) (dispatch.WorkerReport, error)
	// Start and Stop return the worker's clock.
	Start(ctx context.Context, target WorkerTarget, order dispatch.StartOrder, token uint64, leaseUntil time.Duration) (time.Duration, error)
	Stop(ctx context.Context, target WorkerTarget, order dispatch.StopOrder, token uint64) (time.Duration, error)
	// Pace sets how much of its work a task may do, until it is set anew.
	Pace(ctx context.Context, target WorkerTarget, order dispatch.PaceOrder, token uint64) error
}

// Advisor asks the placement policy which workers may run a step. It returns
// them with the time that their tickets are valid.
type Advisor interface {
	Advise(ctx context.Context, query dispatch.AdviceRequest) ([]dispatch.Approval, time.Duration, error)
}

// WorkerDirectory follows the platform's list of workers.
type WorkerDirectory interface {
	// Follow calls update with the whole list after each change, until the
	// context ends.
	Follow(ctx context.Context, update func([]dispatch.WorkerInfo))
}

// MachineKeeper lists the platform's machines and gives orders about them.
type MachineManager interface {
	List(ctx context.Context) ([]upkeep.Machine, error)
	// Upkeep begins a machine's upkeep, which ends all that runs on it. Without
	// an error it has begun, now or before; after an error other than
	// MachineRefusedError and NotStarted it may have.
	StartUpkeep(ctx context.Context, machine string, wave int, holder string, token uint64) error
	// ReportWave tells operators how far a wave is.
	ReportWave(ctx context.Context, wave policy.Wave, completed bool) error
}

// MachineRefusedError is the platform's word that an order about a machine had
// no effect.
type MachineRejectedError struct {
	Reason string
	Fenced bool // a newer holder has given orders
}

// Error implements error.
func (e *MachineRejectedError) Error() string { return "platform refused the order: " + e.Reason }

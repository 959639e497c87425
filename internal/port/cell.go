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

// RejectReason is the reason why a worker rejected an order.
type RejectReason string

// Reasons for which a worker rejects an order.
const (
	RejectFenced       RejectReason = "fence"     // the worker has seen a higher fencing token
	RejectStaleRun     RejectReason = "old"       // this run or a later one has already ended or been stopped on the worker
	RejectLeaseExpired RejectReason = "late"      // the lease has expired on the worker's clock
	RejectNoCapacity   RejectReason = "room"      // the task does not fit into the free capacity
	RejectTicket       RejectReason = "ticket"    // the placement policy's ticket is not valid
	RejectUnavailable  RejectReason = "unhealthy" // the worker cannot execute orders now; the order had no effect
	RejectWrongWorker  RejectReason = "instance"  // another worker than the one called answered at the address
	RejectInvalid      RejectReason = "invalid"
)

// RejectedError proves that this order had no effect on the worker. An earlier
// order for the same run may still take effect.
type RejectedError struct {
	Reason RejectReason
	Clock  time.Duration // reading of the worker's clock; zero if not reported
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("worker rejected the order: %s", e.Reason) }

// WorkerEndpoint identifies the worker that a call is sent to, and its address.
type WorkerEndpoint struct {
	ID      model.VMID
	Address string
}

// PollRequest asks a worker for its active and ended runs and renews the leases of
// the active ones.
type PollRequest struct {
	Token uint64 // fencing token of the sender; the worker rejects lower ones from then on
	// Incarnation is the only incarnation of the worker that may receive the poll; zero
	// for any, with neither acknowledgements nor leases.
	Incarnation int64
	// AckedThrough acknowledges ended runs up to this sequence number; the worker
	// may drop them.
	AckedThrough uint64
	// LeaseUntil is a reading of the worker's clock; zero renews no lease.
	LeaseUntil time.Duration
	// Wait is the longest time that the worker may wait for a run to end before it
	// answers.
	Wait time.Duration
}

// CellWorker sends the orders of balsam-node to the workers of its cell. Errors of the
// classes NotStarted and NotConnected and of type *RejectedError prove that the call had no
// effect; after any other error the outcome is unknown and the call may take effect seconds
// later.
type CellWorker interface {
	// Poll returns the worker's active and ended runs and renews the leases of the
	// active ones. It returns an error of class NotConnected if the intended incarnation
	// cannot be told from a later one.
	Poll(ctx context.Context, worker WorkerEndpoint, request PollRequest) (dispatch.WorkerReport, error)
	// Start and Stop return the reading of the worker's clock at the time it
	// accepted the order. Start returns an error of class NotConnected if the incarnation
	// in the order does not answer at the worker's address: the lease and the ticket in the
	// order hold for that incarnation only.
	Start(ctx context.Context, worker WorkerEndpoint, order dispatch.StartOrder, token uint64, leaseUntil time.Duration) (time.Duration, error)
	Stop(ctx context.Context, worker WorkerEndpoint, order dispatch.StopOrder, token uint64) (time.Duration, error)
	// Pace limits a task to a share of its full work rate until the next call.
	Pace(ctx context.Context, worker WorkerEndpoint, order dispatch.PaceOrder, token uint64) error
}

// Advisor queries the placement policy.
type Advisor interface {
	// Advise returns the workers that may run a step and the validity of their
	// tickets.
	Advise(ctx context.Context, request dispatch.AdviceRequest) ([]dispatch.Approval, time.Duration, error)
}

// WorkerDirectory follows the worker list, to which each worker publishes its own
// entry on the platform's log.
type WorkerDirectory interface {
	// Follow calls update with the complete list after each change, until the
	// context is done.
	Follow(ctx context.Context, update func([]dispatch.WorkerInfo))
	// LastRead returns the clock reading at which the last successful read of the list
	// was sent, zero before the first. The last update contains all changes before it.
	LastRead() time.Duration
}

// MachineManager lists the platform's machines and starts their upkeep.
type MachineManager interface {
	List(ctx context.Context) ([]upkeep.Machine, error)
	// StartUpkeep starts a machine's upkeep, which ends all runs on it. It returns
	// nil if the upkeep has started, now or earlier. Errors of class NotStarted and
	// of type *MachineRejectedError prove that the call had no effect; after any
	// other error the outcome is unknown. owner is the name of the calling node and
	// token its fencing token.
	StartUpkeep(ctx context.Context, machine string, wave int, owner string, token uint64) error
	// ReportWave publishes for operators whether a wave is running or completed.
	ReportWave(ctx context.Context, wave policy.Wave, completed bool) error
}

// MachineRejectedError proves that an order about a machine had no effect.
type MachineRejectedError struct {
	Reason string
	Fenced bool // the platform has seen an order with a higher fencing token
}

// Error implements error.
func (e *MachineRejectedError) Error() string { return "platform rejected the order: " + e.Reason }

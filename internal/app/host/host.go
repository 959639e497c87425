// Package host runs the partitions that a member owns and routes peer calls to
// them.
package host

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Config is the part of the configuration snapshot that partitions read. A
// snapshot is immutable.
type Config interface {
	Revision() uint64
	Template(team model.TeamID) (model.WorkspaceTemplate, bool)
	Teams() []model.TeamID
	IsDomainOut(domain model.FailureDomain) bool
}

// Directory returns the owners of partitions, as last read from the log.
type Directory interface {
	// Owner returns the peer address of the partition's owner and the owner's
	// epoch, which is the offset of the claim or release that made it the owner;
	// false if no owner is known.
	Owner(partition model.PartitionID) (address string, epoch model.Epoch, ok bool)
}

// Env is the environment of a partition. All methods are safe for concurrent
// use.
type Env interface {
	Directory
	// MayAct reports whether the lease on the partition is still valid. It is
	// checked right before every effect outside the process.
	MayAct(partition model.PartitionID, epoch model.Epoch) bool
	// ActUntil returns the reading of Clock at which the lease expires unless it is
	// extended, and false if MayAct is false. Calls that accept a deadline carry
	// it, so that their receivers refuse them if they arrive late.
	ActUntil(partition model.PartitionID, epoch model.Epoch) (time.Duration, bool)
	// Config returns the newest configuration snapshot.
	Config() Config
	// ConfigFresh reports whether that snapshot is recent enough to start work.
	ConfigFresh() bool
	// VMs returns the VM list as last read. Callers must not modify it.
	VMs() []model.VM
	// Summaries returns the latest summaries received of the partitions of a kind;
	// those of partitions that have not reported for 2 s are left out.
	Summaries(kind model.PartitionKind) []*peerpb.PartitionSummary
	// Demands returns the latest demands received of all teams; those of teams that
	// have not reported for 2 s are left out.
	Demands() []*peerpb.TeamDemand
	Peer() port.Peer
	Clock() port.Clock
}

// Partition runs one partition for one session: the time in which this process owns
// it under one epoch. The packages that implement it call their types Owner.
type Partition interface {
	port.PeerHandler
	// Run runs the partition until the context is done; it is called once.
	Run(ctx context.Context)
	// Drain refuses new work and waits until nothing is in flight or the
	// context is done.
	Drain(ctx context.Context)
	// Summary returns the partition's capacity; nil for partitions without any.
	Summary() *peerpb.PartitionSummary
}

// Demander is a Partition that reports the demand of its team.
type Demander interface {
	// Demand returns the team's waiting, offered and running tasks as of the last
	// update; nil before the first.
	Demand() *peerpb.TeamDemand
}

// SameVMList reports whether two VM lists come from the same read, by comparing
// their backing arrays: lists are never changed in place. It returns false if a
// list is empty.
func SameVMList(a, b []model.VM) bool {
	if len(a) == 0 || len(b) == 0 {
		return false
	}
	return len(a) == len(b) && &a[0] == &b[0]
}

// Factory returns the Partition that runs the partition with the given id for the
// session with the given epoch.
type Factory func(id model.PartitionID, epoch model.Epoch, env Env) Partition

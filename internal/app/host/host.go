// Package host runs the partitions that a member holds and passes peer calls
// to them.
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
	DomainOut(domain model.FailureDomain) bool
}

// Directory tells who holds a partition, as last read from the log.
type Directory interface {
	// Owner returns the peer address of the holder and the epoch of its claim.
	Owner(partition model.PartitionID) (address string, epoch model.Epoch, ok bool)
}

// Env is what a partition may use. All methods are safe for concurrent use.
type Env interface {
	Directory
	// MayAct reports whether the lease on the partition still runs. It is
	// checked right before every effect outside the process.
	MayAct(partition model.PartitionID, epoch model.Epoch) bool
	// ActUntil returns the reading of the clock until which MayAct holds as far
	// as is known now, and false once it does not hold. Effects that take a
	// deadline carry it, so that what arrives late is refused.
	ActUntil(partition model.PartitionID, epoch model.Epoch) (time.Duration, bool)
	// Config returns the newest snapshot.
	Config() Config
	// ConfigFresh reports whether the snapshot is recent enough to start work
	// on it.
	ConfigFresh() bool
	// VMs returns the last read VM list.
	VMs() []model.VM
	// Summaries returns the last heard summaries of the partitions of a kind.
	Summaries(kind model.PartitionKind) []*peerpb.PartitionSummary
	// Demands returns the last heard demands of all teams.
	Demands() []*peerpb.TeamDemand
	Peer() port.Peer
	Clock() port.Clock
}

// Partition is a unit of ownership while this member holds it.
type Partition interface {
	port.PeerHandler
	// Run works until the context ends; it is called once.
	Run(ctx context.Context)
	// Drain refuses new work and waits until nothing is in flight or the
	// context ends.
	Drain(ctx context.Context)
	// Summary reports free capacity; nil for partitions without any.
	Summary() *peerpb.PartitionSummary
}

// Demander is a partition of a team that could run tasks.
type Demander interface {
	// Demand returns what the team could run at once; nil for nothing.
	Demand() *peerpb.TeamDemand
}

// SameList reports whether two VM lists are the same reading. Readings are
// never changed in place.
func SameVMList(a, b []model.VM) bool {
	if len(a) == 0 || len(b) == 0 {
		return false
	}
	return len(a) == len(b) && &a[0] == &b[0]
}

// Factory creates the partition of an id for the tenure that epoch names.
type Factory func(id model.PartitionID, epoch model.Epoch, env Env) Partition

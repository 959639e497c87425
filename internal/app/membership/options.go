// Package membership joins a process to the cluster through the platform's log
// and tracks which member owns which partition. Package ownership implements the
// rules; this package connects them to the log and the clock and runs the loops.
package membership

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Defaults of the durations in Options.
const (
	DefaultLease       = 1500 * time.Millisecond
	DefaultRenewEvery  = 400 * time.Millisecond
	DefaultDriftMargin = 100 * time.Millisecond
	// DefaultPromiseTerm is how long a promise of another member replaces
	// renewals through the log. A member that pauses for less does not
	// interrupt the others.
	DefaultPromiseTerm = 5 * time.Second
	// DefaultMaxOutage is the longest log outage that promises bridge. The log
	// must keep records for longer.
	DefaultMaxOutage = 30 * time.Minute
)

const (
	readLimit          = 1000                   // maximum number of records per read
	startupWindow      = 4 * checkpointRecords  // records at the end of the log that a starting process reads first
	readSlack          = 2 * time.Second        // time added to the wait for records until a read fails
	appendTimeout      = 2 * time.Second        // time until an append has an unknown outcome
	maxAppendsInFlight = 16                     // maximum number of goroutines that append
	appendRetry        = time.Second            // time until a record with an unknown outcome is sent again
	readRetryMin       = 20 * time.Millisecond  // first delay after a failed read
	readRetryMax       = 200 * time.Millisecond // longest delay after failed reads
	controlEvery       = 200 * time.Millisecond // longest time between two control passes
	rebalanceDelay     = 500 * time.Millisecond // time without a change of members until partitions are rebalanced
	maxDrains          = 4                      // maximum number of partitions that a member drains at a time, unless it is leaving
	drainTimeout       = 5 * time.Second        // time until a partition is handed over without being drained
	unwantedGrace      = 10 * time.Second       // time until an unwanted partition is released
	checkpointEvery    = 10 * time.Second       // time after which a checkpoint is due
	checkpointRecords  = 500                    // records after which a checkpoint is due
	unlistedVMGrace    = time.Minute            // time from the lease's expiry until a VM that was never listed counts as ended
	claimChunkSize     = 500                    // maximum number of partitions per claim record
	identityQueryEvery = time.Second            // time between identity queries to expired members
	peerTimeout        = 700 * time.Millisecond // time until a call to another member fails
	promiseEvery       = time.Second            // time between rounds of promise requests
)

// Options configure a Member. A zero duration selects its default.
type Options struct {
	ID      model.MemberID
	Address string // peer address of this process, unique among running processes
	Domain  model.FailureDomain
	Log     port.Log
	Clock   port.Clock
	Peer    port.Peer
	// VMs returns the VM list as last read, or nil if it has not been read.
	VMs func() []model.VM
	// Wanted returns the partitions that must exist. An empty result releases
	// no partition.
	Wanted func() []model.PartitionID

	Lease       time.Duration
	RenewEvery  time.Duration
	DriftMargin time.Duration
	PromiseTerm time.Duration
	MaxOutage   time.Duration

	// Acquired and Lost are called when this member acquires or loses a
	// partition: one call at a time, in log order, and never on the goroutine
	// that renews. MayAct may return false long before Lost is called.
	Acquired func(p model.PartitionID, e model.Epoch)
	Lost     func(p model.PartitionID, e model.Epoch)
	// Drain rejects new work for the partition and waits for work in flight. It
	// is called before a partition is released, concurrently for several
	// partitions.
	Drain func(ctx context.Context, p model.PartitionID, e model.Epoch)

	Logger *logrus.Entry
}

func (o *Options) setDefaults() {
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.RenewEvery, DefaultRenewEvery)
	setDefault(&o.DriftMargin, DefaultDriftMargin)
	setDefault(&o.PromiseTerm, DefaultPromiseTerm)
	setDefault(&o.MaxOutage, DefaultMaxOutage)
	if o.VMs == nil {
		o.VMs = func() []model.VM { return nil }
	}
	if o.Wanted == nil {
		o.Wanted = func() []model.PartitionID { return nil }
	}
	if o.Acquired == nil {
		o.Acquired = func(model.PartitionID, model.Epoch) {}
	}
	if o.Lost == nil {
		o.Lost = func(model.PartitionID, model.Epoch) {}
	}
	if o.Drain == nil {
		o.Drain = func(context.Context, model.PartitionID, model.Epoch) {}
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	o.Logger = o.Logger.WithField("part", "membership")
}

func setDefault(field *time.Duration, fallback time.Duration) {
	if *field <= 0 {
		*field = fallback
	}
}

// Info describes a member to operators and other packages.
type Info struct {
	ID             model.MemberID
	Address        string
	Domain         model.FailureDomain
	Leaving        bool
	Expired        bool // its lease has expired as far as this process knows
	PartitionCount int  // partitions that it owns
}

// Package membership joins a process to the cluster through the platform's log
// and keeps track of who holds which partition. The rules are those of package
// ownership; this package adds the log, the clock and the loops.
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
	// DefaultPromiseTerm is how long a promise of another member replaces the
	// log. A member that pauses for less does not stop the others.
	DefaultPromiseTerm = 5 * time.Second
	// DefaultMaxOutage ends promises; the log must keep records for longer.
	DefaultMaxOutage = 30 * time.Minute
)

const (
	readLimit       = 1000                   // records of one read
	startWindow     = 4 * checkpointAfter    // records read first by a process that starts
	readSlack       = 2 * time.Second        // beyond the wait, before a read counts as failed
	appendTimeout   = 2 * time.Second        // after which an append's outcome is unknown
	appendsAtOnce   = 16                     // appends in flight
	appendRetry     = time.Second            // before a record without outcome is sent anew
	readRetryFirst  = 20 * time.Millisecond  // first pause after a failed read
	readRetryMost   = 200 * time.Millisecond // longest pause after failed reads
	controlEvery    = 200 * time.Millisecond // longest time between two plans
	rebalanceDelay  = 500 * time.Millisecond // without a change of members before partitions move
	drainsAtOnce    = 4                      // partitions that a rebalance moves at a time
	drainTimeout    = 5 * time.Second        // of one partition, before it is handed over anyway
	unwantedGrace   = 10 * time.Second       // before a partition that nobody wants is given up
	checkpointEvery = 10 * time.Second
	checkpointAfter = 500         // records
	goneGrace       = time.Minute // after its lease, before a VM that was never listed counts as ended
	claimChunk      = 500         // partitions of one claim record
	probeEvery      = time.Second // between identity queries to a lapsed member
	peerTimeout     = 700 * time.Millisecond
	promiseEvery    = time.Second // between rounds of promise requests
)

// Options configure a Member. Zero durations take the defaults.
type Options struct {
	ID      model.MemberID
	Address string // peer address of this process, unique among live processes
	Domain  model.FailureDomain
	Log     port.Log
	Clock   port.Clock
	Peer    port.Peer
	// VMs returns the last read VM list; nil if there is none.
	VMs func() []model.VM
	// Wanted returns the partitions that must exist now. An empty result
	// changes nothing.
	Wanted func() []model.PartitionID

	Lease       time.Duration
	RenewEvery  time.Duration
	DriftMargin time.Duration
	PromiseTerm time.Duration
	MaxOutage   time.Duration

	// Acquired and Lost tell of each tenure. They are called one at a time, in
	// log order, and never on the goroutine that renews. MayAct may turn false
	// long before Lost is called.
	Acquired func(p model.PartitionID, e model.Epoch)
	Lost     func(p model.PartitionID, e model.Epoch)
	// Drain refuses new work of the partition and waits for what is in flight.
	// It is called before a handover, for several partitions at a time.
	Drain func(ctx context.Context, p model.PartitionID, e model.Epoch)

	Logger *logrus.Entry
}

func (o *Options) setDefaults() {
	setDuration(&o.Lease, DefaultLease)
	setDuration(&o.RenewEvery, DefaultRenewEvery)
	setDuration(&o.DriftMargin, DefaultDriftMargin)
	setDuration(&o.PromiseTerm, DefaultPromiseTerm)
	setDuration(&o.MaxOutage, DefaultMaxOutage)
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

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Info describes a member to operators and other parts.
type Info struct {
	ID             model.MemberID
	Address        string
	Domain         model.FailureDomain
	Leaving        bool
	Expired        bool // its lease has run out as far as this process knows
	PartitionCount int  // partitions
}

// Package tenure decides which node owns the cell. A claim is an append to the
// owners' topic that holds only if nothing else was appended; its offset is the
// epoch. The owner shows on the cell's topic that it can still write; a node
// that no longer reads such a sign claims.
package tenure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// silence is how long an owner may show no sign of life while the log is
	// quick; a slow log makes the gaps between its signs longer.
	silence   = 700 * time.Millisecond
	gapFactor = 3
	// quietAfter is the age of the last sign at which the owner is asked whether
	// it still serves: more than the usual time between two signs.
	quietAfter = 400 * time.Millisecond
	askTime    = 200 * time.Millisecond
	// checkInterval is how often a node looks for a silent owner.
	checkInterval = 50 * time.Millisecond
	// spread keeps nodes from claiming at the same moment.
	spread      = 150 * time.Millisecond
	callTimeout = time.Second
	claimKey    = "owner"
)

// Owner does the work of the cell's owner.
type Owner interface {
	// Serve returns once another node owns the cell or the context ends.
	Serve(ctx context.Context, epoch uint64) error
}

// Candidate claims the cell when its owner is silent.
type Candidate struct {
	Node string
	// Handicap returns how long the node leaves a claim to better placed ones.
	ClaimDelay func() time.Duration
	Log        port.KeyedLog
	Clock      port.Clock
	Replica    *replica.Replica
	Tail       *logtail.Tail
	Owner      Owner
	Logger     logrus.FieldLogger
	// Leaving reports that the node is about to stop and takes no office.
	Stopping func() bool
	// Gone asks a node whether it has given up the cell or no longer runs; a
	// node that does not answer is not gone.
	OwnerStopped func(ctx context.Context, sign replica.OwnerHeartbeat) bool
	Peers        Peers
	// Offers holds an epoch that another node has claimed for this one; its
	// capacity is 1.
	Handovers chan uint64

	// contested is the silent owner's epoch to which another claim was found.
	contested uint64
	// The newest claim without a sign of its holder, and when it was first seen.
	seenClaim   uint64
	seenClaimAt time.Duration
}

// Run claims and serves until the context ends.
func (c *Candidate) Run(ctx context.Context) {
	started := c.Clock.Now()
	for ctx.Err() == nil {
		if !c.ownerSilent(started) && !c.ownerGone(ctx) || c.Stopping() {
			if epoch, ok := c.offered(ctx); ok {
				c.serve(ctx, epoch)
				started = c.Clock.Now()
			}
			continue
		}
		silent := c.Replica.Owner().Epoch
		pause.Sleep(ctx, c.ClaimDelay()+rand.N(spread))
		if c.Replica.Owner().Epoch != silent || c.Stopping() || ctx.Err() != nil {
			continue
		}
		epoch, err := c.claim(ctx, silent)
		if err != nil {
			c.Logger.WithError(err).Info("claim of the cell failed")
			pause.Sleep(ctx, checkInterval+rand.N(spread))
			continue
		}
		c.serve(ctx, epoch)
		started = c.Clock.Now()
	}
}

// serve does the owner's work until another node owns the cell.
func (c *Candidate) serve(ctx context.Context, epoch uint64) {
	former := c.Replica.Owner()
	metrics.GetOrCreateCounter("balsam_owner_claims_total").Inc()
	c.Logger.WithFields(logrus.Fields{"epoch": epoch, "former_owner": former.Node, "silent_ms": (c.Clock.Now() - former.ReadAt).Milliseconds()}).Info("cell claimed")
	c.announce(ctx, epoch)
	err := c.Owner.Serve(ctx, epoch)
	c.Logger.WithField("epoch", epoch).WithError(err).Warn("cell given up")
}

// ownerSilent reports whether a read that was sent long enough after the
// owner's last sign brought no newer one.
func (c *Candidate) ownerSilent(started time.Duration) bool {
	fresh := c.Tail.LastRead()
	if fresh == 0 {
		return false
	}
	sign := c.Replica.Owner()
	if sign.Epoch == 0 || sign.Resigned {
		return sign.Node != c.Node || c.Clock.Now()-started > silence
	}
	// After an outage the owner, too, needs a moment to be heard again.
	since := max(sign.ReadAt, started, c.Tail.RecoveredAt())
	return fresh-since > max(silence, gapFactor*sign.Interval)
}

// Quiet reports whether the owner's last sign is old enough to look for its
// successor.
func (c *Candidate) OwnerOverdue() bool {
	return c.Clock.Now()-c.Replica.Owner().ReadAt > quietAfter
}

// ownerGone asks the owner itself once its signs are overdue.
func (c *Candidate) ownerGone(ctx context.Context) bool {
	sign := c.Replica.Owner()
	if !c.OwnerOverdue() || sign.Epoch == 0 || sign.Node == c.Node || c.Tail.LastRead() < sign.ReadAt {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	return c.OwnerStopped(callCtx, sign)
}

// claim appends a claim after the newest one. It returns the epoch. silent is
// the epoch of the owner that was found silent; its claim is the topic's last
// record unless another node has claimed since.
func (c *Candidate) claim(ctx context.Context, silent uint64) (uint64, error) {
	end := silent
	if silent == 0 || c.contested == silent {
		newest, before, err := c.newest(ctx)
		if err != nil {
			return 0, err
		}
		if before > silent && !c.waited(before) {
			return 0, errs.New("another node has claimed the cell with epoch %d", before)
		}
		end = newest
	}
	epoch, err := c.claimFor(ctx, c.Node, end)
	if port.Conflict.Has(err) {
		c.contested = silent
	}
	return epoch, err
}

// claimFor appends a claim of a node if the owners' topic ends at the offset. It
// returns the claim's epoch.
func (c *Candidate) claimFor(ctx context.Context, node string, end uint64) (uint64, error) {
	value, err := proto.Marshal(&logpb.OwnerClaim{Node: node})
	if err != nil {
		return 0, errs.Wrap(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := c.Log.Append(callCtx, replica.OwnerTopic,
		[]port.KeyedRecord{{Key: claimKey, Value: value}}, port.AppendOptions{EndsAt: &end})
	if err != nil {
		return 0, err
	}
	return offset + 1, nil
}

// waited gives the holder of a newer claim time for its first sign.
func (c *Candidate) waited(epoch uint64) bool {
	if c.seenClaim != epoch {
		c.seenClaim, c.seenClaimAt = epoch, c.Clock.Now()
	}
	return c.Clock.Now()-c.seenClaimAt > silence
}

// newest returns the end of the owners' topic and the newest epoch.
func (c *Candidate) newest(ctx context.Context) (end, epoch uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := c.Log.Newest(callCtx, replica.OwnerTopic, "")
	if err != nil {
		return 0, 0, err
	}
	for _, record := range page.Records {
		if record.Key == claimKey {
			epoch = record.Offset + 1
		}
	}
	return page.End, epoch, nil
}

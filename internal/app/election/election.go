// Package election elects the node that owns the cell. A claim is an append to the
// owners' topic that succeeds only if the topic still ends at the expected offset;
// the offset after the claim is the epoch. The owner writes heartbeats to the
// cell's topic; a node that no longer reads them claims the cell.
package election

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/app/logtail"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// The owner is unresponsive after minOwnerTimeout without a heartbeat, or after
	// intervalFactor times the usual interval if that is longer: a slow log delays
	// the heartbeats.
	minOwnerTimeout = 700 * time.Millisecond
	intervalFactor  = 3
	// overdueAfter is the age of the last heartbeat at which the owner is asked
	// whether it still serves: more than the usual time between two heartbeats.
	overdueAfter = 400 * time.Millisecond
	queryTimeout = 200 * time.Millisecond
	// recentAppend is the age of the owner's latest append up to which an owner that
	// answers is not replaced: that of a heartbeat that counts as missing, less the
	// usual time between two.
	recentAppend = 450 * time.Millisecond
	// While the log is slow, an owner that answers has answerFactor times the time in
	// which the log answers this node, since a replacement's append would take as long.
	// That time is the longest of the last maxAppendAge, in which an append that has no
	// answer yet was sent.
	// An owner that has made no append for maxAppendAge renews no leases, so that a
	// replacement can only help.
	answerFactor = 15
	maxAppendAge = 3 * time.Second
	// An answer of the owner counts for answerValidity, so that a single lost answer does
	// not make it look dead: the time until the next call and that call's time.
	answerValidity = 550 * time.Millisecond
	// maxAskInterval bounds the time between two calls to an owner whose heartbeat is
	// overdue; the time in which the log answers bounds it, too.
	maxAskInterval = 250 * time.Millisecond
	// checkInterval is the time between two checks of the owner's heartbeat.
	checkInterval = 50 * time.Millisecond
	// claimJitter bounds the random delay that keeps nodes from claiming at the same
	// moment.
	claimJitter = 150 * time.Millisecond
	callTimeout = time.Second
	claimKey    = "owner"
)

// Owner does the work of the cell's owner.
type Owner interface {
	// Serve serves as the owner and returns the reason when it stops: another node
	// owns the cell, this one has resigned, the log has rejected an append, the
	// takeover has failed, or the context has ended.
	Serve(ctx context.Context, epoch uint64) error
}

// Candidate claims the cell when its owner is unresponsive, has resigned or has
// stopped.
type Candidate struct {
	Node string
	// ClaimDelay returns how long the node waits so that better suited nodes can
	// claim first.
	ClaimDelay func() time.Duration
	Log        port.KeyedLog
	Clock      port.Clock
	Replica    *replica.Replica
	Tail       *logtail.Tail
	Owner      Owner
	Logger     logrus.FieldLogger
	// Stopping reports whether the node is shutting down and must not claim.
	Stopping func() bool
	// OwnerStopped calls the owner and reports whether it no longer serves or its
	// process has ended. It returns false if the call shows neither. If the owner
	// answers that it serves, the replica keeps the age of its latest append.
	OwnerStopped func(ctx context.Context, owner replica.OwnerHeartbeat) bool
	Peers        Peers
	// Handovers holds an epoch that another node has claimed for this one; its
	// capacity is 1.
	Handovers chan uint64

	// contestedEpoch is the epoch of the owner that this node last failed to replace
	// because another node had claimed the cell first.
	contestedEpoch uint64
	served         bool          // whether this process has owned the cell
	askedEpoch     uint64        // of the owner that was asked last
	askedAt        time.Duration // when that call had ended
	postponed      postponement  // the latest that was logged
	slowestAnswer  time.Duration // of the log, of the last maxAppendAge
	slowestAt      time.Duration // when it was seen
	newerClaim     uint64        // epoch of the newest claim without a heartbeat
	newerClaimAt   time.Duration // when it was first seen

	handedOver atomic.Uint64 // epoch of the latest claim that another node made for this one

	handover  sync.Mutex // held while this node hands the cell over; guards lastClaim
	lastClaim successorClaim
}

// Run claims the cell when it can and serves as its owner until the context ends.
func (c *Candidate) Run(ctx context.Context) {
	started := c.Clock.Now()
	for ctx.Err() == nil {
		c.observeLog()
		lastRead := c.Tail.LastRead() // before the owner, whose heartbeats it must not outrun
		owner := c.Replica.Owner()
		missing := c.ownerMissing(owner, lastRead, started)
		if missing {
			missing = !c.ownerAppends(ctx, owner)
		} else {
			missing = c.ownerStopped(ctx, owner)
		}
		epoch, owns := c.pendingHandover()
		switch {
		case owns:
		case missing && !c.Stopping():
			epoch, owns = c.replace(ctx, owner)
		default:
			epoch, owns = c.awaitHandover(ctx, checkInterval)
		}
		if !owns {
			continue
		}
		c.serve(ctx, epoch)
		started = c.Clock.Now()
	}
}

// replace claims the cell in place of the owner, and returns the epoch of the claim, or
// that of one that another node makes for this one meanwhile.
func (c *Candidate) replace(ctx context.Context, owner replica.OwnerHeartbeat) (epoch uint64, claimed bool) {
	if epoch, handedOver := c.awaitHandover(ctx, c.ClaimDelay()+rand.N(claimJitter)); handedOver {
		return epoch, true
	}
	if c.recovered(owner) || c.Stopping() || ctx.Err() != nil {
		return 0, false
	}
	epoch, err := c.claim(ctx, owner.Epoch)
	if err != nil {
		c.Logger.WithError(err).Info("claiming the cell failed; checking the owner again")
		return c.awaitHandover(ctx, checkInterval+rand.N(claimJitter))
	}
	return epoch, true
}

// serve announces this node as the owner and serves until Owner.Serve returns.
func (c *Candidate) serve(ctx context.Context, epoch uint64) {
	previous := c.Replica.Owner()
	c.served = true
	metrics.GetOrCreateCounter("balsam_owner_claims_total").Inc()
	fields := c.ownerFields(previous)
	fields["epoch"], fields["former_owner"] = epoch, previous.Node
	c.Logger.WithFields(fields).Info("cell claimed")
	c.announce(ctx, epoch)
	err := c.Owner.Serve(ctx, epoch)
	// Run follows the owner again, as before the claim.
	c.Logger.WithField("epoch", epoch).WithError(err).Warn("cell given up")
}

// recovered reports whether the cell has another owner than the given one by now, or
// that one has written a heartbeat since.
func (c *Candidate) recovered(owner replica.OwnerHeartbeat) bool {
	current := c.Replica.Owner()
	return current.Epoch != owner.Epoch || current.ReadAt != owner.ReadAt && !current.Resigned
}

// ownerMissing reports whether the cell needs a new owner: no owner is known, the
// owner has resigned, or the latest read was sent long enough after the owner's last
// heartbeat and returned no newer one. If the owner that has resigned is this node,
// it reports true only minOwnerTimeout after started, which is when this node began
// to follow the owner.
func (c *Candidate) ownerMissing(owner replica.OwnerHeartbeat, lastRead, started time.Duration) bool {
	if lastRead == 0 {
		return false
	}
	if owner.Epoch == 0 || owner.Resigned {
		return owner.Node != c.Node || c.Clock.Now()-started > minOwnerTimeout
	}
	// After an outage of the log the owner, too, needs time for its next heartbeat.
	since := max(owner.ReadAt, started, c.Tail.RecoveredAt())
	return lastRead-since > max(minOwnerTimeout, intervalFactor*owner.Interval)
}

// OwnerOverdue reports whether the owner's next heartbeat is overdue.
func (c *Candidate) OwnerOverdue() bool { return c.overdue(c.Replica.Owner()) }

func (c *Candidate) overdue(owner replica.OwnerHeartbeat) bool {
	if owner.Loaded && c.askedAt <= owner.ReadAt {
		return true // a node that has just started can't tell how old the heartbeat is
	}
	return c.Clock.Now()-owner.ReadAt > overdueAfter
}

// ownerStopped reports whether the owner no longer serves or its process has ended.
// It calls the owner only if the owner's heartbeat is overdue, and otherwise returns
// false. An earlier process of this node has ended.
func (c *Candidate) ownerStopped(ctx context.Context, owner replica.OwnerHeartbeat) bool {
	if owner.Node == c.Node && owner.Loaded && !c.served {
		return c.Tail.LastRead() >= owner.ReadAt
	}
	if !c.overdue(owner) || owner.Epoch == 0 || owner.Node == c.Node || c.Tail.LastRead() < owner.ReadAt {
		return false
	}
	if c.askedEpoch == owner.Epoch && c.Clock.Now()-c.askedAt < min(c.Tail.AnswerTime(), maxAskInterval) {
		return false
	}
	return c.ask(ctx, owner)
}

// ask calls the owner and reports whether it has stopped.
func (c *Candidate) ask(ctx context.Context, owner replica.OwnerHeartbeat) bool {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	stopped := c.OwnerStopped(callCtx, owner)
	c.askedEpoch, c.askedAt = owner.Epoch, c.Clock.Now()
	return stopped
}

// ownerAppends reports whether an owner whose heartbeat is missing serves all the same
// and a replacement would do no better: it has answered that it serves, and the log has
// answered an append of it lately, or answers this node as slowly. It calls the owner
// unless the latest call has just ended.
func (c *Candidate) ownerAppends(ctx context.Context, owner replica.OwnerHeartbeat) bool {
	if owner.Epoch == 0 || owner.Resigned || owner.Node == c.Node {
		return false
	}
	if c.askedEpoch != owner.Epoch || c.Clock.Now()-c.askedAt > maxAskInterval {
		if c.ask(ctx, owner) {
			return false
		}
	}
	current, now := c.Replica.Owner(), c.Clock.Now()
	if current.Epoch != owner.Epoch || current.AskedAt == 0 || now-current.AskedAt > answerValidity {
		return false
	}
	if now-current.AppendedAt > c.patience() {
		return false
	}
	c.logPostponed(current)
	return true
}

// patience returns the age of the owner's latest append up to which a replacement would
// do no better.
func (c *Candidate) patience() time.Duration {
	return min(max(recentAppend, answerFactor*c.slowestAnswer), maxAppendAge)
}

// observeLog records the log's current answer time.
func (c *Candidate) observeLog() {
	now, current := c.Clock.Now(), c.Tail.AnswerTime()
	if current >= c.slowestAnswer || now-c.slowestAt > maxAppendAge {
		c.slowestAnswer, c.slowestAt = current, now
	}
}

// postponement identifies a silence of an owner in which this node postponed its claim.
type postponement struct {
	epoch  uint64
	readAt time.Duration // of the last heartbeat
}

// logPostponed logs that the cell is not claimed, once for each heartbeat that is
// missing.
func (c *Candidate) logPostponed(owner replica.OwnerHeartbeat) {
	current := postponement{epoch: owner.Epoch, readAt: owner.ReadAt}
	if current == c.postponed {
		return
	}
	c.postponed = current
	fields := c.ownerFields(owner)
	fields["epoch"], fields["owner"] = owner.Epoch, owner.Node
	c.Logger.WithFields(fields).Info("claim postponed, since the owner serves and a replacement's append would take as long")
}

// ownerFields returns the inputs of a decision on a claim as log fields.
func (c *Candidate) ownerFields(owner replica.OwnerHeartbeat) logrus.Fields {
	now := c.Clock.Now()
	fields := logrus.Fields{
		"silent_ms": (now - owner.ReadAt).Milliseconds(), "log_answer_ms": c.Tail.AnswerTime().Milliseconds(), "slowest_answer_ms": c.slowestAnswer.Milliseconds(),
		"read_age_ms": (now - c.Tail.LastRead()).Milliseconds(), "patience_ms": c.patience().Milliseconds(),
	}
	if owner.AskedAt != 0 {
		fields["owner_answer_age_ms"] = (now - owner.AskedAt).Milliseconds()
		fields["owner_append_age_ms"] = (now - owner.AppendedAt).Milliseconds()
	}
	return fields
}

// claim appends a claim of this node and returns its epoch. oldEpoch is the epoch
// of the owner to be replaced; its claim is the topic's last record unless another
// node has claimed since.
func (c *Candidate) claim(ctx context.Context, oldEpoch uint64) (uint64, error) {
	end := oldEpoch
	if oldEpoch == 0 || c.contestedEpoch == oldEpoch {
		topicEnd, newest, err := c.topicEnd(ctx)
		if err != nil {
			return 0, err
		}
		if newest > oldEpoch && (c.Replica.Owner().Epoch >= newest || !c.claimExpired(newest)) {
			return 0, errs.New("another node has claimed the cell with epoch %d", newest)
		}
		end = topicEnd
	}
	epoch, err := c.appendClaim(ctx, c.Node, end)
	if port.Conflict.Has(err) {
		c.contestedEpoch = oldEpoch
	}
	return epoch, err
}

// appendClaim appends a claim for the node if the owners' topic ends at the given
// offset. It returns the claim's epoch; the error is of class Conflict if the topic
// has other records by now.
func (c *Candidate) appendClaim(ctx context.Context, node string, end uint64) (uint64, error) {
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

// claimExpired reports whether the node that made a newer claim has had enough time
// for its first heartbeat since this node first saw the claim, and a read sent after
// that time has returned none.
func (c *Candidate) claimExpired(epoch uint64) bool {
	if c.newerClaim != epoch {
		c.newerClaim, c.newerClaimAt = epoch, c.Clock.Now()
	}
	return c.Tail.LastRead()-c.newerClaimAt > max(minOwnerTimeout, c.patience())
}

// topicEnd returns the end of the owners' topic and the epoch of the newest
// claim.
func (c *Candidate) topicEnd(ctx context.Context) (end, epoch uint64, err error) {
	end, epoch, _, err = c.newestClaim(ctx)
	return end, epoch, err
}

// newestClaim returns the end of the owners' topic, and the epoch and the node of the
// newest claim.
func (c *Candidate) newestClaim(ctx context.Context) (end, epoch uint64, node string, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := c.Log.Newest(callCtx, replica.OwnerTopic, "")
	if err != nil {
		return 0, 0, "", err
	}
	for _, record := range page.Records {
		if record.Key != claimKey {
			continue
		}
		var claim logpb.OwnerClaim
		if err := proto.Unmarshal(record.Value, &claim); err != nil {
			return 0, 0, "", errs.Wrap(err)
		}
		epoch, node = record.Offset+1, claim.GetNode()
	}
	return page.End, epoch, node, nil
}

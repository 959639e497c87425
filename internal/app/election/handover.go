package election

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
)

const (
	// notifyTimeout bounds a call to another node about the change of owner; nodes
	// answer each other within milliseconds.
	notifyTimeout = 200 * time.Millisecond
	// maxSuccessors bounds the number of nodes that are asked to take over, and so
	// the time of a shutdown.
	maxSuccessors = 5
	// fenceTimeout bounds the wait for the successor's first append, which fences
	// this node: two calls to a slow log.
	fenceTimeout       = time.Second
	fenceCheckInterval = 10 * time.Millisecond
	// maxReplicaAge is how old the replica of a successor may be.
	maxReplicaAge = 2 * time.Second
)

// Peers calls the other nodes of the cell.
type Peers interface {
	// OtherNodes returns the other nodes, the most suitable next owner first.
	OtherNodes() []string
	// CanTakeOver reports whether the node answers that it can take over the cell.
	CanTakeOver(ctx context.Context, node string) bool
	// NotifyOwner sends a node the cell's new owner and epoch. If the node is the new
	// owner, the call asks it to take over.
	NotifyOwner(ctx context.Context, node string, epoch uint64, owner string) error
}

// CanTakeOver reports whether this node can take over the cell: it is not shutting
// down and its replica is recent.
func (c *Candidate) CanTakeOver() bool {
	return !c.Stopping() && c.Clock.Now()-c.Tail.LastRead() < maxReplicaAge
}

// OwnerChanged handles another node's message about a new owner. If that is this
// node, it takes over the cell, which the other node has claimed for it. An error
// means that it can't.
func (c *Candidate) OwnerChanged(epoch uint64, owner string) error {
	if owner != c.Node {
		c.Replica.ExpectOwner(epoch, owner)
		return nil
	}
	if !c.CanTakeOver() {
		return errs.New("node can't take over")
	}
	select {
	case c.Handovers <- epoch:
		c.handedOver.Store(epoch)
		return nil
	default:
		return errs.New("node is taking over already")
	}
}

// WasHandedOver reports whether another node has handed the cell over to this one with the
// epoch, rather than this one having claimed it.
func (c *Candidate) WasHandedOver(epoch uint64) bool { return c.handedOver.Load() == epoch }

// announce notifies the other nodes that this one owns the cell, so that they do
// not have to wait for its first heartbeat on the log.
func (c *Candidate) announce(ctx context.Context, epoch uint64) {
	c.Replica.ExpectOwner(epoch, c.Node)
	for _, node := range c.Peers.OtherNodes() {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			if err := c.Peers.NotifyOwner(callCtx, node, epoch, c.Node); err != nil {
				c.Logger.WithError(err).WithField("peer", node).Debug("notifying a node of the new owner failed; it reads the log instead")
			}
		}()
	}
}

// successorClaim is the latest claim that this node has made for a successor.
type successorClaim struct {
	epoch     uint64 // of this node, which owned the cell
	successor string
	end       uint64 // of the owners' topic after the claim; zero if the log has not answered
}

// HandOver makes another node the owner of the cell in place of this one, which
// serves until the successor's first append. After an error this node may still be
// the owner; the caller should then make it resign. serving reports whether this
// node still owns the cell.
func (c *Candidate) HandOver(ctx context.Context, epoch uint64, serving func() bool) error {
	c.handover.Lock()
	defer c.handover.Unlock()
	if !serving() {
		return nil
	}
	successor := c.successor(ctx)
	if successor == "" {
		return errs.New("no other node can take over")
	}
	return c.handOverTo(ctx, successor, epoch, notifyTimeout, serving)
}

// HandOverTo is HandOver to a certain node. After an error this node goes on serving
// unless the successor takes over later: a claim without an append of the successor does
// not fence this node, and its next hand-over follows that claim.
func (c *Candidate) HandOverTo(ctx context.Context, successor string, epoch uint64, serving func() bool) error {
	c.handover.Lock()
	defer c.handover.Unlock()
	if c.Stopping() {
		return errs.New("node is stopping")
	}
	return c.handOverTo(ctx, successor, epoch, callTimeout, serving)
}

// handOverTo claims the cell for the successor, asks it to take over and waits until it
// has. The caller holds handover.
func (c *Candidate) handOverTo(ctx context.Context, successor string, epoch uint64, notifyWithin time.Duration, serving func() bool) error {
	next, err := c.claimFor(ctx, successor, epoch)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, notifyWithin)
	defer cancel()
	if err := c.Peers.NotifyOwner(callCtx, successor, next, successor); err != nil {
		return err
	}
	// The successor has accepted; this node serves until the successor's first append.
	c.Logger.WithField("epoch", next).WithField("successor", successor).Info("cell handed over")
	for notified := c.Clock.Now(); serving(); pause.Sleep(ctx, fenceCheckInterval) {
		if ctx.Err() != nil || c.Clock.Now()-notified > fenceTimeout {
			return errs.New("%s has not taken over within %v", successor, c.Clock.Now()-notified)
		}
	}
	return nil
}

// claimFor appends a claim for the successor of this node, which owns the cell with the
// given epoch, and returns the claim's epoch. The claim follows this node's own or an
// earlier one that it has made for a successor that did not take over. The caller holds
// handover.
func (c *Candidate) claimFor(ctx context.Context, successor string, epoch uint64) (uint64, error) {
	end := epoch
	if c.lastClaim.epoch == epoch {
		end = c.lastClaim.end
	}
	if end == 0 {
		topicEnd, newest, node, err := c.newestClaim(ctx)
		if err != nil {
			return 0, err
		}
		if newest > epoch && node != c.lastClaim.successor {
			return 0, errs.New("%s has claimed the cell with epoch %d", node, newest)
		}
		end = topicEnd
	}
	c.lastClaim = successorClaim{epoch: epoch, successor: successor}
	next, err := c.appendClaim(ctx, successor, end)
	if err != nil {
		return 0, err
	}
	c.lastClaim.end = next
	return next, nil
}

// successor returns the first node that can take over, or "" if none of those
// asked can.
func (c *Candidate) successor(ctx context.Context) string {
	nodes := c.Peers.OtherNodes()
	for _, node := range nodes[:min(len(nodes), maxSuccessors)] {
		callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		able := c.Peers.CanTakeOver(callCtx, node)
		cancel()
		if able {
			return node
		}
	}
	return ""
}

// pendingHandover returns the epoch of a claim that another node has made for this
// one, and false if there is none or a newer owner is known.
func (c *Candidate) pendingHandover() (uint64, bool) {
	select {
	case epoch := <-c.Handovers:
		return epoch, epoch > c.Replica.Owner().Epoch
	default:
		return 0, false
	}
}

// awaitHandover is pendingHandover with a wait of up to the given time.
func (c *Candidate) awaitHandover(ctx context.Context, wait time.Duration) (uint64, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case epoch := <-c.Handovers:
		return epoch, epoch > c.Replica.Owner().Epoch
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0, false
}

package tenure

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
)

const (
	// offerTime bounds the call that tells a node of a new owner; nodes answer
	// each other within milliseconds.
	offerTime = 200 * time.Millisecond
	// successorTries bounds the nodes that are asked, and so the time of a stop.
	successorTries = 5
	// fenceTime bounds the wait for the successor's first append, which fences
	// this node: two calls of a slow log.
	fenceTime  = time.Second
	fenceCheck = 10 * time.Millisecond
	// freshLimit is how old the replica of a successor may be.
	freshLimit = 2 * time.Second
)

// Peers are the other nodes as a candidate sees them.
type Peers interface {
	// Successors returns the other nodes, the best placed for the office first.
	Successors() []string
	// Fit asks a node whether it could take over.
	Fit(ctx context.Context, node string) bool
	// Tell tells a node who owns the cell.
	NotifyOwner(ctx context.Context, node string, epoch uint64, owner string) error
}

// Fit reports whether this node could take over.
func (c *Candidate) Fit() bool {
	return !c.Stopping() && c.Clock.Now()-c.Tail.LastRead() < freshLimit
}

// Told takes another node's word on who owns the cell. If it is this node, it
// takes over from the one that has claimed the cell for it.
func (c *Candidate) OwnerChanged(epoch uint64, owner string) error {
	if owner != c.Node {
		c.Replica.ExpectOwner(epoch, owner)
		return nil
	}
	if !c.Fit() {
		return errs.New("node can't take over")
	}
	select {
	case c.Handovers <- epoch:
		return nil
	default:
		return errs.New("node is taking over already")
	}
}

// announce tells the other nodes that this one owns the cell, so that they need
// not wait until they read its first sign.
func (c *Candidate) announce(ctx context.Context, epoch uint64) {
	c.Replica.ExpectOwner(epoch, c.Node)
	for _, node := range c.Peers.Successors() {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, offerTime)
			defer cancel()
			if err := c.Peers.NotifyOwner(callCtx, node, epoch, c.Node); err != nil {
				c.Logger.WithError(err).WithField("peer", node).Debug("node was not told of the new owner")
			}
		}()
	}
}

// HandOver makes another node the owner of the cell in place of this one, which
// serves until the other's first append. An error tells that it may still be in
// office; it should then resign.
func (c *Candidate) HandOver(ctx context.Context, epoch uint64, serving func() bool) error {
	successor := c.successor(ctx)
	if successor == "" {
		return errs.New("no other node can take over")
	}
	next, err := c.claimFor(ctx, successor, epoch)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, offerTime)
	defer cancel()
	if err := c.Peers.NotifyOwner(callCtx, successor, next, successor); err != nil {
		return err
	}
	c.Logger.WithField("epoch", next).WithField("successor", successor).Info("cell handed over")
	for told := c.Clock.Now(); serving(); pause.Sleep(ctx, fenceCheck) {
		if c.Clock.Now()-told > fenceTime {
			return errs.New("%s has not taken over within %v", successor, fenceTime)
		}
	}
	return nil
}

func (c *Candidate) successor(ctx context.Context) string {
	nodes := c.Peers.Successors()
	for _, node := range nodes[:min(len(nodes), successorTries)] {
		callCtx, cancel := context.WithTimeout(ctx, offerTime)
		fit := c.Peers.Fit(callCtx, node)
		cancel()
		if fit {
			return node
		}
	}
	return ""
}

// offered waits a little for an office that another node has claimed for this
// one. It returns its epoch.
func (c *Candidate) offered(ctx context.Context) (uint64, bool) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case epoch := <-c.Handovers:
		return epoch, epoch > c.Replica.Owner().Epoch
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0, false
}

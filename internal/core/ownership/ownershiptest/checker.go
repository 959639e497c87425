// Package ownershiptest checks the invariants of partition ownership. Unit,
// property and process tests share its checker.
package ownershiptest

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Violation is the class of errors for violated invariants.
var Violation = errs.Class("ownership invariant broken")

// Actor is a member that may act for a partition at a point in time.
type Actor struct {
	Member    model.MemberID
	Partition model.PartitionID
	Epoch     model.Epoch
}

// Checker checks the history of a cluster. It is not safe for concurrent use. All
// times passed to it come from one reference clock.
type Checker struct {
	last map[model.PartitionID]Actor // actor with the highest epoch so far, by partition
}

// NewChecker returns a checker with an empty history.
func NewChecker() *Checker {
	return &Checker{last: make(map[model.PartitionID]Actor)}
}

// CheckInstant checks all members that may act at one point in time. It reports
// two actors for one partition, a previous owner that may act again, and two
// owners in one epoch.
func (c *Checker) CheckInstant(at time.Time, actors []Actor) error {
	var violations errs.Group
	byPartition := make(map[model.PartitionID]Actor)
	for _, a := range actors {
		if other, ok := byPartition[a.Partition]; ok {
			violations.Add(Violation.New("%s: %s and %s may both act for %s (epochs %d and %d)",
				at.Format(time.StampMicro), other.Member, a.Member, a.Partition, other.Epoch, a.Epoch))
		}
		byPartition[a.Partition] = a
		violations.Add(c.CheckEffect(at, a))
	}
	return violations.Err()
}

// CheckEffect checks one effect, such as a start received by a worker. Effects
// must be passed in the order in which the receiver got them.
func (c *Checker) CheckEffect(at time.Time, a Actor) error {
	last, ok := c.last[a.Partition]
	if ok && a.Epoch < last.Epoch {
		return Violation.New("%s: previous owner %s acts for %s at epoch %d after %s at epoch %d",
			at.Format(time.StampMicro), a.Member, a.Partition, a.Epoch, last.Member, last.Epoch)
	}
	if ok && a.Epoch == last.Epoch && a.Member != last.Member {
		return Violation.New("%s: %s and %s act for %s at the same epoch %d",
			at.Format(time.StampMicro), last.Member, a.Member, a.Partition, a.Epoch)
	}
	c.last[a.Partition] = a
	return nil
}

// CheckServed returns an error that lists the wanted partitions without an actor.
func CheckServed(at time.Time, wanted []model.PartitionID, actors []Actor) error {
	served := make(map[model.PartitionID]bool, len(actors))
	for _, a := range actors {
		served[a.Partition] = true
	}
	var violations errs.Group
	for _, p := range wanted {
		if !served[p] {
			violations.Add(Violation.New("%s: no member may act for %s", at.Format(time.StampMicro), p))
		}
	}
	return violations.Err()
}

// Package ownershiptest checks what must always hold of partition ownership.
// Unit, property and process tests use the same checker.
package ownershiptest

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Broken is the class of violations.
var Violation = errs.Class("ownership invariant broken")

// Actor is a member that may act for a partition at some instant.
type Actor struct {
	Member    model.MemberID
	Partition model.PartitionID
	Epoch     model.Epoch
}

// Checker watches the history of a cluster. It is not safe for concurrent
// use; its times are those of one true clock.
type Checker struct {
	last map[model.PartitionID]Actor // that had the highest epoch so far
}

// NewChecker returns a checker without history.
func NewChecker() *Checker {
	return &Checker{last: make(map[model.PartitionID]Actor)}
}

// Instant takes all members that may act at one instant. It finds two actors
// of one partition, a former owner that may act again, and an epoch with two
// owners.
func (c *Checker) CheckInstant(at time.Time, actors []Actor) error {
	var found errs.Group
	holders := make(map[model.PartitionID]Actor)
	for _, a := range actors {
		if other, ok := holders[a.Partition]; ok {
			found.Add(Violation.New("%s: %s and %s may both act for %s (epochs %d and %d)",
				at.Format(time.StampMicro), other.Member, a.Member, a.Partition, other.Epoch, a.Epoch))
		}
		holders[a.Partition] = a
		found.Add(c.CheckEffect(at, a))
	}
	return found.Err()
}

// Effect takes one effect, such as a start seen by a worker, in the order of
// the worker's receipt.
func (c *Checker) CheckEffect(at time.Time, a Actor) error {
	last, ok := c.last[a.Partition]
	if ok && a.Epoch < last.Epoch {
		return Violation.New("%s: former owner %s acts for %s at epoch %d after %s at epoch %d",
			at.Format(time.StampMicro), a.Member, a.Partition, a.Epoch, last.Member, last.Epoch)
	}
	if ok && a.Epoch == last.Epoch && a.Member != last.Member {
		return Violation.New("%s: %s and %s act for %s at the same epoch %d",
			at.Format(time.StampMicro), last.Member, a.Member, a.Partition, a.Epoch)
	}
	c.last[a.Partition] = a
	return nil
}

// Served reports the partitions that nobody acts for.
func CheckServed(at time.Time, wanted []model.PartitionID, actors []Actor) error {
	held := make(map[model.PartitionID]bool, len(actors))
	for _, a := range actors {
		held[a.Partition] = true
	}
	var found errs.Group
	for _, p := range wanted {
		if !held[p] {
			found.Add(Violation.New("%s: nobody acts for %s", at.Format(time.StampMicro), p))
		}
	}
	return found.Err()
}

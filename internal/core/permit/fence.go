package permit

import (
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Stale is the class of errors for permits that their team's owner has revoked or
// that a previous owner granted.
var Stale = errs.Class("stale permit")

// floor is the lowest valid permit of one team.
type floor struct {
	epoch    model.Epoch
	sequence uint64
}

// Fence records, for the owner of one rack or target group, which permits team
// owners have revoked. It stores two numbers per team. It is not safe for
// concurrent use.
type Fence struct {
	floors map[model.TeamID]floor
}

// NewFence returns a fence that accepts all permits.
func NewFence() *Fence {
	return &Fence{floors: map[model.TeamID]floor{}}
}

// Raise revokes the team's permits of earlier epochs and, of the given epoch, those
// with a sequence below minSequence. Work that has already arrived under a revoked
// permit is not affected. Raise returns a Stale error if the fence knows a later
// epoch, in which case the caller is a previous owner.
func (f *Fence) Raise(team model.TeamID, epoch model.Epoch, minSequence uint64) error {
	known := f.floors[team]
	if epoch < known.epoch {
		return Stale.New("team %s: epoch %d is older than %d", team, epoch, known.epoch)
	}
	if epoch > known.epoch {
		f.floors[team] = floor{epoch: epoch, sequence: minSequence}
		return nil
	}
	known.sequence = max(known.sequence, minSequence)
	f.floors[team] = known
	return nil
}

// Check returns a Stale error for a permit that has been revoked.
func (f *Fence) Check(p model.Permit) error {
	known := f.floors[p.Team]
	if p.TeamEpoch < known.epoch {
		return Stale.New("permit %s: team epoch %d is older than %d", p.ID, p.TeamEpoch, known.epoch)
	}
	if p.TeamEpoch == known.epoch && p.Sequence < known.sequence {
		return Stale.New("permit %s: sequence %d is below %d", p.ID, p.Sequence, known.sequence)
	}
	return nil
}

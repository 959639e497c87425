package permit

import (
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Stale is the class of errors for permits that their team's owner has given
// up or that belong to a former owner.
var Stale = errs.Class("stale permit")

// floor is the lowest permit that is still good for one team.
type floor struct {
	epoch    model.Epoch
	sequence uint64
}

// Fence remembers, for the holder of one rack or target group, which permits
// team owners have given up. It keeps two numbers a team. It is not safe for
// concurrent use.
type Fence struct {
	floors map[model.TeamID]floor
}

// NewFence returns a fence that has heard of no team.
func NewFence() *Fence {
	return &Fence{floors: map[model.TeamID]floor{}}
}

// Raise records that unused permits of earlier epochs, and those of this epoch
// below the sequence, are given up. It returns a Stale error when a later
// epoch has been heard of, in which case the caller is a former owner.
func (f *Fence) Raise(team model.TeamID, epoch model.Epoch, sequence uint64) error {
	known := f.floors[team]
	if epoch < known.epoch {
		return Stale.New("team %s: epoch %d is older than %d", team, epoch, known.epoch)
	}
	if epoch > known.epoch {
		f.floors[team] = floor{epoch: epoch, sequence: sequence}
		return nil
	}
	known.sequence = max(known.sequence, sequence)
	f.floors[team] = known
	return nil
}

// Check returns a Stale error for a permit that has been given up.
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

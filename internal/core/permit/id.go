package permit

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// newID returns the id of a permit: the team, its epoch and the sequence.
func newID(team model.TeamID, epoch model.Epoch, sequence uint64) string {
	return fmt.Sprintf("%s.%d.%d", team, epoch, sequence)
}

// ParseID returns a permit with the fields that the id contains, or an error if the
// id is not of the form team.epoch.sequence. Rack owners need it because workers
// report the ids of their tasks' permits but not the permits.
func ParseID(id string) (model.Permit, error) {
	rest, last, ok := cutLast(id)
	team, middle, ok2 := cutLast(rest)
	sequence, err := strconv.ParseUint(last, 10, 64)
	epoch, err2 := strconv.ParseUint(middle, 10, 64)
	if !ok || !ok2 || err != nil || err2 != nil {
		return model.Permit{}, errs.New("permit id %q is not team.epoch.sequence", id)
	}
	return model.Permit{
		ID:        id,
		Team:      model.TeamID(team),
		TeamEpoch: model.Epoch(epoch),
		Sequence:  sequence,
	}, nil
}

// cutLast splits s at its last dot.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

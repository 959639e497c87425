package configwatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func entries(addresses ...string) []model.VM {
	vms := []model.VM{{Role: model.RoleWorker, Address: "worker"}}
	for _, a := range addresses {
		vms = append(vms, model.VM{Role: model.RoleEntry, Address: a})
	}
	return vms
}

// A process that is cut off from the log knows nothing of new members; it must
// not believe that nobody reads the log because all those that it knew are
// gone.
func TestRosterIncludesMembersOnlyOnVMList(t *testing.T) {
	var r Roster
	view := []string{"self", "a", "b"}
	assert.Equal(t, []string{"a", "b"}, r.Others("self", view, entries("self", "a", "b")))
	assert.Equal(t, []string{"c", "d"}, r.Others("self", view, entries("self", "c", "d")))
	assert.Equal(t, []string{"c", "d"}, r.Others("self", view, entries("self", "c", "d")), "gone for good")
}

func TestRosterKeepsMembersNotYetOnVMList(t *testing.T) {
	var r Roster
	assert.Equal(t, []string{"a", "new"}, r.Others("self", []string{"self", "a", "new"}, entries("self", "a")))
	assert.Equal(t, []string{"a", "new"}, r.Others("self", []string{"self", "a", "new"}, entries("self", "a", "new")))
	assert.Equal(t, []string{"a"}, r.Others("self", []string{"self", "a", "new"}, entries("self", "a")))
}

func TestEmptyVMListRemovesNoMember(t *testing.T) {
	var r Roster
	view := []string{"self", "a"}
	assert.Equal(t, []string{"a"}, r.Others("self", view, entries("self", "a")))
	assert.Equal(t, []string{"a"}, r.Others("self", view, entries()))
}

package configwatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// vmListOf returns a VM list with a worker VM and entry VMs at the addresses.
func vmListOf(addresses ...string) []model.VM {
	vms := []model.VM{{Role: model.RoleWorker, Address: "worker"}}
	for _, a := range addresses {
		vms = append(vms, model.VM{Role: model.RoleEntry, Address: a})
	}
	return vms
}

// A process that is cut off from the log does not read the Join of new members.
// Once all members that it has read from the log have left the VM list, it must not
// conclude that no member reads the log.
func TestRosterIncludesMembersOnlyOnVMList(t *testing.T) {
	var r Roster
	members := []string{"self", "a", "b"}
	assert.Equal(t, []string{"a", "b"}, r.Others("self", members, vmListOf("self", "a", "b")))
	assert.Equal(t, []string{"c", "d"}, r.Others("self", members, vmListOf("self", "c", "d")))
	assert.Equal(t, []string{"c", "d"}, r.Others("self", members, vmListOf("self", "c", "d")), "members that left the VM list stay removed")
}

func TestRosterKeepsMembersNotYetOnVMList(t *testing.T) {
	var r Roster
	assert.Equal(t, []string{"a", "new"}, r.Others("self", []string{"self", "a", "new"}, vmListOf("self", "a")))
	assert.Equal(t, []string{"a", "new"}, r.Others("self", []string{"self", "a", "new"}, vmListOf("self", "a", "new")))
	assert.Equal(t, []string{"a"}, r.Others("self", []string{"self", "a", "new"}, vmListOf("self", "a")))
}

func TestEmptyVMListRemovesNoMember(t *testing.T) {
	var r Roster
	members := []string{"self", "a"}
	assert.Equal(t, []string{"a"}, r.Others("self", members, vmListOf("self", "a")))
	assert.Equal(t, []string{"a"}, r.Others("self", members, vmListOf()))
}

package configwatch

import (
	"slices"
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Roster tells which members might be able to read the log: the entry VMs that
// the VM list names now, and the members that the process read from the log,
// unless their VM was listed and no longer is. Each source alone would miss
// some: members that joined while the process was cut off from the log are
// only listed, and the list lags behind those that joined just now. The zero
// value is ready for use and safe for concurrent use.
type Roster struct {
	mu     sync.Mutex
	listed map[string]bool // addresses of the list or the view that were ever listed
}

// Others returns the peer addresses of the roster without the own one. The
// view is the members' addresses as last read from the log.
func (r *Roster) Others(self string, view []string, vms []model.VM) []string {
	listed := entryAddresses(vms)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(listed) == 0 { // says nothing about anybody
		return without(self, view)
	}
	others := without(self, listed)
	known := map[string]bool{}
	for _, address := range listed {
		known[address] = true
	}
	for _, address := range view {
		switch {
		case known[address] || address == self:
		case r.listed[address]: // gone
			known[address] = true
		default:
			others = append(others, address)
		}
	}
	r.listed = known
	return others
}

func entryAddresses(vms []model.VM) []string {
	var addresses []string
	for _, vm := range vms {
		if vm.Role == model.RoleEntry {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

func without(self string, addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == self })
}

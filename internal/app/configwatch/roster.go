package configwatch

import (
	"slices"
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Roster tracks the members that must be asked before this process may conclude
// that no member reads the log: the entry VMs on the current VM list, and the
// members that the process read from the log, except those whose VM was listed and
// no longer is. Either source alone is incomplete: members that joined while the
// process was cut off from the log are only on the VM list, and the VM list lags
// behind new members. The zero value is ready for use. A Roster is safe for
// concurrent use.
type Roster struct {
	mu         sync.Mutex
	everListed map[string]bool // on the current VM list, or read from the log and once listed
}

// Others returns the peer addresses of the roster except self. The members are
// the addresses as last read from the log.
func (r *Roster) Others(self string, members []string, vms []model.VM) []string {
	listed := entryAddresses(vms)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(listed) == 0 { // an empty list is no evidence that a VM is gone
		return without(self, members)
	}
	others := without(self, listed)
	retained := map[string]bool{}
	for _, address := range listed {
		retained[address] = true
	}
	for _, address := range members {
		switch {
		case retained[address] || address == self:
		case r.everListed[address]: // left the VM list
			retained[address] = true
		default:
			others = append(others, address)
		}
	}
	r.everListed = retained
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

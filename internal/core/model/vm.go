package model

// VMRole tells what a VM of the VM list does.
type VMRole string

// The roles of a VM.
const (
	RoleWorker VMRole = "worker"
	RoleRunner VMRole = "runner"
	RoleEntry  VMRole = "entry"
)

// VM is one line of the platform's VM list.
type VM struct {
	ID            VMID
	Role          VMRole
	Address       string // host:port of its control endpoint
	FailureDomain FailureDomain
	Rack          string    // workers only
	Service       ServiceID // runners only
	Group         string    // runners only: the target group
	Capacity      Resources // runners state Slots, workers the rest
	Connections   int       // runners only: most connections at once
	Leaving       bool      // gets no new work
}

// Partition returns the partition that decides for the VM, or "" for a VM
// that takes no work.
func (v VM) Partition() PartitionID {
	switch v.Role {
	case RoleWorker:
		return RackPartition(v.Rack)
	case RoleRunner:
		return TargetsPartition(v.Service, v.Group)
	default:
		return ""
	}
}

package model

// VMRole is the role of a VM on the VM list.
type VMRole string

// The roles of a VM.
const (
	RoleWorker VMRole = "worker"
	RoleRunner VMRole = "runner"
	RoleEntry  VMRole = "entry"
)

// VM is one entry of the platform's VM list.
type VM struct {
	ID            VMID
	Role          VMRole
	Address       string // host:port of its control endpoint
	FailureDomain FailureDomain
	Rack          string    // workers only
	Service       ServiceID // runners only
	Group         string    // runners only: its group within the service
	Capacity      Resources // Slots for runners, the other dimensions for workers
	Connections   int       // runners only: maximum number of concurrent connections
	Leaving       bool      // shutting down: gets no new work; dispatch.WorkerInfo calls it Draining
}

// Partition returns the partition whose owner assigns work to the VM, or "" for a VM
// that gets none.
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

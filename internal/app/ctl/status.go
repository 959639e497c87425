package ctl

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// Status is the output of `balsamctl status`.
type Status struct {
	Members    []MemberLine    `json:"members"`
	Partitions []PartitionLine `json:"partitions"`
	Teams      []TeamLine      `json:"teams"`
	VMs        []VMLine        `json:"vms"`
}

// MemberLine is the status of the member on one entry VM.
type MemberLine struct {
	VM             model.VMID          `json:"vm"`
	Address        string              `json:"address"`
	FailureDomain  model.FailureDomain `json:"failure_domain"`
	Member         string              `json:"member,omitempty"`
	Ready          bool                `json:"ready"`
	ConfigRevision uint64              `json:"config_revision"`
	Partitions     int                 `json:"partitions"`
	Error          string              `json:"error,omitempty"` // why there is no status
}

// PartitionLine is the status of one partition as reported by its owner.
type PartitionLine struct {
	Partition string `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	OwnerVM   string `json:"holder"` // VM of the owner
	VMs       int32  `json:"vms"`
	Waiting   int32  `json:"waiting"`
	Capacity  Amount `json:"capacity"`
	Free      Amount `json:"free"`
}

// TeamLine is the status of one team as reported by its owner.
type TeamLine struct {
	Team    string  `json:"team"`
	OwnerVM string  `json:"owner"` // VM of the owner
	Used    Amount  `json:"used"`
	Limit   Amount  `json:"limit"`
	Waiting int32   `json:"waiting"`
	Ratio   float64 `json:"ratio"` // dominant share divided by the team's weight
}

// VMLine counts the workers or runners of one partition on the VM list.
type VMLine struct {
	Role          model.VMRole        `json:"role"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	Partition     model.PartitionID   `json:"partition"`
	VMs           int                 `json:"vms"`
	Leaving       int                 `json:"leaving"`
	Capacity      Amount              `json:"capacity"`
}

// ShowStatus queries all members and prints their status.
func (c *Client) ShowStatus(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	vms, err := c.VMList.List(ctx)
	if err != nil {
		return Failure.New("the VM list cannot be read: %w", err)
	}
	responses, err := c.queryMembers(ctx)
	if err != nil {
		return err
	}
	status := statusOf(responses)
	status.VMs = countVMs(vms)
	if c.JSON {
		return c.printJSON(status)
	}
	for _, table := range [][][]string{
		status.memberRows(), status.partitionRows(), status.teamRows(), status.vmRows(),
	} {
		if err := c.printTable(table); err != nil {
			return err
		}
		if err := c.printf("\n"); err != nil {
			return err
		}
	}
	return nil
}

func statusOf(responses []memberResponse) Status {
	status := Status{Members: []MemberLine{}, Partitions: []PartitionLine{}, Teams: []TeamLine{}}
	for _, a := range responses {
		line := MemberLine{VM: a.vm.ID, Address: a.vm.Address, FailureDomain: a.vm.FailureDomain}
		if a.status == nil {
			line.Error = a.err.Error()
			status.Members = append(status.Members, line)
			continue
		}
		line.Member = a.status.GetMember()
		line.Ready = a.status.GetReady()
		line.ConfigRevision = a.status.GetConfigRevision()
		line.Partitions = len(a.status.GetPartitions())
		status.Members = append(status.Members, line)
		status.addMember(a)
	}
	slices.SortFunc(status.Partitions, func(a, b PartitionLine) int { return cmp.Compare(a.Partition, b.Partition) })
	slices.SortFunc(status.Teams, func(a, b TeamLine) int { return cmp.Compare(a.Team, b.Team) })
	return status
}

func (s *Status) addMember(r memberResponse) {
	for _, p := range r.status.GetPartitions() {
		s.Partitions = append(s.Partitions, PartitionLine{
			Partition: p.GetPartition(),
			Epoch:     p.GetEpoch(),
			OwnerVM:   string(r.vm.ID),
			VMs:       p.GetVms(),
			Waiting:   p.GetWaiting(),
			Capacity:  amountOf(p.GetCapacity()),
			Free:      amountOf(p.GetFree()),
		})
	}
	for _, t := range r.status.GetTeams() {
		s.Teams = append(s.Teams, TeamLine{
			Team:    t.GetTeam(),
			OwnerVM: string(r.vm.ID),
			Used:    amountOf(t.GetUsed()),
			Limit:   amountOf(t.GetLimit()),
			Waiting: t.GetWaiting(),
			Ratio:   t.GetRatio(),
		})
	}
}

func countVMs(vms []model.VM) []VMLine {
	index := map[model.PartitionID]int{}
	lines := []VMLine{}
	for _, vm := range vms {
		partition := vm.Partition()
		if partition == "" {
			continue
		}
		i, ok := index[partition]
		if !ok {
			i = len(lines)
			index[partition] = i
			lines = append(lines, VMLine{Role: vm.Role, FailureDomain: vm.FailureDomain, Partition: partition})
		}
		lines[i].VMs++
		capacity := model.Resources(lines[i].Capacity)
		lines[i].Capacity = Amount(capacity.Add(vm.Capacity))
		if vm.Leaving {
			lines[i].Leaving++
		}
	}
	slices.SortFunc(lines, func(a, b VMLine) int { return cmp.Compare(a.Partition, b.Partition) })
	return lines
}

func amountOf(r *peerpb.Resources) Amount {
	return Amount{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}

func (s Status) memberRows() [][]string {
	rows := [][]string{{"VM", "ADDRESS", "FAILURE DOMAIN", "READY", "REVISION", "PARTITIONS", "NOTE"}}
	for _, m := range s.Members {
		rows = append(rows, []string{
			string(m.VM), m.Address, string(m.FailureDomain), strconv.FormatBool(m.Ready),
			formatUint(m.ConfigRevision), strconv.Itoa(m.Partitions), m.Error,
		})
	}
	return rows
}

func (s Status) partitionRows() [][]string {
	rows := [][]string{{"PARTITION", "EPOCH", "OWNER", "VMS", "WAITING", "FREE", "CAPACITY"}}
	for _, p := range s.Partitions {
		rows = append(rows, []string{
			p.Partition, formatUint(p.Epoch), p.OwnerVM, strconv.Itoa(int(p.VMs)),
			strconv.Itoa(int(p.Waiting)), p.Free.String(), p.Capacity.String(),
		})
	}
	return rows
}

func (s Status) teamRows() [][]string {
	rows := [][]string{{"TEAM", "OWNER", "USED", "UPPER LIMIT", "WAITING", "SHARE BY WEIGHT"}}
	for _, t := range s.Teams {
		rows = append(rows, []string{
			t.Team, t.OwnerVM, t.Used.String(), t.Limit.String(),
			strconv.Itoa(int(t.Waiting)), strconv.FormatFloat(t.Ratio, 'f', 3, 64),
		})
	}
	return rows
}

func (s Status) vmRows() [][]string {
	rows := [][]string{{"ROLE", "FAILURE DOMAIN", "PARTITION", "VMS", "LEAVING", "CAPACITY"}}
	for _, l := range s.VMs {
		rows = append(rows, []string{
			string(l.Role), string(l.FailureDomain), string(l.Partition),
			strconv.Itoa(l.VMs), strconv.Itoa(l.Leaving), l.Capacity.String(),
		})
	}
	return rows
}

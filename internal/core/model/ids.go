// Package model holds the nouns that every part of balsamhitch shares.
package model

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// MemberID names one balsam-sched process for its lifetime. A replaced
// process never reuses the id of its predecessor.
type MemberID string

// TeamID names a team and the workspace that its template creates.
type TeamID string

// ServiceID names a set of runners that serve the same quick requests.
type ServiceID string

// VMID names a worker or runner VM.
type VMID string

// FailureDomain names a zone whose VMs may disappear together.
type FailureDomain string

// JobID names an accepted job; it is a ULID.
type JobID string

// TaskID names one task of a job: the job id, "/" and the task's index.
type TaskID string

// RequestID names one quick request; it is a ULID.
type RequestID string

// Epoch is the log offset of the claim that gave a partition to its holder.
// It grows with every change of holder and serves as the fencing token.
type Epoch uint64

// PartitionID names a unit of ownership: "system", "team/<team>",
// "rack/<rack>" or "targets/<service>/<n>".
type PartitionID string

// SystemPartition is the partition whose holder writes checkpoints.
const SystemPartition PartitionID = "system"

// PartitionKind tells what a partition decides.
type PartitionKind string

// The kinds of partition.
const (
	KindSystem  PartitionKind = "system"
	KindTeam    PartitionKind = "team"
	KindRack    PartitionKind = "rack"
	KindTargets PartitionKind = "targets"
)

// TeamPartition returns the partition that decides for a team.
func TeamPartition(team TeamID) PartitionID {
	return PartitionID("team/" + string(team))
}

// RackPartition returns the partition that decides for a rack of workers.
func RackPartition(rack string) PartitionID {
	return PartitionID("rack/" + rack)
}

// TargetsPartition returns the partition that decides for one group of a
// service's runners.
func TargetsPartition(service ServiceID, group string) PartitionID {
	return PartitionID("targets/" + string(service) + "/" + group)
}

// Kind returns what the partition decides.
func (p PartitionID) Kind() PartitionKind {
	kind, _, _ := strings.Cut(string(p), "/")
	return PartitionKind(kind)
}

// Name returns the partition id without its kind.
func (p PartitionID) Name() string {
	_, name, _ := strings.Cut(string(p), "/")
	return name
}

// NewTask returns the id of the job's task with the index.
func NewTask(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}

// SplitTask returns the job and index of a task id.
func SplitTask(task TaskID) (JobID, int, error) {
	job, text, _ := strings.Cut(string(task), "/")
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return "", 0, errs.New("task id %q has no index", task)
	}
	return JobID(job), index, nil
}

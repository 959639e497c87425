// Package model defines the identifiers, resources and work items shared by the
// packages of balsam-sched and balsam-entry. Of these, package dispatch and the
// other packages of balsam-node use only the ids and Resources.
package model

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// MemberID identifies one balsam-sched process. A restarted or replaced process gets
// a new id.
type MemberID string

// TeamID identifies a team and the workspace created from its template.
type TeamID string

// ServiceID identifies a set of runners that serve the same quick requests. A
// runner is also called a target.
type ServiceID string

// VMID identifies a VM.
type VMID string

// FailureDomain identifies a zone whose VMs can fail together.
type FailureDomain string

// JobID identifies a job. It is a ULID in balsam-sched, and in balsam-node an id of
// 16 hexadecimal digits that the caller chooses.
type JobID string

// TaskID identifies one task of a job: the job id, "/" and the task's index.
// Package dispatch uses TaskName instead.
type TaskID string

// RequestID identifies one quick request; it is a ULID.
type RequestID string

// Epoch is the log offset of the claim by which a partition's owner acquired it. It
// grows with every change of owner and serves as the fencing token. The epochs of
// balsam-node are plain uint64 and are the offset after the claim; see package
// election.
type Epoch uint64

// PartitionID identifies a unit of ownership: "system", "team/<team>",
// "rack/<rack>" or "targets/<service>/<n>".
type PartitionID string

// SystemPartition is the partition whose owner writes the checkpoints of the log's
// state, which are unrelated to those of tasks.
const SystemPartition PartitionID = "system"

// PartitionKind is the kind of a partition, which determines what its owner decides.
type PartitionKind string

// The kinds of partitions.
const (
	KindSystem  PartitionKind = "system"
	KindTeam    PartitionKind = "team"
	KindRack    PartitionKind = "rack"
	KindTargets PartitionKind = "targets"
)

// TeamPartition returns the partition of a team.
func TeamPartition(team TeamID) PartitionID {
	return PartitionID("team/" + string(team))
}

// RackPartition returns the partition of a rack of workers.
func RackPartition(rack string) PartitionID {
	return PartitionID("rack/" + rack)
}

// TargetsPartition returns the partition of one group of a service's runners.
func TargetsPartition(service ServiceID, group string) PartitionID {
	return PartitionID("targets/" + string(service) + "/" + group)
}

// Kind returns the kind of the partition, which is the part of its id before the
// first "/".
func (p PartitionID) Kind() PartitionKind {
	kind, _, _ := strings.Cut(string(p), "/")
	return PartitionKind(kind)
}

// Name returns the partition id without its kind, or "" for SystemPartition.
func (p PartitionID) Name() string {
	_, name, _ := strings.Cut(string(p), "/")
	return name
}

// NewTask returns the id of the task with the index in the job.
func NewTask(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}

// SplitTask returns the job and index of a task id. It is the inverse of NewTask.
func SplitTask(task TaskID) (JobID, int, error) {
	job, text, _ := strings.Cut(string(task), "/")
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return "", 0, errs.New("task id %q has no valid index", task)
	}
	return JobID(job), index, nil
}

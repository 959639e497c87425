package replica

import (
	"strconv"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// The topics of a cell. The platform requires that the names of keyed topics begin
// with "keyed.".
const (
	CellTopic  = "keyed.cell"
	OwnerTopic = "keyed.owner"
)

// The prefixes of the keys in the cell's topic, each followed by a name. All prefixes
// have prefixLength.
const (
	submissionPrefix   = "j/"
	cancellationPrefix = "c/"
	endPrefix          = "s/"
	taskPrefix         = "t/"
	occurrencePrefix   = "d/"
	nodePrefix         = "m/"
	upkeepPrefix       = "u/"
	suspensionPrefix   = "l/"

	prefixLength = len(submissionPrefix)

	// OwnerKey is the key of the owner's heartbeat.
	OwnerKey = "o"
)

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(job model.JobID) string { return submissionPrefix + string(job) }

// CancellationKey returns the key of a job's cancellation.
func CancellationKey(job model.JobID) string { return cancellationPrefix + string(job) }

// EndKey returns the key of a job's final state.
func EndKey(job model.JobID) string { return endPrefix + string(job) }

// TaskKey returns the key of the latest decision about a task.
func TaskKey(name dispatch.TaskName) string { return taskPrefix + name.String() }

// OccurrenceKey returns the key of a completed occurrence.
func OccurrenceKey(job model.JobID, number int) string {
	return occurrencePrefix + string(job) + "." + strconv.Itoa(number)
}

// NodeKey returns the key of a node's address.
func NodeKey(node string) string { return nodePrefix + node }

// SuspensionKey returns the key of the suspension of a worker's leases.
func SuspensionKey(worker model.VMID) string { return suspensionPrefix + string(worker) }

// parseOccurrence splits the name in an occurrence's key.
func parseOccurrence(name string) (model.JobID, int, bool) {
	job, text, ok := strings.Cut(name, ".")
	number, err := strconv.Atoi(text)
	return model.JobID(job), number, ok && err == nil && number >= 0
}

package model

import "time"

// Outcome is the result of a request or task.
type Outcome string

// The outcomes that callers see. OutcomeNotRun guarantees that no attempt can have
// started.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Request is a quick request in an entry process.
type Request struct {
	ID             RequestID
	Team           TeamID
	Service        ServiceID
	IdempotencyKey string // chosen by the caller; may be empty
	NonIdempotent  bool   // must run at most once
	Urgent         bool
	Deadline       time.Time
	Body           []byte
	ContentType    string
}

// Answer is a runner's response to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Job is a unit of submitted work with one or more identical tasks.
type Job struct {
	ID              JobID
	Team            TeamID
	Kind            WorkKind
	Tasks           int
	Size            Resources     // of one task
	DeclaredRunTime time.Duration // expected run time of one task, as declared
	FailureDomains  []FailureDomain
	Template        string // name that the team gives to jobs with similar resource use; may be empty; unrelated to WorkspaceTemplate
	NonIdempotent   bool
	Urgent          bool
	IdempotencyKey  string
	StartBy         time.Time // latest start; zero for none
	Payload         []byte
}

// AllowsDomain reports whether the job may run in the failure domain.
func (j Job) AllowsDomain(domain FailureDomain) bool {
	if len(j.FailureDomains) == 0 {
		return true
	}
	for _, d := range j.FailureDomains {
		if d == domain {
			return true
		}
	}
	return false
}

// Permit allows a partition to run work of a team up to a size. The team's owner
// grants it. It counts against the team's upper limit until the partition's owner
// reports its end.
type Permit struct {
	ID             string
	Team           TeamID
	TeamEpoch      Epoch
	Partition      PartitionID
	PartitionEpoch Epoch
	Sequence       uint64 // number of the grant within the team epoch
	Size           Resources
	// Ratio is the team's dominant share divided by its weight at the time of the
	// grant; partition owners serve the lowest ratio first.
	Ratio float64
}

package model

import "time"

// Outcome says what became of a request or task.
type Outcome string

// The outcomes that callers see. NotRun is only said when no attempt can have
// started.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Request is a quick request as an entry holds it.
type Request struct {
	ID             RequestID
	Team           TeamID
	Service        ServiceID
	IdempotencyKey string // the caller's own, may be empty
	NonIdempotent  bool   // runs at most once
	Urgent         bool
	Deadline       time.Time
	Body           []byte
	ContentType    string
}

// Answer is what a target returned for a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Job is heavy or batch work of one or more equal tasks.
type Job struct {
	ID             JobID
	Team           TeamID
	Kind           WorkKind
	Tasks          int
	Size           Resources     // of one task
	ExpectedRun    time.Duration // of one task, as declared
	FailureDomains []FailureDomain
	Template       string // name under which sizes are learned; may be empty
	NonIdempotent  bool
	Urgent         bool
	IdempotencyKey string
	Deadline       time.Time // start by; zero for none
	Payload        []byte
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

// Permit is a team owner's leave to run an amount on one partition. It counts
// against the team's upper limit until its holder reports it ended.
type Permit struct {
	ID             string
	Team           TeamID
	TeamEpoch      Epoch
	Partition      PartitionID
	PartitionEpoch Epoch
	Sequence       uint64 // counts the grants of one team epoch
	Size           Resources
	// Ratio is the team's dominant share divided by its weight at the time of
	// the grant; owners serve the lowest first.
	Ratio float64
}

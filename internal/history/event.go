// Package history judges what callers, operators and stand-ins recorded. Its
// single checker names each broken promise with the events that show it. It
// is pure: events carry the time at which they happened.
package history

import (
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Kind tells what happened.
type Kind string

// Events of the stand-ins.
const (
	VMSeen     Kind = "vm_seen"      // VM, Domain, Size (its capacity)
	TaskStart  Kind = "task_start"   // a worker started an attempt
	TaskEnd    Kind = "task_end"     // the attempt no longer runs; State
	QuickStart Kind = "quick_start"  // a runner began a quick request
	QuickEnd   Kind = "quick_end"    // the runner finished it
	VMLeaving  Kind = "vm_leaving"   // the VM list was told so
	VMReturned Kind = "vm_returned"  // the VM takes work again
	ConfigSeen Kind = "config_seen"  // Member answered with Revision
	LogDown    Kind = "log_down"     // for the reader only
	LogUp      Kind = "log_up"       // for the reader only
	FaultSet   Kind = "fault_set"    // for the reader only
	MemberKill Kind = "member_kill"  // for the reader only
	MemberUp   Kind = "member_start" // for the reader only
)

// Events of callers.
const (
	Sent      Kind = "sent"      // Call, Send, Team, Key, NonIdempotent
	Answered  Kind = "answered"  // Call, Send, Outcome, Whole, BodyCall
	Abandoned Kind = "abandoned" // the caller gave up waiting on purpose
	Accepted  Kind = "accepted"  // a job was accepted; Call, Job
	JobEnded  Kind = "job_ended" // a job's last state as the caller saw it
)

// Events of operators. A withdrawal is recorded when its command has
// returned; a permission when its command is about to be given.
const (
	KeyIssued      Kind = "key_issued"    // Key, Team
	KeyWithdrawn   Kind = "key_withdrawn" // Key
	QueueOpen      Kind = "queue_open"    // Team takes work without a key
	LimitSet       Kind = "limit_set"     // Team, Size
	DomainOut      Kind = "domain_out"    // Domain
	DomainIn       Kind = "domain_in"     // Domain
	ConfigAccepted Kind = "config_accepted"
)

// Event is one recorded fact. Which fields are set depends on its kind.
type Event struct {
	At            time.Time           `json:"at"`
	Kind          Kind                `json:"kind"`
	VM            model.VMID          `json:"vm,omitempty"`
	Domain        model.FailureDomain `json:"domain,omitempty"`
	Team          model.TeamID        `json:"team,omitempty"`
	Task          model.TaskID        `json:"task,omitempty"`
	Job           model.JobID         `json:"job,omitempty"`
	Attempt       int                 `json:"attempt,omitempty"`
	Request       model.RequestID     `json:"request,omitempty"`
	Size          model.Resources     `json:"size,omitzero"`
	Permit        string              `json:"permit,omitempty"`
	State         string              `json:"state,omitempty"` // port.TaskState or a job's state
	Call          string              `json:"call,omitempty"`  // the caller's own name of the request or job
	Send          int                 `json:"send,omitempty"`  // which sending of the call
	Outcome       model.Outcome       `json:"outcome,omitempty"`
	Complete      bool                `json:"whole,omitempty"`
	BodyCall      string              `json:"body_call,omitempty"` // the call that the answer's body names
	NonIdempotent bool                `json:"non_idempotent,omitempty"`
	Quick         bool                `json:"quick,omitempty"`
	Key           string              `json:"key,omitempty"` // a key's name, never the key
	Tasks         int                 `json:"tasks,omitempty"`
	Revision      uint64              `json:"revision,omitempty"`
	Member        model.MemberID      `json:"member,omitempty"`
	Detail        string              `json:"detail,omitempty"`
}

// Recorder collects events. The zero value is ready, a nil one drops
// everything; it is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add records an event that happens now, unless it carries its own time. The
// order of a recorder's events is that in which Add was called.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.events = append(r.events, e)
}

// Since returns a copy of the events from the index on.
func (r *Recorder) Since(from int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < 0 || from >= len(r.events) {
		return nil
	}
	return append([]Event(nil), r.events[from:]...)
}

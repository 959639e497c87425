// Package history records the events of callers, operators and the platform's
// stand-ins and checks them for broken promises. A violation is reported with
// the events that show it. The checker reads no clock: events carry the time
// at which they happened.
package history

import (
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Kind is the type of an event.
type Kind string

// Events of the stand-ins and of the members. Here and below, the comments name
// the fields of Event that are set besides At. The checker ignores events marked
// as information only.
const (
	VMSeen        Kind = "vm_seen"      // VM, Domain, Size (the VM's capacity)
	TaskStart     Kind = "task_start"   // a worker started an attempt; VM, Domain, Team, Task, Job, Attempt, Size, Permit, Call
	TaskEnd       Kind = "task_end"     // the attempt no longer runs; the fields of its start, State, Detail
	QuickStart    Kind = "quick_start"  // a runner started a quick request; VM, Domain, Team, Request, Attempt, Call
	QuickEnd      Kind = "quick_end"    // the runner finished the request; the fields of its start, State (HTTP status)
	VMLeaving     Kind = "vm_leaving"   // the VM was set to leaving or gone, which the VM list shows after its lag; VM, State
	VMReturned    Kind = "vm_returned"  // the VM was added to the VM list or set to live again; VM, State
	ConfigSeen    Kind = "config_seen"  // a member reported its revision; Member, Revision
	LogDown       Kind = "log_down"     // information only
	LogUp         Kind = "log_up"       // information only
	FaultSet      Kind = "fault_set"    // information only
	MemberKilled  Kind = "member_kill"  // information only
	MemberStarted Kind = "member_start" // information only
)

// Events of callers.
const (
	Sent      Kind = "sent"      // Call, Send, Team, Key, NonIdempotent, Quick, Tasks
	Answered  Kind = "answered"  // Call, Send, Team, Outcome, Complete, BodyCall, Detail
	Abandoned Kind = "abandoned" // the caller stopped waiting for the answer and may send again; Call, Send, Detail
	Accepted  Kind = "accepted"  // a job was accepted; Call, Team, Job
	JobEnded  Kind = "job_ended" // the caller received a job's final state; Call, Job, State, Detail
)

// Events of operators. An event that restricts what may run is recorded after
// its command has returned, one that permits more before its command is sent.
const (
	KeyIssued      Kind = "key_issued"      // Key, Team
	KeyWithdrawn   Kind = "key_withdrawn"   // Key
	QueueOpen      Kind = "queue_open"      // Team; its queue accepts work without a key
	LimitSet       Kind = "limit_set"       // Team, Size
	DomainOut      Kind = "domain_out"      // Domain
	DomainBack     Kind = "domain_in"       // Domain
	ConfigAccepted Kind = "config_accepted" // Revision
)

// Event is one entry of a history. Which fields are set depends on its kind.
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
	State         string              `json:"state,omitempty"` // port.TaskState, an HTTP status, or the state of a job or VM
	Call          string              `json:"call,omitempty"`  // the caller's name for the request or job
	Send          int                 `json:"send,omitempty"`  // index of the send among those of the call
	Outcome       model.Outcome       `json:"outcome,omitempty"`
	Complete      bool                `json:"whole,omitempty"`
	BodyCall      string              `json:"body_call,omitempty"` // the call named in the answer's body
	NonIdempotent bool                `json:"non_idempotent,omitempty"`
	Quick         bool                `json:"quick,omitempty"`
	Key           string              `json:"key,omitempty"` // config.KeyID, never the secret
	Tasks         int                 `json:"tasks,omitempty"`
	Revision      uint64              `json:"revision,omitempty"`
	Member        model.MemberID      `json:"member,omitempty"`
	Detail        string              `json:"detail,omitempty"`
}

// Recorder collects events. Its zero value is ready to use; a nil Recorder
// drops all events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add appends an event. An event without a time gets the current time. Events
// are kept in the order of the calls of Add.
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

// Since returns a copy of the events from index from on.
func (r *Recorder) Since(from int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < 0 || from >= len(r.events) {
		return nil
	}
	return append([]Event(nil), r.events[from:]...)
}

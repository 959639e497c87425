// Package request drives one quick request from its arrival to its single
// answer. It is pure: the caller of a Machine performs the actions that it
// returns and reports how they ended.
//
// The rules: the team's owner may be asked any number of times, since asking
// starts nothing. A request goes to a target group again only if it is
// idempotent or certainly was not sent. "Not run" is said only if no attempt
// can have started; otherwise the answer is "unknown".
package request

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// ActionKind tells what to do next.
type ActionKind uint8

// The actions.
const (
	Ignore  ActionKind = iota // the event was late, foreign or doubled
	Admit                     // ask the team's owner for a permit
	Execute                   // send to the holder of the permit's partition
	Reply                     // answer the caller; the last action
)

// Action is what the machine wants done.
type Action struct {
	Kind    ActionKind
	Attempt int // of Admit and Execute; events carry it back
	// Backoff counts the retries so far; a retry waits the longer the higher
	// it is. Zero means at once.
	Backoff int
	Permit  model.Permit        // of Execute
	Avoid   []model.PartitionID // of Admit: groups that failed this request
	Result  Result              // of Reply
}

// Result is the answer to the caller.
type Result struct {
	Outcome model.Outcome
	Answer  model.Answer // of done and failed
	Refusal Refusal      // of not_run and unknown
	// Known marks an answer recorded for an earlier request with the same key.
	Replayed bool
}

// Verdict is what a team's owner said, or that it said nothing.
type Admission struct {
	Permit   *model.Permit
	Replayed *Result
	Refusal  Refusal // if neither permit nor known answer
}

// Attempt is what became of one send to a target group.
type Attempt struct {
	Request model.RequestID // as named by the answer
	Outcome model.Outcome
	Answer  model.Answer
	Refusal Refusal
	// NotSent is set when the transport proves that the send never left.
	NotSent bool
}

type phase uint8

const (
	created phase = iota
	admitting
	executing
	ended
)

// Request is what the machine needs to know of a request.
type Request struct {
	ID            model.RequestID
	NonIdempotent bool
	// CallerKey is set when the caller chose the idempotency key, so that an
	// earlier request may have run under it.
	CallerKey bool
}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	request Request
	phase   phase
	attempt int
	backoff int
	permit  model.Permit
	avoid   []model.PartitionID
	// mayHaveRun is set once an attempt may have started.
	mayHaveRun bool
	// keyIsNew is set once the team's owner has let the key through.
	keyIsNew bool
	last     Refusal
	dropped  int
}

// New returns the machine of a request that has just arrived.
func New(request Request) *Machine {
	return &Machine{request: request}
}

// Dropped returns how many events were ignored.
func (m *Machine) Ignored() int { return m.dropped }

// Sent reports whether a send to a target group waits for its answer.
func (m *Machine) InFlight() bool { return m.phase == executing }

// Start returns the first action.
func (m *Machine) Start() Action {
	if m.phase != created {
		return m.ignore()
	}
	return m.admit(0)
}

// Admitted takes the verdict on the attempt to get a permit.
func (m *Machine) ApplyAdmission(attempt int, v Admission) Action {
	if m.phase != admitting || attempt != m.attempt {
		return m.ignore()
	}
	switch {
	case v.Permit != nil:
		m.keyIsNew = true
		m.permit = *v.Permit
		m.phase = executing
		return Action{Kind: Execute, Attempt: m.attempt, Permit: m.permit}
	case v.Replayed != nil:
		known := *v.Replayed
		known.Replayed = true
		return m.reply(known)
	case v.Refusal.Transient():
		m.last = v.Refusal
		return m.retry()
	case v.Refusal.Reason == Conflict:
		// The request that holds the key may be running.
		m.mayHaveRun = true
		return m.refuse(v.Refusal)
	default:
		m.keyIsNew = true
		return m.refuse(v.Refusal)
	}
}

// Executed takes the end of the attempt. The budget is asked before a request
// is sent once more.
func (m *Machine) ApplyAttempt(attempt int, a Attempt, budget func() bool) Action {
	if m.phase != executing || attempt != m.attempt {
		return m.ignore()
	}
	if !a.NotSent && a.Request != m.request.ID {
		return m.ignore()
	}
	switch {
	case a.NotSent:
		m.last = a.Refusal
		return m.retry()
	case a.Outcome == model.OutcomeDone, a.Outcome == model.OutcomeFailed:
		return m.reply(Result{Outcome: a.Outcome, Answer: a.Answer})
	case a.Outcome != model.OutcomeNotRun:
		m.mayHaveRun = true
	}
	m.last = a.Refusal
	if !m.mayRepeat(a) || costs(a) && !budget() {
		return m.refuse(a.Refusal)
	}
	m.avoid = append(m.avoid, m.permit.Partition)
	return m.retry()
}

// costs reports whether a repeat may load the targets once more. A group that
// can't take the request at all has done nothing for it.
func costs(a Attempt) bool {
	return a.Outcome != model.OutcomeNotRun || a.Refusal.Reason != DomainOut && !a.Refusal.Transient()
}

// mayRepeat reports whether an attempt that was sent may be followed by
// another one.
func (m *Machine) mayRepeat(a Attempt) bool {
	return !m.request.NonIdempotent && a.Refusal.Reason != Deadline
}

// Expired ends the request at its deadline.
func (m *Machine) ApplyDeadline() Action {
	switch m.phase {
	case ended:
		return m.ignore()
	case executing:
		m.mayHaveRun = true
	}
	refusal := Refusal{Reason: Deadline, Detail: "the deadline passed"}
	if m.last.Detail != "" {
		refusal.Detail += "; last: " + m.last.Detail
	}
	refusal.RetryAfter = m.last.RetryAfter
	return m.refuse(refusal)
}

func (m *Machine) admit(backoff int) Action {
	m.phase = admitting
	m.attempt++
	return Action{Kind: Admit, Attempt: m.attempt, Backoff: backoff, Avoid: m.avoid}
}

func (m *Machine) retry() Action {
	m.backoff++
	return m.admit(m.backoff)
}

// refuse answers that there is no result. It says "not run" only if nothing
// can have run, neither for this request nor for an earlier one with the key.
func (m *Machine) refuse(refusal Refusal) Action {
	outcome := model.OutcomeNotRun
	if m.mayHaveRun || m.request.CallerKey && !m.keyIsNew {
		outcome = model.OutcomeUnknown
	}
	return m.reply(Result{Outcome: outcome, Refusal: refusal})
}

func (m *Machine) reply(result Result) Action {
	m.phase = ended
	return Action{Kind: Reply, Attempt: m.attempt, Result: result}
}

func (m *Machine) ignore() Action {
	m.dropped++
	return Action{Kind: Ignore}
}

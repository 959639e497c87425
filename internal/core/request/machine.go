// Package request is the state machine of one quick request, from its arrival to
// its single answer. It does no I/O: the caller of a Machine performs the actions
// that it returns and passes their results back.
//
// The rules: the team's owner may be called any number of times, since admission
// starts nothing. A request is sent to a target group again only if it is
// idempotent or was certainly not sent. The outcome is not_run only if no attempt
// can have started; otherwise it is unknown.
package request

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions.
const (
	Ignore  ActionKind = iota // the event was late, duplicate or about another request
	Admit                     // request a permit from the team's owner
	Execute                   // send to the owner of the permit's partition
	Reply                     // answer the caller; the last action
)

// Action is the next step that the machine's caller performs.
type Action struct {
	Kind ActionKind
	// Attempt, of Admit and Execute, numbers the calls for a permit; the send under
	// a permit has the number of the call that returned it. The machine's caller
	// passes it back with the result.
	Attempt int
	// Retries, of Admit, counts the retries so far; the delay before the action grows
	// with it. Zero means no delay.
	Retries int
	Permit  model.Permit        // of Execute
	Avoid   []model.PartitionID // of Admit: groups to which this request was sent before
	Result  Result              // of Reply
}

// Result is the answer to the caller.
type Result struct {
	Outcome model.Outcome
	Answer  model.Answer // of done and failed
	Refusal Refusal      // of not_run and unknown
	// Replayed marks an answer recorded for an earlier request with the same key.
	Replayed bool
}

// Admission is the reply of a team's owner. A missing reply is a Refusal.
type Admission struct {
	Permit   *model.Permit
	Replayed *Result
	Refusal  Refusal // if there is neither a permit nor a recorded result
}

// AttemptResult is the result of one send to a target group.
type AttemptResult struct {
	Request model.RequestID // as named by the answer
	Outcome model.Outcome
	Answer  model.Answer
	Refusal Refusal
	// NotSent is set if the request was certainly not sent, as an error of class
	// port.NotStarted proves.
	NotSent bool
}

type phase uint8

const (
	created phase = iota
	admitting
	executing
	ended
)

// Request holds the properties of a request that its machine depends on.
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
	retries int
	permit  model.Permit
	avoid   []model.PartitionID
	// mayHaveRun is set once an attempt may have started.
	mayHaveRun bool
	// keyIsNew is set once a reply of the team's owner shows that no earlier request
	// has used the key: a permit, or a refusal that is neither transient nor Conflict.
	keyIsNew    bool
	lastRefusal Refusal
	ignored     int
}

// New returns the machine of a new request.
func New(request Request) *Machine {
	return &Machine{request: request}
}

// Ignored returns the number of events that were late, duplicate or about another
// request; the entry exports it as dropped answers.
func (m *Machine) Ignored() int { return m.ignored }

// InFlight reports whether the request was sent to a target group that has not
// answered yet.
func (m *Machine) InFlight() bool { return m.phase == executing }

// Start returns the first action.
func (m *Machine) Start() Action {
	if m.phase != created {
		return m.ignore()
	}
	return m.admit(0)
}

// ApplyAdmission applies the owner's reply to an attempt to get a permit and
// returns the next action.
func (m *Machine) ApplyAdmission(attempt int, admission Admission) Action {
	if m.phase != admitting || attempt != m.attempt {
		return m.ignore()
	}
	switch {
	case admission.Permit != nil:
		m.keyIsNew = true
		m.permit = *admission.Permit
		m.phase = executing
		return Action{Kind: Execute, Attempt: m.attempt, Permit: m.permit}
	case admission.Replayed != nil:
		replayed := *admission.Replayed
		replayed.Replayed = true
		return m.reply(replayed)
	case admission.Refusal.Transient():
		m.lastRefusal = admission.Refusal
		return m.retry()
	case admission.Refusal.Reason == Conflict:
		// The earlier request with the key may be running.
		m.mayHaveRun = true
		return m.refuse(admission.Refusal)
	default:
		m.keyIsNew = true
		return m.refuse(admission.Refusal)
	}
}

// ApplyAttempt applies the result of an attempt and returns the next action. It
// calls budget before a resend that counts against the retry budget; the request
// ends if budget returns false.
func (m *Machine) ApplyAttempt(attempt int, a AttemptResult, budget func() bool) Action {
	if m.phase != executing || attempt != m.attempt {
		return m.ignore()
	}
	if !a.NotSent && a.Request != m.request.ID {
		return m.ignore()
	}
	switch {
	case a.NotSent:
		m.lastRefusal = a.Refusal
		return m.retry()
	case a.Outcome == model.OutcomeDone, a.Outcome == model.OutcomeFailed:
		return m.reply(Result{Outcome: a.Outcome, Answer: a.Answer})
	case a.Outcome != model.OutcomeNotRun:
		m.mayHaveRun = true
	}
	m.lastRefusal = a.Refusal
	if !m.mayResend(a) || chargesBudget(a) && !budget() {
		return m.refuse(a.Refusal)
	}
	m.avoid = append(m.avoid, m.permit.Partition)
	return m.retry()
}

// chargesBudget reports whether a resend after the attempt counts against the retry
// budget, because the targets may have worked on the attempt. A group that can't
// accept the request at all has done no work for it.
func chargesBudget(a AttemptResult) bool {
	return a.Outcome != model.OutcomeNotRun || a.Refusal.Reason != DomainOut && !a.Refusal.Transient()
}

// mayResend reports whether a request that was sent may be sent again.
func (m *Machine) mayResend(a AttemptResult) bool {
	return !m.request.NonIdempotent && a.Refusal.Reason != Deadline
}

// ApplyDeadline ends the request at its deadline.
func (m *Machine) ApplyDeadline() Action {
	switch m.phase {
	case ended:
		return m.ignore()
	case executing:
		m.mayHaveRun = true
	}
	refusal := Refusal{Reason: Deadline, Detail: "the deadline passed"}
	if m.lastRefusal.Detail != "" {
		refusal.Detail += "; last: " + m.lastRefusal.Detail
	}
	refusal.RetryAfter = m.lastRefusal.RetryAfter
	return m.refuse(refusal)
}

func (m *Machine) admit(retries int) Action {
	m.phase = admitting
	m.attempt++
	return Action{Kind: Admit, Attempt: m.attempt, Retries: retries, Avoid: m.avoid}
}

func (m *Machine) retry() Action {
	m.retries++
	return m.admit(m.retries)
}

// refuse answers without a result. The outcome is not_run only if nothing can
// have run, neither for this request nor for an earlier one with the same key.
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
	m.ignored++
	return Action{Kind: Ignore}
}

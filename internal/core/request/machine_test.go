package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
)

const requestID = model.RequestID("r")

// expectedOutcome derives the outcome that a request's caller must get from all
// facts about the request.
func expectedOutcome(h []fact, r Request) model.Outcome {
	keyIsNew, started, ended := false, false, model.Outcome("")
	for _, f := range h {
		keyIsNew = keyIsNew || f.keyIsNew
		started = started || f.mayRun
		if f.outcome != "" {
			ended = f.outcome
		}
	}
	switch {
	case ended != "":
		return ended
	case started, r.CallerKey && !keyIsNew:
		return model.OutcomeUnknown
	default:
		return model.OutcomeNotRun
	}
}

// fact is what an event proves.
type fact struct {
	keyIsNew bool          // the key was new to the team's owner
	mayRun   bool          // an attempt may have started without a known end
	outcome  model.Outcome // the caller's answer
}

// simulation performs a machine's actions with injected faults and records what
// actually happened.
type simulation struct {
	t       *rapid.T
	request Request
	machine *Machine
	events  []history.Event
	facts   []fact
	sends   int
	late    []func() Action // answers that may arrive again
	clock   time.Time
}

func (s *simulation) record(e history.Event) {
	s.clock = s.clock.Add(time.Millisecond)
	e.At = s.clock
	e.Call = "c"
	e.Request = requestID
	s.events = append(s.events, e)
}

func (s *simulation) admitted(attempt int) Action {
	var admission Admission
	switch rapid.SampledFrom([]string{"permit", "permit", "replayed", "refusal"}).Draw(s.t, "admission") {
	case "permit":
		admission.Permit = &model.Permit{ID: fmt.Sprint("p", attempt), Partition: "targets/s/g"}
		s.facts = append(s.facts, fact{keyIsNew: true})
	case "replayed":
		admission.Replayed = &Result{Outcome: model.OutcomeDone}
		s.facts = append(s.facts, fact{outcome: model.OutcomeDone})
	case "refusal":
		admission.Refusal.Reason = Reason(rapid.IntRange(int(NotOwner), int(NeverFits)).Draw(s.t, "reason"))
		s.facts = append(s.facts, fact{keyIsNew: !admission.Refusal.Transient() && admission.Refusal.Reason != Conflict, mayRun: admission.Refusal.Reason == Conflict})
	}
	event := func() Action { return s.machine.ApplyAdmission(attempt, admission) }
	s.late = append(s.late, event)
	return event()
}

// executed simulates a send to a group: the request is not sent, is refused, runs and
// is answered, runs but its answer is lost, or is lost before it runs.
func (s *simulation) executed(attempt int) Action {
	a := AttemptResult{Request: requestID}
	fault := rapid.SampledFrom([]string{"not sent", "refused", "done", "failed", "lost", "lost before it ran"}).Draw(s.t, "send")
	if fault != "not sent" {
		s.sends++
	}
	switch fault {
	case "not sent":
		a = AttemptResult{NotSent: true}
	case "refused":
		a.Outcome = model.OutcomeNotRun
		a.Refusal.Reason = rapid.SampledFrom([]Reason{Unavailable, Deadline, QueueFull}).Draw(s.t, "reason")
	case "done", "failed":
		s.record(history.Event{Kind: history.QuickStart})
		a.Outcome = model.Outcome(fault)
		s.facts = append(s.facts, fact{outcome: a.Outcome})
	case "lost":
		s.record(history.Event{Kind: history.QuickStart})
		a.Outcome = model.OutcomeUnknown
		s.facts = append(s.facts, fact{mayRun: true})
	case "lost before it ran":
		a.Outcome = model.OutcomeUnknown
		s.facts = append(s.facts, fact{mayRun: true})
	}
	budget := func() bool { return rapid.Bool().Draw(s.t, "budget") }
	other := a
	other.Request = "another"
	other.NotSent = false
	require.Equal(s.t, Ignore, s.machine.ApplyAttempt(attempt, other, budget).Kind, "an answer to another request must be ignored")
	event := func() Action { return s.machine.ApplyAttempt(attempt, a, budget) }
	s.late = append(s.late, event)
	return event()
}

// TestRequestEndsOnceWithCorrectOutcome drives machines through random admissions,
// lost and duplicate answers and deadlines. It checks the outcome against
// expectedOutcome and the events with the history checker of the process tests.
func TestRequestEndsOnceWithCorrectOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			ID:            requestID,
			NonIdempotent: rapid.Bool().Draw(t, "non-idempotent"),
			CallerKey:     rapid.Bool().Draw(t, "caller's key"),
		}
		s := &simulation{t: t, request: request, machine: New(request)}
		s.record(history.Event{Kind: history.QueueOpen, Team: "a"})
		s.record(history.Event{Kind: history.Sent, Send: 1, Team: "a", Quick: true, NonIdempotent: request.NonIdempotent})
		action := s.machine.Start()
		for steps := 0; action.Kind != Reply; steps++ {
			for _, event := range s.late { // duplicate answers
				require.Equal(t, Ignore, event().Kind)
			}
			if steps > 20 || rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				if s.machine.InFlight() {
					s.sends++
					s.facts = append(s.facts, fact{mayRun: true})
				}
				action = s.machine.ApplyDeadline()
				break
			}
			switch action.Kind {
			case Admit:
				action = s.admitted(action.Attempt)
			case Execute:
				action = s.executed(action.Attempt)
			default:
				t.Fatalf("unexpected action kind %v", action.Kind)
			}
		}
		require.Equal(t, Reply, action.Kind)
		require.Equal(t, expectedOutcome(s.facts, request), action.Result.Outcome)
		s.record(history.Event{
			Kind: history.Answered, Send: 1, Team: "a", Outcome: action.Result.Outcome, Complete: true, BodyCall: "c",
		})
		if request.NonIdempotent {
			require.LessOrEqual(t, s.sends, 1, "a non-idempotent request was sent twice")
		}
		for _, event := range append(s.late, s.machine.ApplyDeadline, s.machine.Start) {
			require.Equal(t, Ignore, event().Kind, "an event after the end must be ignored")
		}
		for _, violation := range history.Check(s.events, history.Options{}) {
			t.Error(violation)
		}
	})
}

func TestAdmissionIsRetriedDuringTakeover(t *testing.T) {
	m := New(Request{ID: requestID, NonIdempotent: true})
	action := m.Start()
	for i := range 5 {
		action = m.ApplyAdmission(action.Attempt, Admission{Refusal: Refusal{Reason: NotOwner}})
		require.Equal(t, Admit, action.Kind)
		assert.Equal(t, i+1, action.Retries)
	}
	action = m.ApplyAdmission(action.Attempt, Admission{Permit: &model.Permit{}})
	assert.Equal(t, Execute, action.Kind)
}

// TestResentKeyIsNotReportedNotRun checks that a caller who repeats a request does
// not get the outcome "not run" while that of the first request is unknown.
func TestResentKeyIsNotReportedNotRun(t *testing.T) {
	m := New(Request{ID: requestID, CallerKey: true})
	m.Start()
	assert.Equal(t, model.OutcomeUnknown, m.ApplyDeadline().Result.Outcome)
}

// TestConflictIsNotReportedNotRun checks that a caller whose key is in use does not
// get the outcome "not run": the other request with the key may be running, even
// if the key was accepted as new for this request before.
func TestConflictIsNotReportedNotRun(t *testing.T) {
	m := New(Request{ID: requestID, CallerKey: true})
	action := m.Start()
	action = m.ApplyAdmission(action.Attempt, Admission{Permit: &model.Permit{}})
	action = m.ApplyAttempt(action.Attempt, AttemptResult{NotSent: true}, nil)
	action = m.ApplyAdmission(action.Attempt, Admission{Refusal: Refusal{Reason: Conflict}})
	assert.Equal(t, model.OutcomeUnknown, action.Result.Outcome)
}

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

// naiveOutcome reads the whole history of a request and says what its caller
// may be told.
func naiveOutcome(h []fact, r Request) model.Outcome {
	letThrough, started, ended := false, false, model.Outcome("")
	for _, f := range h {
		letThrough = letThrough || f.letThrough
		started = started || f.mayRun
		if f.outcome != "" {
			ended = f.outcome
		}
	}
	switch {
	case ended != "":
		return ended
	case started, r.CallerKey && !letThrough:
		return model.OutcomeUnknown
	default:
		return model.OutcomeNotRun
	}
}

// fact is what an event proved.
type fact struct {
	letThrough bool          // the key was new to the team's owner
	mayRun     bool          // an attempt may have started, not known ended
	outcome    model.Outcome // the caller's answer
}

// world performs the actions of a machine with faults and records what really
// happened.
type world struct {
	t       *rapid.T
	request Request
	machine *Machine
	events  []history.Event
	facts   []fact
	sends   int
	late    []func() Action // answers that are still on their way
	clock   time.Time
}

func (w *world) record(e history.Event) {
	w.clock = w.clock.Add(time.Millisecond)
	e.At = w.clock
	e.Call = "c"
	e.Request = requestID
	w.events = append(w.events, e)
}

func (w *world) admitted(attempt int) Action {
	var v Admission
	switch rapid.SampledFrom([]string{"permit", "permit", "known", "refusal"}).Draw(w.t, "verdict") {
	case "permit":
		v.Permit = &model.Permit{ID: fmt.Sprint("p", attempt), Partition: "targets/s/g"}
		w.facts = append(w.facts, fact{letThrough: true})
	case "known":
		v.Replayed = &Result{Outcome: model.OutcomeDone}
		w.facts = append(w.facts, fact{outcome: model.OutcomeDone})
	case "refusal":
		v.Refusal.Reason = Reason(rapid.IntRange(int(NotOwner), int(NeverFits)).Draw(w.t, "reason"))
		w.facts = append(w.facts, fact{letThrough: !v.Refusal.Transient() && v.Refusal.Reason != Conflict, mayRun: v.Refusal.Reason == Conflict})
	}
	event := func() Action { return w.machine.ApplyAdmission(attempt, v) }
	w.late = append(w.late, event)
	return event()
}

// executed sends to a group: the send may never leave, be refused, run and be
// answered, or run with its answer lost.
func (w *world) executed(attempt int) Action {
	a := Attempt{Request: requestID}
	fate := rapid.SampledFrom([]string{"not sent", "refused", "done", "failed", "lost", "lost before it ran"}).Draw(w.t, "fate")
	if fate != "not sent" {
		w.sends++
	}
	switch fate {
	case "not sent":
		a = Attempt{NotSent: true}
	case "refused":
		a.Outcome = model.OutcomeNotRun
		a.Refusal.Reason = rapid.SampledFrom([]Reason{Unavailable, Deadline, QueueFull}).Draw(w.t, "reason")
	case "done", "failed":
		w.record(history.Event{Kind: history.QuickStart})
		a.Outcome = model.Outcome(fate)
		w.facts = append(w.facts, fact{outcome: a.Outcome})
	case "lost":
		w.record(history.Event{Kind: history.QuickStart})
		a.Outcome = model.OutcomeUnknown
		w.facts = append(w.facts, fact{mayRun: true})
	case "lost before it ran":
		a.Outcome = model.OutcomeUnknown
		w.facts = append(w.facts, fact{mayRun: true})
	}
	budget := func() bool { return rapid.Bool().Draw(w.t, "budget") }
	foreign := a
	foreign.Request = "another"
	foreign.NotSent = false
	require.Equal(w.t, Ignore, w.machine.ApplyAttempt(attempt, foreign, budget).Kind, "an answer to another request")
	event := func() Action { return w.machine.ApplyAttempt(attempt, a, budget) }
	w.late = append(w.late, event)
	return event()
}

// TestEachRequestEndsOnceAndTruthfully drives machines through random
// verdicts, lost and doubled answers and deadlines. The history checker that
// the process tests use judges the result, and the naive version above says
// which outcome is due.
func TestEachRequestEndsOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			ID:            requestID,
			NonIdempotent: rapid.Bool().Draw(t, "non-idempotent"),
			CallerKey:     rapid.Bool().Draw(t, "caller's key"),
		}
		w := &world{t: t, request: request, machine: New(request)}
		w.record(history.Event{Kind: history.QueueOpen, Team: "a"})
		w.record(history.Event{Kind: history.Sent, Send: 1, Team: "a", Quick: true, NonIdempotent: request.NonIdempotent})
		action := w.machine.Start()
		for steps := 0; action.Kind != Reply; steps++ {
			for _, event := range w.late { // doubled answers
				require.Equal(t, Ignore, event().Kind)
			}
			if steps > 20 || rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				if w.machine.InFlight() {
					w.sends++
					w.facts = append(w.facts, fact{mayRun: true})
				}
				action = w.machine.ApplyDeadline()
				break
			}
			switch action.Kind {
			case Admit:
				action = w.admitted(action.Attempt)
			case Execute:
				action = w.executed(action.Attempt)
			default:
				t.Fatalf("unexpected action %v", action.Kind)
			}
		}
		require.Equal(t, Reply, action.Kind)
		require.Equal(t, naiveOutcome(w.facts, request), action.Result.Outcome)
		w.record(history.Event{
			Kind: history.Answered, Send: 1, Team: "a", Outcome: action.Result.Outcome, Whole: true, BodyCall: "c",
		})
		if request.NonIdempotent {
			require.LessOrEqual(t, w.sends, 1, "a non-idempotent request was sent twice")
		}
		for _, event := range append(w.late, w.machine.ApplyDeadline, w.machine.Start) {
			require.Equal(t, Ignore, event().Kind, "answered twice")
		}
		for _, violation := range history.Check(w.events, history.Options{}) {
			t.Error(violation)
		}
	})
}

func TestTakeoverIsWaitedOut(t *testing.T) {
	m := New(Request{ID: requestID, NonIdempotent: true})
	action := m.Start()
	for i := range 5 {
		action = m.ApplyAdmission(action.Attempt, Admission{Refusal: Refusal{Reason: NotOwner}})
		require.Equal(t, Admit, action.Kind)
		assert.Equal(t, i+1, action.Backoff)
	}
	action = m.ApplyAdmission(action.Attempt, Admission{Permit: &model.Permit{}})
	assert.Equal(t, Execute, action.Kind)
}

// TestResentKeyIsNotCalledNotRun guards callers that ask again while nobody
// can say what became of their first request.
func TestResentKeyIsNotCalledNotRun(t *testing.T) {
	m := New(Request{ID: requestID, CallerKey: true})
	m.Start()
	assert.Equal(t, model.OutcomeUnknown, m.ApplyDeadline().Result.Outcome)
}

// TestConflictIsNotCalledNotRun guards callers whose key is in use: the
// request that holds it may be running, also when the key was let through to
// this request before.
func TestConflictIsNotCalledNotRun(t *testing.T) {
	m := New(Request{ID: requestID, CallerKey: true})
	action := m.Start()
	action = m.ApplyAdmission(action.Attempt, Admission{Permit: &model.Permit{}})
	action = m.ApplyAttempt(action.Attempt, Attempt{NotSent: true}, nil)
	action = m.ApplyAdmission(action.Attempt, Admission{Refusal: Refusal{Reason: Conflict}})
	assert.Equal(t, model.OutcomeUnknown, action.Result.Outcome)
}

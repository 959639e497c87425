package history

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

var (
	baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	taskSize = model.Resources{MilliCPU: 1000, MemoryMiB: 1024}
	capacity = model.Resources{MilliCPU: 2000, MemoryMiB: 4096}

	quickSent  = Event{Kind: Sent, Call: "a", Team: "quotes", Key: "k", Quick: true}
	quickStart = Event{Kind: QuickStart, VM: "r1", Domain: "marrakech", Team: "quotes", Request: "id-a", Attempt: 1, Call: "a"}
)

func at(seconds float64, e Event) Event {
	e.At = baseTime.Add(time.Duration(seconds * float64(time.Second)))
	return e
}

func start(vm, task string, attempt int) Event {
	return Event{Kind: TaskStart, VM: model.VMID(vm), Domain: "marrakech", Team: "layouts",
		Task: model.TaskID(task), Attempt: attempt, Size: taskSize}
}

func end(vm, task string, attempt int, state string) Event {
	e := start(vm, task, attempt)
	e.Kind, e.State = TaskEnd, state
	return e
}

func quickAnswer(outcome model.Outcome) Event {
	return Event{Kind: Answered, Call: "a", Outcome: outcome, Complete: true, BodyCall: "a"}
}

func promises(violations []Violation) []Promise {
	var out []Promise
	for _, v := range violations {
		out = append(out, v.Promise)
	}
	return out
}

// Each history breaks exactly one promise.
func TestCheckerReportsBrokenPromise(t *testing.T) {
	issued := at(0, Event{Kind: KeyIssued, Key: "k", Team: "quotes"})
	nonIdempotent := quickSent
	nonIdempotent.NonIdempotent = true
	secondStart := at(3, quickStart)
	secondStart.Attempt = 2
	otherBody := at(2, quickAnswer(model.OutcomeDone))
	otherBody.BodyCall = "b"
	incomplete := at(2, quickAnswer(model.OutcomeDone))
	incomplete.Complete = false
	job := Event{Kind: Sent, Call: "j", Team: "quotes", Key: "k", Tasks: 1}
	jobAnswer := Event{Kind: Answered, Call: "j"}
	cases := []struct {
		name    string
		promise Promise
		events  []Event
	}{
		{"overcommit", NoOvercommit, []Event{
			at(0, Event{Kind: VMSeen, VM: "w1", Size: capacity}),
			at(1, start("w1", "j/0", 1)), at(2, start("w1", "j/1", 1)), at(3, start("w1", "j/2", 1)),
		}},
		{"two placements", SinglePlacement, []Event{at(1, start("w1", "j/0", 1)), at(2, start("w2", "j/0", 2))}},
		{"upper limit", UpperLimit, []Event{
			at(0, Event{Kind: LimitSet, Team: "layouts", Size: taskSize}),
			at(9, start("w1", "j/0", 1)), at(9, start("w2", "j/1", 1)),
		}},
		{"start in domain out of service", NoStartInDomainOut, []Event{at(0, Event{Kind: DomainOut, Domain: "marrakech"}), at(5, start("w1", "j/0", 1))}},
		{"start on leaving VM", NoStartOnLeaving, []Event{at(0, Event{Kind: VMLeaving, VM: "w1"}), at(5, start("w1", "j/0", 1))}},
		{"withdrawn key", KeyRequired, []Event{
			issued, at(1, Event{Kind: KeyWithdrawn, Key: "k"}), at(6, quickSent),
			at(7, quickAnswer(model.OutcomeDone)),
		}},
		{"key never issued", KeyRequired, []Event{at(1, quickSent), at(2, quickAnswer(model.OutcomeDone))}},
		{"key of another team", KeyRequired, []Event{
			at(0, Event{Kind: KeyIssued, Key: "k", Team: "fittings"}), at(1, quickSent), at(2, quickAnswer(model.OutcomeDone)),
		}},
		{"not run although it ran", AccurateNotRun, []Event{
			issued, at(1, quickSent), at(2, quickAnswer(model.OutcomeNotRun)), at(3, quickStart),
		}},
		{"non-idempotent twice", AtMostOnce, []Event{
			issued, at(1, nonIdempotent), at(2, quickStart), secondStart, at(4, quickAnswer(model.OutcomeDone)),
		}},
		{"no answer", CompleteAnswer, []Event{issued, at(1, quickSent)}},
		{"two answers", CompleteAnswer, []Event{
			issued, at(1, quickSent), at(2, quickAnswer(model.OutcomeDone)), at(3, quickAnswer(model.OutcomeDone)),
		}},
		{"body of another call", CompleteAnswer, []Event{issued, at(1, quickSent), otherBody}},
		{"incomplete body", CompleteAnswer, []Event{issued, at(1, quickSent), incomplete}},
		{"job without an end", NoLostWork, []Event{issued, at(1, job), at(2, jobAnswer), at(2, Event{Kind: Accepted, Call: "j"})}},
		{"job done without its tasks", NoLostWork, []Event{
			issued, at(1, job), at(2, jobAnswer), at(2, Event{Kind: Accepted, Call: "j"}),
			at(3, Event{Kind: JobEnded, Call: "j", State: "done"}),
		}},
		{"revision reverts", ConfigNoRevert, []Event{
			at(1, Event{Kind: ConfigSeen, Member: "m", Revision: 7}), at(2, Event{Kind: ConfigSeen, Member: "m", Revision: 6}),
		}},
		{"revision not in force", ConfigInForce, []Event{
			at(1, Event{Kind: ConfigAccepted, Revision: 7}), at(6, Event{Kind: ConfigSeen, Member: "m", Revision: 6}),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Analyze(c.events, Options{})
			violations := report.Violations
			require.Equal(t, []Promise{c.promise}, promises(violations), "%v", violations)
			assert.Positive(t, report.Tested[c.promise])
			assert.NotEmpty(t, violations[0].Events)
			assert.Contains(t, violations[0].String(), string(c.promise))
		})
	}
}

// Each history comes close to a violation but breaks no promise.
func TestCheckerAcceptsAllowedHistories(t *testing.T) {
	issued := at(0, Event{Kind: KeyIssued, Key: "k", Team: "quotes"})
	resend := at(3, quickSent)
	resend.Send = 1
	reply := at(5, quickAnswer(model.OutcomeDone))
	reply.Send = 1
	cases := map[string][]Event{
		"retry after the end": {at(1, start("w1", "j/0", 1)), at(2, end("w1", "j/0", 1, "failed")), at(2, start("w2", "j/0", 2))},
		"full VM": {
			at(0, Event{Kind: VMSeen, VM: "w1", Size: capacity}),
			at(1, start("w1", "j/0", 1)), at(1, start("w1", "j/1", 1)),
			at(2, end("w1", "j/0", 1, "done")), at(2, start("w1", "j/2", 1)),
		},
		"domain back": {
			at(0, Event{Kind: DomainOut, Domain: "marrakech"}), at(3, start("w1", "j/0", 1)),
			at(4, Event{Kind: DomainBack, Domain: "marrakech"}), at(9, start("w1", "j/1", 1)),
		},
		"lowered limit within the grace": {
			at(0, Event{Kind: LimitSet, Team: "layouts", Size: capacity}), at(5, start("w1", "j/0", 1)),
			at(6, Event{Kind: LimitSet, Team: "layouts", Size: taskSize}), at(7, start("w2", "j/1", 1)),
		},
		"sent again after not run": {
			issued, at(1, quickSent), at(2, quickAnswer(model.OutcomeNotRun)),
			resend, at(4, quickStart), reply,
		},
		"open queue": {
			at(0, Event{Kind: QueueOpen, Team: "quotes"}), at(1, quickSent),
			at(2, quickStart), at(3, quickAnswer(model.OutcomeDone)),
		},
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Empty(t, Check(events, Options{}))
		})
	}
}

// A sequential history that keeps every promise has no violation, and a second
// start of a running task is always reported.
func TestCheckerOnRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Event
		now := 0.0
		for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			task := "j/" + strconv.Itoa(i)
			for attempt := 1; attempt <= rapid.IntRange(1, 3).Draw(t, "attempts"); attempt++ {
				now++
				events = append(events, at(now, start("w1", task, attempt)), at(now+0.5, end("w1", task, attempt, "failed")))
			}
		}
		require.Empty(t, Check(events, Options{}))
		i := rapid.IntRange(0, len(events)/2-1).Draw(t, "doubled") * 2
		duplicate := events[i]
		duplicate.VM, duplicate.At = "w2", duplicate.At.Add(time.Millisecond)
		require.Contains(t, promises(Check(append(events, duplicate), Options{})), SinglePlacement)
	})
}

package history

import (
	"fmt"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// stateDone is the state of a finished job or task.
const stateDone = "done"

// callState is the state of one request or job, identified by its caller's name
// for it.
type callState struct {
	sends     []Event
	answers   []Event
	abandoned map[int]bool // by Event.Send
	accepted  []Event
	jobEnds   []Event
	starts    []Event
	taskEnds  []Event
}

func (c *checker) call(name string) *callState {
	if c.calls[name] == nil {
		c.calls[name] = &callState{abandoned: make(map[int]bool)}
		c.callOrder = append(c.callOrder, name)
	}
	return c.calls[name]
}

func (c *checker) applyCallerEvent(e Event) {
	call := c.call(e.Call)
	switch e.Kind {
	case Sent:
		call.sends = append(call.sends, e)
	case Answered:
		call.answers = append(call.answers, e)
	case Abandoned:
		call.abandoned[e.Send] = true
	case Accepted:
		call.accepted = append(call.accepted, e)
	case JobEnded:
		call.jobEnds = append(call.jobEnds, e)
	}
}

// checkCalls checks the promises about calls once all events are applied.
func (c *checker) checkCalls() {
	for _, name := range c.callOrder {
		call := c.calls[name]
		if name == "" || len(call.sends) == 0 {
			continue // not sent by a recorded caller
		}
		c.checkAnswers(call)
		c.checkNotRun(call)
		c.checkAtMostOnce(call)
		c.checkKey(call)
		c.checkJob(call)
	}
}

func (c *checker) checkAnswers(call *callState) {
	answersBySend := make(map[int][]Event)
	c.tested[CompleteAnswer] += len(call.sends)
	for _, a := range call.answers {
		answersBySend[a.Send] = append(answersBySend[a.Send], a)
	}
	for _, s := range call.sends {
		replies := answersBySend[s.Send]
		switch {
		case len(replies) == 0 && !call.abandoned[s.Send] && !c.options.Unfinished:
			c.addViolation(CompleteAnswer, "a caller got no answer", append([]Event{s}, call.starts...)...)
		case len(replies) > 1:
			c.addViolation(CompleteAnswer, "a caller got more than one answer", append([]Event{s}, replies...)...)
		}
		for _, a := range replies {
			c.checkBody(s, a)
		}
	}
}

func (c *checker) checkBody(sent, answer Event) {
	if answer.Outcome != model.OutcomeDone {
		return
	}
	if !answer.Complete {
		c.addViolation(CompleteAnswer, "an answer is incomplete", sent, answer)
		return
	}
	if sent.Quick && answer.BodyCall != sent.Call {
		c.addViolation(CompleteAnswer, "an answer carries the body of another request", sent, answer)
	}
}

// checkNotRun reports starts that contradict the outcome "not run": any start
// before the caller's next send, also one after the answer.
func (c *checker) checkNotRun(call *callState) {
	for _, a := range call.answers {
		if a.Outcome != model.OutcomeNotRun {
			continue
		}
		c.tested[AccurateNotRun]++
		for _, start := range call.starts {
			if next, ok := nextSend(call, a); ok && !start.At.Before(next.At) {
				continue
			}
			c.addViolation(AccurateNotRun, "the outcome was not run, but the work ran", a, start)
			break
		}
	}
}

func nextSend(call *callState, answer Event) (Event, bool) {
	for _, s := range call.sends {
		if s.Send > answer.Send {
			return s, true
		}
	}
	return Event{}, false
}

func (c *checker) checkAtMostOnce(call *callState) {
	if !call.sends[0].NonIdempotent {
		return
	}
	c.tested[AtMostOnce]++
	starts := make(map[string][]Event)
	for _, start := range call.starts {
		name := taskName(start)
		starts[name] = append(starts[name], start)
		if len(starts[name]) == 2 {
			c.addViolation(AtMostOnce, "a non-idempotent request ran twice", append([]Event{call.sends[0]}, starts[name]...)...)
		}
	}
}

// checkKey reports work that was accepted from a send whose key was not issued
// for the team, or was withdrawn more than Options.Grace before the send. Teams with
// an open queue need no key.
func (c *checker) checkKey(call *callState) {
	for _, s := range call.sends {
		if c.openQueues[s.Team] {
			continue
		}
		evidence, reason := c.invalidKey(s)
		if reason == "" {
			continue
		}
		c.tested[KeyRequired]++
		for _, a := range call.answers {
			mayHaveRun := a.Outcome == model.OutcomeDone || a.Outcome == model.OutcomeUnknown
			if a.Send == s.Send && mayHaveRun {
				c.addViolation(KeyRequired, reason, append(evidence, s, a)...)
			}
		}
		effects := append(append([]Event(nil), call.accepted...), call.starts...)
		if len(call.sends) == 1 && len(effects) > 0 {
			c.addViolation(KeyRequired, reason, append(evidence, s, effects[0])...)
		}
	}
}

// invalidKey returns why the key of a send does not authorize it, with the
// events that show it, or "" if the key does.
func (c *checker) invalidKey(s Event) ([]Event, string) {
	key := c.keys[s.Key]
	switch {
	case key == nil || key.issued == nil:
		return nil, fmt.Sprintf("work was accepted with key %q, which was never issued", s.Key)
	case key.issued.Team != s.Team:
		return []Event{*key.issued}, "work was accepted with another team's key"
	case key.withdrawn != nil && s.At.Sub(key.withdrawn.At) > c.options.Grace:
		return []Event{*key.withdrawn}, "work was accepted with a withdrawn key"
	default:
		return nil, ""
	}
}

func (c *checker) checkJob(call *callState) {
	if len(call.accepted) == 0 {
		return
	}
	c.tested[NoLostWork]++
	if len(call.jobEnds) == 0 {
		if !c.options.Unfinished {
			c.addViolation(NoLostWork, "an accepted job has not ended", call.accepted...)
		}
		return
	}
	last := call.jobEnds[len(call.jobEnds)-1]
	if last.State != stateDone {
		return
	}
	done := make(map[string]bool)
	for _, e := range call.taskEnds {
		if e.State == stateDone {
			done[taskName(e)] = true
		}
	}
	if want := call.sends[0].Tasks; len(done) < want {
		c.addViolation(NoLostWork, fmt.Sprintf("a job was reported done, but only %d of its %d tasks were", len(done), want), append(call.accepted, last)...)
	}
}

package history

import (
	"fmt"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// stateDone is the state of a finished job or task.
const stateDone = "done"

// callState follows one request or job by its caller's name.
type callState struct {
	sent      []Event
	answered  []Event
	abandoned map[int]bool // by sending
	accepted  []Event
	ended     []Event
	runs      []Event
	ends      []Event
}

func (c *checker) call(name string) *callState {
	if c.calls[name] == nil {
		c.calls[name] = &callState{abandoned: make(map[int]bool)}
		c.order = append(c.order, name)
	}
	return c.calls[name]
}

func (c *checker) caller(e Event) {
	call := c.call(e.Call)
	switch e.Kind {
	case Sent:
		call.sent = append(call.sent, e)
	case Answered:
		call.answered = append(call.answered, e)
	case Abandoned:
		call.abandoned[e.Send] = true
	case Accepted:
		call.accepted = append(call.accepted, e)
	case JobEnded:
		call.ended = append(call.ended, e)
	}
}

func (c *checker) finish() {
	for _, name := range c.order {
		call := c.calls[name]
		if name == "" || len(call.sent) == 0 {
			continue // work that no recorded caller sent
		}
		c.checkAnswers(call)
		c.checkNotRun(call)
		c.checkAtMostOnce(call)
		c.checkKey(call)
		c.checkJob(call)
	}
}

func (c *checker) checkAnswers(call *callState) {
	answers := make(map[int][]Event)
	c.tested[CompleteAnswer] += len(call.sent)
	for _, a := range call.answered {
		answers[a.Send] = append(answers[a.Send], a)
	}
	for _, s := range call.sent {
		got := answers[s.Send]
		switch {
		case len(got) == 0 && !call.abandoned[s.Send] && !c.options.Unfinished:
			c.report(CompleteAnswer, "a caller got no answer", append([]Event{s}, call.runs...)...)
		case len(got) > 1:
			c.report(CompleteAnswer, "a caller got more than one answer", append([]Event{s}, got...)...)
		}
		for _, a := range got {
			c.checkBody(s, a)
		}
	}
}

func (c *checker) checkBody(sent, answer Event) {
	if answer.Outcome != model.OutcomeDone {
		return
	}
	if !answer.Complete {
		c.report(CompleteAnswer, "an answer is not whole", sent, answer)
		return
	}
	if sent.Quick && answer.BodyCall != sent.Call {
		c.report(CompleteAnswer, "an answer carries the body of another request", sent, answer)
	}
}

// checkNotRun looks for starts that a "not run" denies: any before the answer
// or between it and the caller's next sending.
func (c *checker) checkNotRun(call *callState) {
	for _, a := range call.answered {
		if a.Outcome != model.OutcomeNotRun {
			continue
		}
		c.tested[AccurateNotRun]++
		for _, run := range call.runs {
			if next, ok := nextSent(call, a); ok && !run.At.Before(next.At) {
				continue
			}
			c.report(AccurateNotRun, "a caller was told not run, but it ran", a, run)
			break
		}
	}
}

func nextSent(call *callState, answer Event) (Event, bool) {
	for _, s := range call.sent {
		if s.Send > answer.Send {
			return s, true
		}
	}
	return Event{}, false
}

func (c *checker) checkAtMostOnce(call *callState) {
	if !call.sent[0].NonIdempotent {
		return
	}
	c.tested[AtMostOnce]++
	runs := make(map[string][]Event)
	for _, run := range call.runs {
		id := workID(run)
		runs[id] = append(runs[id], run)
		if len(runs[id]) == 2 {
			c.report(AtMostOnce, "a non-idempotent request ran twice", append([]Event{call.sent[0]}, runs[id]...)...)
		}
	}
}

// checkKey looks for work that was taken from a sending whose key does not
// open the team's queue, or was withdrawn long enough before.
func (c *checker) checkKey(call *callState) {
	for _, s := range call.sent {
		if c.open[s.Team] {
			continue
		}
		evidence, reason := c.keyFault(s)
		if reason == "" {
			continue
		}
		c.tested[KeyRequired]++
		for _, a := range call.answered {
			taken := a.Outcome == model.OutcomeDone || a.Outcome == model.OutcomeUnknown
			if a.Send == s.Send && taken {
				c.report(KeyRequired, reason, append(evidence, s, a)...)
			}
		}
		effects := append(append([]Event(nil), call.accepted...), call.runs...)
		if len(call.sent) == 1 && len(effects) > 0 {
			c.report(KeyRequired, reason, append(evidence, s, effects[0])...)
		}
	}
}

func (c *checker) keyFault(s Event) ([]Event, string) {
	key := c.keys[s.Key]
	switch {
	case key == nil || key.issued == nil:
		return nil, fmt.Sprintf("work was taken with key %q, which was never issued", s.Key)
	case key.issued.Team != s.Team:
		return []Event{*key.issued}, "work was taken with another team's key"
	case key.withdrawn != nil && s.At.Sub(key.withdrawn.At) > c.options.Grace:
		return []Event{*key.withdrawn}, "work was taken with a withdrawn key"
	default:
		return nil, ""
	}
}

func (c *checker) checkJob(call *callState) {
	if len(call.accepted) == 0 {
		return
	}
	c.tested[NoLostWork]++
	if len(call.ended) == 0 {
		if !c.options.Unfinished {
			c.report(NoLostWork, "an accepted job came to no end", call.accepted...)
		}
		return
	}
	last := call.ended[len(call.ended)-1]
	if last.State != stateDone {
		return
	}
	done := make(map[string]bool)
	for _, e := range call.ends {
		if e.State == stateDone {
			done[workID(e)] = true
		}
	}
	if want := call.sent[0].Tasks; len(done) < want {
		c.report(NoLostWork, fmt.Sprintf("a job was reported done, but only %d of its %d tasks were", len(done), want), append(call.accepted, last)...)
	}
}

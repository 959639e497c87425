package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func (e *Engine) advised(s *step) bool { return e.queue(s.occurrence.job).RequiresAdvice }

// allowed reports whether the placement policy lets the worker run the step.
func (e *Engine) allowed(s *step, w *worker, now time.Duration) bool {
	if !e.advised(s) {
		return true
	}
	t, ok := s.tickets[w.info.ID]
	return ok && t.life == w.life && t.expires > now+e.settings.TicketMargin
}

// ask decides whether the placement policy is to be asked about more workers.
func (e *Engine) ask(s *step, now time.Duration) {
	if !e.advised(s) || s.asking || now < s.askAfter {
		return
	}
	size := s.spec.footprint()
	least := s.spec.Size
	if s.gang != nil {
		least = least.Scale(int64(len(s.tasks)))
	}
	owner := e.team(s.occurrence.job.spec.Team)
	if !size.Fits(e.room) || !withinLimit(owner, e.claims[owner].Add(least)) {
		return // more urgent steps will take what is left
	}
	type candidate struct {
		worker *worker
		score  float64
	}
	var known, fresh []candidate
	for id, w := range e.workers {
		if !e.usable(s, w, now) || !size.Fits(w.free()) || e.allowed(s, w, now) {
			continue
		}
		c := candidate{w, score(s, s.tasks[0], w, w.free().Sub(size))}
		if _, approved := s.tickets[id]; approved {
			known = append(known, c)
		} else if !s.refused[id] {
			fresh = append(fresh, c)
		}
	}
	if len(known)+len(fresh) == 0 {
		return
	}
	byRoom := func(a, b candidate) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c // the emptiest first: room is likely to last until the answer
		}
		return cmp.Compare(a.worker.info.ID, b.worker.info.ID)
	}
	slices.SortFunc(known, byRoom)
	slices.SortFunc(fresh, byRoom)
	o := s.occurrence
	query := AdviceRequest{Job: o.job.id, Occurrence: o.number, Step: s.index}
	room := 0
	for _, c := range known {
		room += copies(size, c.worker.free())
	}
	if room >= s.waiting {
		fresh = nil
	}
	for _, c := range append(known, fresh...) {
		if len(query.Workers) == adviceBatch {
			break
		}
		query.Workers = append(query.Workers, c.worker.info.ID)
	}
	queue := e.queue(o.job)
	query.ExpectedLatency = queue.AdviceDecision + time.Duration(len(query.Workers))*queue.AdvicePerWorker
	if !e.asks.begin(query.ExpectedLatency, e.askers) {
		return
	}
	s.asking = true
	e.queries = append(e.queries, query)
}

// longAsk is the time of an answer from which a question counts as long.
const longAsk = 100 * time.Millisecond

// asks counts the questions to the placement policy that wait for an answer.
type asks struct {
	short, long int
}

// begin counts a question unless too many wait for the same askers. Long ones
// leave some askers to the short ones, whose steps are the more urgent.
func (a *asks) begin(expected time.Duration, askers int) bool {
	if expected >= longAsk {
		if a.long >= max(1, askers*2/3) {
			return false
		}
		a.long++
		return true
	}
	if a.short >= 2*max(1, askers) {
		return false
	}
	a.short++
	return true
}

func (a *asks) end(expected time.Duration) {
	if expected >= longAsk {
		a.long--
	} else {
		a.short--
	}
}

// SetAskers tells how many nodes can ask the placement policy at a time.
func (e *Engine) SetAdvisorCount(count int) { e.askers = count }

// Advised takes the answer of the placement policy. asked is when the question
// was sent, from which the validity counts; without an answer err is set.
func (e *Engine) ApplyAdvice(query AdviceRequest, approved []Approval, validity, asked, now time.Duration, err error) {
	e.asks.end(query.ExpectedLatency)
	j, ok := e.jobs[query.Job]
	if !ok {
		return
	}
	o, ok := j.occurrences[query.Occurrence]
	if !ok {
		return
	}
	s := o.steps[query.Step]
	s.asking = false
	if err != nil {
		s.askAfter = now + adviceRetry
		return
	}
	tickets := make(map[model.VMID]string, len(approved))
	for _, a := range approved {
		tickets[a.Worker] = a.Ticket
	}
	for _, id := range query.Workers {
		value, ok := tickets[id]
		if !ok {
			s.refused[id] = true
			delete(s.tickets, id)
			continue
		}
		life := int64(0)
		if w, known := e.workers[id]; known {
			life = w.life
		}
		s.tickets[id] = ticket{value: value, life: life, expires: asked + validity}
	}
	s.blocked = 0
}

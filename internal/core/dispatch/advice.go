package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func (e *Engine) requiresAdvice(s *step) bool { return e.queue(s.occurrence.job).RequiresAdvice }

// allowed reports whether the worker may run the step: its queue needs no advice,
// or the step has a valid ticket for the worker's current incarnation.
func (e *Engine) allowed(s *step, w *worker, now time.Duration) bool {
	if !e.requiresAdvice(s) {
		return true
	}
	t, ok := s.tickets[w.info.ID]
	return ok && t.incarnation == w.incarnation && t.expires > now+e.settings.TicketMargin
}

// requestAdvice queues an advice request for the step if it needs approval for
// more workers and could use them.
func (e *Engine) requestAdvice(s *step, now time.Duration) {
	if !e.requiresAdvice(s) || s.advicePending || now < s.adviceRetryAt {
		return
	}
	size := s.spec.footprint()
	demand := s.spec.Size
	if s.gang != nil {
		demand = demand.Scale(int64(len(s.tasks)))
	}
	jobTeam := e.team(s.occurrence.job.spec.Team)
	if !size.Fits(e.unreserved) || !withinLimit(jobTeam, e.reserved[jobTeam].Add(demand)) {
		return // the rest is reserved for more urgent steps
	}
	type candidate struct {
		worker *worker
		score  float64
	}
	var expired, untried []candidate // by whether the placement policy has approved the worker before
	for id, w := range e.workers {
		if !e.eligible(s, w, now) || !size.Fits(w.free()) || e.allowed(s, w, now) {
			continue
		}
		c := candidate{w, score(s, s.tasks[0], w, w.free().Sub(size))}
		if _, approved := s.tickets[id]; approved {
			expired = append(expired, c)
		} else if !s.denied[id] {
			untried = append(untried, c)
		}
	}
	if len(expired)+len(untried) == 0 {
		return
	}
	byFreeCapacity := func(a, b candidate) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c // lowest score, that is most free capacity, first: it is likelier to be free still when the answer arrives
		}
		return cmp.Compare(a.worker.info.ID, b.worker.info.ID)
	}
	slices.SortFunc(expired, byFreeCapacity)
	slices.SortFunc(untried, byFreeCapacity)
	o := s.occurrence
	request := AdviceRequest{Job: o.job.id, Occurrence: o.number, Step: s.index}
	taskSlots := 0
	for _, c := range expired {
		taskSlots += fitCount(size, c.worker.free())
	}
	if taskSlots >= s.pending {
		untried = nil
	}
	for _, c := range append(expired, untried...) {
		if len(request.Workers) == adviceBatchSize {
			break
		}
		request.Workers = append(request.Workers, c.worker.info.ID)
	}
	queue := e.queue(o.job)
	request.ExpectedLatency = queue.AdviceDecision + time.Duration(len(request.Workers))*queue.AdvicePerWorker
	if !e.adviceInFlight.begin(request.ExpectedLatency, e.advisors) {
		return
	}
	s.advicePending = true
	e.adviceRequests = append(e.adviceRequests, request)
}

// slowAdvice is the expected latency from which an advice request counts as slow.
const slowAdvice = 100 * time.Millisecond

// adviceInFlight counts the advice requests in flight.
type adviceInFlight struct {
	fast, slow int
}

// begin counts a request and reports true, or false if too many are in flight for
// the number of nodes that can call the placement policy. Slow requests may occupy at
// most two thirds of the nodes, so that they leave nodes free for fast ones, which
// are usually those of urgent queues.
func (a *adviceInFlight) begin(expected time.Duration, advisors int) bool {
	if expected >= slowAdvice {
		if a.slow >= max(1, advisors*2/3) {
			return false
		}
		a.slow++
		return true
	}
	if a.fast >= 2*max(1, advisors) {
		return false
	}
	a.fast++
	return true
}

func (a *adviceInFlight) end(expected time.Duration) {
	if expected >= slowAdvice {
		a.slow--
	} else {
		a.fast--
	}
}

// SetAdvisorCount sets the number of nodes that can call the placement policy;
// it limits the advice requests in flight.
func (e *Engine) SetAdvisorCount(count int) { e.advisors = count }

// ApplyAdvice applies the answer to an advice request. The tickets are valid for
// validity from sentAt, when the request was sent. A non-nil err means that there
// was no answer; the step may request advice again after adviceRetryDelay.
func (e *Engine) ApplyAdvice(request AdviceRequest, approved []Approval, validity, sentAt, now time.Duration, err error) {
	e.adviceInFlight.end(request.ExpectedLatency)
	j, ok := e.jobs[request.Job]
	if !ok {
		return
	}
	o, ok := j.occurrences[request.Occurrence]
	if !ok {
		return
	}
	s := o.steps[request.Step]
	s.advicePending = false
	if err != nil {
		s.adviceRetryAt = now + adviceRetryDelay
		return
	}
	tickets := make(map[model.VMID]string, len(approved))
	for _, a := range approved {
		tickets[a.Worker] = a.Ticket
	}
	for _, id := range request.Workers {
		value, ok := tickets[id]
		if !ok {
			s.denied[id] = true
			delete(s.tickets, id)
			continue
		}
		incarnation := int64(0)
		if w, known := e.workers[id]; known {
			incarnation = w.incarnation
		}
		s.tickets[id] = ticket{value: value, incarnation: incarnation, expires: sentAt + validity}
	}
	s.blockedVersion = 0
}

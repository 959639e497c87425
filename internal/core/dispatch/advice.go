package dispatch

import (
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
	return ok && t.worker == w && t.incarnation == w.incarnation && t.expires > now+e.settings.TicketMargin
}

const (
	// adviceBatchSize is the maximum number of workers in one advice request; the
	// placement policy's latency grows with each.
	adviceBatchSize = 30
	// minAdviceBatch is the minimum number of workers in one of several requests.
	minAdviceBatch = 8
	// maxAdviceWorkers is the maximum number of workers that a step asks about at once.
	maxAdviceWorkers = 4 * adviceBatchSize
	// maxAdviceVisits is the number of workers that are looked at for one step.
	maxAdviceVisits = 4 * maxAdviceWorkers
	// maxOpenVisits is the same for a step that may only use what others leave.
	maxOpenVisits = maxAdviceWorkers
	// minOpenSearchPause is the time until such a step looks for workers again after it
	// has looked at costlyVisits ones in vain. It doubles with each further time up to
	// maxOpenSearchPause.
	costlyVisits       = 32
	minOpenSearchPause = 20 * time.Millisecond
	maxOpenSearchPause = 320 * time.Millisecond
	// minAdviceWorkers is the number of workers that a step asks about even if fewer
	// are expected to suffice.
	minAdviceWorkers = 12
	// adviceLatencyShare bounds the time that the workers of one of several requests
	// add to the placement policy's latency, as a fraction of the fixed part of it.
	adviceLatencyShare = 0.25
	// crowdedBatchFactor is the factor on the number of workers in a request while most of
	// the nodes are occupied that slow requests may occupy. Fewer requests then wait for
	// the fixed part of the placement policy's latency.
	crowdedBatchFactor = 2
	// adviceSurplus is the number of approved task slots to ask for per pending task.
	adviceSurplus = 1.5
	// stepsPerAnswer is the number of steps without a free advisor that are tried again
	// after an answer, which makes one advisor free.
	stepsPerAnswer = 2
	// An answer is overdue overdueFactor times its expected latency and overdueMargin
	// after the request. The step then requests advice again.
	overdueFactor = 2
	overdueMargin = 300 * time.Millisecond
	// adviceRetryDelay is the delay after a failed advice request.
	adviceRetryDelay = 200 * time.Millisecond
	// initialApprovalRate is assumed before the first answer for a queue.
	initialApprovalRate = 0.5
	// approvalMemory is the weight of the earlier answers after a new one.
	approvalMemory = 0.9
)

// requestAdvice queues advice requests for the step if it needs approval for more
// workers and could use them. The workers are divided among several requests, which
// the placement policy serves at the same time for different callers.
func (e *Engine) requestAdvice(s *step, now time.Duration) {
	switch {
	case !e.requiresAdvice(s):
		e.waits(s, WaitCapacity)
		return
	case s.awaitsAdvice(now):
		e.waits(s, WaitAnswer)
		return
	case now < s.adviceRetryAt:
		e.waits(s, WaitRetry)
		return
	}
	demand := s.spec.Size
	if s.gang != nil {
		demand = demand.Scale(int64(len(s.tasks)))
	}
	jobTeam := s.occurrence.job.team
	if !withinLimit(jobTeam, e.reserved[jobTeam].Add(demand)) {
		e.waits(s, WaitTeamLimit)
		return
	}
	reserved := !s.spec.footprint().Fits(e.unreserved)
	if reserved && now < s.openSearchAt {
		e.waits(s, WaitReserved)
		return
	}
	queue := e.queue(s.occurrence.job)
	if !e.adviceInFlight.admits(queue.AdviceDecision+queue.AdvicePerWorker, e.advisors) {
		e.waits(s, WaitAdvisor)
		e.awaitingAdvisor = append(e.awaitingAdvisor, s)
		return
	}
	candidates, visits := e.adviceCandidates(s, reserved, now)
	e.waits(s, WaitCandidate)
	if reserved {
		e.waits(s, WaitReserved)
		if len(candidates) == 0 && visits >= costlyVisits {
			s.openSearchPause = min(max(minOpenSearchPause, 2*s.openSearchPause), maxOpenSearchPause)
			s.openSearchAt = now + s.openSearchPause
		} else {
			s.openSearchPause = 0
		}
	}
	batch := adviceBatch(queue, len(candidates))
	if e.adviceInFlight.crowded(e.advisors) {
		batch *= crowdedBatchFactor
	}
	for chunk := range slices.Chunk(candidates, batch) {
		o := s.occurrence
		request := AdviceRequest{
			Job: o.job.id, Occurrence: o.number, Step: s.index,
			ExpectedLatency: queue.AdviceDecision + time.Duration(len(chunk))*queue.AdvicePerWorker,
		}
		if !e.adviceInFlight.begin(request.ExpectedLatency, e.advisors) {
			if !s.awaitsAdvice(now) {
				e.waits(s, WaitAdvisor)
				e.awaitingAdvisor = append(e.awaitingAdvisor, s)
			}
			return
		}
		for _, c := range chunk {
			request.Workers = append(request.Workers, c.worker.info.ID)
			request.asked = append(request.asked, c.demand)
			c.worker.asked = c.worker.asked.Add(c.demand)
			e.reindexOpen(c.worker)
		}
		e.waits(s, WaitAnswer)
		s.adviceCalls++
		s.adviceOverdue = now + overdueFactor*request.ExpectedLatency + overdueMargin
		e.adviceRequests = append(e.adviceRequests, request)
	}
}

// awaitsAdvice reports whether an answer to an advice request of the step may still
// arrive in time.
func (s *step) awaitsAdvice(now time.Duration) bool {
	return s.adviceCalls > 0 && now < s.adviceOverdue
}

// adviceBatch returns the number of workers in each request if the queue's policy is
// asked about the given number of workers.
func adviceBatch(queue *Queue, workers int) int {
	batch := adviceBatchSize
	if queue.AdvicePerWorker > 0 {
		batch = int(adviceLatencyShare * float64(queue.AdviceDecision) / float64(queue.AdvicePerWorker))
	}
	batch = min(max(batch, minAdviceBatch), adviceBatchSize)
	requests := max(1, (workers+batch-1)/batch)
	return max(1, (workers+requests-1)/requests) // of equal size
}

// adviceCandidate is a worker to ask about and the capacity that the step is expected
// to use there.
type adviceCandidate struct {
	worker *worker
	demand model.Resources
}

// adviceCandidates returns the workers to ask about: those whose tickets have expired
// if they suffice, then the workers in the step's preferred rack, then those with the
// most open capacity. Workers that other requests in flight would fill come last, and
// not at all if the free capacity is reserved for more urgent steps. It also returns the
// number of workers that it has looked at.
func (e *Engine) adviceCandidates(s *step, reserved bool, now time.Duration) (list []adviceCandidate, visits int) {
	size := s.spec.footprint()
	queue := e.queue(s.occurrence.job)
	rate, known := e.approvalRates[queue.Name]
	if !known {
		rate = initialApprovalRate
	}
	expected := 0.0 // approved task slots
	seen := map[*worker]bool{}
	answered := now + queue.AdviceDecision + adviceBatchSize*queue.AdvicePerWorker
	candidate := func(w *worker) bool {
		return !seen[w] && size.Fits(w.free()) && e.eligible(s, w, now) && !e.allowed(s, w, answered) && e.belowWorkerLimit(s, w, 0)
	}
	add := func(w *worker, rate float64) {
		slots := s.adviceSlots(w, w.openCapacity())
		if slots == 0 || !candidate(w) {
			return
		}
		seen[w] = true
		expected += float64(slots) * rate
		list = append(list, adviceCandidate{w, scale(size, float64(slots)*rate)})
	}
	enough := func() bool {
		return len(list) >= maxAdviceWorkers || len(list) >= minAdviceWorkers && expected >= adviceSurplus*float64(s.pending)
	}
	for _, t := range s.tickets {
		if candidate(t.worker) {
			add(t.worker, 1) // approved before
		} else if size.Fits(t.worker.free()) && e.eligible(s, t.worker, now) && e.allowed(s, t.worker, now) {
			expected += float64(max(0, s.adviceSlots(t.worker, t.worker.free()))) // approved still
		}
	}
	if expected >= float64(s.pending) {
		return list, 0
	}
	maxVisits := maxAdviceVisits
	if reserved {
		maxVisits = maxOpenVisits
	}
	untried := func(w *worker) bool {
		visits++
		if !s.denied[w.info.ID] {
			add(w, rate)
		}
		return !enough() && visits < maxVisits
	}
	if s.spec.PreferRack != "" {
		for w := range e.byLabel[s.spec.PreferRack] {
			untried(w)
		}
	}
	if x := e.openIndexes[queue.Service]; x != nil && !enough() {
		x.descend(size.MilliCPU, untried)
	}
	if x := e.indexes[queue.Service]; x != nil && !reserved && len(list) < minAdviceWorkers {
		visits = 0
		x.descend(size.MilliCPU, func(w *worker) bool {
			visits++
			if !s.denied[w.info.ID] && candidate(w) {
				seen[w] = true
				list = append(list, adviceCandidate{worker: w})
			}
			return len(list) < minAdviceWorkers && visits < maxAdviceVisits
		})
	}
	return list, visits
}

// adviceSlots returns the number of the step's pending tasks that fit into the free
// capacity of the worker.
func (s *step) adviceSlots(w *worker, free model.Resources) int {
	if !s.spec.footprint().Fits(free) {
		return 0
	}
	slots := min(fitCount(s.spec.footprint(), free), s.pending)
	if s.spec.MaxPerWorker > 0 {
		slots = min(slots, s.spec.MaxPerWorker-s.placedOn[w])
	}
	return slots
}

// slowAdvice is the expected latency from which an advice request counts as slow.
const slowAdvice = 100 * time.Millisecond

// adviceInFlight counts the advice requests in flight.
type adviceInFlight struct {
	fast, slow int
}

// admits reports whether one more request may be in flight with the number of nodes
// that can call the placement policy. Slow requests may occupy at most two thirds of
// the nodes, so that they leave nodes free for fast ones, which are usually those of
// urgent queues.
func (a *adviceInFlight) admits(expected time.Duration, advisors int) bool {
	if expected >= slowAdvice {
		return a.slow < slowLimit(advisors)
	}
	return a.fast < 2*max(1, advisors)
}

// begin counts a request and reports true, or false if no more is admitted.
func (a *adviceInFlight) begin(expected time.Duration, advisors int) bool {
	if !a.admits(expected, advisors) {
		return false
	}
	if expected >= slowAdvice {
		a.slow++
	} else {
		a.fast++
	}
	return true
}

// slowLimit returns the number of slow requests that may be in flight.
func slowLimit(advisors int) int { return max(1, advisors*2/3) }

// crowded reports whether most of the nodes that slow requests may occupy are occupied.
func (a *adviceInFlight) crowded(advisors int) bool {
	return 2*a.slow > slowLimit(advisors)
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
	next := min(stepsPerAnswer, len(e.awaitingAdvisor))
	for _, s := range e.awaitingAdvisor[:next] {
		e.changed[s] = struct{}{}
	}
	e.awaitingAdvisor = e.awaitingAdvisor[next:]
	for i, id := range request.Workers {
		if w, ok := e.workers[id]; ok {
			w.asked = w.asked.Sub(request.asked[i]).Max(model.Resources{})
			e.reindexOpen(w)
		}
	}
	j, ok := e.jobs[request.Job]
	if !ok {
		return
	}
	o, ok := j.occurrences[request.Occurrence]
	if !ok {
		return
	}
	s := o.steps[request.Step]
	s.adviceCalls--
	e.changed[s] = struct{}{}
	s.blockedVersion = 0
	if err != nil {
		s.adviceRetryAt = now + adviceRetryDelay
		return
	}
	tickets := make(map[model.VMID]string, len(approved))
	for _, a := range approved {
		tickets[a.Worker] = a.Ticket
	}
	e.learnApprovalRate(e.queue(j).Name, float64(len(approved))/float64(max(1, len(request.Workers))))
	for _, id := range request.Workers {
		value, ok := tickets[id]
		w, known := e.workers[id]
		if !ok || !known {
			s.denied[id] = !ok
			delete(s.tickets, id)
			continue
		}
		s.tickets[id] = ticket{worker: w, value: value, incarnation: w.incarnation, expires: sentAt + validity}
	}
}

// learnApprovalRate updates the queue's approval rate with that of one answer.
func (e *Engine) learnApprovalRate(queue string, rate float64) {
	if known, ok := e.approvalRates[queue]; ok {
		rate = approvalMemory*known + (1-approvalMemory)*rate
	}
	e.approvalRates[queue] = rate
}

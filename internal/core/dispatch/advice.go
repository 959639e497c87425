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
	reserved := !s.spec.footprint().Fits(e.unreserved)
	if reason := e.adviceGate(s, reserved, now); reason != "" {
		e.waits(s, reason)
		return
	}
	queue := e.queue(s.occurrence.job)
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

// adviceGate returns what keeps the step from requesting advice now, "" for nothing.
// reserved tells that the free capacity is reserved for more urgent steps.
func (e *Engine) adviceGate(s *step, reserved bool, now time.Duration) WaitReason {
	switch {
	case !e.requiresAdvice(s):
		return WaitCapacity
	case s.awaitsAdvice(now):
		return WaitAnswer
	case now < s.adviceRetryAt:
		return WaitRetry
	}
	jobTeam := s.occurrence.job.team
	if !withinLimit(jobTeam, e.reserved[jobTeam].Add(s.demand())) {
		return WaitTeamLimit
	}
	if reserved && now < s.openSearchAt {
		return WaitReserved
	}
	queue := e.queue(s.occurrence.job)
	if !e.adviceInFlight.admits(queue.AdviceDecision+queue.AdvicePerWorker, e.advisors) {
		e.awaitingAdvisor = append(e.awaitingAdvisor, s)
		return WaitAdvisor
	}
	return ""
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
	queue := e.queue(s.occurrence.job)
	rate, known := e.approvalRates[queue.Name]
	if !known {
		rate = initialApprovalRate
	}
	c := candidateSearch{
		engine: e, step: s, now: now, seen: map[*worker]bool{},
		answered: now + queue.AdviceDecision + adviceBatchSize*queue.AdvicePerWorker,
	}
	c.addApproved()
	if c.expected >= float64(s.pending) {
		return c.list, 0
	}
	maxVisits := maxAdviceVisits
	if reserved {
		maxVisits = maxOpenVisits
	}
	passed := 0
	untried := func(w *worker) bool {
		if !c.askable(w) {
			return true
		}
		if passed < s.searchFrom {
			passed++
			return true
		}
		visits++
		c.add(w, rate)
		return !c.enough() && visits < maxVisits
	}
	if s.spec.PreferRack != "" {
		for w := range e.byLabel[s.spec.PreferRack] {
			untried(w)
		}
	}
	if x := e.openIndexes[queue.Service]; x != nil && !c.enough() {
		x.descend(s.spec.footprint().MilliCPU, untried)
	}
	if len(c.list) == 0 && visits == maxVisits {
		s.searchFrom += maxVisits
	} else {
		s.searchFrom = 0
	}
	if x := e.indexes[queue.Service]; x != nil && !reserved && len(c.list) < minAdviceWorkers {
		visits = c.addFilled(x)
	}
	return c.list, visits
}

// candidateSearch is one search for the workers to ask about.
type candidateSearch struct {
	engine   *Engine
	step     *step
	now      time.Duration
	answered time.Duration // expected time of the answers
	list     []adviceCandidate
	seen     map[*worker]bool // in the list
	expected float64          // approved task slots
}

// askable reports whether the placement policy may approve the worker. Others don't count
// as looked at: there can be any number of them before the first that may.
func (c *candidateSearch) askable(w *worker) bool {
	return !c.step.denied[w.info.ID] && c.engine.eligible(c.step, w, c.now)
}

// usable reports whether the step could run on the worker if it were approved, and will
// have no ticket for it when the answer arrives.
func (c *candidateSearch) usable(w *worker) bool {
	return !c.seen[w] && c.step.spec.footprint().Fits(w.free()) && c.engine.eligible(c.step, w, c.now) &&
		!c.engine.allowed(c.step, w, c.answered) && c.engine.belowWorkerLimit(c.step, w, 0)
}

// add adds the worker if it has open capacity. rate is the probability of its approval.
func (c *candidateSearch) add(w *worker, rate float64) {
	slots := c.step.adviceSlots(w, w.openCapacity())
	if slots == 0 || !c.usable(w) {
		return
	}
	c.seen[w] = true
	c.expected += float64(slots) * rate
	c.list = append(c.list, adviceCandidate{w, scale(c.step.spec.footprint(), float64(slots)*rate)})
}

// addApproved adds the workers whose tickets expire, and counts the slots of the others
// that have one.
func (c *candidateSearch) addApproved() {
	s := c.step
	for _, t := range s.tickets {
		if c.usable(t.worker) {
			c.add(t.worker, 1)
		} else if s.spec.footprint().Fits(t.worker.free()) && c.engine.eligible(s, t.worker, c.now) && c.engine.allowed(s, t.worker, c.now) &&
			!c.engine.reservedForOther(s, t.worker) {
			c.expected += float64(max(0, s.adviceSlots(t.worker, t.worker.free())))
		}
	}
}

// addFilled adds workers that other requests in flight would fill until there are
// minAdviceWorkers. It returns the number of workers that it has looked at.
func (c *candidateSearch) addFilled(x *workerIndex) (visits int) {
	x.descend(c.step.spec.footprint().MilliCPU, func(w *worker) bool {
		if !c.askable(w) {
			return true
		}
		visits++
		if c.usable(w) {
			c.seen[w] = true
			c.list = append(c.list, adviceCandidate{worker: w})
		}
		return len(c.list) < minAdviceWorkers && visits < maxAdviceVisits
	})
	return visits
}

// enough reports whether the workers in the list are expected to suffice.
func (c *candidateSearch) enough() bool {
	return len(c.list) >= maxAdviceWorkers ||
		len(c.list) >= minAdviceWorkers && c.expected >= adviceSurplus*float64(c.step.pending)
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

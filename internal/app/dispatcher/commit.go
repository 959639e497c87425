package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/logsink"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// commitLoop runs commit rounds until the session ends.
func (s *ownerSession) commitLoop(ctx context.Context) {
	s.awaitReports(ctx)
	s.wake() // for what arrived during the wait
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-tick.C:
		}
		if err := s.commitRound(ctx); err != nil {
			s.cancel(err)
			return
		}
		next := s.Clock.Now() + commitPause
		if sleep(ctx, commitPause) != nil {
			return
		}
		s.lag.observe(next, s.Clock.Now())
	}
}

// awaitReports waits for the first reports of half of the listed workers, for at most
// firstReportsWait. A round before them would store the waiting jobs without placing
// them, and their starts would take another append.
func (s *ownerSession) awaitReports(ctx context.Context) {
	deadline := time.NewTimer(firstReportsWait)
	defer deadline.Stop()
	for !s.halfReported() {
		select {
		case <-s.wakeup:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *ownerSession) halfReported() bool {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	return len(s.workers) > 0 && 2*int(s.firstReports.Load()) >= len(s.workers)
}

// commitRound schedules once, makes the decisions durable and sends the orders.
// An error ends the session.
func (s *ownerSession) commitRound(ctx context.Context) error {
	now := s.Clock.Now()
	current := s.listIsCurrent()
	s.logListAge(current)
	s.mu.Lock()
	writes := s.admitJobs(s.takePending())
	if current {
		s.engine.Schedule(now, s.Clock.Wall())
	}
	batch := s.engine.TakeBatch()
	stops := s.engine.TakeStopOrders()
	paces := s.engine.TakePaceOrders()
	requests := s.engine.TakeAdviceRequests()
	events := s.engine.TakeEvents()
	if now-s.lastPurgedRotation > s.EndRetention {
		s.lastPurgedRotation = now
		s.engine.RotatePurged()
	}
	staleSubmissions := s.staleSubmissions
	s.staleSubmissions = nil
	s.engine.SetAdvisorCount(s.advisorCount())
	s.mu.Unlock()
	resigning := s.owner.resigning.Load()

	s.logEvents(events)
	for _, stop := range stops {
		s.submit(func() { s.stop(ctx, stop) })
	}
	for _, pace := range paces {
		s.submit(func() { s.pace(ctx, pace) })
	}
	for _, request := range requests {
		go s.requestAdvice(ctx, request) // blocks on the placement policy; at most one per waiting step
	}
	decided, err := s.records(&batch, staleSubmissions, now, resigning)
	if err != nil {
		return err
	}
	s.lag.observe(now, s.Clock.Now())
	if err := s.appendParts(ctx, splitBatch(writes, decided, s.MaxAppendBytes)); err != nil {
		return err
	}
	s.execute(ctx, &batch)
	if resigning {
		return Error.New("the node is stopping")
	}
	return nil
}

// advisorCount returns the number of nodes that can call the placement policy.
func (s *ownerSession) advisorCount() int {
	if s.Advisors != nil {
		return s.Advisors()
	}
	return s.Replica.NodeCount()
}

// batchPart is the part of a batch that goes into one append.
type batchPart struct {
	records []port.KeyedRecord
	writes  []*write // whose records are in it
}

// splitBatch divides the callers' writes and the records decided in a round into parts of
// at most limit bytes, in this order: the submission of a job precedes its placements. A
// write or record that is larger by itself has a part of its own. A new owner may find the
// first parts without the rest, as no order has been sent before the last part is durable.
func splitBatch(writes []*write, decided []port.KeyedRecord, limit int) []batchPart {
	var parts []batchPart
	size := 0
	last := func(added int) *batchPart {
		if size += added; len(parts) == 0 || size > limit && len(parts[len(parts)-1].records) > 0 {
			parts, size = append(parts, batchPart{}), added
		}
		return &parts[len(parts)-1]
	}
	for _, w := range writes {
		added := 0
		for i := range w.records {
			added += w.records[i].Size()
		}
		part := last(added)
		part.records, part.writes = append(part.records, w.records...), append(part.writes, w)
	}
	for _, record := range decided {
		part := last(record.Size())
		part.records = append(part.records, record)
	}
	return parts
}

// appendParts makes the parts durable one after the other and answers their writes. After
// an error, which ends the session, the remaining writes get it too.
func (s *ownerSession) appendParts(ctx context.Context, parts []batchPart) error {
	var err error
	for i := range parts {
		if err == nil {
			_, err = s.append(ctx, parts[i].records)
		}
		for _, w := range parts[i].writes {
			w.done <- err
		}
	}
	return err
}

// logListAge logs when the worker list becomes too old for placements, and when it is
// current again.
func (s *ownerSession) logListAge(current bool) {
	if current == s.listWasCurrent {
		return
	}
	s.listWasCurrent = current
	if current {
		s.Logger.Info("worker list is current; placing tasks")
		return
	}
	s.Logger.WithField("age_ms", (s.Clock.Now() - s.Directory.LastRead()).Milliseconds()).Warn("worker list is too old; placing no tasks until it can be read again")
}

// admitJobs adds the jobs that the next append stores to the engine, so that the
// same append can hold their placements. This is safe because orders are sent
// only after the append, and the session ends if the append fails. It rejects
// the jobs that never fit and returns the other writes. The caller holds mu.
func (s *ownerSession) admitJobs(writes []*write) []*write {
	wall := s.Clock.Wall()
	return slices.DeleteFunc(writes, func(write *write) bool {
		for _, record := range write.records {
			id, submission, ok := replica.ParseSubmission(record)
			if !ok {
				continue
			}
			if _, known := s.Replica.State(id); known || s.engine.HasJob(id) {
				continue // resubmitted
			}
			spec := replica.Spec(submission)
			if reason := s.engine.NeverFits(spec); reason != "" {
				write.done <- port.NotStarted.Wrap(port.NeverFits.New("%s", reason))
				return true
			}
			s.addJob(id, spec, wall)
		}
		return false
	})
}

// records returns the records of a batch and the tombstones of stale submissions. When
// they are due, it adds the tombstones of old ends and the heartbeat; a resigning
// owner's heartbeat is always due.
func (s *ownerSession) records(batch *dispatch.Batch, stale []model.JobID, now time.Duration, resigning bool) ([]port.KeyedRecord, error) {
	records, err := replica.BatchRecords(batch, s.Clock.Wall())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, id := range stale {
		records = append(records, port.KeyedRecord{Key: replica.SubmissionKey(id)}, port.KeyedRecord{Key: replica.CancellationKey(id)})
	}
	if now-s.lastCleanup > cleanupInterval {
		s.lastCleanup = now
		s.updateGauges()
		records = append(records, replica.EndTombstones(s.Replica.EndedBefore(s.Clock.Wall().Add(-s.EndRetention)))...)
	}
	if now-s.lastHeartbeat > heartbeatInterval || resigning {
		s.lastHeartbeat = now
		heartbeat, err := replica.OwnerRecord(s.epoch, s.Node, resigning)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		records = append(records, heartbeat)
	}
	return records, nil
}

// execute applies the acknowledgements of a durable batch and sends its start
// orders.
func (s *ownerSession) execute(ctx context.Context, batch *dispatch.Batch) {
	if len(batch.Acks) > 0 {
		s.mu.Lock()
		for _, ack := range batch.Acks {
			s.engine.ApplyAck(ack)
		}
		s.mu.Unlock()
		s.notifyAcks(batch.Acks)
	}
	ordered := s.Clock.Now()
	for _, order := range batch.Starts {
		s.submit(func() {
			s.lag.observe(ordered, s.Clock.Now())
			s.start(ctx, order)
		})
	}
}

// submit calls send on a goroutine of the order pool, or on one of its own if the
// pool is full: orders to unresponsive workers hold their goroutines for seconds.
func (s *ownerSession) submit(send func()) {
	if err := s.Pool.Submit(send); err != nil {
		metrics.GetOrCreateCounter("balsam_orders_beyond_pool_total").Inc()
		s.Logger.WithError(err).Debug("order pool is full; sending the order on a goroutine of its own")
		go send()
	}
}

// notifyAcks wakes the poll loops of the workers whose ends have become durable.
func (s *ownerSession) notifyAcks(acks []dispatch.Ack) {
	for _, ack := range acks {
		if w := s.workerState(ack.Worker); w != nil {
			select {
			case w.acksDurable <- struct{}{}:
			default: // not taken yet
			}
		}
	}
}

// append writes records under the session's epoch and returns the offset of the
// first. It retries until the append succeeds, fails with Fenced or Conflict, or the
// context ends. The sequence number keeps a retried append from taking effect twice.
// A call without an answer is followed by one that may take longer. An error ends the
// session.
func (s *ownerSession) append(ctx context.Context, records []port.KeyedRecord) (uint64, error) {
	producer := port.Producer{Name: producerName, Epoch: s.epoch, Sequence: s.sequence}
	retried := false
	timeout := min(max(minAppendTimeout, appendTimeFactor*time.Duration(s.lastAppendTime.Load())), maxAppendTimeout)
	for {
		sent := s.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		offset, err := s.Log.Append(callCtx, replica.CellTopic, records, port.AppendOptions{Producer: &producer})
		cancel()
		if err == nil {
			s.sequence++
			s.lastAppendTime.Store(int64(s.Clock.Now() - sent))
			s.lastAppendSent.Store(int64(sent))
			s.owner.appendedAt.Store(int64(s.Clock.Now()))
			if retried {
				s.Logger.WithField("waited_ms", (s.Clock.Now() - sent).Milliseconds()).Info("cell log accepts appends again")
			}
			return offset, nil
		}
		if port.Fenced.Has(err) && !retried {
			return 0, port.NotStarted.Wrap(port.NoOwner.Wrap(err)) // no attempt had an effect
		}
		if port.Fenced.Has(err) || port.Conflict.Has(err) {
			return 0, err
		}
		if ctx.Err() != nil {
			return 0, context.Cause(ctx)
		}
		if !retried {
			retried = true
			s.appendFailing.Store(true)
			defer s.appendFailing.Store(false)
			s.Logger.WithError(err).WithFields(logrus.Fields{"records": len(records), "took_ms": (s.Clock.Now() - sent).Milliseconds(), "timeout_ms": timeout.Milliseconds()}).Warn("cell log append failed; retrying")
		}
		if s.Clock.Now()-sent >= timeout {
			timeout = min(2*timeout, maxAppendTimeout)
		}
		if err := sleep(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

// requestAdvice asks the placement policy which workers may run a step and passes
// the answer to the engine.
func (s *ownerSession) requestAdvice(ctx context.Context, request dispatch.AdviceRequest) {
	sent := s.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, 2*request.ExpectedLatency+2*time.Second)
	approved, validity, err := s.Advice.Advise(callCtx, request)
	cancel()
	if err != nil && ctx.Err() == nil {
		s.Logger.WithError(err).WithField("step", request.StepName()).Info("advice request failed; the step requests advice again later")
	}
	s.mu.Lock()
	s.engine.ApplyAdvice(request, approved, validity, sent, s.Clock.Now(), err)
	s.mu.Unlock()
	s.wake()
}

// logEvents counts each event and writes a log line about it, if the logger wants one.
func (s *ownerSession) logEvents(events []dispatch.Event) {
	for i := range events {
		event := &events[i]
		s.countEvent(event)
		if !logsink.Wanted(s.Logger, event.Kind) {
			continue
		}
		fields := logrus.Fields{"job": event.Job, "team": event.Team, "queue": event.Queue, "epoch": s.epoch}
		if event.Task != "" {
			fields["task"] = event.Task
			fields["run"] = event.Run
		}
		if event.Worker != "" {
			fields["worker"] = event.Worker
		}
		if event.Detail != "" {
			fields["detail"] = event.Detail
		}
		s.Logger.WithFields(fields).Info(event.Kind)
	}
}

// countEvent adds the event to the metrics. For a job's first start and for its
// completion it also records the time since the job's submission.
func (s *ownerSession) countEvent(event *dispatch.Event) {
	decisions.inc(event.Kind, event.Queue)
	var name string
	switch event.Kind {
	case dispatch.EventJobBegan:
		name = "balsam_job_first_start_seconds"
	case "job_" + string(dispatch.Completed):
		name = "balsam_job_completed_seconds"
	default:
		return
	}
	waited := s.Clock.Wall().Sub(event.Submitted)
	metrics.GetOrCreateHistogram(fmt.Sprintf("%s{team=%q,queue=%q}", name, event.Team, event.Queue)).Update(waited.Seconds())
}

var (
	decisions = counters{name: "balsam_decisions_total{kind=%q,queue=%q}"}
	orders    = counters{name: "balsam_worker_orders_total{order=%q,answer=%q}"}
)

// counters are the counters of a metric with two labels. It is safe for concurrent use.
type counters struct {
	name string // the format of a counter's name
	mu   sync.Mutex
	// byLabels holds the counters, so that counting formats no name.
	byLabels map[[2]string]*metrics.Counter
}

// inc adds one to the counter with the labels.
func (c *counters) inc(first, second string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	labels := [2]string{first, second}
	counter, ok := c.byLabels[labels]
	if !ok {
		if c.byLabels == nil {
			c.byLabels = map[[2]string]*metrics.Counter{}
		}
		counter = metrics.GetOrCreateCounter(fmt.Sprintf(c.name, first, second))
		c.byLabels[labels] = counter
	}
	counter.Inc()
}

// updateGauges sets the metrics of the jobs and tasks that the owner holds.
func (s *ownerSession) updateGauges() {
	s.mu.Lock()
	jobs, waiting, placed := s.engine.Counts()
	waits, putBack := s.engine.Waits(), s.engine.PutBack()
	s.mu.Unlock()
	s.reportLate()
	metrics.GetOrCreateCounter("balsam_owner_jobs").Set(uint64(jobs))
	metrics.GetOrCreateCounter("balsam_owner_tasks_waiting").Set(uint64(waiting))
	metrics.GetOrCreateCounter("balsam_owner_tasks_placed").Set(uint64(placed))
	metrics.GetOrCreateCounter("balsam_owner_steps_put_back").Set(uint64(putBack))
	for _, reason := range dispatch.WaitReasons {
		metrics.GetOrCreateCounter(fmt.Sprintf("balsam_owner_steps_waiting{for=%q}", reason)).Set(uint64(waits[reason]))
	}
}

// countOrder counts the answers to orders by kind of order.
func countOrder(order string, err error) {
	answer := "done"
	var rejected *port.RejectedError
	switch {
	case errors.As(err, &rejected):
		answer = string(rejected.Reason)
	case port.NotStarted.Has(err):
		answer = "unreachable"
	case port.NotConnected.Has(err):
		answer = "not_connected"
	case err != nil:
		answer = "unknown"
	}
	orders.inc(order, answer)
}

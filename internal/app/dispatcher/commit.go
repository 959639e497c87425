package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// commitLoop decides, makes the decisions durable and gives the orders, until
// the tenure ends.
func (t *tenure) commitLoop(ctx context.Context) {
	tick := time.NewTicker(idleTick)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.kick:
		case <-tick.C:
		}
		if err := t.round(ctx); err != nil {
			t.cancel(err)
			return
		}
		if sleep(ctx, commitGap) != nil {
			return
		}
	}
}

// round makes one round of decisions durable. An error ends the tenure.
func (t *tenure) round(ctx context.Context) error {
	now := t.Clock.Now()
	t.mu.Lock()
	wishes := t.admit(t.takeWishes())
	t.engine.Schedule(now, t.Clock.Wall())
	batch := t.engine.TakeBatch()
	stops := t.engine.TakeStopOrders()
	paces := t.engine.TakePaceOrders()
	queries := t.engine.TakeAdviceRequests()
	events := t.engine.TakeEvents()
	if now-t.agedAt > t.EndRetention {
		t.agedAt = now
		t.engine.RotatePurged()
	}
	stale := t.stale
	t.stale = nil
	t.engine.SetAdvisorCount(t.Replica.MemberCount())
	t.mu.Unlock()
	leaving := t.owner.leaving.Load()

	t.log(events)
	for _, stop := range stops {
		t.submit(func() { t.stop(ctx, stop) })
	}
	for _, pace := range paces {
		t.submit(func() { t.pace(ctx, pace) })
	}
	for _, query := range queries {
		go t.advise(ctx, query) // waits for the policy; their number is that of the waiting steps
	}
	decided, err := t.records(&batch, stale, now, leaving)
	if err != nil {
		return err
	}
	var records []port.KeyedRecord
	for _, wish := range wishes {
		records = append(records, wish.records...)
	}
	records = append(records, decided...) // a placement after the job that it is of
	if len(records) > 0 {
		_, err := t.append(ctx, records)
		for _, wish := range wishes {
			wish.done <- err
		}
		if err != nil {
			return err
		}
	}
	t.carryOut(ctx, &batch)
	if leaving {
		return Error.New("the node is leaving")
	}
	return nil
}

// admit hands the jobs that the next append stores to the engine, so that the
// same append can hold their placements. Nothing is ordered before it is
// durable, and without it the tenure ends. It refuses the jobs that can't ever
// run and returns the other wishes. The caller holds mu.
func (t *tenure) admit(wishes []*wish) []*wish {
	wall := t.Clock.Wall()
	return slices.DeleteFunc(wishes, func(wish *wish) bool {
		for _, record := range wish.records {
			id, submission, ok := replica.ParseSubmission(record)
			if !ok {
				continue
			}
			if _, known := t.Replica.State(id); known || t.engine.HasJob(id) {
				continue // it came again
			}
			spec := replica.Spec(submission)
			if reason := t.engine.NeverFits(spec); reason != "" {
				wish.done <- port.NotStarted.Wrap(port.NeverFits.New("%s", reason))
				return true
			}
			t.engine.AddJob(id, spec, wall)
		}
		return false
	})
}

func (t *tenure) records(batch *dispatch.Batch, stale []model.JobID, now time.Duration, leaving bool) ([]port.KeyedRecord, error) {
	records, err := replica.BatchRecords(batch, t.Clock.Wall())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, id := range stale {
		records = append(records, port.KeyedRecord{Key: replica.SubmissionKey(id)}, port.KeyedRecord{Key: replica.CancellationKey(id)})
	}
	if now-t.cleanedAt > cleanInterval {
		t.cleanedAt = now
		t.measure()
		records = append(records, replica.EndTombstones(t.Replica.EndedBefore(t.Clock.Wall().Add(-t.EndRetention)))...)
	}
	if now-t.signedAt > signInterval || leaving {
		t.signedAt = now
		sign, err := replica.OwnerRecord(t.epoch, t.Node, leaving)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		records = append(records, sign)
	}
	return records, nil
}

// carryOut gives the orders of a batch that is durable.
func (t *tenure) carryOut(ctx context.Context, batch *dispatch.Batch) {
	if len(batch.Acks) > 0 {
		t.mu.Lock()
		for _, ack := range batch.Acks {
			t.engine.ApplyAck(ack)
		}
		t.mu.Unlock()
		t.announceCommit()
	}
	for _, order := range batch.Starts {
		t.submit(func() { t.start(ctx, order) })
	}
}

func (t *tenure) submit(task func()) {
	if err := t.Pool.Submit(task); err != nil {
		t.Logger.WithError(err).Warn("worker pool is full, the order runs on a goroutine of its own")
		go task()
	}
}

func (t *tenure) announceCommit() {
	t.committedMu.Lock()
	defer t.committedMu.Unlock()
	close(t.committed)
	t.committed = make(chan struct{})
}

// nextCommit returns a channel that is closed at the next commit of ends.
func (t *tenure) nextCommit() <-chan struct{} {
	t.committedMu.Lock()
	defer t.committedMu.Unlock()
	return t.committed
}

// append writes under the tenure's epoch. It repeats an append of unknown
// outcome until the log answers: the sequence number keeps it from taking
// effect twice. An error ends the tenure.
func (t *tenure) append(ctx context.Context, records []port.KeyedRecord) (uint64, error) {
	producer := port.Producer{Name: producerName, Epoch: t.epoch, Sequence: t.sequence}
	lost := false
	for {
		sent := t.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, appendTime)
		offset, err := t.Log.Append(callCtx, replica.CellTopic, records, port.AppendOptions{Producer: &producer})
		cancel()
		if err == nil {
			t.sequence++
			t.lastAck.Store(int64(sent))
			if lost {
				t.Logger.WithField("waited_ms", (t.Clock.Now() - sent).Milliseconds()).Info("cell log takes appends again")
			}
			return offset, nil
		}
		if port.Fenced.Has(err) && !lost {
			return 0, port.NotStarted.Wrap(port.NoOwner.Wrap(err)) // no attempt was carried out
		}
		if port.Fenced.Has(err) || port.Conflict.Has(err) {
			return 0, err
		}
		if ctx.Err() != nil {
			return 0, context.Cause(ctx)
		}
		if !lost {
			lost = true
			t.stuck.Store(true)
			defer t.stuck.Store(false)
			t.Logger.WithError(err).Warn("cell log took no append, trying again")
		}
		if err := sleep(ctx, appendPause); err != nil {
			return 0, err
		}
	}
}

// advise asks the placement policy on behalf of a step.
func (t *tenure) advise(ctx context.Context, query dispatch.AdviceRequest) {
	asked := t.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, 2*query.ExpectedLatency+2*time.Second)
	approved, validity, err := t.Advice.Advise(callCtx, query)
	cancel()
	if err != nil && ctx.Err() == nil {
		t.Logger.WithError(err).WithField("step", query.StepName()).Info("placement policy did not answer")
	}
	t.mu.Lock()
	t.engine.ApplyAdvice(query, approved, validity, asked, t.Clock.Now(), err)
	t.mu.Unlock()
	t.wake()
}

// log writes one line for each decision.
func (t *tenure) log(events []dispatch.Event) {
	for _, event := range events {
		t.count(event)
		fields := logrus.Fields{"job": event.Job, "team": event.Team, "queue": event.Queue, "epoch": t.epoch}
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
		t.Logger.WithFields(fields).Info(event.Kind)
	}
}

// count notes an event in the metrics.
func (t *tenure) count(event dispatch.Event) {
	metrics.GetOrCreateCounter(fmt.Sprintf("balsam_decisions_total{kind=%q,queue=%q}", event.Kind, event.Queue)).Inc()
	var name string
	switch event.Kind {
	case dispatch.EventJobBegan:
		name = "balsam_job_first_start_seconds"
	case "job_" + string(dispatch.Completed):
		name = "balsam_job_completed_seconds"
	default:
		return
	}
	waited := t.Clock.Wall().Sub(event.Submitted)
	metrics.GetOrCreateHistogram(fmt.Sprintf("%s{team=%q,queue=%q}", name, event.Team, event.Queue)).Update(waited.Seconds())
}

// measure notes how much the owner holds.
func (t *tenure) measure() {
	t.mu.Lock()
	jobs, waiting, placed := t.engine.Counts()
	t.mu.Unlock()
	metrics.GetOrCreateCounter("balsam_owner_jobs").Set(uint64(jobs))
	metrics.GetOrCreateCounter("balsam_owner_tasks_waiting").Set(uint64(waiting))
	metrics.GetOrCreateCounter("balsam_owner_tasks_placed").Set(uint64(placed))
}

// countOrder notes how a worker answered an order.
func countOrder(order string, err error) {
	answer := "done"
	var rejected *port.RejectedError
	switch {
	case errors.As(err, &rejected):
		answer = string(rejected.Reason)
	case port.NotStarted.Has(err):
		answer = "unreachable"
	case err != nil:
		answer = "unknown"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("balsam_worker_orders_total{order=%q,answer=%q}", order, answer)).Inc()
}

package teamowner

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	core "github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// errJournalTimeout is the class of errors for records that were not read back from
// the journal in time.
var errJournalTimeout = errs.Class("journal timeout")

// maxSaveDelay is the longest delay before a failed append of ended tasks is
// retried.
const maxSaveDelay = time.Second

// submit accepts a job. It replies only once the job's record has been read back
// from the journal. The job takes effect on each member when the member reads that
// record.
func (o *Owner) submit(ctx context.Context, message *peerpb.Job) *peerpb.SubmitJobReply {
	job := convert.Job(message)
	if reply := o.checkJob(job); reply != nil {
		return reply
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return refuseJob(peerpb.Refusal_INVALID, "the job cannot be encoded")
	}
	event, err := o.appendAndRead(ctx, &logpb.JournalRecord{
		Id: ulid.Make().String(),
		Body: &logpb.JournalRecord_JobAccepted{JobAccepted: &logpb.JobAccepted{
			Job:       data,
			TeamEpoch: uint64(o.epoch),
		}},
	})
	if port.NotStarted.Has(err) {
		return refuseJob(peerpb.Refusal_UNAVAILABLE, "the log is down")
	}
	if err != nil {
		return &peerpb.SubmitJobReply{
			JobId:   string(job.ID),
			Unknown: true,
			Refusal: convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, "the log did not confirm the job"),
		}
	}
	return &peerpb.SubmitJobReply{JobId: string(event.Job.Job.ID)}
}

func refuseJob(reason peerpb.Refusal_Reason, detail string) *peerpb.SubmitJobReply {
	return &peerpb.SubmitJobReply{Refusal: convert.NewRefusal(reason, detail)}
}

// checkJob returns the reply for a job that was accepted before or must be
// refused, and nil for others.
func (o *Owner) checkJob(job model.Job) *peerpb.SubmitJobReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id, ok := o.state.JobByKey(job.IdempotencyKey); ok {
		return &peerpb.SubmitJobReply{JobId: string(id)}
	}
	template := o.state.Template()
	if !template.Allows(job.Kind) {
		return refuseJob(peerpb.Refusal_INVALID, fmt.Sprintf("the workspace template does not allow work of kind %q", job.Kind))
	}
	if o.state.Waiting()+job.Tasks > template.MaxQueued && template.MaxQueued > 0 {
		return refuseJob(peerpb.Refusal_QUEUE_FULL, "the team's queue is full")
	}
	need := job.Size
	if job.Kind == model.WorkGang {
		need = need.Scale(int64(job.Tasks))
	}
	if !need.Fits(template.UpperLimit) {
		return refuseJob(peerpb.Refusal_NEVER_FITS, "the job is larger than the team's upper limit")
	}
	if !o.view.canEverFit(job) {
		return refuseJob(peerpb.Refusal_NEVER_FITS, "no worker in the allowed failure domains is large enough for a task")
	}
	return nil
}

// cancelJob records the cancellation in the journal and returns the status of the
// job.
func (o *Owner) cancelJob(ctx context.Context, call *peerpb.CancelJob) *peerpb.Response {
	id := model.JobID(call.GetJobId())
	o.mu.Lock()
	view, ok := o.state.Job(id)
	o.mu.Unlock()
	if ok && (view.State == "waiting" || view.State == "running") {
		_, err := o.appendAndRead(ctx, &logpb.JournalRecord{
			Id: ulid.Make().String(),
			Body: &logpb.JournalRecord_JobCancelled{JobCancelled: &logpb.JobCancelled{
				JobId: string(id),
				Team:  string(o.team),
			}},
		})
		if err != nil {
			refusal := convert.NewRefusalWithRetry(peerpb.Refusal_UNAVAILABLE, "the log did not confirm the cancellation", time.Second)
			return &peerpb.Response{Body: &peerpb.Response_JobStatus{JobStatus: &peerpb.JobStatus{Refusal: refusal}}}
		}
	}
	return o.getJob(&peerpb.GetJob{Team: call.GetTeam(), JobId: call.GetJobId()})
}

// appendAndRead appends a record to the journal and waits until it is read back,
// which also confirms an append whose answer was lost. A NotStarted error means
// that the record is not in the journal; after other errors it may be.
func (o *Owner) appendAndRead(ctx context.Context, record *logpb.JournalRecord) (core.Event, error) {
	events := make(chan core.Event, 1)
	o.mu.Lock()
	o.readBack[record.GetId()] = events
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.readBack, record.GetId())
		o.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, journalReadTimeout)
	defer cancel()
	if err := o.journal.Append(ctx, record); port.NotStarted.Has(err) {
		return core.Event{}, err
	}
	select {
	case event := <-events:
		return event, nil
	case <-ctx.Done():
		return core.Event{}, errJournalTimeout.Wrap(ctx.Err())
	}
}

// stopTasks sends the racks orders to stop the tasks with these permits. The
// caller holds o.mu.
func (o *Owner) stopTasks(permits []string) {
	byPartition := map[model.PartitionID][]string{}
	for _, id := range permits {
		if entry, ok := o.state.Ledger().Lookup(id); ok {
			partition := entry.Permit.Partition
			byPartition[partition] = append(byPartition[partition], id)
		}
	}
	for partition, ids := range byPartition {
		o.sendStop(partition, ids)
	}
}

func (o *Owner) sendStop(partition model.PartitionID, ids []string) {
	address, _, ok := o.env.Owner(partition)
	if !ok {
		return
	}
	err := o.call(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := o.env.Peer().Call(ctx, address, &peerpb.Request{
			Body: &peerpb.Request_StopTasks{StopTasks: &peerpb.StopTasks{
				Partition: string(partition),
				PermitIds: ids,
			}},
		})
		if err != nil {
			o.logger.WithError(err).WithField("partition", partition).Warn("stopping tasks failed; not retrying, they may run to their end")
		}
	})
	if err != nil {
		o.logger.WithError(err).Warn("submitting a stop call to the pool failed; not retrying, the tasks may run to their end")
	}
}

// saveLoop appends unsaved records to the journal, periodically and on demand,
// and retries failed appends with exponential backoff.
func (o *Owner) saveLoop(ctx context.Context) {
	delay := saveInterval
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-o.saveTrigger:
			timer.Stop()
		}
		if o.save(ctx) {
			delay = saveInterval
			continue
		}
		delay = min(2*delay, maxSaveDelay)
	}
}

// save appends the unsaved records to the journal and reports whether it
// succeeded. It then unblocks the waiters of this and earlier appends.
func (o *Owner) save(ctx context.Context) bool {
	o.mu.Lock()
	o.unsaved = append(o.unsaved, o.state.TakeRecords()...)
	records := o.unsaved
	o.saveWaiters = append(o.saveWaiters, o.saved)
	o.saved = make(chan struct{})
	o.mu.Unlock()
	if len(records) > 0 && o.journal.Append(ctx, records...) != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsaved = nil
	for _, waiter := range o.saveWaiters {
		close(waiter)
	}
	o.saveWaiters = nil
	return true
}

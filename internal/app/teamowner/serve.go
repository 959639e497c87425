package teamowner

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// saveTimeout limits the wait for the journal before a rack must report ends
	// again.
	saveTimeout = 1500 * time.Millisecond
	// journalReadTimeout limits the wait for a job or cancellation to be read back
	// from the journal.
	journalReadTimeout = 5 * time.Second
)

// retryAfterTakeover is the delay after which a caller that reached a draining or
// replaced owner should retry.
const retryAfterTakeover = 50 * time.Millisecond

// Serve handles a peer's call for the team. It waits until the owner has restored
// its state. Releases, ends of quick requests and job queries are also handled
// while the owner drains.
func (o *Owner) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	select {
	case <-o.ready:
	case <-ctx.Done():
		return host.Refusal(request, convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, "the team's owner is starting"))
	}
	switch body := request.GetBody().(type) {
	case *peerpb.Request_ReleasePermits:
		return o.release(ctx, body.ReleasePermits)
	case *peerpb.Request_FinishQuick:
		return o.finish(body.FinishQuick)
	case *peerpb.Request_GetJob:
		return o.getJob(body.GetJob)
	}
	refusal := convert.NewRefusalWithRetry(peerpb.Refusal_NOT_OWNER, "the team changes its owner", retryAfterTakeover)
	if !o.inFlight.Begin() {
		return host.Refusal(request, refusal)
	}
	defer o.inFlight.End()
	if !o.mayAct() {
		return host.Refusal(request, refusal)
	}
	switch body := request.GetBody().(type) {
	case *peerpb.Request_AdmitQuick:
		return &peerpb.Response{Body: &peerpb.Response_AdmitQuick{AdmitQuick: o.admit(ctx, body.AdmitQuick)}}
	case *peerpb.Request_SubmitJob:
		return &peerpb.Response{Body: &peerpb.Response_SubmitJob{SubmitJob: o.submit(ctx, body.SubmitJob.GetJob())}}
	case *peerpb.Request_CancelJob:
		return o.cancelJob(ctx, body.CancelJob)
	default:
		return host.Refusal(request, convert.NewRefusal(peerpb.Refusal_INVALID, "not a call for a team"))
	}
}

// finish records the outcome of a quick request.
func (o *Owner) finish(call *peerpb.FinishQuick) *peerpb.Response {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordOutcome(
		call.GetIdempotencyKey(),
		model.RequestID(call.GetRequestId()),
		model.Outcome(call.GetOutcome()),
		convert.Answer(call.GetAnswer()),
		o.env.Clock().Now(),
	)
	return host.Ack(nil)
}

// release releases permits and applies ends of tasks. It acknowledges the ends
// only once they are in the journal, so that the rack keeps them until then.
func (o *Owner) release(ctx context.Context, call *peerpb.ReleasePermits) *peerpb.Response {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	saved := o.applyRelease(call)
	o.signal(o.wake)
	if len(call.GetTasks()) == 0 {
		return host.Ack(nil)
	}
	o.signal(o.saveTrigger)
	select {
	case <-saved:
		return host.Ack(nil)
	case <-ctx.Done():
		return host.Ack(convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, "the journal has not been written"))
	}
}

// applyRelease applies the call and returns a channel that is closed once its ends
// of tasks are in the journal.
func (o *Owner) applyRelease(call *peerpb.ReleasePermits) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range call.GetQuick() {
		o.state.Ledger().Release(id)
	}
	for _, end := range call.GetTasks() {
		o.recordFreedCapacity(end.GetPermitId())
		o.state.ApplyEnd(taskEnd(end))
	}
	o.waiters.wake(len(call.GetQuick()))
	return o.saved
}

// recordFreedCapacity adds the capacity of an ended task to the view, so that the
// next task can use it before the rack's next summary reports it. The caller
// holds o.mu.
func (o *Owner) recordFreedCapacity(permitID string) {
	entry, ok := o.state.Ledger().Lookup(permitID)
	if !ok {
		return
	}
	o.view.picker.Release(entry.Permit.Partition, entry.Permit.Size)
	o.state.RecordFreedCapacity(o.env.Clock().Now())
}

func taskEnd(end *peerpb.TaskEnd) team.AttemptEnd {
	state := port.TaskState(end.GetState())
	return team.AttemptEnd{
		Permit:  end.GetPermitId(),
		Task:    model.TaskID(end.GetTaskId()),
		Attempt: int(end.GetAttempt()),
		VM:      model.VMID(end.GetVm()),
		Done:    state == port.TaskDone,
		Lost:    state == port.TaskCheckpointed || state == port.TaskExpired,
		Detail:  end.GetDetail(),
	}
}

// getJob returns the status of a job.
func (o *Owner) getJob(call *peerpb.GetJob) *peerpb.Response {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobStatus(model.JobID(call.GetJobId()))
}

// jobStatus returns the status of a job. The caller holds o.mu.
func (o *Owner) jobStatus(id model.JobID) *peerpb.Response {
	view, ok := o.state.Job(id)
	status := &peerpb.JobStatus{}
	if ok {
		status.Job = convert.JobPB(view.Job)
		status.State = view.State
		status.Detail = view.Detail
		status.Waiting = int32(view.Waiting)
		status.Running = int32(view.Running)
		status.Done = int32(view.Done)
		status.Failed = int32(view.Failed)
	} else {
		status.Refusal = convert.NewRefusal(peerpb.Refusal_NOT_FOUND, "no such job, or it ended long ago")
	}
	return &peerpb.Response{Body: &peerpb.Response_JobStatus{JobStatus: status}}
}

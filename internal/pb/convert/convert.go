// Package convert translates between the core's nouns and the messages between
// processes.
package convert

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// Resources returns the core's form of r; nil is zero.
func Resources(r *peerpb.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}

// ResourcesPB returns the message form of r.
func ResourcesPB(r model.Resources) *peerpb.Resources {
	return &peerpb.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}

// ResourcesList returns the core's form of a list of amounts.
func ResourcesList(list []*peerpb.Resources) []model.Resources {
	amounts := make([]model.Resources, 0, len(list))
	for _, r := range list {
		amounts = append(amounts, Resources(r))
	}
	return amounts
}

// ResourcesListPB returns the message form of a list of amounts.
func ResourcesListPB(list []model.Resources) []*peerpb.Resources {
	amounts := make([]*peerpb.Resources, 0, len(list))
	for _, r := range list {
		amounts = append(amounts, ResourcesPB(r))
	}
	return amounts
}

// Permit returns the core's form of p.
func Permit(p *peerpb.Permit) model.Permit {
	return model.Permit{
		ID:             p.GetId(),
		Team:           model.TeamID(p.GetTeam()),
		TeamEpoch:      model.Epoch(p.GetTeamEpoch()),
		Partition:      model.PartitionID(p.GetPartition()),
		PartitionEpoch: model.Epoch(p.GetPartitionEpoch()),
		Sequence:       p.GetSequence(),
		Size:           Resources(p.GetSize()),
		Ratio:          p.GetRatio(),
	}
}

// PermitPB returns the message form of p.
func PermitPB(p model.Permit) *peerpb.Permit {
	return &peerpb.Permit{
		Id:             p.ID,
		Team:           string(p.Team),
		TeamEpoch:      uint64(p.TeamEpoch),
		Partition:      string(p.Partition),
		PartitionEpoch: uint64(p.PartitionEpoch),
		Sequence:       p.Sequence,
		Size:           ResourcesPB(p.Size),
		Ratio:          p.Ratio,
	}
}

// Job returns the core's form of j.
func Job(j *peerpb.Job) model.Job {
	job := model.Job{
		ID:             model.JobID(j.GetId()),
		Team:           model.TeamID(j.GetTeam()),
		Kind:           model.WorkKind(j.GetKind()),
		Tasks:          int(j.GetTasks()),
		Size:           Resources(j.GetSize()),
		ExpectedRun:    time.Duration(j.GetExpectedRunMs()) * time.Millisecond,
		FailureDomains: Domains(j.GetFailureDomains()),
		Template:       j.GetTemplate(),
		NonIdempotent:  j.GetNonIdempotent(),
		Urgent:         j.GetUrgent(),
		IdempotencyKey: j.GetIdempotencyKey(),
		Payload:        j.GetPayload(),
	}
	if ms := j.GetStartByUnixMs(); ms > 0 {
		job.StartBy = time.UnixMilli(ms)
	}
	return job
}

// JobPB returns the message form of j.
func JobPB(j model.Job) *peerpb.Job {
	job := &peerpb.Job{
		Id:             string(j.ID),
		Team:           string(j.Team),
		Kind:           string(j.Kind),
		Tasks:          int32(j.Tasks),
		Size:           ResourcesPB(j.Size),
		ExpectedRunMs:  j.ExpectedRun.Milliseconds(),
		FailureDomains: DomainsPB(j.FailureDomains),
		Template:       j.Template,
		NonIdempotent:  j.NonIdempotent,
		Urgent:         j.Urgent,
		IdempotencyKey: j.IdempotencyKey,
		Payload:        j.Payload,
	}
	if !j.StartBy.IsZero() {
		job.StartByUnixMs = j.StartBy.UnixMilli()
	}
	return job
}

// Domains returns the core's form of failure domain names.
func Domains(names []string) []model.FailureDomain {
	domains := make([]model.FailureDomain, 0, len(names))
	for _, name := range names {
		domains = append(domains, model.FailureDomain(name))
	}
	return domains
}

// DomainsPB returns the message form of failure domains.
func DomainsPB(domains []model.FailureDomain) []string {
	names := make([]string, 0, len(domains))
	for _, domain := range domains {
		names = append(names, string(domain))
	}
	return names
}

// Answer returns the core's form of a; nil is the empty answer.
func Answer(a *peerpb.Answer) model.Answer {
	return model.Answer{
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
	}
}

// AnswerPB returns the message form of a.
func AnswerPB(a model.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Status:      int32(a.Status),
		ContentType: a.ContentType,
		Body:        a.Body,
	}
}

// Refuse returns a refusal with a reason and detail.
func NewRefusal(reason peerpb.Refusal_Reason, detail string) *peerpb.Refusal {
	return &peerpb.Refusal{Reason: reason, Detail: detail}
}

// RefuseAfter returns a refusal that names when a retry may succeed.
func NewRefusalWithRetry(reason peerpb.Refusal_Reason, detail string, retryAfter time.Duration) *peerpb.Refusal {
	return &peerpb.Refusal{
		Reason:       reason,
		Detail:       detail,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// Package convert converts between the types of the core model and the protobuf
// messages between processes. Functions named XPB return messages, the others
// return model types.
package convert

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// Resources converts r to the model type; nil becomes the zero value.
func Resources(r *peerpb.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}

// ResourcesPB converts r to a message.
func ResourcesPB(r model.Resources) *peerpb.Resources {
	return &peerpb.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}

// ResourcesList converts each element of list to the model type.
func ResourcesList(list []*peerpb.Resources) []model.Resources {
	amounts := make([]model.Resources, 0, len(list))
	for _, r := range list {
		amounts = append(amounts, Resources(r))
	}
	return amounts
}

// ResourcesListPB converts each element of list to a message.
func ResourcesListPB(list []model.Resources) []*peerpb.Resources {
	amounts := make([]*peerpb.Resources, 0, len(list))
	for _, r := range list {
		amounts = append(amounts, ResourcesPB(r))
	}
	return amounts
}

// Permit converts p to the model type.
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

// PermitPB converts p to a message.
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

// Job converts j to the model type.
func Job(j *peerpb.Job) model.Job {
	job := model.Job{
		ID:              model.JobID(j.GetId()),
		Team:            model.TeamID(j.GetTeam()),
		Kind:            model.WorkKind(j.GetKind()),
		Tasks:           int(j.GetTasks()),
		Size:            Resources(j.GetSize()),
		DeclaredRunTime: time.Duration(j.GetExpectedRunMs()) * time.Millisecond,
		FailureDomains:  Domains(j.GetFailureDomains()),
		Template:        j.GetTemplate(),
		NonIdempotent:   j.GetNonIdempotent(),
		Urgent:          j.GetUrgent(),
		IdempotencyKey:  j.GetIdempotencyKey(),
		Payload:         j.GetPayload(),
	}
	if ms := j.GetStartByUnixMs(); ms > 0 {
		job.StartBy = time.UnixMilli(ms)
	}
	return job
}

// JobPB converts j to a message.
func JobPB(j model.Job) *peerpb.Job {
	job := &peerpb.Job{
		Id:             string(j.ID),
		Team:           string(j.Team),
		Kind:           string(j.Kind),
		Tasks:          int32(j.Tasks),
		Size:           ResourcesPB(j.Size),
		ExpectedRunMs:  j.DeclaredRunTime.Milliseconds(),
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

// Domains converts failure domain names to the model type.
func Domains(names []string) []model.FailureDomain {
	domains := make([]model.FailureDomain, 0, len(names))
	for _, name := range names {
		domains = append(domains, model.FailureDomain(name))
	}
	return domains
}

// DomainsPB converts failure domains to their names in messages.
func DomainsPB(domains []model.FailureDomain) []string {
	names := make([]string, 0, len(domains))
	for _, domain := range domains {
		names = append(names, string(domain))
	}
	return names
}

// Answer converts a to the model type; nil becomes the zero value.
func Answer(a *peerpb.Answer) model.Answer {
	return model.Answer{
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
	}
}

// AnswerPB converts a to a message.
func AnswerPB(a model.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Status:      int32(a.Status),
		ContentType: a.ContentType,
		Body:        a.Body,
	}
}

// NewRefusal returns a refusal with a reason and detail.
func NewRefusal(reason peerpb.Refusal_Reason, detail string) *peerpb.Refusal {
	return &peerpb.Refusal{Reason: reason, Detail: detail}
}

// NewRefusalWithRetry returns a refusal with the delay, rounded down to
// milliseconds, after which a retry may succeed.
func NewRefusalWithRetry(reason peerpb.Refusal_Reason, detail string, retryAfter time.Duration) *peerpb.Refusal {
	return &peerpb.Refusal{
		Reason:       reason,
		Detail:       detail,
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

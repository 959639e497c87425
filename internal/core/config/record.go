package config

import (
	"crypto/sha256"
	"math"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Invalid is the class of errors about records that are invalid in any state.
var Invalid = errs.Class("invalid configuration record")

// Change is a proposed change of the configuration that is not on the log yet.
type Change struct {
	record *logpb.ConfigRecord
}

// PublishTemplate returns the change that adds or replaces a workspace template.
func PublishTemplate(t model.WorkspaceTemplate) Change {
	return Change{&logpb.ConfigRecord{Body: &logpb.ConfigRecord_PublishTemplate{
		PublishTemplate: &logpb.PublishTemplate{Template: templateToProto(t)},
	}}}
}

// RemoveTemplate returns the change that removes a team's template and withdraws
// all keys of the team.
func RemoveTemplate(team model.TeamID) Change {
	return Change{&logpb.ConfigRecord{Body: &logpb.ConfigRecord_RemoveTemplate{
		RemoveTemplate: &logpb.RemoveTemplate{Team: string(team)},
	}}}
}

// IssueKey returns the change that adds a key of a team by its hash.
func IssueKey(team model.TeamID, id KeyID, hash []byte) Change {
	return Change{&logpb.ConfigRecord{Body: &logpb.ConfigRecord_IssueKey{
		IssueKey: &logpb.IssueKey{Team: string(team), KeyId: string(id), Hash: hash},
	}}}
}

// WithdrawKey returns the change that withdraws a key.
func WithdrawKey(id KeyID) Change {
	return Change{&logpb.ConfigRecord{Body: &logpb.ConfigRecord_WithdrawKey{
		WithdrawKey: &logpb.WithdrawKey{KeyId: string(id)},
	}}}
}

// DomainOut returns the change that takes a failure domain out of service.
func DomainOut(domain model.FailureDomain) Change {
	return Change{&logpb.ConfigRecord{Body: &logpb.ConfigRecord_DomainOut{
		DomainOut: &logpb.DomainOut{FailureDomain: string(domain)},
	}}}
}

// DomainBack returns the change that returns a failure domain to service.
func DomainBack(domain model.FailureDomain) Change {
	return Change{&logpb.ConfigRecord{Body: &logpb.ConfigRecord_DomainBack{
		DomainBack: &logpb.DomainBack{FailureDomain: string(domain)},
	}}}
}

// Object returns the id of the object that is changed.
func (c Change) Object() ObjectID { return objectOf(c.record) }

// Encode returns the encoded record of the change, or an Invalid error. The id
// must be unique; replaces is the base revision, the newest one that the author
// has read.
func (c Change) Encode(id string, replaces uint64) ([]byte, error) {
	if err := validate(c.record); err != nil {
		return nil, err
	}
	record := proto.CloneOf(c.record)
	record.Version = Version
	record.Id = id
	record.Replaces = replaces
	data, err := proto.Marshal(record)
	return data, Invalid.Wrap(err)
}

func objectOf(record *logpb.ConfigRecord) ObjectID {
	switch body := record.GetBody().(type) {
	case *logpb.ConfigRecord_PublishTemplate:
		return TemplateObject(model.TeamID(body.PublishTemplate.GetTemplate().GetTeam()))
	case *logpb.ConfigRecord_RemoveTemplate:
		return TemplateObject(model.TeamID(body.RemoveTemplate.GetTeam()))
	case *logpb.ConfigRecord_IssueKey:
		return KeyObject(KeyID(body.IssueKey.GetKeyId()))
	case *logpb.ConfigRecord_WithdrawKey:
		return KeyObject(KeyID(body.WithdrawKey.GetKeyId()))
	case *logpb.ConfigRecord_DomainOut:
		return DomainObject(model.FailureDomain(body.DomainOut.GetFailureDomain()))
	case *logpb.ConfigRecord_DomainBack:
		return DomainObject(model.FailureDomain(body.DomainBack.GetFailureDomain()))
	default:
		return ""
	}
}

// validate rejects records that are invalid in every state of the configuration.
func validate(record *logpb.ConfigRecord) error {
	if !objectOf(record).valid() {
		return Invalid.New("the record names no object, or the name is too long")
	}
	switch body := record.GetBody().(type) {
	case *logpb.ConfigRecord_PublishTemplate:
		return validateTemplate(body.PublishTemplate.GetTemplate())
	case *logpb.ConfigRecord_IssueKey:
		if len(body.IssueKey.GetHash()) != sha256.Size {
			return Invalid.New("the key's hash is not %d bytes long", sha256.Size)
		}
	}
	return nil
}

func validateTemplate(t *logpb.WorkspaceTemplate) error {
	if !(t.GetShare() > 0) || math.IsInf(t.GetShare(), 0) {
		return Invalid.New("the share is not a finite number above 0")
	}
	for _, n := range []int64{t.GetMilliCpu(), t.GetMemoryMib(), t.GetAccelerators(), t.GetSlots(), t.GetMaxQueued()} {
		if n < 0 {
			return Invalid.New("an amount is negative")
		}
	}
	return nil
}

func templateToProto(t model.WorkspaceTemplate) *logpb.WorkspaceTemplate {
	out := &logpb.WorkspaceTemplate{
		Team:         string(t.Team),
		Share:        t.ShareWeight,
		MilliCpu:     t.UpperLimit.MilliCPU,
		MemoryMib:    t.UpperLimit.MemoryMiB,
		Accelerators: t.UpperLimit.Accelerators,
		Slots:        t.UpperLimit.Slots,
		Open:         t.Open,
		Urgent:       t.Urgent,
		MaxQueued:    int64(t.MaxQueued),
	}
	for _, kind := range t.Kinds {
		out.Kinds = append(out.Kinds, string(kind))
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, string(s))
	}
	return out
}

func templateFromProto(t *logpb.WorkspaceTemplate) model.WorkspaceTemplate {
	out := model.WorkspaceTemplate{
		Team:        model.TeamID(t.GetTeam()),
		ShareWeight: t.GetShare(),
		UpperLimit: model.Resources{
			MilliCPU:     t.GetMilliCpu(),
			MemoryMiB:    t.GetMemoryMib(),
			Accelerators: t.GetAccelerators(),
			Slots:        t.GetSlots(),
		},
		Open:      t.GetOpen(),
		Urgent:    t.GetUrgent(),
		MaxQueued: int(t.GetMaxQueued()),
	}
	for _, kind := range t.GetKinds() {
		out.Kinds = append(out.Kinds, model.WorkKind(kind))
	}
	for _, s := range t.GetServices() {
		out.Services = append(out.Services, model.ServiceID(s))
	}
	return out
}

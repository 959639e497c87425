package config

import (
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// maxPartBytes is the size at which a part of a checkpoint is full; a part
// exceeds it by at most one object.
const maxPartBytes = 32 << 10

// Checkpoint returns the records of a checkpoint of the current state. The set
// identifies the checkpoint and must be a new ULID. The records' field through is
// the revision of the state. Checkpoint fails if the fold has skipped records of a
// newer version, since their changes would be missing from the checkpoint.
func (f *Fold) Checkpoint(set string) ([][]byte, error) {
	if f.counts[Newer] > 0 {
		return nil, Invalid.New("the state lacks %d records of a newer version", f.counts[Newer])
	}
	parts := splitObjects(f.objects())
	records := make([][]byte, 0, len(parts))
	for i, objects := range parts {
		data, err := proto.Marshal(&logpb.ConfigRecord{
			Version: Version,
			Id:      set,
			Body: &logpb.ConfigRecord_Checkpoint{Checkpoint: &logpb.ConfigCheckpoint{
				Set:     set,
				Through: f.Revision(),
				Part:    int32(i),
				Parts:   int32(len(parts)),
				Objects: objects,
			}},
		})
		if err != nil {
			return nil, Invalid.Wrap(err)
		}
		records = append(records, data)
	}
	return records, nil
}

// Marshal encodes the complete state as one message, for a peer that lacks the
// records it was built from. An error is of class Invalid.
func (f *Fold) Marshal() ([]byte, error) {
	data, err := proto.Marshal(&logpb.ConfigCheckpoint{
		Through: f.Revision(),
		Parts:   1,
		Objects: f.objects(),
	})
	return data, Invalid.Wrap(err)
}

// Unmarshal decodes a state that Marshal encoded. It returns an error of class
// Invalid if the data cannot be decoded.
func Unmarshal(data []byte) (*Fold, error) {
	var c logpb.ConfigCheckpoint
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, Invalid.Wrap(err)
	}
	return restore([]*logpb.ConfigCheckpoint{&c}), nil
}

// objects returns the objects of the state, followed by the remembered removals
// in order of revision.
func (f *Fold) objects() []*logpb.ConfigObject {
	var out []*logpb.ConfigObject
	for _, t := range f.current.Templates() {
		out = append(out, &logpb.ConfigObject{
			Revision: t.Revision,
			State:    &logpb.ConfigObject_Template{Template: templateToProto(t.WorkspaceTemplate)},
		})
	}
	for _, k := range f.current.Keys() {
		key := &logpb.IssueKey{Team: string(k.Team), KeyId: string(k.ID), Hash: k.hash}
		out = append(out, &logpb.ConfigObject{Revision: k.Revision, State: &logpb.ConfigObject_Key{Key: key}})
	}
	for _, d := range f.current.DomainsOut() {
		state := &logpb.ConfigObject_DomainOut{DomainOut: string(d.FailureDomain)}
		out = append(out, &logpb.ConfigObject{Revision: d.Revision, State: state})
	}
	for _, r := range f.removals {
		if f.removed[r.object] == r.revision {
			state := &logpb.ConfigObject_Removed{Removed: string(r.object)}
			out = append(out, &logpb.ConfigObject{Revision: r.revision, State: state})
		}
	}
	return out
}

func splitObjects(objects []*logpb.ConfigObject) [][]*logpb.ConfigObject {
	parts := [][]*logpb.ConfigObject{nil}
	size := 0
	for _, o := range objects {
		if size > maxPartBytes {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], o)
		size += proto.Size(o)
	}
	return parts
}

// restore builds the state from all parts of one checkpoint.
func restore(parts []*logpb.ConfigCheckpoint) *Fold {
	f := NewFold()
	for _, part := range parts {
		for _, o := range part.GetObjects() {
			f.restoreObject(o)
		}
		f.current.revision = part.GetThrough()
	}
	return f
}

func (f *Fold) restoreObject(o *logpb.ConfigObject) {
	switch state := o.GetState().(type) {
	case *logpb.ConfigObject_Template:
		f.setTemplate(templateFromProto(state.Template), o.GetRevision())
	case *logpb.ConfigObject_Key:
		id := KeyID(state.Key.GetKeyId())
		team := model.TeamID(state.Key.GetTeam())
		f.current.keys[id] = Key{ID: id, Team: team, Revision: o.GetRevision(), hash: state.Key.GetHash()}
	case *logpb.ConfigObject_DomainOut:
		f.setDomainOut(model.FailureDomain(state.DomainOut), o.GetRevision())
	case *logpb.ConfigObject_Removed:
		f.recordRemoval(ObjectID(state.Removed), o.GetRevision())
	}
}

package config

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// replaceWindow is how many revisions old the revision that a record replaces
// may be. Beyond it a record is lost for certain, so that removed objects need
// not be remembered for longer.
const replaceWindow = 10_000

// Verdict tells what became of a record.
type Verdict string

// The verdicts.
const (
	Applied     Verdict = "applied"
	Lost        Verdict = "lost"        // another change of the object came first
	Expired     Verdict = "expired"     // it replaces a revision that is too old
	Rejected    Verdict = "rejected"    // it can't stand, whatever came before
	Newer       Verdict = "newer"       // of a newer version; skipped
	Undecodable Verdict = "undecodable" // skipped
	Checkpoint  Verdict = "checkpoint"  // changes nothing
	Repeated    Verdict = "repeated"    // at or below the fold's revision
)

// Result is what became of one record.
type Result struct {
	Revision uint64 // of the record
	ID       string
	Object   ObjectID
	Verdict  Verdict
	LostTo   uint64 // the revision that the record lost to
	Reason   string // why it was rejected
}

// Counts counts the records of each verdict since the process started.
type Counts map[Verdict]uint64

type removal struct {
	object   ObjectID
	revision uint64
}

// Fold is the state machine of the configuration.
type Fold struct {
	current Snapshot
	// shared holds whether a snapshot refers to the map, which is then cloned
	// before its next change.
	sharedTemplates, sharedKeys, sharedOut bool
	// removed remembers recently removed objects, so that a late record can't
	// bring them back; removals lists them in order of revision.
	removed  map[ObjectID]uint64
	removals []removal
	counts   Counts
}

// NewFold returns the empty configuration at revision 0.
func NewFold() *Fold {
	return &Fold{
		current: Snapshot{
			templates: map[model.TeamID]PublishedTemplate{},
			keys:      map[KeyID]Key{},
			out:       map[model.FailureDomain]uint64{},
		},
		removed: map[ObjectID]uint64{},
		counts:  Counts{},
	}
}

// Snapshot returns the present state. It costs nothing; the next change of a
// kind of object copies the objects of that kind once.
func (f *Fold) Snapshot() *Snapshot {
	f.sharedTemplates, f.sharedKeys, f.sharedOut = true, true, true
	snapshot := f.current
	return &snapshot
}

// Revision returns the revision of the last record that was applied or skipped.
func (f *Fold) Revision() uint64 { return f.current.revision }

// Counts returns how many records got each verdict.
func (f *Fold) Counts() Counts { return maps.Clone(f.counts) }

// Apply reads the record at the offset. Records must come in log order; one
// that was read before changes nothing.
func (f *Fold) Apply(offset uint64, data []byte) Result {
	result := f.apply(offset+1, data)
	f.counts[result.Verdict]++
	return result
}

func (f *Fold) apply(revision uint64, data []byte) Result {
	result := Result{Revision: revision}
	if revision <= f.current.revision {
		result.Verdict = Repeated
		return result
	}
	f.current.revision = revision
	f.forgetRemovals()
	var record logpb.ConfigRecord
	err := proto.Unmarshal(data, &record)
	result.ID = record.GetId()
	result.Object = objectOf(&record)
	switch {
	case err != nil || record.GetVersion() == 0:
		result.Verdict = Undecodable
	case record.GetVersion() > Version:
		result.Verdict = Newer
	case record.GetCheckpoint() != nil:
		result.Verdict = Checkpoint
	default:
		f.decide(&record, &result)
	}
	return result
}

// decide gives the verdict on a readable change and applies it if it stands.
func (f *Fold) decide(record *logpb.ConfigRecord, result *Result) {
	if err := validate(record); err != nil {
		result.Verdict = Rejected
		result.Reason = err.Error()
		return
	}
	if record.GetReplaces() >= result.Revision {
		result.Verdict = Rejected
		result.Reason = "it replaces a revision that did not exist yet"
		return
	}
	if record.GetReplaces()+replaceWindow < result.Revision {
		result.Verdict = Expired
		return
	}
	if last := f.lastChange(result.Object); last > record.GetReplaces() {
		result.Verdict = Lost
		result.LostTo = last
		return
	}
	result.Reason = f.change(record, result.Revision)
	result.Verdict = Applied
	if result.Reason != "" {
		result.Verdict = Rejected
	}
}

// lastChange returns the revision that last changed or removed the object, or
// 0 if that is unknown or too long ago to matter.
func (f *Fold) lastChange(object ObjectID) uint64 {
	if revision := f.current.ObjectRevision(object); revision > 0 {
		return revision
	}
	return f.removed[object]
}

// change applies the record, or returns why the present state does not allow
// it.
func (f *Fold) change(record *logpb.ConfigRecord, revision uint64) string {
	switch body := record.GetBody().(type) {
	case *logpb.ConfigRecord_PublishTemplate:
		f.setTemplate(templateFromProto(body.PublishTemplate.GetTemplate()), revision)
	case *logpb.ConfigRecord_RemoveTemplate:
		return f.removeTemplate(model.TeamID(body.RemoveTemplate.GetTeam()), revision)
	case *logpb.ConfigRecord_IssueKey:
		return f.issueKey(body.IssueKey, revision)
	case *logpb.ConfigRecord_WithdrawKey:
		return f.withdrawKey(KeyID(body.WithdrawKey.GetKeyId()), revision)
	case *logpb.ConfigRecord_DomainOut:
		f.setDomainOut(model.FailureDomain(body.DomainOut.GetFailureDomain()), revision)
	case *logpb.ConfigRecord_DomainBack:
		return f.setDomainBack(model.FailureDomain(body.DomainBack.GetFailureDomain()), revision)
	}
	return ""
}

func (f *Fold) setTemplate(t model.WorkspaceTemplate, revision uint64) {
	f.ownTemplates()
	f.current.templates[t.Team] = PublishedTemplate{WorkspaceTemplate: t, Revision: revision}
	delete(f.removed, TemplateObject(t.Team))
}

func (f *Fold) removeTemplate(team model.TeamID, revision uint64) string {
	if _, ok := f.current.templates[team]; !ok {
		return "the team has no template"
	}
	f.ownTemplates()
	delete(f.current.templates, team)
	f.remember(TemplateObject(team), revision)
	for _, key := range f.current.Keys() {
		if key.Team == team {
			f.withdrawKey(key.ID, revision)
		}
	}
	return ""
}

func (f *Fold) issueKey(issue *logpb.IssueKey, revision uint64) string {
	team := model.TeamID(issue.GetTeam())
	id := KeyID(issue.GetKeyId())
	if _, ok := f.current.templates[team]; !ok {
		return "the team has no template"
	}
	if _, ok := f.current.keys[id]; ok {
		return "the key id is in use"
	}
	f.ownKeys()
	f.current.keys[id] = Key{ID: id, Team: team, Revision: revision, hash: issue.GetHash()}
	delete(f.removed, KeyObject(id))
	return ""
}

func (f *Fold) withdrawKey(id KeyID, revision uint64) string {
	if _, ok := f.current.keys[id]; !ok {
		return "no such key is in use"
	}
	f.ownKeys()
	delete(f.current.keys, id)
	f.remember(KeyObject(id), revision)
	return ""
}

func (f *Fold) setDomainOut(domain model.FailureDomain, revision uint64) {
	f.ownOut()
	f.current.out[domain] = revision
	delete(f.removed, DomainObject(domain))
}

func (f *Fold) setDomainBack(domain model.FailureDomain, revision uint64) string {
	if _, ok := f.current.out[domain]; !ok {
		return "the failure domain is not out"
	}
	f.ownOut()
	delete(f.current.out, domain)
	f.remember(DomainObject(domain), revision)
	return ""
}

func (f *Fold) remember(object ObjectID, revision uint64) {
	f.removed[object] = revision
	f.removals = append(f.removals, removal{object: object, revision: revision})
}

// forgetRemovals drops removals that no record within the window can precede.
func (f *Fold) forgetRemovals() {
	for len(f.removals) > 0 && f.removals[0].revision+replaceWindow < f.current.revision {
		oldest := f.removals[0]
		f.removals = f.removals[1:]
		if f.removed[oldest.object] == oldest.revision {
			delete(f.removed, oldest.object)
		}
	}
}

func (f *Fold) ownTemplates() {
	if f.sharedTemplates {
		f.current.templates = maps.Clone(f.current.templates)
		f.sharedTemplates = false
	}
}

func (f *Fold) ownKeys() {
	if f.sharedKeys {
		f.current.keys = maps.Clone(f.current.keys)
		f.sharedKeys = false
	}
}

func (f *Fold) ownOut() {
	if f.sharedOut {
		f.current.out = maps.Clone(f.current.out)
		f.sharedOut = false
	}
}

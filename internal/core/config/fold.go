package config

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// replaceWindow is the maximum age, in revisions, of the base revision that a
// record names in its field replaces. A record with an older one has no effect, so
// removals need not be remembered for longer than the window.
const replaceWindow = 10_000

// Verdict is the outcome of applying a record.
type Verdict string

// The verdicts.
const (
	Applied     Verdict = "applied"
	Lost        Verdict = "lost"        // an earlier record changed the object first
	Expired     Verdict = "expired"     // its base revision is too old
	Rejected    Verdict = "rejected"    // invalid, or not possible in the current state
	Newer       Verdict = "newer"       // of a newer record version; skipped
	Undecodable Verdict = "undecodable" // skipped
	Checkpoint  Verdict = "checkpoint"  // changes nothing
	Repeated    Verdict = "repeated"    // at or below the fold's revision; already read
)

// Result is the outcome of applying one record.
type Result struct {
	Revision uint64 // revision of the record
	ID       string // the record's id; empty if it could not be decoded
	Object   ObjectID
	Verdict  Verdict
	LostTo   uint64 // revision of the change that came first, if Lost
	Reason   string // why the record was rejected
}

// Counts is the number of records per verdict that a fold has read.
type Counts map[Verdict]uint64

type removal struct {
	object   ObjectID
	revision uint64
}

// Fold is the state built from the records of the configuration stream, which are
// applied in log order.
type Fold struct {
	current Snapshot
	// A shared map is referred to by a snapshot and cloned before its next
	// change.
	sharedTemplates, sharedKeys, sharedDomainsOut bool
	// removed maps recently removed objects to the revision of their removal,
	// so that a late record cannot restore them; removals lists them in order
	// of revision.
	removed  map[ObjectID]uint64
	removals []removal
	counts   Counts
}

// NewFold returns the empty configuration at revision 0.
func NewFold() *Fold {
	return &Fold{
		current: Snapshot{
			templates:  map[model.TeamID]PublishedTemplate{},
			keys:       map[KeyID]Key{},
			domainsOut: map[model.FailureDomain]uint64{},
		},
		removed: map[ObjectID]uint64{},
		counts:  Counts{},
	}
}

// Snapshot returns the current state without copying it; the next change of a
// kind of object clones the map of that kind once.
func (f *Fold) Snapshot() *Snapshot {
	f.sharedTemplates, f.sharedKeys, f.sharedDomainsOut = true, true, true
	snapshot := f.current
	return &snapshot
}

// Revision returns the revision of the last record that was applied or skipped.
func (f *Fold) Revision() uint64 { return f.current.revision }

// Counts returns a copy of the number of records per verdict.
func (f *Fold) Counts() Counts { return maps.Clone(f.counts) }

// Apply applies the record at the offset. Records must be passed in log order;
// one that was read before has no effect.
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
	f.pruneRemovals()
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

// decide sets the verdict on a decoded change and applies the change if it is
// valid.
func (f *Fold) decide(record *logpb.ConfigRecord, result *Result) {
	if err := validate(record); err != nil {
		result.Verdict = Rejected
		result.Reason = err.Error()
		return
	}
	if record.GetReplaces() >= result.Revision {
		result.Verdict = Rejected
		result.Reason = "the record names a base revision that did not exist yet"
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
	result.Reason = f.applyChange(record, result.Revision)
	result.Verdict = Applied
	if result.Reason != "" {
		result.Verdict = Rejected
	}
}

// lastChange returns the revision that last changed or removed the object. It
// returns 0 if there is none or if the object was removed before the window.
func (f *Fold) lastChange(object ObjectID) uint64 {
	if revision := f.current.ObjectRevision(object); revision > 0 {
		return revision
	}
	return f.removed[object]
}

// applyChange applies the record and returns "", or returns why the current state
// does not allow it.
func (f *Fold) applyChange(record *logpb.ConfigRecord, revision uint64) string {
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
	f.unshareTemplates()
	f.current.templates[t.Team] = PublishedTemplate{WorkspaceTemplate: t, Revision: revision}
	delete(f.removed, TemplateObject(t.Team))
}

func (f *Fold) removeTemplate(team model.TeamID, revision uint64) string {
	if _, ok := f.current.templates[team]; !ok {
		return "the team has no template"
	}
	f.unshareTemplates()
	delete(f.current.templates, team)
	f.recordRemoval(TemplateObject(team), revision)
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
	f.unshareKeys()
	f.current.keys[id] = Key{ID: id, Team: team, Revision: revision, hash: issue.GetHash()}
	delete(f.removed, KeyObject(id))
	return ""
}

func (f *Fold) withdrawKey(id KeyID, revision uint64) string {
	if _, ok := f.current.keys[id]; !ok {
		return "no such key is in use"
	}
	f.unshareKeys()
	delete(f.current.keys, id)
	f.recordRemoval(KeyObject(id), revision)
	return ""
}

func (f *Fold) setDomainOut(domain model.FailureDomain, revision uint64) {
	f.unshareDomainsOut()
	f.current.domainsOut[domain] = revision
	delete(f.removed, DomainObject(domain))
}

func (f *Fold) setDomainBack(domain model.FailureDomain, revision uint64) string {
	if _, ok := f.current.domainsOut[domain]; !ok {
		return "the failure domain is not out"
	}
	f.unshareDomainsOut()
	delete(f.current.domainsOut, domain)
	f.recordRemoval(DomainObject(domain), revision)
	return ""
}

func (f *Fold) recordRemoval(object ObjectID, revision uint64) {
	f.removed[object] = revision
	f.removals = append(f.removals, removal{object: object, revision: revision})
}

// pruneRemovals drops the removals that are older than the replace window: a
// record with an earlier base revision is expired anyway.
func (f *Fold) pruneRemovals() {
	for len(f.removals) > 0 && f.removals[0].revision+replaceWindow < f.current.revision {
		oldest := f.removals[0]
		f.removals = f.removals[1:]
		if f.removed[oldest.object] == oldest.revision {
			delete(f.removed, oldest.object)
		}
	}
}

func (f *Fold) unshareTemplates() {
	if f.sharedTemplates {
		f.current.templates = maps.Clone(f.current.templates)
		f.sharedTemplates = false
	}
}

func (f *Fold) unshareKeys() {
	if f.sharedKeys {
		f.current.keys = maps.Clone(f.current.keys)
		f.sharedKeys = false
	}
}

func (f *Fold) unshareDomainsOut() {
	if f.sharedDomainsOut {
		f.current.domainsOut = maps.Clone(f.current.domainsOut)
		f.sharedDomainsOut = false
	}
}

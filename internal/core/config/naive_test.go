package config

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// naiveFold is the reference implementation of Fold: it keeps every applied
// change and searches the changes one by one.
type naiveFold struct {
	changes []naiveChange
}

type naiveChange struct {
	revision uint64
	object   ObjectID
	record   *logpb.ConfigRecord
	exists   bool // whether the object exists after the change
}

func (n *naiveFold) last(object ObjectID) (naiveChange, bool) {
	for i := len(n.changes) - 1; i >= 0; i-- {
		if n.changes[i].object == object {
			return n.changes[i], true
		}
	}
	return naiveChange{}, false
}

func (n *naiveFold) exists(object ObjectID) bool {
	c, ok := n.last(object)
	return ok && c.exists
}

// apply reports whether the record is applied and, if it is lost, the revision
// that it lost to.
func (n *naiveFold) apply(offset uint64, data []byte) (bool, uint64) {
	var r logpb.ConfigRecord
	if proto.Unmarshal(data, &r) != nil || r.GetVersion() != Version || validate(&r) != nil {
		return false, 0
	}
	revision := offset + 1
	object := objectOf(&r)
	if revision > r.GetReplaces()+replaceWindow || r.GetReplaces() >= revision {
		return false, 0
	}
	if c, ok := n.last(object); ok && c.revision > r.GetReplaces() {
		return false, c.revision
	}
	if !n.allowed(&r, object) {
		return false, 0
	}
	if remove := r.GetRemoveTemplate(); remove != nil {
		for _, key := range n.existing(keyObjectPrefix) {
			c, _ := n.last(key)
			if c.record.GetIssueKey().GetTeam() == remove.GetTeam() {
				n.changes = append(n.changes, naiveChange{revision: revision, object: key, record: &r})
			}
		}
	}
	removes := r.GetRemoveTemplate() != nil || r.GetWithdrawKey() != nil || r.GetDomainBack() != nil
	n.changes = append(n.changes, naiveChange{revision: revision, object: object, record: &r, exists: !removes})
	return true, 0
}

func (n *naiveFold) allowed(r *logpb.ConfigRecord, object ObjectID) bool {
	if issue := r.GetIssueKey(); issue != nil {
		return n.exists(TemplateObject(model.TeamID(issue.GetTeam()))) && !n.exists(object)
	}
	if r.GetPublishTemplate() != nil || r.GetDomainOut() != nil {
		return true
	}
	return n.exists(object)
}

// existing returns the objects that exist and whose id has the prefix.
func (n *naiveFold) existing(prefix string) []ObjectID {
	seen := map[ObjectID]bool{}
	var out []ObjectID
	for i := len(n.changes) - 1; i >= 0; i-- {
		c := n.changes[i]
		if seen[c.object] || !strings.HasPrefix(string(c.object), prefix) {
			continue
		}
		seen[c.object] = true
		if c.exists {
			out = append(out, c.object)
		}
	}
	return out
}

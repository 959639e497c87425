package demo

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/caller"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/proctest"
)

// Operator drives a cluster by balsamctl and records what it did. Permissions
// are recorded before their command is given, withdrawals after it returned.
type Operator struct {
	cluster  *proctest.Cluster
	recorder *history.Recorder
	dir      string
	// NoWait lets commands return before the change is in force.
	NoWait bool
	limits map[model.TeamID]model.Resources
}

// NewOperator returns an operator that keeps its files in dir.
func NewOperator(cluster *proctest.Cluster, recorder *history.Recorder, dir string) *Operator {
	return &Operator{cluster: cluster, recorder: recorder, dir: dir, limits: make(map[model.TeamID]model.Resources)}
}

// changed is what balsamctl prints about a change.
type changed struct {
	Changes []struct {
		Revision uint64 `json:"revision"`
	} `json:"changes"`
	ID  string `json:"id"`
	Key string `json:"key"`
}

// run gives a command that changes the configuration, waits until it is in
// force unless told otherwise, and records the accepted revision.
func (o *Operator) run(args ...string) (changed, error) {
	args = append(args, "--output", "json")
	if o.NoWait {
		args = append(args, "--no-wait")
	}
	out, err := o.cluster.Ctl(args...)
	if err != nil {
		return changed{}, err
	}
	var report changed
	if err := json.Unmarshal(out, &report); err != nil {
		return changed{}, Error.Wrap(err)
	}
	accepted := uint64(0)
	for _, change := range report.Changes {
		accepted = max(accepted, change.Revision)
	}
	o.recorder.Add(history.Event{Kind: history.ConfigAccepted, Revision: accepted})
	return report, nil
}

// Observe records the configuration revision of each ready member.
func (o *Operator) RecordRevisions() error {
	before := time.Now() // the members' answers are not older than this
	out, err := o.cluster.Ctl("status", "--output", "json")
	if err != nil {
		return err
	}
	var status struct {
		Members []struct {
			Member   model.MemberID `json:"member"`
			Ready    bool           `json:"ready"`
			Revision uint64         `json:"config_revision"`
		} `json:"members"`
	}
	if err := json.Unmarshal(out, &status); err != nil {
		return Error.Wrap(err)
	}
	for _, m := range status.Members {
		if m.Ready {
			o.recorder.Add(history.Event{At: before, Kind: history.ConfigSeen, Member: m.Member, Revision: m.Revision})
		}
	}
	return nil
}

// Apply publishes the templates of a file.
func (o *Operator) Apply(name string, content []byte) error {
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return Error.Wrap(err)
	}
	templates, err := settings.ParseTemplates(name, content)
	if err != nil {
		return Error.Wrap(err)
	}
	o.recordLimits(templates, true)
	if _, err := o.run("template", "apply", path); err != nil {
		return err
	}
	o.recordLimits(templates, false)
	return nil
}

// recordLimits records the new limits that exceed the old ones, or all others.
func (o *Operator) recordLimits(templates []model.WorkspaceTemplate, raised bool) {
	for _, t := range templates {
		old, known := o.limits[t.Team]
		if (!known || old.Fits(t.UpperLimit)) != raised {
			continue
		}
		o.recorder.Add(history.Event{Kind: history.LimitSet, Team: t.Team, Size: t.UpperLimit})
		o.limits[t.Team] = t.UpperLimit
	}
}

// IssueKey issues a key for the team.
func (o *Operator) IssueKey(team model.TeamID) (caller.Credential, error) {
	issued, err := o.run("key", "issue", string(team))
	if err != nil {
		return caller.Credential{}, err
	}
	// The key was not usable before its output was read, so that recording it
	// here still precedes every use.
	o.recorder.Add(history.Event{Kind: history.KeyIssued, Key: issued.ID, Team: team})
	return caller.Credential{Team: team, Name: issued.ID, Token: issued.Key}, nil
}

// WithdrawKey withdraws the key.
func (o *Operator) WithdrawKey(credential caller.Credential) error {
	if _, err := o.run("key", "withdraw", credential.Name); err != nil {
		return err
	}
	o.recorder.Add(history.Event{Kind: history.KeyWithdrawn, Key: credential.Name})
	return nil
}

// TakeDomainOut takes a failure domain out of service.
func (o *Operator) TakeDomainOut(domain model.FailureDomain) error {
	if _, err := o.run("domain", "out", string(domain)); err != nil {
		return err
	}
	o.recorder.Add(history.Event{Kind: history.DomainOut, Domain: domain})
	return nil
}

// ReturnDomain takes a failure domain back into service.
func (o *Operator) ReturnDomain(domain model.FailureDomain) error {
	o.recorder.Add(history.Event{Kind: history.DomainIn, Domain: domain})
	_, err := o.run("domain", "in", string(domain))
	return err
}

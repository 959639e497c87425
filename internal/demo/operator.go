package demo

import (
	"encoding/json"
	"os"
	"path/filepath"

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
	limits   map[model.TeamID]model.Resources
}

// NewOperator returns an operator that keeps its files in dir.
func NewOperator(cluster *proctest.Cluster, recorder *history.Recorder, dir string) *Operator {
	return &Operator{cluster: cluster, recorder: recorder, dir: dir, limits: make(map[model.TeamID]model.Resources)}
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
	if _, err := o.cluster.Ctl("template", "apply", path); err != nil {
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
	out, err := o.cluster.Ctl("key", "issue", string(team), "--output", "json")
	if err != nil {
		return caller.Credential{}, err
	}
	var issued struct {
		ID  string `json:"id"`
		Key string `json:"key"`
	}
	if err := json.Unmarshal(out, &issued); err != nil {
		return caller.Credential{}, Error.Wrap(err)
	}
	// The key was not usable before its output was read, so that recording it
	// here still precedes every use.
	o.recorder.Add(history.Event{Kind: history.KeyIssued, Key: issued.ID, Team: team})
	return caller.Credential{Team: team, Name: issued.ID, Token: issued.Key}, nil
}

// WithdrawKey withdraws the key.
func (o *Operator) WithdrawKey(credential caller.Credential) error {
	if _, err := o.cluster.Ctl("key", "withdraw", credential.Name); err != nil {
		return err
	}
	o.recorder.Add(history.Event{Kind: history.KeyWithdrawn, Key: credential.Name})
	return nil
}

// TakeDomainOut takes a failure domain out of service.
func (o *Operator) TakeDomainOut(domain model.FailureDomain) error {
	if _, err := o.cluster.Ctl("domain", "out", string(domain)); err != nil {
		return err
	}
	o.recorder.Add(history.Event{Kind: history.DomainOut, Domain: domain})
	return nil
}

// ReturnDomain takes a failure domain back into service.
func (o *Operator) ReturnDomain(domain model.FailureDomain) error {
	o.recorder.Add(history.Event{Kind: history.DomainIn, Domain: domain})
	_, err := o.cluster.Ctl("domain", "in", string(domain))
	return err
}

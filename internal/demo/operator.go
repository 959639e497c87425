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

// Operator changes a cluster's configuration with balsamctl and records the
// changes. One that permits more is recorded before its command is sent, one that
// restricts after its command has returned, so that the checker reports no
// violation while a change takes effect.
type Operator struct {
	cluster  *proctest.Cluster
	recorder *history.Recorder
	dir      string
	// NoWait makes commands return before the change is in force.
	NoWait bool
	limits map[model.TeamID]model.Resources
}

// NewOperator returns an operator that writes its template files to dir.
func NewOperator(cluster *proctest.Cluster, recorder *history.Recorder, dir string) *Operator {
	return &Operator{cluster: cluster, recorder: recorder, dir: dir, limits: make(map[model.TeamID]model.Resources)}
}

// changeReport is what balsamctl prints about a change.
type changeReport struct {
	Changes []struct {
		Revision uint64 `json:"revision"`
	} `json:"changes"`
	ID  string `json:"id"`
	Key string `json:"key"`
}

// runCommand runs a balsamctl command that changes the configuration, waits
// until the change is in force unless NoWait is set, and records the accepted
// revision.
func (o *Operator) runCommand(args ...string) (changeReport, error) {
	args = append(args, "--output", "json")
	if o.NoWait {
		args = append(args, "--no-wait")
	}
	out, err := o.cluster.Ctl(args...)
	if err != nil {
		return changeReport{}, err
	}
	var report changeReport
	if err := json.Unmarshal(out, &report); err != nil {
		return changeReport{}, Error.Wrap(err)
	}
	accepted := uint64(0)
	for _, change := range report.Changes {
		accepted = max(accepted, change.Revision)
	}
	o.recorder.Add(history.Event{Kind: history.ConfigAccepted, Revision: accepted})
	return report, nil
}

// RecordRevisions records the configuration revision of each ready member.
func (o *Operator) RecordRevisions() error {
	before := time.Now() // a lower bound for the time of the members' answers
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

// Apply publishes templates, given as the content of a template file called name.
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
	if _, err := o.runCommand("template", "apply", path); err != nil {
		return err
	}
	o.recordLimits(templates, false)
	return nil
}

// recordLimits records the upper limits of templates: if raised is set, only new
// ones and those at least as high as before, otherwise only the others.
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

// IssueKey issues a key for the team and returns it.
func (o *Operator) IssueKey(team model.TeamID) (caller.Credential, error) {
	issued, err := o.runCommand("key", "issue", string(team))
	if err != nil {
		return caller.Credential{}, err
	}
	// Nobody can use the key before this output is read, so that recording it
	// here precedes every use.
	o.recorder.Add(history.Event{Kind: history.KeyIssued, Key: issued.ID, Team: team})
	return caller.Credential{Team: team, KeyID: issued.ID, Token: issued.Key}, nil
}

// WithdrawKey withdraws the key of the credential.
func (o *Operator) WithdrawKey(credential caller.Credential) error {
	if _, err := o.runCommand("key", "withdraw", credential.KeyID); err != nil {
		return err
	}
	o.recorder.Add(history.Event{Kind: history.KeyWithdrawn, Key: credential.KeyID})
	return nil
}

// TakeDomainOut takes a failure domain out of service.
func (o *Operator) TakeDomainOut(domain model.FailureDomain) error {
	if _, err := o.runCommand("domain", "out", string(domain)); err != nil {
		return err
	}
	o.recorder.Add(history.Event{Kind: history.DomainOut, Domain: domain})
	return nil
}

// ReturnDomain returns a failure domain to service.
func (o *Operator) ReturnDomain(domain model.FailureDomain) error {
	o.recorder.Add(history.Event{Kind: history.DomainBack, Domain: domain})
	_, err := o.runCommand("domain", "in", string(domain))
	return err
}

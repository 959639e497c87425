package ctl

import (
	"context"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/platform"
)

// ApplyTemplates publishes the templates of a file that differ from the current
// ones. Unless replaces is 0, it is the revision on which the file is based: a
// template that has changed since then is a conflict and is not published.
func (c *Client) ApplyTemplates(ctx context.Context, path string, replaces uint64) error {
	templates, err := settings.LoadTemplates(path)
	if err != nil {
		return err
	}
	report, err := c.change(ctx, func(current *config.Snapshot) ([]config.Change, []Outcome, error) {
		changes, unpublished := planTemplates(current, templates, replaces)
		return changes, unpublished, nil
	})
	return c.print(report, err)
}

func planTemplates(current *config.Snapshot, wanted []model.WorkspaceTemplate, replaces uint64) ([]config.Change, []Outcome) {
	var changes []config.Change
	var unpublished []Outcome
	for _, t := range wanted {
		object := config.TemplateObject(t.Team)
		revision := current.ObjectRevision(object)
		published, exists := current.Template(t.Team)
		switch {
		case exists && reflect.DeepEqual(published, t):
			unpublished = append(unpublished, Outcome{Object: object, Verdict: Unchanged, Revision: revision})
		case replaces > 0 && revision > replaces:
			unpublished = append(unpublished, Outcome{Object: object, Verdict: config.Lost, LostTo: revision})
		default:
			changes = append(changes, config.PublishTemplate(t))
		}
	}
	return changes, unpublished
}

// RemoveTemplate removes the template of a team and withdraws its keys.
func (c *Client) RemoveTemplate(ctx context.Context, team model.TeamID) error {
	report, err := c.change(ctx, planSingle(config.RemoveTemplate(team)))
	return c.print(report, err)
}

// TemplateLine is one listed template.
type TemplateLine struct {
	Team       model.TeamID      `json:"team"`
	Revision   uint64            `json:"revision"`
	Kinds      []model.WorkKind  `json:"kinds"`
	Share      float64           `json:"share"`
	UpperLimit Amount            `json:"upper_limit"`
	Services   []model.ServiceID `json:"services"`
	Open       bool              `json:"open"`
	Urgent     bool              `json:"urgent"`
	MaxQueued  int               `json:"max_queued"`
}

func templateLine(t config.PublishedTemplate) TemplateLine {
	return TemplateLine{
		Team:       t.Team,
		Revision:   t.Revision,
		Kinds:      t.Kinds,
		Share:      t.ShareWeight,
		UpperLimit: Amount(t.UpperLimit),
		Services:   t.Services,
		Open:       t.Open,
		Urgent:     t.Urgent,
		MaxQueued:  t.MaxQueued,
	}
}

// ListTemplates prints all templates.
func (c *Client) ListTemplates(ctx context.Context) error {
	fold, err := c.load(ctx)
	if err != nil {
		return err
	}
	lines := []TemplateLine{}
	rows := [][]string{{"TEAM", "REVISION", "KINDS", "SHARE", "UPPER LIMIT", "SERVICES"}}
	for _, t := range fold.Snapshot().Templates() {
		line := templateLine(t)
		lines = append(lines, line)
		rows = append(rows, []string{
			string(line.Team), formatUint(line.Revision), joinNames(line.Kinds),
			strconv.FormatFloat(line.Share, 'g', -1, 64), line.UpperLimit.String(), joinNames(line.Services),
		})
	}
	if c.JSON {
		return c.printJSON(lines)
	}
	return c.printTable(rows)
}

func joinNames[T ~string](names []T) string {
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = string(name)
	}
	return strings.Join(out, ",")
}

// ShowTemplate prints one template in the format of a template file, or as JSON.
func (c *Client) ShowTemplate(ctx context.Context, team model.TeamID) error {
	fold, err := c.load(ctx)
	if err != nil {
		return err
	}
	current := fold.Snapshot()
	t, ok := current.Template(team)
	if !ok {
		return BadInput.New("team %q has no template", team)
	}
	revision := current.ObjectRevision(config.TemplateObject(team))
	if c.JSON {
		return c.printJSON(templateLine(config.PublishedTemplate{WorkspaceTemplate: t, Revision: revision}))
	}
	data, err := settings.FormatTemplates([]model.WorkspaceTemplate{t})
	if err != nil {
		return Failure.Wrap(err)
	}
	return c.printf("# revision %d\n%s", revision, data)
}

// CheckFile checks a file of the kind "node", "deploy", "sched", "entry", "ctl" or,
// by default, "templates" and reports all findings.
func (c *Client) CheckFile(path, kind string) error {
	var err error
	switch kind {
	case "node":
		_, err = platform.LoadSettings(path)
	case "deploy":
		err = platform.CheckDeployment(path, filepath.Dir(filepath.Dir(path)))
	case "sched":
		_, err = settings.LoadSched(path)
	case "entry":
		_, err = settings.LoadEntry(path)
	case "ctl":
		_, err = settings.LoadCtl(path)
	default:
		_, err = settings.LoadTemplates(path)
	}
	if err != nil {
		return c.printFindings(err)
	}
	if c.JSON {
		return c.printJSON([]struct{}{})
	}
	return c.printf("%s: no findings\n", path)
}

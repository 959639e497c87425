package main

import (
	"context"
	"crypto/rand"
	"os"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/adapter/logclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/peer"
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/adapter/vmclient"
	"github.com/balsamhitch/balsamhitch/internal/app/ctl"
	"github.com/balsamhitch/balsamhitch/internal/app/explain"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const description = `Operates a balsamhitch cell.

Changes are published on the platform's log and take effect on every member
within seconds. If two operators change the same object, the first change wins
and the second fails with a conflict that names the winning revision.

Typical first steps:

  balsamctl check templates.toml           report all errors without publishing
  balsamctl template apply templates.toml  publish changed templates
  balsamctl key issue quotes               issue a key for the team "quotes"
  balsamctl domain out marrakech           take a failure domain out of service
  balsamctl status                         show members, teams and workers

Exit codes: 0 success; 1 failure, nothing was changed; 2 invalid input;
3 conflict with an earlier change; 4 timeout: the change may have been
published (see balsamctl status).`

// cli is the command line.
type cli struct {
	global

	Check    checkCmd    `cmd:"" help:"Check a file and report all errors without publishing."`
	Template templateCmd `cmd:"" help:"Publish and show workspace templates."`
	Key      keyCmd      `cmd:"" help:"Issue and withdraw keys."`
	Domain   domainCmd   `cmd:"" help:"Take failure domains out of service and put them back in service."`
	Status   statusCmd   `cmd:"" help:"Show members, partitions, teams and VMs."`
	Explain  explainCmd  `cmd:"" help:"Show what the nodes' logs record about one job."`
}

// global holds the flags of all commands.
type global struct {
	Settings string        `help:"Settings file (TOML)." env:"BALSAMCTL_SETTINGS" type:"path" placeholder:"FILE"`
	Output   string        `help:"Output format: ${enum}." enum:"table,json" default:"table"`
	Timeout  time.Duration `help:"Time limit of a command, such as 30s (default: from the settings)." placeholder:"DURATION"`
	Wait     bool          `help:"Wait until a change is in force on every member." default:"true" negatable:""`
}

// offlineClient returns a client for commands that do not contact a cell.
func (g *global) offlineClient() *ctl.Client {
	return &ctl.Client{
		Random:   rand.Reader,
		Out:      os.Stdout,
		Progress: os.Stderr,
		JSON:     g.Output == "json",
		Wait:     g.Wait,
		Timeout:  g.Timeout,
	}
}

// client returns a client of the cell named in the settings.
func (g *global) client() (*ctl.Client, error) {
	if g.Settings == "" {
		return nil, ctl.BadInput.New("no settings: use --settings FILE or set BALSAMCTL_SETTINGS")
	}
	if g.Timeout < 0 {
		return nil, ctl.BadInput.New("--timeout must not be negative")
	}
	options, err := settings.LoadCtl(g.Settings)
	if err != nil {
		return nil, err
	}
	c := g.offlineClient()
	c.Log = logclient.New(options.Platform.Log)
	c.VMList = vmclient.New(options.Platform.VMList)
	c.Peer = peer.New(peer.Options{})
	if c.Timeout == 0 {
		c.Timeout = options.Timeout
	}
	return c, nil
}

// withClient calls do with a client of the cell.
func (g *global) withClient(do func(*ctl.Client) error) error {
	c, err := g.client()
	if err != nil {
		return err
	}
	return do(c)
}

type checkCmd struct {
	File string `arg:"" help:"File to check." type:"path"`
	As   string `help:"Kind of the file: ${enum}." enum:"templates,sched,entry,ctl,node,deploy" default:"templates"`
}

// Run checks the file.
func (c *checkCmd) Run(g *global) error { return g.offlineClient().CheckFile(c.File, c.As) }

type templateCmd struct {
	Apply  applyCmd        `cmd:"" help:"Publish the templates of a file that differ from the current ones."`
	List   listTemplateCmd `cmd:"" help:"List all templates."`
	Show   showCmd         `cmd:"" help:"Print a team's template in the format of a template file."`
	Remove removeCmd       `cmd:"" help:"Remove a team's template and withdraw its keys."`
}

type applyCmd struct {
	File     string `arg:"" help:"File of templates (TOML)." type:"path"`
	Replaces uint64 `help:"Reject templates that have changed since this revision." placeholder:"REVISION"`
}

// Run publishes the file.
func (c *applyCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ApplyTemplates(ctx, c.File, c.Replaces) })
}

type listTemplateCmd struct{}

// Run lists the templates.
func (*listTemplateCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ListTemplates(ctx) })
}

type showCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run prints the template.
func (c *showCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ShowTemplate(ctx, model.TeamID(c.Team)) })
}

type removeCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run removes the template.
func (c *removeCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.RemoveTemplate(ctx, model.TeamID(c.Team)) })
}

type keyCmd struct {
	Issue    issueCmd    `cmd:"" help:"Issue a key and print it; it cannot be shown again."`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw keys; they stop working within seconds."`
	List     listKeyCmd  `cmd:"" help:"List the keys in use, without their secrets."`
}

type issueCmd struct {
	Team string `arg:"" help:"Team that the key authenticates."`
}

// Run issues the key.
func (c *issueCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.IssueKey(ctx, model.TeamID(c.Team)) })
}

type withdrawCmd struct {
	IDs []string `arg:"" name:"id" help:"Ids of the keys, as listed."`
}

// Run withdraws the keys.
func (c *withdrawCmd) Run(ctx context.Context, g *global) error {
	ids := make([]config.KeyID, len(c.IDs))
	for i, id := range c.IDs {
		ids[i] = config.KeyID(id)
	}
	return g.withClient(func(client *ctl.Client) error { return client.WithdrawKeys(ctx, ids) })
}

type listKeyCmd struct {
	Team string `help:"Only keys of this team."`
}

// Run lists the keys.
func (c *listKeyCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ListKeys(ctx, model.TeamID(c.Team)) })
}

type domainCmd struct {
	Out  domainOutCmd  `cmd:"" help:"Take a failure domain out of service: nothing starts there."`
	Back domainBackCmd `cmd:"" aliases:"in" help:"Put a failure domain back in service."`
	List domainListCmd `cmd:"" help:"List the failure domains and whether they are in service."`
}

type domainOutCmd struct {
	Domain string `arg:"" help:"Failure domain."`
}

// Run takes the failure domain out of service.
func (c *domainOutCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.TakeDomainOut(ctx, model.FailureDomain(c.Domain)) })
}

type domainBackCmd struct {
	Domain string `arg:"" help:"Failure domain."`
}

// Run puts the failure domain back in service.
func (c *domainBackCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ReturnDomain(ctx, model.FailureDomain(c.Domain)) })
}

type domainListCmd struct{}

// Run lists the failure domains.
func (*domainListCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ListDomains(ctx) })
}

type statusCmd struct{}

// Run shows the status.
func (*statusCmd) Run(ctx context.Context, g *global) error {
	return g.withClient(func(client *ctl.Client) error { return client.ShowStatus(ctx) })
}

// explainCmd reads the nodes' logs and prints the lines about one job.
type explainCmd struct {
	ID    string   `arg:"" help:"Id of the job."`
	Files []string `arg:"" optional:"" help:"Log files of any number of nodes (default: standard input)." type:"existingfile"`
}

// Run prints the lines about the job.
func (c *explainCmd) Run() error {
	return explain.Files(os.Stdout, c.ID, c.Files)
}

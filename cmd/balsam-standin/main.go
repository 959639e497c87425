// Command balsam-standin runs small stand-ins for the platform's services, for
// tests and demonstrations.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/logservice"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
)

var errCommand = errs.Class("balsam-standin")

type logCommand struct {
	Listen    string  `default:"127.0.0.1:7400" help:"Address to listen on; port 0 picks a free one."`
	Retention int     `default:"100000" help:"Number of records kept in each stream."`
	Rate      float64 `default:"400" help:"Maximum append calls per second; more are rejected."`
}

type vmsCommand struct {
	Listen string        `default:"127.0.0.1:7401" help:"Address to listen on; port 0 picks a free one."`
	File   string        `required:"" type:"existingfile" help:"JSON file with the list of VMs."`
	Lag    time.Duration `default:"500ms" help:"Delay until a change appears in the list."`
}

type workersCommand struct {
	Count int    `default:"3" help:"Number of workers."`
	Host  string `default:"127.0.0.1" help:"Address to listen on."`
}

type runnersCommand struct {
	Count   int             `default:"3" help:"Number of runners."`
	Service model.ServiceID `default:"quotes" help:"Service that the runners serve."`
	Host    string          `default:"127.0.0.1" help:"Address to listen on."`
}

type cellCommand struct {
	Config string `type:"existingfile" help:"TOML file (default: a small version of the Guild's cell)."`
}

type commands struct {
	Log     logCommand     `cmd:"" help:"Run a log service."`
	VMs     vmsCommand     `cmd:"" name:"vms" help:"Run a VM list service."`
	Workers workersCommand `cmd:"" help:"Run workers and print them as a list of VMs."`
	Runners runnersCommand `cmd:"" help:"Run runners and print them as a list of VMs."`
	Cell    cellCommand    `cmd:"" help:"Run the complete platform of a cell in one process."`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("balsam-standin"),
		kong.Description("Runs stand-ins for the platform's services. Each command prints one line of JSON when it is ready and runs until SIGTERM."))
	ctx.FatalIfErrorf(ctx.Run())
}

// Run implements the log command.
func (c *logCommand) Run() error {
	store := logservice.NewStore(logservice.Options{Retention: c.Retention, AppendRate: c.Rate})
	server, err := logservice.Serve(c.Listen, store, fault.NewInjector())
	if err != nil {
		return err
	}
	defer server.Close()
	return serveUntilSignal(cell.URLs{Log: "http://" + server.Address()})
}

// Run implements the vms command.
func (c *vmsCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errCommand.Wrap(err)
	}
	var vms []model.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return errCommand.New("%s: %w", c.File, err)
	}
	server, err := vmlist.New(vms, c.Lag, &history.Recorder{}, nil).Serve(c.Listen, fault.NewInjector())
	if err != nil {
		return err
	}
	defer server.Close()
	return serveUntilSignal(cell.URLs{VMList: "http://" + server.Address()})
}

// Run implements the workers command.
func (c *workersCommand) Run() error {
	config := cell.DefaultConfig()
	config.Host = c.Host
	config.Workers = c.Count
	config.Services = nil
	return runCell(config, true)
}

// Run implements the runners command.
func (c *runnersCommand) Run() error {
	config := cell.DefaultConfig()
	config.Host = c.Host
	config.Workers = 0
	config.Services = []cell.Service{{Name: c.Service, Runners: c.Count}}
	return runCell(config, true)
}

// Run implements the cell command.
func (c *cellCommand) Run() error {
	config := cell.DefaultConfig()
	if c.Config != "" {
		var err error
		if config, err = cell.ReadConfig(c.Config); err != nil {
			return err
		}
	}
	return runCell(config, false)
}

func runCell(config cell.Config, listVMs bool) error {
	platform, err := cell.Start(config)
	if err != nil {
		return err
	}
	defer platform.Close()
	if listVMs {
		return serveUntilSignal(platform.List.VMs())
	}
	return serveUntilSignal(platform.URLs)
}

// serveUntilSignal prints the value as a line of JSON and waits for SIGTERM or
// SIGINT.
func serveUntilSignal(value any) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	line, err := json.Marshal(value)
	if err != nil {
		return errCommand.Wrap(err)
	}
	fmt.Println(string(line))
	<-stop
	return nil
}

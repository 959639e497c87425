// Command balsam-bench compares quick requests through a small cell of real
// processes on loopback with direct calls to the same runners.
package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/latencybench"
)

type command struct {
	Binaries string        `help:"Directory with the built programs (default: that of this program)."`
	Rate     int           `default:"2000" help:"Requests per second."`
	EntryVMs int           `name:"entry-vms" default:"3" help:"Number of entry VMs."`
	Runners  int           `default:"12" help:"Number of runners."`
	Phase    time.Duration `default:"5s" help:"Length of each of the four phases."`
	Idle     time.Duration `default:"10s" help:"Time without load at the end to measure idle programs; 0 skips it."`
}

func main() {
	var cli command
	ctx := kong.Parse(&cli, kong.Name("balsam-bench"), kong.Description("Measures the latency of quick requests on loopback."))
	ctx.FatalIfErrorf(cli.run())
}

func (c *command) run() error {
	if c.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binaries = filepath.Dir(self)
	}
	return latencybench.Run(latencybench.Options{
		Binaries: c.Binaries, Out: os.Stdout, EntryVMs: c.EntryVMs, Runners: c.Runners,
		Rate: c.Rate, Phase: c.Phase, Idle: c.Idle,
	})
}

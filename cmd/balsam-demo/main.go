// Command balsam-demo runs the Saddle Guild's workload on a small cell of real
// processes on loopback and reports which promises were kept.
package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/demo"
)

type command struct {
	Binaries string        `help:"Directory with the built programs (default: that of this program)."`
	Step     time.Duration `default:"3s" help:"Time between the events of the scenario."`
}

func main() {
	var cli command
	ctx := kong.Parse(&cli, kong.Name("balsam-demo"),
		kong.Description("Runs a demonstration on loopback. The exit code is 0 if every promise was kept."))
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
	return demo.Run(demo.Options{Binaries: c.Binaries, Out: os.Stdout, Step: c.Step})
}

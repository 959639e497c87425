// Command balsam-capacity measures how the cost of each role grows and works
// out what the design target of docs/CAPACITY.md takes.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/capacity"
)

type cli struct {
	Members int `help:"Entry VMs of the whole cell to work the target out for." default:"264"`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("balsam-capacity"),
		kong.Description("Measures the slopes of every role on this machine and prints the table of docs/CAPACITY.md."))
	measured := capacity.Measure()
	if err := capacity.WriteSlopes(os.Stdout, measured); err != nil {
		fmt.Fprintln(os.Stderr, "balsam-capacity:", err)
		os.Exit(1)
	}
}

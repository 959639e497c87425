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
	Members int `help:"Entry VMs of each region to work the target out for." default:"24"`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("balsam-capacity"),
		kong.Description("Measures the slopes of every role on this machine and prints the table of docs/CAPACITY.md."))
	measured := capacity.Measure()
	err := capacity.WriteSlopes(os.Stdout, measured)
	if err == nil {
		err = capacity.WriteTarget(os.Stdout, capacity.ByName(measured), args.Members)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsam-capacity:", err)
		os.Exit(1)
	}
}

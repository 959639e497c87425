// Command balsam-capacity measures how the cost of each role grows and computes
// the load of one scheduler at the design target of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/capacity"
)

type cli struct {
	Members int `help:"Number of entry VMs in each region at the design target." default:"24"`
}

func main() {
	var args cli
	kong.Parse(&args, kong.Name("balsam-capacity"),
		kong.Description("Measures on this machine how the cost of each role grows and prints the tables of docs/CAPACITY.md."))
	measured := capacity.Measure()
	err := capacity.WriteLines(os.Stdout, measured)
	if err == nil {
		err = capacity.WriteDesignLoad(os.Stdout, capacity.IndexByName(measured), args.Members)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsam-capacity:", err)
		os.Exit(1)
	}
}

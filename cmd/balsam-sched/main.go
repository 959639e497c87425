// Command balsam-sched holds partitions: team queues, racks and target groups.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/schedmain"
)

// cli is the command line.
type cli struct {
	Config string `help:"Settings file (TOML)." required:"" type:"existingfile" short:"c" aliases:"settings"`
	Check  bool   `help:"Check the settings and exit."`
}

func main() {
	var args cli
	kong.Parse(&args,
		kong.Name("balsam-sched"),
		kong.Description("Holds partitions of a balsamhitch cell: team queues, racks and target groups."))
	options, err := settings.LoadSched(args.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if args.Check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = schedmain.Run(ctx, options)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsam-sched:", err)
		os.Exit(1)
	}
}

// Command balsam-entry takes callers' requests over HTTP.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/entrymain"
)

// cli is the command line.
type cli struct {
	Settings string `help:"Settings file (TOML)." required:"" type:"existingfile" short:"s" aliases:"config"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var args cli
	kong.Parse(&args,
		kong.Name("balsam-entry"),
		kong.Description("Takes callers' requests over HTTP and holds their connections until the answer."))
	options, err := settings.LoadEntry(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if args.Check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = entrymain.Run(ctx, options)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsam-entry:", err)
		os.Exit(1)
	}
}

// Command balsamctl is the operators' client. It checks and publishes workspace
// templates, issues and withdraws keys, takes failure domains out of service and puts
// them back, shows the status of a cell, and explains one job from the nodes' logs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/balsamhitch/balsamhitch/internal/app/ctl"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var commandLine cli
	code := -1
	parser, err := kong.New(&commandLine,
		kong.Name("balsamctl"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(c int) { code = c }))
	if err != nil {
		return fail(err)
	}
	parsed, err := parser.Parse(args)
	if code >= 0 { // kong printed the help text
		return code
	}
	if err != nil {
		return fail(ctl.BadInput.New("%w; see balsamctl --help", err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(&commandLine.global); err != nil {
		return fail(err)
	}
	return ctl.ExitOK
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "balsamctl:", err)
	return ctl.ExitCode(err)
}

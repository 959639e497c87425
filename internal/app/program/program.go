// Package program implements what the main functions of the daemons share: command
// line, loading of settings, signal handling and exit codes.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

// cli is the command line of a daemon.
type cli struct {
	Settings string `help:"Settings file (TOML)." required:"" type:"existingfile" short:"s" aliases:"config"`
	Check    bool   `help:"Check the settings and exit."`
}

// Main loads the settings file named on the command line and calls run, whose
// context is cancelled by SIGINT or SIGTERM. With --check it returns after loading
// the settings. On an error it prints the error to stderr and exits the process.
func Main[Settings any](name, description string, load func(path string) (Settings, error), run func(ctx context.Context, settings Settings) error) {
	var args cli
	kong.Parse(&args, kong.Name(name), kong.Description(description))
	settings, err := load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadInput)
	}
	if args.Check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, settings)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitFailed)
	}
}

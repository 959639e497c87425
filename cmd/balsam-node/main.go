// Command balsam-node serves callers on one VM of a cell and is a candidate for
// the ownership of the cell. It stores nothing locally: all durable state is on
// the platform's log. A cell is run either by balsam-node alone or by balsam-entry
// and balsam-sched together.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/logsink"
	"github.com/balsamhitch/balsamhitch/internal/app/node"
	"github.com/balsamhitch/balsamhitch/internal/app/program"
	"github.com/balsamhitch/balsamhitch/platform"
)

// flushTime bounds the time for writing the remaining log lines at exit.
const flushTime = 200 * time.Millisecond

func main() {
	program.Main("balsam-node",
		"Serves callers on one VM of a balsamhitch cell and is a candidate for the cell's ownership.",
		platform.LoadSettings, run)
}

func run(ctx context.Context, settings platform.Settings) error {
	logger, sink := logsink.New(os.Stdout, settings.VM.Processors())
	defer sink.Close(flushTime)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return node.Run(ctx, settings, reload, logger.WithField("node", settings.Node))
}

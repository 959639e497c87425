// Command balsam-node serves callers on one VM of a cell and takes part in the
// cell's ownership. It keeps nothing of its own: all that lasts is on the
// platform's log.
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

// flushTime bounds the writing of the last log lines.
const flushTime = 200 * time.Millisecond

func main() {
	program.Main("balsam-node",
		"Serves callers on one VM of a balsamhitch cell and takes part in the cell's ownership.",
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

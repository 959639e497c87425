// Command balsam-node serves callers on one VM of a cell and takes part in the
// cell's ownership. It keeps nothing of its own: all that lasts is on the
// platform's log.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/node"
	"github.com/balsamhitch/balsamhitch/internal/app/program"
	"github.com/balsamhitch/balsamhitch/platform"
)

func main() {
	program.Main("balsam-node",
		"Serves callers on one VM of a balsamhitch cell and takes part in the cell's ownership.",
		platform.LoadSettings, run)
}

func run(ctx context.Context, settings platform.Settings) error {
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	logger.SetFormatter(&logrus.JSONFormatter{})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return node.Run(ctx, settings, reload, logger.WithField("node", settings.Node))
}

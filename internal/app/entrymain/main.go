// Package entrymain implements the program balsam-entry without its command line.
package entrymain

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/logclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/peer"
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/adapter/vmclient"
	"github.com/balsamhitch/balsamhitch/internal/app/configwatch"
	"github.com/balsamhitch/balsamhitch/internal/app/entry"
	"github.com/balsamhitch/balsamhitch/internal/app/logging"
	"github.com/balsamhitch/balsamhitch/internal/app/membership"
	"github.com/balsamhitch/balsamhitch/internal/app/probe"
	"github.com/balsamhitch/balsamhitch/internal/app/vmwatch"
)

const (
	// frameMargin is how much larger a frame may be than the body that it carries,
	// in bytes.
	frameMargin = 64 * settings.KiB
	// minBodyLimit is the size in bytes of the bodies that a frame can always carry,
	// also if Limits.MaxBody is lower, since answers may be larger than requests.
	minBodyLimit     = 4 * settings.MiB
	probeStopTimeout = time.Second
	// vmListInterval is the time between reads of the VM list, which the entry
	// needs only while the log is down.
	vmListInterval = 2 * time.Second
)

// Run runs the entry until ctx is done or a component fails, then finishes the
// requests in flight and returns. It returns an error if the entry could not start, a
// component failed or the requests did not finish within options.Timeouts.Drain.
func Run(ctx context.Context, options settings.Entry) error {
	logger, err := logging.New("balsam-entry", options.Log)
	if err != nil {
		return err
	}
	clock := sysclock.Clock{}
	client := peer.New(peer.Options{
		MaxFrame: int(max(options.Limits.MaxBody, minBodyLimit) + frameMargin),
		Logger:   logger,
	})
	defer func() { _ = client.Close() }()
	log := logclient.New(options.Platform.Log)
	observer := membership.NewObserver(log, clock, logger)
	vms := vmwatch.New(vmclient.New(options.Platform.VMList), vmListInterval, logger)
	watcher := configwatch.New(configwatch.Options{
		Log:      log,
		Clock:    clock,
		Peer:     client,
		Members:  (&configPeers{observer: observer, vms: vms}).addresses,
		FreshFor: options.Config.FreshFor,
		Logger:   logger,
	})
	watcher.Register(metrics.GetDefaultSet())
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 4)
	go func() { failed <- observer.Run(background) }()
	go func() { failed <- watcher.Run(background) }()
	go vms.Run(background)

	server, err := entry.Start(entry.Options{
		Settings:       options,
		Directory:      observer,
		ConfigSnapshot: func() entry.ConfigSnapshot { return watcher.View() },
		Peer:           client,
		Clock:          clock,
		Ready:          func() bool { return observer.Ready() && watcher.Fresh() },
		Metrics:        metrics.GetDefaultSet(),
		Logger:         logger,
	})
	if err != nil {
		return err
	}
	return serve(ctx, server, options, failed, logger)
}

// serve waits until ctx is done or a component fails, then shuts down.
func serve(ctx context.Context, server *entry.Server, options settings.Entry, failed chan error, logger *logrus.Entry) error {
	stopProbes := func() error { return nil }
	if options.MetricsAddress != "" {
		probes, err := probe.New(options.MetricsAddress, server.Ready, logger)
		if err != nil {
			stopping, cancel := context.WithTimeout(context.Background(), options.Timeouts.Drain)
			defer cancel()
			return errs.Combine(err, server.Shutdown(stopping))
		}
		go func() { failed <- probes.Run() }()
		stopProbes = func() error {
			stopping, cancel := context.WithTimeout(context.Background(), probeStopTimeout)
			defer cancel()
			return probes.Shutdown(stopping)
		}
	}
	logger.WithField("address", server.Address()).Info("entry started")
	var err error
	select {
	case err = <-failed:
		logger.WithError(err).Error("component failed; shutting down")
	case <-ctx.Done():
		logger.Info("shutdown requested; finishing requests in flight")
	}
	stopping, cancel := context.WithTimeout(context.Background(), options.Timeouts.Drain)
	defer cancel()
	err = errs.Combine(err, server.Shutdown(stopping), stopProbes())
	logger.Info("entry stopped")
	return err
}

var _ entry.ConfigSnapshot = configwatch.View{}

// configPeers lists the processes that the configuration watcher may query.
type configPeers struct {
	observer *membership.Observer
	vms      *vmwatch.Cache
	roster   configwatch.Roster
}

// addresses returns the peer addresses of the processes that may read the log. It
// returns false until the members and the VM list have been read.
func (m *configPeers) addresses() (addresses []string, known bool) {
	var members []string
	for _, info := range m.observer.Members() {
		members = append(members, info.Address)
	}
	vms, listed := m.vms.VMs()
	return m.roster.Others("", members, vms), listed && m.observer.Ready()
}

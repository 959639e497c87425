// Package schedmain implements the program balsam-sched without its command line.
package schedmain

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/logclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/peer"
	"github.com/balsamhitch/balsamhitch/internal/adapter/runnerclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/adapter/vmclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/workerclient"
	"github.com/balsamhitch/balsamhitch/internal/app/logging"
	"github.com/balsamhitch/balsamhitch/internal/app/probe"
	"github.com/balsamhitch/balsamhitch/internal/app/sched"
	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// runnerConnections is the maximum number of connections to one runner.
const runnerConnections = 64

// Run runs the program until the context is done, then hands over its partitions.
func Run(ctx context.Context, options settings.Sched) error {
	logger, err := logging.New("balsam-sched", options.Log)
	if err != nil {
		return err
	}
	id := options.Member
	if id == "" {
		id = ulid.Make().String()
	}
	logger = logger.WithField("member", id)
	policy, err := fairness.ParsePolicy(options.Policy.Name)
	if err != nil {
		return err
	}
	clock := sysclock.Clock{}
	log := logclient.New(options.Platform.Log)
	client := peer.New(peer.Options{MaxFrame: int(options.Limits.MaxMessage), Logger: logger})
	defer func() { _ = client.Close() }()
	s, err := sched.New(sched.Options{
		ID:                  model.MemberID(id),
		Address:             options.Address,
		Domain:              model.FailureDomain(options.FailureDomain),
		Log:                 log,
		VMList:              vmclient.New(options.Platform.VMList),
		Worker:              workerclient.New(),
		Runner:              runnerclient.New(runnerConnections),
		Peer:                client,
		Clock:               clock,
		FreshFor:            options.Config.FreshFor,
		TargetTakeoverGrace: options.Limits.QuickRun,
		Policy:              policy,
		CheckpointEvery:     options.Config.CheckpointEvery,
		Metrics:             metrics.GetDefaultSet(),
		Logger:              logger,
		Lease:               options.Lease.Duration,
		RenewEvery:          options.Lease.Renew,
		DriftMargin:         options.Lease.Drift,
	})
	if err != nil {
		return err
	}
	return serve(ctx, s, options, logger)
}

// serve runs the scheduler and its servers. When the context is done, it hands over
// all partitions before it stops the servers.
func serve(ctx context.Context, s *sched.Sched, options settings.Sched, logger *logrus.Entry) error {
	server, err := peer.Listen(options.Address, s, peer.Options{
		MaxFrame: int(options.Limits.MaxMessage),
		Logger:   logger,
	})
	if err != nil {
		return err
	}
	probes, err := probe.New(options.MetricsAddress, s.Ready, logger)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { failed <- s.Run(runCtx) }()
	go func() { failed <- probes.Run() }()
	logger.WithField("address", options.Address).Info("scheduler started")
	select {
	case err = <-failed:
	case <-ctx.Done():
		logger.Info("shutdown requested; handing over partitions")
		err = handOver(s, options, logger)
	}
	stopCtx, stop := context.WithTimeout(context.Background(), options.Limits.DrainTimeout)
	defer stop()
	err = errs.Combine(err, server.Shutdown(stopCtx), probes.Shutdown(stopCtx))
	logger.Info("scheduler stopped")
	return err
}

func handOver(s *sched.Sched, options settings.Sched, logger *logrus.Entry) error {
	ctx, cancel := context.WithTimeout(context.Background(), options.Limits.DrainTimeout)
	defer cancel()
	if err := s.HandOverPartitions(ctx); err != nil {
		logger.WithError(err).Warn("partition handover failed; other members claim the partitions once the lease has expired")
	}
	return nil
}

// Package entry serves the public HTTP API. It validates requests and jobs,
// drives each request to its single answer and keeps the caller's connection
// open until then.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/callerlisten"
	"github.com/balsamhitch/balsamhitch/internal/adapter/hertzlog"
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the error class of this package.
var Error = errs.Class("entry")

// ConfigSnapshot is one snapshot of the configuration, with API keys and workspace
// templates, that knows its age. Outside tests it is a configwatch.View. It is safe
// for concurrent use.
type ConfigSnapshot interface {
	// Fresh reports whether the snapshot is recent enough to accept keys now.
	Fresh() bool
	TeamOfKey(presented string) (model.TeamID, bool)
	Template(team model.TeamID) (model.WorkspaceTemplate, bool)
}

// Options configures a Server.
type Options struct {
	Settings       settings.Entry
	Directory      host.Directory
	ConfigSnapshot func() ConfigSnapshot // returns the newest snapshot
	Peer           port.Peer
	Clock          port.Clock
	// Ready reports whether the directory and the configuration have been
	// read.
	Ready   func() bool
	Metrics *metrics.Set // nil for a new set
	Logger  *logrus.Entry
	// Listener replaces the one on Settings.Listen in tests.
	Listener net.Listener
}

const (
	maxEndRecorders = 1024 // concurrent calls that record ends of requests
	// drainCheckInterval is how often a shutdown checks which connections and
	// requests remain.
	drainCheckInterval = 20 * time.Millisecond
)

// Server serves the public API in one balsam-entry process.
type Server struct {
	options      Options
	logger       *logrus.Entry
	hertz        *server.Hertz
	listener     *callerlisten.Listener
	stats        *stats
	retryBudgets *retryBudgets
	endRecorders *ants.Pool

	draining     atomic.Bool
	inFlight     atomic.Int64 // HTTP requests
	endsInFlight sync.WaitGroup
	closed       chan struct{} // closed once the HTTP server has ended
}

// Start listens and serves callers in the background until Shutdown.
func Start(options Options) (*Server, error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.Logger == nil {
		options.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if options.Listener == nil {
		listener, err := net.Listen("tcp", options.Settings.Listen)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		options.Listener = listener
	}
	endRecorders, err := ants.NewPool(maxEndRecorders, ants.WithNonblocking(true))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{
		options:      options,
		logger:       options.Logger.WithField("part", "entry"),
		stats:        newStats(options.Metrics),
		retryBudgets: newRetryBudgets(),
		endRecorders: endRecorders,
		closed:       make(chan struct{}),
	}
	s.serve()
	return s, nil
}

func (s *Server) serve() {
	hertzlog.OnlyErrors()
	set := s.options.Settings
	s.listener = &callerlisten.Listener{
		Listener: s.options.Listener, MaxConnections: set.Limits.MaxConnections, ReadTimeout: set.Timeouts.Read,
		IdleGrace: callerlisten.DefaultIdleGrace, Logger: s.logger,
	}
	s.hertz = server.New(
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(int(set.Limits.MaxBody)),
		server.WithMaxHeaderBytes(int(set.Limits.MaxHeader)),
		server.WithReadTimeout(set.Timeouts.Header),
		server.WithIdleTimeout(set.Timeouts.Idle),
		server.WithDisablePreParseMultipartForm(true),
		server.WithExitWaitTime(0),
	)
	s.routes()
	go func() {
		defer close(s.closed)
		_ = s.hertz.Run()
	}()
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.options.Listener.Addr().String() }

// Ready reports whether the entry accepts requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && (s.options.Ready == nil || s.options.Ready())
}

// Shutdown makes /readyz fail, accepts no new connections, finishes all requests
// in flight and closes the server. It returns an error if ctx is done before that.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.listener.StopAccepting()
	err := s.drain(ctx)
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.hertz.Shutdown(closing)
	s.endRecorders.Release()
	return err
}

// drain waits until every connection is closed and the end of every request is
// recorded. It closes idle connections; the others close after their answer.
func (s *Server) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.listener.CloseIdle() > 0 || s.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("shutdown gave up with %d requests in flight: %v", s.inFlight.Load(), ctx.Err())
		}
	}
	recorded := make(chan struct{})
	go func() {
		s.endsInFlight.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return Error.New("shutdown gave up with unrecorded ends of requests: %v", ctx.Err())
	}
}

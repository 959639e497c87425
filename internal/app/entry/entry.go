// Package entry is the callers' HTTP front: it checks what comes in, drives
// each request to its single answer, and holds the caller's connection
// meanwhile.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors of this package.
var Error = errs.Class("entry")

// Keys is one state of the configuration as the entry needs it. It is safe for
// concurrent use.
type ConfigSnapshot interface {
	// Fresh reports whether this state is recent enough to take keys now.
	Fresh() bool
	TeamOfKey(presented string) (model.TeamID, bool)
	Template(team model.TeamID) (model.WorkspaceTemplate, bool)
}

// Options are the parts of an entry.
type Options struct {
	Settings       settings.Entry
	Directory      host.Directory
	ConfigSnapshot func() ConfigSnapshot // the newest state
	Peer           port.Peer
	Clock          port.Clock
	// Ready reports whether the directory and the configuration have been
	// read.
	Ready   func() bool
	Metrics *metrics.Set // nil stands for a set of its own
	Logger  *logrus.Entry
	// Listener replaces the one on Settings.Listen, for tests.
	Listener net.Listener
}

const (
	maxFinishers = 1024 // calls that record ended requests at once
	// drainCheck is the time between looks at what a shutdown still waits for.
	drainCheck = 20 * time.Millisecond
)

// Server is a running entry.
type Server struct {
	options  Options
	logger   *logrus.Entry
	hertz    *server.Hertz
	listener *guardedListener
	stats    *stats
	budgets  *budgets
	finisher *ants.Pool

	draining atomic.Bool
	inFlight atomic.Int64 // HTTP requests
	finishes sync.WaitGroup
	closed   chan struct{} // closed when the HTTP server has ended
}

// quietHertz sets the level once, since hertz reads it without a lock.
var quietHertz = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

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
	finisher, err := ants.NewPool(maxFinishers, ants.WithNonblocking(true))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{
		options:  options,
		logger:   options.Logger.WithField("part", "entry"),
		stats:    newStats(options.Metrics),
		budgets:  newBudgets(),
		finisher: finisher,
		closed:   make(chan struct{}),
	}
	s.serve()
	return s, nil
}

func (s *Server) serve() {
	quietHertz()
	set := s.options.Settings
	s.listener = newGuardedListener(s.options.Listener, set.Limits.MaxConnections, set.Timeouts.Read)
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

// Address returns the host:port that callers reach.
func (s *Server) Address() string { return s.options.Listener.Addr().String() }

// Ready reports whether the entry takes requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && (s.options.Ready == nil || s.options.Ready())
}

// Shutdown lets /readyz fail, takes no new connections, finishes all requests
// in flight and closes. It gives up when the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.listener.stopAccepting()
	err := s.drain(ctx)
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.hertz.Shutdown(closing)
	s.finisher.Release()
	return err
}

// drain waits until every connection has ended and every end is recorded.
// Connections without a request are closed; each answer closes its own.
func (s *Server) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for s.listener.closeIdle() > 0 || s.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("shutdown cut off %d requests: %v", s.inFlight.Load(), ctx.Err())
		}
	}
	recorded := make(chan struct{})
	go func() {
		s.finishes.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return Error.New("shutdown left ends of requests unrecorded: %v", ctx.Err())
	}
}

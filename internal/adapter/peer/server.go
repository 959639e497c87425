package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Server accepts sessions and dispatches their calls to a handler.
type Server struct {
	options  Options
	counters *counters
	closed   *closedSessions
	handler  port.PeerHandler
	listener net.Listener
	pool     *ants.Pool

	baseContext context.Context // parent of every handler's context
	cancel      context.CancelFunc

	mu         sync.Mutex
	sessions   map[*yamux.Session]*sessionState
	draining   bool
	inFlight   sync.WaitGroup // accepted calls without a written answer
	goroutines sync.WaitGroup // accept loop and sessions
}

// Listen listens on a TCP address and serves calls with the handler until
// Shutdown. It does not block.
func Listen(address string, handler port.PeerHandler, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Serve(listener, handler, options)
}

// Serve accepts connections on the listener, for example a TLS listener, and
// serves calls with the handler until Shutdown. It does not block.
func Serve(listener net.Listener, handler port.PeerHandler, options Options) (*Server, error) {
	options = options.withDefaults()
	pool, err := ants.NewPool(options.MaxConcurrentCalls, ants.WithNonblocking(true), ants.WithPanicHandler(func(cause any) {
		options.Logger.WithField("cause", cause).Error("peer handler panicked; answering with an error")
	}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	baseContext, cancel := context.WithCancel(context.Background())
	s := &Server{
		options:     options,
		counters:    newCounters(options.Metrics),
		closed:      newClosedSessions(options.Metrics),
		handler:     handler,
		listener:    listener,
		pool:        pool,
		baseContext: baseContext,
		cancel:      cancel,
		sessions:    make(map[*yamux.Session]*sessionState),
	}
	s.goroutines.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown rejects new calls, waits for the calls in flight until the context is
// done, then closes all connections. It returns an error if the
// context was done before all calls were answered.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()

	idle := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(idle)
	}()
	var err error
	select {
	case <-idle:
	case <-ctx.Done():
		err = Error.New("shutdown cut off calls in flight: %v", ctx.Err())
	}
	s.cancel()
	s.closeSessions()
	s.goroutines.Wait()
	s.pool.Release()
	return err
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session, state := range s.sessions {
		closeMux(state.conn, session)
	}
}

// beginCall counts a call as in flight. It returns false if the server is shutting
// down.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight.Add(1)
	return true
}

func (s *Server) acceptLoop() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !s.serving() {
				return
			}
			time.Sleep(acceptRetryPause)
			continue
		}
		if !s.accept(conn) {
			_ = conn.Close()
		}
	}
}

// accept serves a connection. It returns false if the server is shutting down or full.
func (s *Server) accept(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || !s.makeRoom() {
		return false
	}
	config := yamuxConfig()
	if limit := s.options.Limits.Streams; limit > 0 {
		config.AcceptBacklog = limit
	}
	session, err := yamux.Server(newMuxConn(conn, s.counters), config)
	if err != nil {
		return false
	}
	go keepAlive(conn, session)
	state := &sessionState{since: time.Now(), conn: conn}
	s.sessions[session] = state
	s.goroutines.Add(1)
	go s.serveSession(session, state)
	return true
}

func (s *Server) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining
}

func (s *Server) untrack(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	s.goroutines.Done()
}

func (s *Server) serveSession(session *yamux.Session, state *sessionState) {
	defer s.untrack(session)
	defer closeMux(state.conn, session)
	var streams sync.WaitGroup
	defer streams.Wait()
	var open atomic.Int32
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if limit := s.options.Limits.Streams; limit > 0 && int(open.Add(1)) > limit {
			s.limited(s.closed.streams, "streams")
			closeMux(state.conn, session)
			return
		}
		streams.Go(func() {
			defer open.Add(-1)
			newServerStream(s, session, state, stream).serve()
		})
	}
}

package peer

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// serverStream reads calls from one stream and writes their answers in the order
// of completion.
type serverStream struct {
	server  *Server
	session *yamux.Session
	state   *sessionState
	conn    *yamux.Stream

	waitingWriters atomic.Int32 // answers waiting for mu
	mu             sync.Mutex
	writer         *bufio.Writer // guarded by mu
}

func newServerStream(server *Server, session *yamux.Session, state *sessionState, conn *yamux.Stream) *serverStream {
	return &serverStream{
		server:  server,
		session: session,
		state:   state,
		conn:    conn,
		writer:  bufio.NewWriterSize(conn, bufferSize),
	}
}

func (s *serverStream) serve() {
	reader := bufio.NewReaderSize(s.conn, bufferSize)
	for {
		frame, held, err := s.readRequest(reader)
		if err == nil && frame.GetRequest() == nil {
			err = BadFrame.New("frame is not a request")
		}
		if err != nil {
			s.release(held)
			s.closeOnError(err)
			return
		}
		if held > 0 {
			s.conn.Shrink()
		}
		s.state.served.Store(true)
		s.server.counters.messagesReceived.Inc()
		s.dispatch(frame, held)
	}
}

// closeOnError closes the session. After a bad frame it first sends the error to
// the client. Later frames on the connection may be invalid too.
func (s *serverStream) closeOnError(err error) {
	if errors.Is(err, errNoRoom) {
		s.server.limited(s.server.closed.memory, "memory")
	}
	if BadFrame.Has(err) {
		s.server.counters.badFrames.Inc()
		s.server.options.Logger.WithError(err).Warn("received a bad frame; closing the connection")
		s.writeAndFlush(&peerpb.Frame{Payload: &peerpb.Frame_Error{Error: err.Error()}})
	}
	closeMux(s.state.conn, s.session)
}

// dispatch starts a call. held bytes of the budget are released when it has ended.
func (s *serverStream) dispatch(frame *peerpb.Frame, held int64) {
	if !s.server.beginCall() {
		s.release(held)
		s.reject(frame.GetCall(), "process is shutting down")
		return
	}
	err := s.server.pool.Submit(func() {
		defer s.release(held)
		s.handle(frame)
	})
	if err == nil {
		return
	}
	s.release(held)
	s.server.inFlight.Done()
	if errors.Is(err, ants.ErrPoolOverload) {
		s.server.counters.overloads.Inc()
	}
	s.reject(frame.GetCall(), "process is overloaded")
}

func (s *serverStream) reject(call uint64, reason string) {
	s.writeAndFlush(&peerpb.Frame{
		Call:       call,
		Payload:    &peerpb.Frame_Error{Error: reason},
		NotStarted: true,
	})
}

func (s *serverStream) handle(frame *peerpb.Frame) {
	answer := &peerpb.Frame{Call: frame.GetCall(), Payload: &peerpb.Frame_Error{Error: "handler failed"}}
	defer func() { // runs after a panic too, so that the caller gets an answer
		s.answer(answer)
		s.server.inFlight.Done()
	}()
	timeout := defaultHandlerTimeout
	if deadlineUs := frame.GetDeadlineUs(); deadlineUs > 0 {
		timeout = min(time.Duration(deadlineUs)*time.Microsecond, time.Hour)
	}
	ctx, cancel := context.WithTimeout(s.server.baseContext, timeout)
	defer cancel()
	response := s.server.handler.Serve(ctx, frame.GetRequest())
	if response == nil {
		return
	}
	complete := &peerpb.Frame{Call: frame.GetCall(), Version: protocolVersion, Payload: &peerpb.Frame_Response{Response: response}}
	if proto.Size(complete) > s.server.options.MaxFrame {
		answer.Payload = &peerpb.Frame_Error{Error: "answer exceeds the frame limit"}
		return
	}
	answer = complete
}

// answer writes an answer on the handler's goroutine. Of several concurrent
// answers the last one flushes for all. A call stays in flight until answer
// returns, so that Shutdown waits for the flush.
func (s *serverStream) answer(frame *peerpb.Frame) {
	s.waitingWriters.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.waitingWriters.Add(-1) == 0
	s.write(frame, last)
}

// writeAndFlush writes a frame that belongs to no call in flight. It is not counted
// in waitingWriters: answers must not rely on it for their flush, since Shutdown
// does not wait for it.
func (s *serverStream) writeAndFlush(frame *peerpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(frame, true)
}

// write closes the session on an error. The caller holds mu.
func (s *serverStream) write(frame *peerpb.Frame, flush bool) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := writeFrame(s.writer, frame)
	if err == nil {
		s.server.counters.messagesSent.Inc()
	}
	if err == nil && flush {
		err = s.writer.Flush()
	}
	if err != nil {
		closeMux(s.state.conn, s.session)
	}
}

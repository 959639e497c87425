package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// serverStream reads calls from one stream and writes their answers in the
// order in which they are ready.
type serverStream struct {
	server  *Server
	session *yamux.Session
	conn    net.Conn

	waiting atomic.Int32 // answers that want the lock
	mu      sync.Mutex
	writer  *bufio.Writer
}

func newServerStream(server *Server, session *yamux.Session, conn net.Conn) *serverStream {
	return &serverStream{
		server:  server,
		session: session,
		conn:    conn,
		writer:  bufio.NewWriterSize(conn, bufferSize),
	}
}

func (s *serverStream) serve() {
	reader := bufio.NewReaderSize(s.conn, bufferSize)
	for {
		frame, err := readFrame(reader, s.server.options.MaxFrame)
		if err == nil && frame.GetRequest() == nil {
			err = BadFrame.New("frame is no request")
		}
		if err != nil {
			s.endAfter(err)
			return
		}
		s.server.counters.messagesReceived.Inc()
		s.dispatch(frame)
	}
}

// endAfter tells the other side about a bad frame once and closes the
// connection: after a bad frame nothing on it can be trusted.
func (s *serverStream) endAfter(err error) {
	if BadFrame.Has(err) {
		s.server.counters.badFrames.Inc()
		s.server.options.Logger.WithError(err).Warn("closed a connection after a bad frame")
		s.notice(&peerpb.Frame{Payload: &peerpb.Frame_Error{Error: err.Error()}})
	}
	_ = s.session.Close()
}

func (s *serverStream) dispatch(frame *peerpb.Frame) {
	if !s.server.begin() {
		s.refuse(frame.GetCall(), "process is shutting down")
		return
	}
	err := s.server.pool.Submit(func() { s.handle(frame) })
	if err == nil {
		return
	}
	s.server.inFlight.Done()
	if errors.Is(err, ants.ErrPoolOverload) {
		s.server.counters.overloads.Inc()
	}
	s.refuse(frame.GetCall(), "process is overloaded")
}

func (s *serverStream) refuse(call uint64, reason string) {
	s.notice(&peerpb.Frame{
		Call:       call,
		Payload:    &peerpb.Frame_Error{Error: reason},
		NotStarted: true,
	})
}

func (s *serverStream) handle(frame *peerpb.Frame) {
	answer := &peerpb.Frame{Call: frame.GetCall(), Payload: &peerpb.Frame_Error{Error: "handler failed"}}
	defer func() { // also after a panic: the caller must not wait in vain
		s.answer(answer)
		s.server.inFlight.Done()
	}()
	timeout := defaultHandlerTimeout
	if left := frame.GetDeadlineUs(); left > 0 {
		timeout = min(time.Duration(left)*time.Microsecond, time.Hour)
	}
	ctx, cancel := context.WithTimeout(s.server.base, timeout)
	defer cancel()
	response := s.server.handler.Serve(ctx, frame.GetRequest())
	if response == nil {
		return
	}
	full := &peerpb.Frame{Call: frame.GetCall(), Version: protocolVersion, Payload: &peerpb.Frame_Response{Response: response}}
	if proto.Size(full) > s.server.options.MaxFrame {
		answer.Payload = &peerpb.Frame_Error{Error: "answer exceeds the frame limit"}
		return
	}
	answer = full
}

// answer writes an answer on the handler's goroutine. The last of the answers
// that are written at the same time flushes for all of them; each of them
// counts as in flight until it has returned from here.
func (s *serverStream) answer(frame *peerpb.Frame) {
	s.waiting.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.waiting.Add(-1) == 0
	s.write(frame, last)
}

// notice writes a frame that no call in flight stands for. Answers don't leave
// their flush to it: a shutdown would not wait for that.
func (s *serverStream) notice(frame *peerpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(frame, true)
}

// write is called under the lock. A stream that can't be written is of no use,
// nor is its session.
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
		_ = s.session.Close()
	}
}

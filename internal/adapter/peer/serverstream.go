package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// serverStream reads calls from one stream and writes their answers in the
// order in which they are ready.
type serverStream struct {
	server   *Server
	session  *yamux.Session
	conn     net.Conn
	outgoing chan outFrame
	done     chan struct{} // closed when nothing can be written any more

	mu     sync.RWMutex // senders share it; drop waits for them
	closed bool
}

// outFrame is an answer on its way out.
type outFrame struct {
	frame   *peerpb.Frame
	written func() // nil, or called once the frame was flushed or dropped
}

func newServerStream(server *Server, session *yamux.Session, conn net.Conn) *serverStream {
	return &serverStream{
		server:   server,
		session:  session,
		conn:     conn,
		outgoing: make(chan outFrame, writeQueue),
		done:     make(chan struct{}),
	}
}

func (s *serverStream) serve() {
	var writer sync.WaitGroup
	writer.Go(s.writeLoop)
	defer writer.Wait()
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
	if !BadFrame.Has(err) {
		_ = s.conn.Close()
		s.send(outFrame{}) // ends the writer
		return
	}
	s.server.counters.badFrames.Inc()
	s.server.options.Logger.WithError(err).Warn("closed a connection after a bad frame")
	s.send(outFrame{
		frame:   &peerpb.Frame{Payload: &peerpb.Frame_Error{Error: err.Error()}},
		written: func() { _ = s.session.Close() },
	})
	s.send(outFrame{})
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
	s.send(outFrame{frame: &peerpb.Frame{
		Call:       call,
		Payload:    &peerpb.Frame_Error{Error: reason},
		NotStarted: true,
	}})
}

func (s *serverStream) handle(frame *peerpb.Frame) {
	answer := &peerpb.Frame{Call: frame.GetCall(), Payload: &peerpb.Frame_Error{Error: "handler failed"}}
	defer func() { // also after a panic: the caller must not wait in vain
		s.send(outFrame{frame: answer, written: s.server.inFlight.Done})
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

func (s *serverStream) send(out outFrame) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		out.finish()
		return
	}
	select {
	case s.outgoing <- out:
	case <-s.done:
		out.finish()
	}
}

func (o outFrame) finish() {
	if o.written != nil {
		o.written()
	}
}

// writeLoop writes until an empty outFrame or an error. Answers that come
// later have nobody to go to and are dropped.
func (s *serverStream) writeLoop() {
	defer s.drop()
	writer := bufio.NewWriterSize(s.conn, bufferSize)
	for out := range s.outgoing {
		if out.frame == nil || !s.writeBatch(writer, out) {
			return
		}
	}
}

// writeBatch writes the answer and all others that wait, then flushes once.
// It reports whether the stream goes on.
func (s *serverStream) writeBatch(writer *bufio.Writer, out outFrame) bool {
	batch := []outFrame{out}
	last := false
	for more := true; more && !last; {
		select {
		case next := <-s.outgoing:
			last = next.frame == nil
			if !last {
				batch = append(batch, next)
			}
		default:
			more = false
		}
	}
	err := s.writeAll(writer, batch)
	for _, out := range batch {
		out.finish()
	}
	return err == nil && !last
}

func (s *serverStream) writeAll(writer *bufio.Writer, batch []outFrame) error {
	for _, out := range batch {
		if err := writeFrame(writer, out.frame); err != nil {
			return err
		}
		s.server.counters.messagesSent.Inc()
	}
	return writer.Flush()
}

func (s *serverStream) drop() {
	close(s.done)
	_ = s.session.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for {
		select {
		case out := <-s.outgoing:
			out.finish()
		default:
			return
		}
	}
}

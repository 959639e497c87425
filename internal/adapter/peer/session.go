package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// session is a client's connection to one address with its streams.
type session struct {
	client  *Client
	mux     *yamux.Session
	streams []*clientStream
	lastID  atomic.Uint64

	done    chan struct{}
	endOnce sync.Once
	err     error // set before done is closed
}

func dialSession(ctx context.Context, client *Client, address string) (*session, error) {
	conn, err := client.options.Dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	mux, err := yamux.Client(countedConn{conn, client.counters}, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	s := &session{client: client, mux: mux, done: make(chan struct{})}
	for range client.options.Streams {
		stream, err := mux.OpenStream()
		if err != nil {
			s.end(err)
			return nil, Error.Wrap(err)
		}
		s.streams = append(s.streams, newClientStream(s, stream))
	}
	for _, stream := range s.streams {
		go stream.writeLoop()
		go stream.readLoop()
	}
	return s, nil
}

func (s *session) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return s.mux.IsClosed()
	}
}

func (s *session) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		close(s.done)
		_ = s.mux.Close()
	})
}

// The states of a call. Only the writer moves a call to sent; whoever gives it
// up before that knows for certain that it never left.
const (
	callQueued int32 = iota
	callSent
	callWithdrawn
)

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	frame  *peerpb.Frame
	state  atomic.Int32
	answer chan *peerpb.Frame // capacity 1
}

// withdraw reports whether the call certainly never left.
func (p *pendingCall) withdraw() bool {
	return p.state.CompareAndSwap(callQueued, callWithdrawn)
}

func (p *pendingCall) fail(err error) error {
	if p.withdraw() {
		return port.NotStarted.Wrap(err)
	}
	return Error.Wrap(err)
}

// call sends the request and waits for the answer, the end of the session or
// that of the context.
func (s *session) call(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	id := s.lastID.Add(1)
	stream := s.streams[id%uint64(len(s.streams))]
	pending := &pendingCall{
		frame:  &peerpb.Frame{Call: id, Version: protocolVersion, Payload: &peerpb.Frame_Request{Request: request}},
		answer: make(chan *peerpb.Frame, 1),
	}
	if deadline, ok := ctx.Deadline(); ok {
		pending.frame.DeadlineUs = max(1, time.Until(deadline).Microseconds())
	}
	if size := proto.Size(pending.frame); size > s.client.options.MaxFrame {
		return nil, port.NotStarted.New("request of %d bytes exceeds the frame limit of %d", size, s.client.options.MaxFrame)
	}
	stream.add(id, pending)
	defer stream.remove(id)
	select {
	case stream.outgoing <- pending:
	case <-ctx.Done():
		return nil, port.NotStarted.Wrap(ctx.Err())
	case <-s.done:
		return nil, port.NotStarted.Wrap(s.err)
	}
	select {
	case frame := <-pending.answer:
		return unwrapAnswer(frame)
	case <-ctx.Done():
		return nil, pending.fail(ctx.Err())
	case <-s.done:
		return s.lastAnswer(pending)
	}
}

// lastAnswer prefers an answer that arrived just before the session ended.
func (s *session) lastAnswer(pending *pendingCall) (*peerpb.Response, error) {
	select {
	case frame := <-pending.answer:
		return unwrapAnswer(frame)
	default:
		return nil, pending.fail(s.err)
	}
}

func unwrapAnswer(frame *peerpb.Frame) (*peerpb.Response, error) {
	if response := frame.GetResponse(); response != nil {
		return response, nil
	}
	if frame.GetNotStarted() {
		return nil, port.NotStarted.New("%s", frame.GetError())
	}
	return nil, Error.New("%s", frame.GetError())
}

// clientStream carries a part of a session's calls.
type clientStream struct {
	session  *session
	conn     net.Conn
	outgoing chan *pendingCall

	mu      sync.Mutex
	pending map[uint64]*pendingCall
}

func newClientStream(s *session, conn net.Conn) *clientStream {
	return &clientStream{
		session:  s,
		conn:     conn,
		outgoing: make(chan *pendingCall, writeQueue),
		pending:  make(map[uint64]*pendingCall),
	}
}

func (c *clientStream) add(id uint64, call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = call
}

func (c *clientStream) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *clientStream) take(id uint64) *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.pending[id]
	delete(c.pending, id)
	return call
}

func (c *clientStream) writeLoop() {
	writer := bufio.NewWriterSize(c.conn, bufferSize)
	for {
		select {
		case call := <-c.outgoing:
			if err := c.writeCalls(writer, call); err != nil {
				c.session.end(err)
				return
			}
		case <-c.session.done:
			return
		}
	}
}

// writeCalls writes the call and all others that wait, then flushes once.
func (c *clientStream) writeCalls(writer *bufio.Writer, call *pendingCall) error {
	for {
		if call.state.CompareAndSwap(callQueued, callSent) {
			if err := writeFrame(writer, call.frame); err != nil {
				return err
			}
			c.session.client.counters.messagesSent.Inc()
		}
		select {
		case call = <-c.outgoing:
		default:
			return writer.Flush()
		}
	}
}

func (c *clientStream) readLoop() {
	reader := bufio.NewReaderSize(c.conn, bufferSize)
	counters := c.session.client.counters
	for {
		frame, err := readFrame(reader, c.session.client.options.MaxFrame)
		if BadFrame.Has(err) {
			counters.badFrames.Inc()
			c.session.client.options.Logger.WithError(err).Warn("closed a connection after a bad answer")
		}
		if err != nil {
			c.session.end(err)
			return
		}
		counters.messagesReceived.Inc()
		if !c.deliver(frame) {
			return
		}
	}
}

// deliver hands the answer to its call. It reports whether the stream goes on.
func (c *clientStream) deliver(frame *peerpb.Frame) bool {
	if frame.GetCall() == 0 { // the server's last word on this connection
		c.session.end(Error.New("%s", frame.GetError()))
		return false
	}
	call := c.take(frame.GetCall())
	if call == nil {
		c.session.client.counters.lateAnswers.Inc()
		return true
	}
	call.answer <- frame
	return true
}

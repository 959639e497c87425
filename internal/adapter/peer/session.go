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

// session is a client's connection to one address, with its streams.
type session struct {
	client  *Client
	conn    net.Conn // below mux
	mux     *yamux.Session
	streams []*clientStream
	lastID  atomic.Uint64

	readers sync.WaitGroup
	done    chan struct{} // closed when no more answers can arrive
	endOnce sync.Once
	err     error // set before done is closed
}

func dialSession(ctx context.Context, client *Client, address string) (*session, error) {
	conn, err := client.options.Dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	mux, err := yamux.Client(newMuxConn(conn, client.counters), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	go keepAlive(conn, mux)
	s := &session{client: client, conn: conn, mux: mux, done: make(chan struct{})}
	for range client.options.Streams {
		stream, err := mux.OpenStream()
		if err != nil {
			s.end(err)
			return nil, Error.Wrap(err)
		}
		s.streams = append(s.streams, newClientStream(s, stream))
	}
	for _, stream := range s.streams {
		s.readers.Go(stream.readLoop)
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

// end closes the session with the error. Answers that have already arrived on its
// streams are delivered before done is closed.
func (s *session) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		closeMux(s.conn, s.mux)
		go func() {
			s.readers.Wait()
			close(s.done)
		}()
	})
}

// pendingCall is a call in flight.
type pendingCall struct {
	answer chan *peerpb.Frame // capacity 1
}

// call sends the request and waits until the answer arrives, the session ends or
// the context is done.
func (s *session) call(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	id := s.lastID.Add(1)
	stream := s.streams[id%uint64(len(s.streams))]
	frame := &peerpb.Frame{Call: id, Version: protocolVersion, Payload: &peerpb.Frame_Request{Request: request}}
	if deadline, ok := ctx.Deadline(); ok {
		frame.DeadlineUs = max(1, time.Until(deadline).Microseconds())
	}
	if size := proto.Size(frame); size > s.client.options.MaxFrame {
		return nil, port.NotStarted.New("request of %d bytes exceeds the frame limit of %d", size, s.client.options.MaxFrame)
	}
	pending := &pendingCall{answer: make(chan *peerpb.Frame, 1)}
	stream.addPending(id, pending)
	defer stream.removePending(id)
	if err := stream.write(ctx, frame); err != nil {
		return nil, err
	}
	select {
	case frame := <-pending.answer:
		return unwrapAnswer(frame)
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-s.done:
		return s.answerOrEndError(pending)
	}
}

// answerOrEndError returns the answer if one arrived before the session ended,
// otherwise the error that ended the session.
func (s *session) answerOrEndError(pending *pendingCall) (*peerpb.Response, error) {
	select {
	case frame := <-pending.answer:
		return unwrapAnswer(frame)
	default:
		return nil, Error.Wrap(s.err)
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

// clientStream is one stream of a session and carries a share of its calls.
type clientStream struct {
	session        *session
	conn           net.Conn
	writeLock      chan struct{} // capacity 1; holds a token while a call writes
	writer         *bufio.Writer // guarded by writeLock
	waitingWriters atomic.Int32  // calls waiting for writeLock

	mu      sync.Mutex
	pending map[uint64]*pendingCall // by call id
}

func newClientStream(s *session, conn net.Conn) *clientStream {
	return &clientStream{
		session:   s,
		conn:      conn,
		writeLock: make(chan struct{}, 1),
		writer:    bufio.NewWriterSize(conn, bufferSize),
		pending:   make(map[uint64]*pendingCall),
	}
}

func (c *clientStream) addPending(id uint64, call *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = call
}

func (c *clientStream) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// popPending removes and returns the call with the id, or nil if it is no longer
// pending.
func (c *clientStream) popPending(id uint64) *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.pending[id]
	delete(c.pending, id)
	return call
}

// write writes the frame on the caller's goroutine, since a dedicated writer
// would cost a wake-up per call. Of several concurrent calls the last one flushes
// for all. An error of class port.NotStarted proves that no byte of the frame was
// written.
func (c *clientStream) write(ctx context.Context, frame *peerpb.Frame) error {
	c.waitingWriters.Add(1)
	select {
	case c.writeLock <- struct{}{}:
		c.waitingWriters.Add(-1)
	case <-ctx.Done():
		c.leaveWriteQueue()
		return port.NotStarted.Wrap(ctx.Err())
	case <-c.session.done:
		c.leaveWriteQueue()
		return port.NotStarted.Wrap(c.session.err)
	}
	defer func() { <-c.writeLock }()
	if err := ctx.Err(); err != nil {
		c.flush()
		return port.NotStarted.Wrap(err)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(c.writer, frame); err != nil {
		c.session.end(err)
		return Error.Wrap(err)
	}
	c.session.client.counters.messagesSent.Inc()
	c.flush()
	return nil
}

// flush sends the buffered frames unless another call is waiting to write, which
// then flushes. The caller holds writeLock.
func (c *clientStream) flush() {
	if c.waitingWriters.Load() > 0 {
		return
	}
	if err := c.writer.Flush(); err != nil {
		c.session.end(err)
	}
}

// leaveWriteQueue ends a wait for writeLock. It flushes in the background, since
// another call may have relied on this one for its flush.
func (c *clientStream) leaveWriteQueue() {
	c.waitingWriters.Add(-1)
	go func() {
		select {
		case c.writeLock <- struct{}{}:
			c.flush()
			<-c.writeLock
		case <-c.session.done:
		}
	}()
}

func (c *clientStream) readLoop() {
	reader := bufio.NewReaderSize(c.conn, bufferSize)
	counters := c.session.client.counters
	for {
		frame, err := readFrame(reader, c.session.client.options.MaxFrame)
		if BadFrame.Has(err) {
			counters.badFrames.Inc()
			c.session.client.options.Logger.WithError(err).Warn("received a bad frame from the server; closing the connection")
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

// deliver passes the answer to its call. It returns false if the server has closed
// the connection.
func (c *clientStream) deliver(frame *peerpb.Frame) bool {
	if frame.GetCall() == 0 { // the server reports why it closes the connection
		c.session.end(Error.New("%s", frame.GetError()))
		return false
	}
	call := c.popPending(frame.GetCall())
	if call == nil {
		c.session.client.counters.lateAnswers.Inc()
		return true
	}
	call.answer <- frame
	return true
}

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

	readers sync.WaitGroup
	done    chan struct{} // closed once no answer can arrive any more
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

// end closes the session. Answers that have arrived on other streams are still
// delivered before done is closed.
func (s *session) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		_ = s.mux.Close()
		go func() {
			s.readers.Wait()
			close(s.done)
		}()
	})
}

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	answer chan *peerpb.Frame // capacity 1
}

// call sends the request and waits for the answer, the end of the session or
// that of the context.
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
	stream.add(id, pending)
	defer stream.remove(id)
	if err := stream.write(ctx, frame); err != nil {
		return nil, err
	}
	select {
	case frame := <-pending.answer:
		return unwrapAnswer(frame)
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
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

// clientStream carries a part of a session's calls.
type clientStream struct {
	session *session
	conn    net.Conn
	lock    chan struct{} // holds a token while a call writes
	writer  *bufio.Writer // of the lock's holder
	waiting atomic.Int32  // calls that want the lock

	mu      sync.Mutex
	pending map[uint64]*pendingCall
}

func newClientStream(s *session, conn net.Conn) *clientStream {
	return &clientStream{
		session: s,
		conn:    conn,
		lock:    make(chan struct{}, 1),
		writer:  bufio.NewWriterSize(conn, bufferSize),
		pending: make(map[uint64]*pendingCall),
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

// write sends the frame on the caller's own goroutine: handing it to another
// one would cost a wake-up for each call. The last of the calls that write at
// the same time flushes for all of them. An error of type NotStarted proves
// that no byte of the frame was written.
func (c *clientStream) write(ctx context.Context, frame *peerpb.Frame) error {
	c.waiting.Add(1)
	select {
	case c.lock <- struct{}{}:
		c.waiting.Add(-1)
	case <-ctx.Done():
		c.giveUp()
		return port.NotStarted.Wrap(ctx.Err())
	case <-c.session.done:
		c.giveUp()
		return port.NotStarted.Wrap(c.session.err)
	}
	defer func() { <-c.lock }()
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

// flush sends what is buffered unless another call is about to write. The
// caller holds the lock.
func (c *clientStream) flush() {
	if c.waiting.Load() > 0 {
		return
	}
	if err := c.writer.Flush(); err != nil {
		c.session.end(err)
	}
}

// giveUp leaves the line of writers. Another call may have left its flush to
// this one.
func (c *clientStream) giveUp() {
	c.waiting.Add(-1)
	go func() {
		select {
		case c.lock <- struct{}{}:
			c.flush()
			<-c.lock
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

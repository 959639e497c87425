package peer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

type handlerFunc func(ctx context.Context, request *peerpb.Request) *peerpb.Response

func (f handlerFunc) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	return f(ctx, request)
}

// echo answers a GetJob with a status whose detail is the job id.
func echo(_ context.Context, request *peerpb.Request) *peerpb.Response {
	return status(request.GetGetJob().GetJobId())
}

func status(id string) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_JobStatus{JobStatus: &peerpb.JobStatus{Detail: id}}}
}

func getJob(id string) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_GetJob{GetJob: &peerpb.GetJob{JobId: id}}}
}

func start(t *testing.T, handler handlerFunc, options Options) (*Server, *Client) {
	t.Helper()
	options.Metrics = metrics.NewSet()
	server, err := Listen("127.0.0.1:0", handler, options)
	require.NoError(t, err)
	client := New(options)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Shutdown(context.Background())
	})
	return server, client
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	server, client := start(t, echo, Options{})
	var group sync.WaitGroup
	for i := range 500 {
		group.Go(func() {
			id := fmt.Sprint(i)
			response, err := client.Call(t.Context(), server.Addr(), getJob(id))
			if assert.NoError(t, err) {
				assert.Equal(t, id, response.GetJobStatus().GetDetail())
			}
		})
	}
	group.Wait()
}

func TestRefusedConnectionIsNotStarted(t *testing.T) {
	server, client := start(t, echo, Options{})
	address := server.Addr()
	require.NoError(t, server.Shutdown(t.Context()))
	_, err := client.Call(t.Context(), address, getJob("1"))
	assert.True(t, port.NotStarted.Has(err), "%v", err)
}

func TestCancelledCallHasUnknownOutcome(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server, client := start(t, func(context.Context, *peerpb.Request) *peerpb.Response {
		close(arrived)
		<-proceed
		return status("")
	}, Options{})
	defer close(proceed)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Call(ctx, server.Addr(), getJob("1"))
	require.Error(t, err)
	assert.False(t, port.NotStarted.Has(err), "the handler received the call: %v", err)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestClientReconnects(t *testing.T) {
	server, client := start(t, echo, Options{})
	address := server.Addr()
	_, err := client.Call(t.Context(), address, getJob("1"))
	require.NoError(t, err)
	require.NoError(t, server.Shutdown(t.Context()))
	replacement, err := Listen(address, handlerFunc(echo), Options{Metrics: metrics.NewSet()})
	require.NoError(t, err)
	defer func() { _ = replacement.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		_, err := client.Call(t.Context(), address, getJob("2"))
		return err == nil
	}, 30*time.Second, 5*time.Millisecond)
}

func TestShutdownFinishesCallsInFlight(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server, client := start(t, func(_ context.Context, request *peerpb.Request) *peerpb.Response {
		close(arrived)
		<-proceed
		return status(request.GetGetJob().GetJobId())
	}, Options{})
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), server.Addr(), getJob("1"))
		result <- err
	}()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return !server.accepts() }, 30*time.Second, time.Millisecond)
	_, err := client.Call(t.Context(), server.Addr(), getJob("2"))
	assert.True(t, port.NotStarted.Has(err), "a draining server must reject the call: %v", err)
	close(proceed)
	require.NoError(t, <-stopped)
	assert.NoError(t, <-result)
}

// accepts reports whether the server still accepts calls.
func (s *Server) accepts() bool {
	if !s.beginCall() {
		return false
	}
	s.inFlight.Done()
	return true
}

func TestOverloadIsNotStarted(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server, client := start(t, func(context.Context, *peerpb.Request) *peerpb.Response {
		close(arrived)
		<-proceed
		return status("")
	}, Options{MaxConcurrentCalls: 1})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(proceed)
	group.Go(func() { _, _ = client.Call(context.Background(), server.Addr(), getJob("1")) })
	<-arrived
	_, err := client.Call(t.Context(), server.Addr(), getJob("2"))
	assert.True(t, port.NotStarted.Has(err), "%v", err)
}

func TestHandlerPanicHasUnknownOutcome(t *testing.T) {
	server, client := start(t, func(context.Context, *peerpb.Request) *peerpb.Response {
		panic("handler bug")
	}, Options{})
	_, err := client.Call(t.Context(), server.Addr(), getJob("1"))
	require.Error(t, err)
	assert.False(t, port.NotStarted.Has(err))
}

func TestOversizeRequestIsNotSent(t *testing.T) {
	server, client := start(t, echo, Options{MaxFrame: 1000})
	_, err := client.Call(t.Context(), server.Addr(), getJob(string(make([]byte, 2000))))
	assert.True(t, port.NotStarted.Has(err), "%v", err)
	_, err = client.Call(t.Context(), server.Addr(), getJob("1"))
	assert.NoError(t, err, "the session must stay open")
}

// TestBadFrameClosesConnection sends input of a faulty or foreign process and
// expects one error frame, a closed connection and a server that still serves.
func TestBadFrameClosesConnection(t *testing.T) {
	unsupported := new(bytes.Buffer)
	_, err := protodelim.MarshalTo(unsupported, &peerpb.Frame{
		Call: 1, Version: 99, Payload: &peerpb.Frame_Request{Request: getJob("1")},
	})
	require.NoError(t, err)
	for name, raw := range map[string][]byte{
		"garbage":     []byte("\x10GET / HTTP/1.1\r\n\r\n"),
		"oversize":    {0xff, 0xff, 0xff, 0x7f},
		"bad length":  bytes.Repeat([]byte{0xff}, 12),
		"new version": unsupported.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			server, client := start(t, echo, Options{})
			conn, err := net.Dial("tcp", server.Addr())
			require.NoError(t, err)
			mux, err := yamux.Client(conn, yamuxConfig())
			require.NoError(t, err)
			stream, err := mux.OpenStream()
			require.NoError(t, err)
			// The server may have closed the session before Write returns.
			_, _ = stream.Write(raw)
			reader := bufio.NewReader(stream)
			frame, err := readFrame(reader, defaultMaxFrame)
			require.NoError(t, err)
			require.Contains(t, frame.GetError(), "bad peer frame")
			_, err = readFrame(reader, defaultMaxFrame)
			assert.Error(t, err, "the connection must be closed")
			assert.Equal(t, uint64(1), server.counters.badFrames.Get())
			_, err = client.Call(t.Context(), server.Addr(), getJob("1"))
			assert.NoError(t, err)
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	valid := new(bytes.Buffer)
	writer := bufio.NewWriter(valid)
	_ = writeFrame(writer, &peerpb.Frame{Call: 7, Payload: &peerpb.Frame_Request{Request: getJob("j")}})
	_ = writer.Flush()
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:valid.Len()/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := bufio.NewReader(bytes.NewReader(raw))
		for range len(raw) + 1 {
			frame, err := readFrame(reader, 1<<16)
			if err != nil {
				return
			}
			if frame.GetVersion() != protocolVersion {
				t.Fatal("a frame of another version was accepted")
			}
		}
		t.Fatal("reader makes no progress")
	})
}

// TestCancelledWriterFlushesForOthers guards against a frame that stays in the
// buffer until the next call: its call relied on a waiting call for the flush, and
// that call was cancelled while it waited for the write lock.
func TestCancelledWriterFlushesForOthers(t *testing.T) {
	server, client := start(t, echo, Options{Streams: 1})
	_, err := client.Call(t.Context(), server.Addr(), getJob("0"))
	require.NoError(t, err)
	stream := client.links[server.Addr()].session.streams[0]

	stream.writeLock <- struct{}{}
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, server.Addr(), getJob("1"))
		result <- err
	}()
	require.Eventually(t, func() bool { return stream.waitingWriters.Load() == 1 }, 30*time.Second, time.Millisecond)
	const id = 99
	unflushed := &pendingCall{answer: make(chan *peerpb.Frame, 1)}
	stream.addPending(id, unflushed)
	require.NoError(t, writeFrame(stream.writer, &peerpb.Frame{Call: id, Payload: &peerpb.Frame_Request{Request: getJob("99")}}))
	stream.flush()
	cancel()
	assert.True(t, port.NotStarted.Has(<-result), "the call never acquired the write lock")
	<-stream.writeLock
	select {
	case answer := <-unflushed.answer:
		assert.Equal(t, "99", answer.GetResponse().GetJobStatus().GetDetail())
	case <-time.After(30 * time.Second):
		t.Fatal("the frame was not flushed")
	}
}

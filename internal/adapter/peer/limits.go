package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	// frameTimeout bounds the time for a frame that is larger than bufferSize, and its
	// parts are read in steps of frameStep at first.
	frameTimeout = 10 * time.Second
	frameStep    = 64 << 10
	// frameCost is the memory of a frame in multiples of its bytes: the buffer, its
	// previous one while it grows, and the decoded frame.
	frameCost = 3
	// newSession is how long a session without a complete frame is safe from a new one
	// when the server is full.
	newSession = time.Second
	// limitLogInterval bounds the log lines on closed sessions.
	limitLogInterval = 10 * time.Second
	// acceptRetryPause is the pause after a connection could not be accepted for want of
	// file descriptors or memory.
	acceptRetryPause = 50 * time.Millisecond
)

// errNoRoom means that a frame was not read because the budget is exhausted.
var errNoRoom = errors.New("no memory is left for the frame")

// Limits bound what clients may hold of a Server. Zero means no limit.
type Limits struct {
	Sessions   int    // open at once
	Streams    int    // of a session
	MaxRequest int    // bytes of a frame; at most MaxFrame
	Budget     Budget // for frames that are being read; may be nil
}

// Budget is an amount of memory in bytes.
type Budget interface {
	// Reserve takes n bytes. It returns false and takes none if fewer are left.
	Reserve(n int64) bool
	Release(n int64)
}

// sessionState is what the server knows of a session for its limits.
type sessionState struct {
	conn   net.Conn
	since  time.Time
	served atomic.Bool // a complete frame has arrived
}

// closedSessions counts the sessions that the limits closed.
type closedSessions struct {
	full, streams, memory *metrics.Counter
	lastLog               atomic.Int64 // Unix ns
}

func newClosedSessions(set *metrics.Set) *closedSessions {
	return &closedSessions{
		full:    set.GetOrCreateCounter(`balsam_door_closed_total{door="peers",reason="full"}`),
		streams: set.GetOrCreateCounter(`balsam_door_closed_total{door="peers",reason="streams"}`),
		memory:  set.GetOrCreateCounter(`balsam_door_closed_total{door="peers",reason="memory"}`),
	}
}

// limited counts a session that a limit closed, and logs it unless another was logged
// shortly before.
func (s *Server) limited(count *metrics.Counter, reason string) {
	count.Inc()
	now, last := time.Now().UnixNano(), s.closed.lastLog.Load()
	if now-last > int64(limitLogInterval) && s.closed.lastLog.CompareAndSwap(last, now) {
		s.options.Logger.WithField("reason", reason).Warn("a peer's session exceeded the server's limits; it was closed")
	}
}

// makeRoom closes the session that has gone without a frame for the longest time if the
// server is full. It returns false if there is none. The caller holds s.mu.
func (s *Server) makeRoom() bool {
	if limit := s.options.Limits.Sessions; limit <= 0 || len(s.sessions) < limit {
		return true
	}
	s.limited(s.closed.full, "full")
	var oldest *yamux.Session
	since := time.Now().Add(-newSession)
	for session, state := range s.sessions {
		if !state.served.Load() && state.since.Before(since) {
			oldest, since = session, state.since
		}
	}
	if oldest == nil {
		return false
	}
	go closeMux(s.sessions[oldest].conn, oldest) // waits for the session's goroutines
	delete(s.sessions, oldest)
	return true
}

// readRequest reads a frame and returns the bytes of the budget that it holds.
func (s *serverStream) readRequest(reader *bufio.Reader) (frame *peerpb.Frame, held int64, err error) {
	limit := s.server.options.MaxFrame
	if most := s.server.options.Limits.MaxRequest; most > 0 {
		limit = min(limit, most)
	}
	size, err := readSize(reader, limit)
	if err != nil {
		return nil, 0, err
	}
	if size <= bufferSize {
		frame, err = readSmallFrame(reader, size)
		return frame, 0, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	data, held, err := s.readLarge(reader, size)
	_ = s.conn.SetReadDeadline(time.Time{})
	if err == nil {
		frame, err = decodeFrame(data)
	}
	if err != nil {
		s.release(held)
		return nil, 0, err
	}
	return frame, held, nil
}

// readLarge reads size bytes into a buffer that grows as they arrive, so that a frame
// takes memory only for bytes that were sent.
func (s *serverStream) readLarge(reader io.Reader, size int) (data []byte, held int64, err error) {
	for len(data) < size {
		if len(data) == cap(data) {
			grown := min(max(frameStep, 2*cap(data)), size)
			if !s.reserve(int64(grown)*frameCost - held) {
				return nil, held, errNoRoom
			}
			held = int64(grown) * frameCost
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return nil, held, err
		}
	}
	return data, held, nil
}

func (s *serverStream) reserve(n int64) bool {
	budget := s.server.options.Limits.Budget
	return budget == nil || budget.Reserve(n)
}

func (s *serverStream) release(n int64) {
	if budget := s.server.options.Limits.Budget; budget != nil && n > 0 {
		budget.Release(n)
	}
}

// readSize reads the length of a frame of at most limit bytes, a varint.
func readSize(reader *bufio.Reader, limit int) (int, error) {
	var encoded []byte
	for len(encoded) < binary.MaxVarintLen64 {
		b, err := reader.ReadByte()
		if errors.Is(err, io.EOF) && len(encoded) > 0 {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if encoded = append(encoded, b); b < 0x80 {
			break
		}
	}
	size, n := binary.Uvarint(encoded)
	if n <= 0 {
		return 0, BadFrame.New("length of a frame can't be decoded")
	}
	if size > uint64(limit) {
		return 0, BadFrame.New("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	return int(size), nil
}

// readSmallFrame reads a frame that fits the reader's buffer.
func readSmallFrame(reader *bufio.Reader, size int) (*peerpb.Frame, error) {
	data, err := reader.Peek(size)
	if err != nil {
		return nil, err
	}
	frame, err := decodeFrame(data)
	_, _ = reader.Discard(size)
	return frame, err
}

func decodeFrame(data []byte) (*peerpb.Frame, error) {
	frame := new(peerpb.Frame)
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, BadFrame.New("frame can't be decoded")
	}
	return frame, checkVersion(frame)
}

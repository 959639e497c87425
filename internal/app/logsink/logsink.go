// Package logsink writes a process's log lines without ever holding back the
// code that logs. Lines wait in a bounded buffer for a writer of their own.
// When it fills up, ordinary lines are left out first; what was left out is
// counted and said.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// bufferBytes bounds the lines that wait.
	bufferBytes = 1 << 20
	// ordinaryShare is the part of the buffer that lines below Warn may fill.
	ordinaryShare = 0.5
	// flushPause lets lines gather into one write.
	flushPause = 100 * time.Millisecond
	// atomicWrite is the size up to which a write to a pipe is not mixed with
	// those of other processes (PIPE_BUF on Linux).
	atomicWrite = 4096
)

// Sink is a logrus formatter that keeps the lines instead of returning them.
// It is safe for concurrent use.
type Sink struct {
	format logrus.Formatter
	out    io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped map[logrus.Level]int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a logger whose JSON lines go to out through a Sink.
func New(out io.Writer) (*logrus.Logger, *Sink) {
	s := &Sink{
		format:  &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		out:     out,
		dropped: map[logrus.Level]int{},
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(s)
	go s.write()
	return logger, s
}

// Format implements logrus.Formatter. It returns no bytes.
func (s *Sink) Format(entry *logrus.Entry) ([]byte, error) {
	line, err := s.format.Format(entry)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := bufferBytes
	if entry.Level > logrus.WarnLevel {
		limit = int(bufferBytes * ordinaryShare)
	}
	if s.closed || len(s.buffer)+len(line) > limit {
		s.dropped[entry.Level]++
		metrics.GetOrCreateCounter(fmt.Sprintf(`balsam_log_lines_dropped_total{level=%q}`, entry.Level)).Inc()
		return nil, nil
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

// Close writes what waits, for at most the given time.
func (s *Sink) Close(within time.Duration) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	select {
	case <-s.done:
	case <-time.After(within):
	}
}

func (s *Sink) write() {
	defer close(s.done)
	for range s.wake {
		s.flush()
		time.Sleep(flushPause)
	}
	s.flush()
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = s.spare[:0]
	for level, count := range s.dropped {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log lines left out","dropped_level":%q,"count":%d}`+"\n", level, count)
	}
	clear(s.dropped)
	s.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		piece := firstLines(rest)
		_, _ = s.out.Write(piece) // there is nowhere left to report a failed log write
		rest = rest[len(piece):]
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// firstLines returns as many whole lines as one atomic write takes, or the
// first line if it is longer.
func firstLines(lines []byte) []byte {
	if len(lines) <= atomicWrite {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:atomicWrite], '\n'); end >= 0 {
		return lines[:end+1]
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines
}

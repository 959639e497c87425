// Package logsink writes a process's log lines without ever holding back the
// code that logs. Lines wait in a bounded buffer for a writer of their own.
// When it fills up, ordinary lines are left out first; when there are more of a
// kind than the process may spend processor time on, a sample of them is kept.
// What was left out is counted and said.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// bufferBytes bounds the lines that wait.
	bufferBytes = 1 << 20
	// ordinaryShare is the part of the buffer that lines below Warn may fill.
	ordinaryShare = 0.5
	// flushPause lets lines gather into one write.
	flushPause = 100 * time.Millisecond
	// processorShare is the part of the VM's processor time that lines may take.
	processorShare = 0.03
	// lineTime is the processor time of one line (BenchmarkLine).
	lineTime = 7 * time.Microsecond
	// kindShare is the part of all lines that ordinary lines of one kind may make
	// up in the long run; for a second they may make up all.
	kindShare = 0.25
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
	dropped map[omission]int
	kinds   map[string]*rate.Limiter // by the message of ordinary lines
	perKind float64                  // lines a second
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// omission is what lines that were left out had in common.
type omission struct {
	level  logrus.Level
	kind   string // empty if the buffer was full
	reason string
}

const (
	bufferFull = "buffer is full"
	sampled    = "too many of a kind"
)

// New returns a logger whose JSON lines go to out through a Sink. cores is the
// processor time that the VM has.
func New(out io.Writer, cores float64) (*logrus.Logger, *Sink) {
	s := &Sink{
		format:  &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		out:     out,
		dropped: map[omission]int{},
		kinds:   map[string]*rate.Limiter{},
		perKind: kindShare * processorShare * cores * float64(time.Second/lineTime),
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
	if entry.Level > logrus.WarnLevel && !s.keep(entry) {
		return nil, nil
	}
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
		s.leaveOut(omission{entry.Level, "", bufferFull})
		return nil, nil
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

// keep reports whether the line is part of the sample of its kind.
func (s *Sink) keep(entry *logrus.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, ok := s.kinds[entry.Message]
	if !ok {
		kind = rate.NewLimiter(rate.Limit(s.perKind), int(s.perKind/kindShare))
		s.kinds[entry.Message] = kind
	}
	if kind.AllowN(entry.Time, 1) {
		return true
	}
	s.leaveOut(omission{entry.Level, entry.Message, sampled})
	return false
}

// leaveOut counts a line that is not written. The caller holds mu.
func (s *Sink) leaveOut(what omission) {
	s.dropped[what]++
	metrics.GetOrCreateCounter(fmt.Sprintf(`balsam_log_lines_dropped_total{level=%q}`, what.level)).Inc()
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
	for what, count := range s.dropped {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log lines left out","dropped_level":%q,"kind":%q,"reason":%q,"count":%d}`+"\n",
			what.level, what.kind, what.reason, count)
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

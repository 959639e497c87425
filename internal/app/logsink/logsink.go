// Package logsink writes a process's log lines without blocking the code that
// logs. Lines wait in a bounded buffer for a writer goroutine. When the buffer
// fills up, lines below warning level are dropped first. Lines of one message that
// would take too much processor time are sampled. Dropped lines are counted and
// the counts are logged.
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
	// bufferBytes bounds the size of the buffered lines.
	bufferBytes = 1 << 20
	// ordinaryShare is the part of the buffer that lines below warning level may fill.
	ordinaryShare = 0.5
	// flushInterval batches lines into one write.
	flushInterval = 100 * time.Millisecond
	// processorShare is the part of the VM's processor time that logging may take.
	processorShare = 0.03
	// lineCost is the processor time of one line (BenchmarkLine).
	lineCost = 7 * time.Microsecond
	// messageShare is the part of the permitted line rate that ordinary lines of one
	// message may use in the long run; a burst may use all of it for a second.
	messageShare = 0.25
	// atomicWrite is the size up to which a write to a pipe is not interleaved with
	// those of other processes (PIPE_BUF on Linux).
	atomicWrite = 4096
)

// Sink is a logrus formatter that buffers the lines instead of returning them. It is
// safe for concurrent use.
type Sink struct {
	format logrus.Formatter
	out    io.Writer

	mu             sync.Mutex
	buffer         []byte
	spare          []byte // memory of the lines written last, reused for the next buffer
	dropped        map[dropKey]int
	droppedTotal   map[logrus.Level]*metrics.Counter
	limiters       map[string]*rate.Limiter // by the message of ordinary lines
	ratePerMessage float64                  // lines a second
	closed         bool
	wake           chan struct{}
	done           chan struct{}
}

// dropKey groups dropped lines.
type dropKey struct {
	level   logrus.Level
	message string // of sampled lines; empty if the buffer was full
	reason  string
}

const (
	bufferFull = "buffer is full"
	sampled    = "too many of a kind"
)

// New returns a logger whose JSON lines go to out through a Sink. processors is the
// number of processors of the VM, which may be fractional.
func New(out io.Writer, processors float64) (*logrus.Logger, *Sink) {
	s := &Sink{
		format:         &logrus.JSONFormatter{TimestampFormat: timeFormat},
		out:            out,
		dropped:        map[dropKey]int{},
		droppedTotal:   map[logrus.Level]*metrics.Counter{},
		limiters:       map[string]*rate.Limiter{},
		ratePerMessage: messageShare * processorShare * processors * float64(time.Second/lineCost),
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	for _, level := range logrus.AllLevels {
		s.droppedTotal[level] = metrics.GetOrCreateCounter(fmt.Sprintf(`balsam_log_lines_dropped_total{level=%q}`, level))
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(s)
	go s.write()
	return logger, s
}

// Format implements logrus.Formatter. It returns no bytes.
func (s *Sink) Format(entry *logrus.Entry) ([]byte, error) {
	if entry.Level > logrus.WarnLevel && !s.inSample(entry) {
		return nil, nil
	}
	buffer := lines.Get().(*[]byte)
	defer lines.Put(buffer)
	line, usual := appendLine((*buffer)[:0], entry)
	*buffer = line
	if !usual {
		var err error
		if line, err = s.format.Format(entry); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := bufferBytes
	if entry.Level > logrus.WarnLevel {
		limit = int(bufferBytes * ordinaryShare)
	}
	if s.closed || len(s.buffer)+len(line) > limit {
		s.countDropped(dropKey{entry.Level, "", bufferFull})
		return nil, nil
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

// Wanted reports whether the logger would write an ordinary line with the message now. If
// not, the line counts as dropped and the caller need not build it. Loggers without a
// Sink want every line.
func Wanted(logger logrus.FieldLogger, message string) bool {
	var formatter logrus.Formatter
	switch l := logger.(type) {
	case *logrus.Logger:
		formatter = l.Formatter
	case *logrus.Entry:
		formatter = l.Logger.Formatter
	}
	s, ok := formatter.(*Sink)
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter(message).Tokens() >= 1 {
		return true
	}
	s.countDropped(dropKey{logrus.InfoLevel, message, sampled})
	return false
}

// limiter returns the limiter of the message's lines. The caller holds mu.
func (s *Sink) limiter(message string) *rate.Limiter {
	limiter, ok := s.limiters[message]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(s.ratePerMessage), int(s.ratePerMessage/messageShare))
		s.limiters[message] = limiter
	}
	return limiter
}

// inSample reports whether the line is within the rate limit of its message.
func (s *Sink) inSample(entry *logrus.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter(entry.Message).AllowN(entry.Time, 1) {
		return true
	}
	s.countDropped(dropKey{entry.Level, entry.Message, sampled})
	return false
}

// countDropped counts a line that is not written. The caller holds mu.
func (s *Sink) countDropped(key dropKey) {
	s.dropped[key]++
	s.droppedTotal[key.level].Inc()
}

// Close writes the buffered lines; it returns after the given time at the latest.
// Lines logged afterwards are dropped.
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

// write flushes the buffer until Close.
func (s *Sink) write() {
	defer close(s.done)
	for range s.wake {
		s.flush()
		time.Sleep(flushInterval)
	}
	s.flush()
}

// flush writes the buffered lines and one line for each group of dropped lines.
func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = s.spare[:0]
	for key, count := range s.dropped {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log lines dropped","dropped_level":%q,"kind":%q,"reason":%q,"count":%d}`+"\n",
			key.level, key.message, key.reason, count)
	}
	clear(s.dropped)
	s.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		piece := leadingLines(rest)
		_, _ = s.out.Write(piece) // there is nowhere left to report a failed log write
		rest = rest[len(piece):]
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// leadingLines returns as many complete lines as fit into one atomic write, or the
// first line if it is longer.
func leadingLines(lines []byte) []byte {
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

package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
)

const testProcessors = 0.4

// stuckWriter blocks every write until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	logger, sink := New(out, testProcessors)
	detail := strings.Repeat("x", 1000)
	start := time.Now()
	for range 20_000 { // some 20 MB
		logger.WithField("detail", detail).Info("ordinary")
	}
	for range 100 {
		logger.WithField("detail", detail).Warn("kept longest")
	}
	assert.Less(t, time.Since(start), 10*time.Second)
	sink.mu.Lock()
	buffered := len(sink.buffer)
	sink.mu.Unlock()
	assert.LessOrEqual(t, buffered, bufferBytes)

	close(out.release)
	sink.Close(5 * time.Second)
	written := out.got.String()
	assert.Equal(t, 100, strings.Count(written, `"msg":"kept longest"`))
	assert.Contains(t, written, `"msg":"log lines dropped"`)
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	logger, sink := New(&out, testProcessors)
	logger.Info("node stopped")
	sink.Close(time.Second)
	assert.Contains(t, out.String(), "node stopped")
}

func TestFrequentMessageIsSampled(t *testing.T) {
	var out bytes.Buffer
	logger, sink := New(&out, testProcessors)
	at := time.Now()
	for range 20_000 {
		logger.WithTime(at).Info("run_placed")
	}
	logger.Info("cell claimed")
	for range 3 {
		logger.Warn("submission refused")
	}
	sink.Close(time.Second)
	written := out.String()
	// The burst is one second of the permitted rate: 3 % of 0.4 processors at 7 µs a line.
	kept := strings.Count(written, `"msg":"run_placed"`)
	assert.Equal(t, 1714, kept)
	assert.Contains(t, written, "cell claimed")
	assert.Equal(t, 3, strings.Count(written, "submission refused"))
	assert.Contains(t, written, `"kind":"run_placed","reason":"too many of a kind","count":`)
}

// An owner of 0.8 processors decides 1,420 starts and as many ends a second; two thirds of
// these lines are dropped, and asking first must cost next to nothing.
func TestUnwantedLineIsCountedAndCostsNoMemory(t *testing.T) {
	var out bytes.Buffer
	logger, sink := New(&out, testProcessors)
	entry := logger.WithField("part", "dispatcher")
	wanted := 0
	for range 20_000 {
		if Wanted(entry, "run_placed") {
			wanted++
			entry.Info("run_placed")
		}
	}
	assert.GreaterOrEqual(t, wanted, 1714)
	assert.Less(t, wanted, 10_000)
	assert.LessOrEqual(t, testing.AllocsPerRun(10, func() {
		for range 1000 {
			Wanted(entry, "run_placed")
		}
	}), 1000*0.1)
	assert.True(t, Wanted(logger, "cell claimed"), "each message has its own limit")
	assert.True(t, Wanted(logrus.New(), "run_placed"), "a logger without a sink has none")
	sink.Close(time.Second)
	written := out.String()
	assert.Equal(t, wanted, strings.Count(written, `"msg":"run_placed"`))
	assert.Contains(t, written, `"kind":"run_placed","reason":"too many of a kind","count":`)
}

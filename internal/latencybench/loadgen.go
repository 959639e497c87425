package latencybench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = time.Minute
	significantDigits = 3 // of recorded latencies
)

// loadGenerator sends requests at a constant rate, independent of the answers
// (an open-loop load), and collects the latencies of all its runs.
type loadGenerator struct {
	name string
	send func(n int) bool

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	failed   int
	sent     int
	duration time.Duration
}

func (g *loadGenerator) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latency = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	g.failed, g.sent, g.duration = 0, 0, 0
}

// run sends requests for the duration and waits for all answers.
func (g *loadGenerator) run(perSecond int, duration time.Duration) {
	if g.latency == nil {
		g.reset()
	}
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	started := time.Now()
	n := 0
	for ; time.Since(started) < duration; n++ {
		if wait := time.Until(started.Add(time.Duration(n) * interval)); wait > 0 {
			time.Sleep(wait)
		}
		wg.Go(func() { g.sendOne(n) })
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent += n
	g.duration += time.Since(started)
}

func (g *loadGenerator) sendOne(n int) {
	started := time.Now()
	ok := g.send(n)
	elapsed := time.Since(started)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok {
		g.failed++
	}
	_ = g.latency.RecordValue(elapsed.Microseconds())
}

func (g *loadGenerator) writeResult(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-20s sent %d (%.0f/s), failed %d, p50 %s, p99 %s, p99.9 %s, max %s\n", g.name,
		g.sent, float64(g.sent)/g.duration.Seconds(), g.failed, g.latencyAt(50), g.latencyAt(99), g.latencyAt(99.9), g.latencyAt(100))
}

// latencyAt returns the latency at a percentile from 0 to 100.
func (g *loadGenerator) latencyAt(percentile float64) time.Duration {
	return time.Duration(g.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// writeDifference prints the latency that the system adds to direct calls.
func writeDifference(w io.Writer, direct, system *loadGenerator) {
	_, _ = fmt.Fprintf(w, "%-20s p50 %s, p99 %s\n", "added", system.latencyAt(50)-direct.latencyAt(50), system.latencyAt(99)-direct.latencyAt(99))
}

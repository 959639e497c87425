package bench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency = time.Minute
	digits     = 3 // significant figures
)

// phase sends at a constant rate, whatever the answers do, and collects the
// latencies.
type phase struct {
	name string
	send func(n int) bool

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	failed   int
	sent     int
	duration time.Duration
}

func (p *phase) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = hdrhistogram.New(1, maxLatency.Microseconds(), digits)
	p.failed, p.sent, p.duration = 0, 0, 0
}

// run sends for the duration and waits for all answers.
func (p *phase) run(perSecond int, duration time.Duration) {
	if p.latency == nil {
		p.reset()
	}
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	started := time.Now()
	n := 0
	for ; time.Since(started) < duration; n++ {
		if wait := time.Until(started.Add(time.Duration(n) * interval)); wait > 0 {
			time.Sleep(wait)
		}
		wg.Go(func() { p.one(n) })
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent += n
	p.duration += time.Since(started)
}

func (p *phase) one(n int) {
	started := time.Now()
	ok := p.send(n)
	took := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.failed++
	}
	_ = p.latency.RecordValue(took.Microseconds())
}

func (p *phase) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-20s sent %d (%.0f/s), failed %d, p50 %s, p99 %s, p99.9 %s, max %s\n", p.name,
		p.sent, float64(p.sent)/p.duration.Seconds(), p.failed, p.at(50), p.at(99), p.at(99.9), p.at(100))
}

func (p *phase) at(percentile float64) time.Duration {
	return time.Duration(p.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

func writeDifference(w io.Writer, direct, through *phase) {
	_, _ = fmt.Fprintf(w, "%-20s p50 %s, p99 %s\n", "added", through.at(50)-direct.at(50), through.at(99)-direct.at(99))
}

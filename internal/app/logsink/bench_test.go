package logsink

import (
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// BenchmarkLine measures the processor time of logging one decision, from the call
// to the write.
func BenchmarkLine(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	require.NoError(b, err)
	defer func() { _ = out.Close() }()
	logger, sink := New(out, 1000)
	defer sink.Close(time.Second)
	entry := logger.WithField("node", "frontend-1").WithField("part", "dispatcher")
	b.ReportAllocs()
	for b.Loop() {
		entry.WithFields(logrus.Fields{
			"job": "6bb19f7d733f5488", "team": "cuvo844", "queue": "r-w6emvpv", "epoch": 3,
			"task": "6bb19f7d733f5488.0.0.3", "run": 1, "worker": "i-8a5301dbed",
		}).Info("run_placed")
	}
}

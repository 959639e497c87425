package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWriteSortsLinesOfAllNodesByTime(t *testing.T) {
	first := strings.NewReader(`not a log line
  15.7 n1 {"job":"aa","msg":"submission accepted","node":"n1","time":"2026-01-02T07:06:22.100Z","team":"t"}
{"job":"bb","msg":"run_placed","node":"n1","time":"2026-01-02T07:06:22.150Z"}
`)
	second := strings.NewReader(`{"job":"aa","msg":"job_completed","node":"n2","time":"2026-01-02T07:06:24.000Z"}
{"msg":"cell claimed","node":"n2","epoch":3,"time":"2026-01-02T07:06:23.000Z"}
{"msg":"cell claimed","node":"n3","epoch":4,"time":"2026-01-02T07:07:00.000Z"}
{"job":"aa","msg":"run_placed","node":"n1","time":"2026-01-02T07:06:22.200Z","task":"aa.0.0.0"}
`)
	var out bytes.Buffer
	require.NoError(t, Write(&out, "aa", first, second))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4)
	for i, want := range []string{"submission accepted", "run_placed", "cell claimed", "job_completed"} {
		assert.Contains(t, lines[i], want)
	}
	assert.Contains(t, lines[0], "team=t")
}

// TestWriteIncludesCellMessagesOfNewAndOldLogs guards against a changed cell-wide
// message that is no longer found in new logs, or not found in older ones.
func TestWriteIncludesCellMessagesOfNewAndOldLogs(t *testing.T) {
	messages := []string{
		"cell claimed", "cell taken over", "cell given up", "node starting", "node stopping",
		"cell log append failed; retrying", "cell log accepts appends again",
		"node starts", "node leaves", "cell log took no append, trying again", "cell log takes appends again",
	}
	var log strings.Builder
	log.WriteString(`{"job":"aa","msg":"submission accepted","node":"n1","time":"2026-01-02T07:06:22.100Z"}` + "\n")
	for _, message := range messages {
		log.WriteString(`{"msg":"` + message + `","node":"n1","time":"2026-01-02T07:06:23.000Z"}` + "\n")
	}
	log.WriteString(`{"job":"aa","msg":"job_completed","node":"n1","time":"2026-01-02T07:06:24.000Z"}` + "\n")
	var out bytes.Buffer
	require.NoError(t, Write(&out, "aa", strings.NewReader(log.String())))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, len(messages)+2)
	for i, message := range messages {
		assert.Contains(t, lines[i+1], " "+message+" ")
	}
}

func TestWriteFailsForUnknownJob(t *testing.T) {
	require.Error(t, Write(&bytes.Buffer{}, "aa", strings.NewReader("{}\n")))
}

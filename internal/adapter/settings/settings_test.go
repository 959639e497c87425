package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// findingLines returns the line of each finding by key.
func findingLines(t *testing.T, err error) map[string]int {
	t.Helper()
	var list findings.List
	require.True(t, errors.As(err, &list), "%v", err)
	out := map[string]int{}
	for _, f := range list {
		assert.NotContains(t, out, f.Key, "reported twice")
		out[f.Key] = f.Line
	}
	return out
}

func TestLoadSchedReadsUnits(t *testing.T) {
	s, err := LoadSched(write(t, `
address = "10.1.0.1:7400"
failure_domain = "marrakech"
platform = { log = "http://10.0.0.1:80", vm_list = "http://10.0.0.1:81" }
[lease]
renew = "250ms"
[limits]
max_message = "1.5MiB"
`))
	require.NoError(t, err)
	assert.Equal(t, 250*time.Millisecond, s.Lease.Renew)
	assert.Equal(t, 1536*KiB, s.Limits.MaxMessage)
	assert.Equal(t, PolicyWaiting, s.Policy.Name)
	assert.Len(t, s.Member, 26)
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	_, err := LoadSched(write(t, `address = "nowhere"
failure_domain = 3
colour = "red"
platform = { log = "ftp://x", vm_list = "http://10.0.0.1", extra = 1 }
[lease]
renew = 5
duration = "2 seconds"
[limits]
max_message = "5MB"
[policy]
name = "fast"
`))
	assert.Equal(t, map[string]int{
		"address":            1,
		"failure_domain":     2,
		"colour":             3,
		"platform.log":       4,
		"platform.extra":     4,
		"lease.renew":        6,
		"lease.duration":     7,
		"limits.max_message": 9,
		"policy.name":        11,
	}, findingLines(t, err))
}

func TestContradictorySettingsAreReported(t *testing.T) {
	_, err := LoadEntry(write(t, `listen = ":80"
metrics_address = ":80"
failure_domain = "bergen"
[platform]
log = "http://l"
vm_list = "http://v"
[timeouts]
header = "20s"
[config]
fresh_for = "1m"
`))
	assert.Equal(t, map[string]int{"metrics_address": 2, "timeouts.header": 8, "config.fresh_for": 10}, findingLines(t, err))
}

func TestInvalidTOMLReportsLine(t *testing.T) {
	_, err := LoadCtl(write(t, "timeout = \"2s\"\n[platform\n"))
	assert.Equal(t, map[string]int{"": 2}, findingLines(t, err))
}

func TestTemplateFindings(t *testing.T) {
	_, err := ParseTemplates("t.toml", []byte(`[[template]]
team = "quotes"
kinds = ["quick"]
share = 1
services = ["quotes"]
max_queued = 10
[template.upper_limit]
slots = 4

[[template]]
team = "quotes"
kinds = ["batch", "bulk"]
share = -1
max_queued = 5
upper_limit = { processors = 1.5, memory = "10" }
`))
	assert.Equal(t, map[string]int{
		"template[1].team":               11,
		"template[1].kinds[1]":           12,
		"template[1].share":              13,
		"template[1].upper_limit":        15,
		"template[1].upper_limit.memory": 15,
	}, findingLines(t, err))
}

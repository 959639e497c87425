package logsink

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type namedText string

type marshaledText string

func (marshaledText) MarshalJSON() ([]byte, error) { return []byte("7"), nil }

type writtenText string

func (writtenText) MarshalText() ([]byte, error) { return []byte("other"), nil }

// Lines are those of logrus.JSONFormatter, whichever code writes them.
func TestLinesEqualThoseOfLogrus(t *testing.T) {
	formatter := &logrus.JSONFormatter{TimestampFormat: timeFormat}
	at := time.Date(2026, 12, 5, 10, 9, 52, 7_000_000, time.FixedZone("z", 5400))
	for name, c := range map[string]struct {
		message string
		fields  logrus.Fields
		usual   bool
	}{
		"decision":  {"run_placed", logrus.Fields{"job": namedText("6bb1"), "team": "a", "epoch": uint64(3), "task": "6bb1.0.0.3", "run": 1, "life": int64(-5), "worker": "i-8"}, true},
		"none":      {"node started", nil, true},
		"many":      {"m", logrus.Fields{"a": 1, "b": 2, "c": 3, "d": 4, "e": 5, "f": 6, "g": 7, "h": 8, "i": 9, "j": 10, "k": 11, "l": 12, "m": 13, "n": 14, "o": 15}, true},
		"empty":     {"", logrus.Fields{"": ""}, true},
		"sorted":    {"m", logrus.Fields{"Level": 1, "zz": 2, "lev": 3, "levels": 4, "a.b": 5}, true},
		"escapes":   {"m", logrus.Fields{"a": "quote \" back \\ line \n <html> & \u00e9 \xff"}, false},
		"html":      {"<m>", nil, false},
		"unicode":   {"gr\u00fcn", nil, false},
		"bad key":   {"m", logrus.Fields{"a\"b": 1}, false},
		"reserved":  {"m", logrus.Fields{"level": "x", "msg": "y", "time": "z"}, false},
		"error":     {"m", logrus.Fields{"error": errors.New("lost")}, false},
		"nil":       {"m", logrus.Fields{"a": nil}, false},
		"bool":      {"m", logrus.Fields{"a": true}, false},
		"fraction":  {"m", logrus.Fields{"a": 0.25}, false},
		"list":      {"m", logrus.Fields{"a": []string{"x"}}, false},
		"marshaler": {"m", logrus.Fields{"a": marshaledText("x")}, false},
		"text":      {"m", logrus.Fields{"a": writtenText("x")}, false},
		"duration":  {"m", logrus.Fields{"a": time.Second}, true},
		"byte":      {"m", logrus.Fields{"a": uint8(200)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			entry := logrus.NewEntry(logrus.New()).WithFields(c.fields)
			entry.Message, entry.Time, entry.Level = c.message, at, logrus.WarnLevel
			expected, err := formatter.Format(entry)
			require.NoError(t, err)
			line, usual := appendLine(nil, entry)
			assert.Equal(t, c.usual, usual)
			if usual {
				assert.Equal(t, string(expected), string(line))
			}
		})
	}
}

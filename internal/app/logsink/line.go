package logsink

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var lines = sync.Pool{New: func() any { return new([]byte) }}

// appendLine appends the line that logrus.JSONFormatter writes for the entry. It returns
// false for entries that it doesn't know how to write: those with a field that is neither
// text nor an integer, with a reserved name, with text that needs escapes, or with the
// caller.
func appendLine(line []byte, entry *logrus.Entry) ([]byte, bool) {
	if entry.Caller != nil || !plain(entry.Message) {
		return line, false
	}
	var names [16]string
	keys := append(names[:0], "level", "msg", "time")
	for key := range entry.Data {
		if key == "level" || key == "msg" || key == "time" || key == logrus.FieldKeyLogrusError || !plain(key) {
			return line, false
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	line = append(line, '{')
	for i, key := range keys {
		if i > 0 {
			line = append(line, ',')
		}
		line = append(append(append(line, '"'), key...), '"', ':')
		switch key {
		case "level":
			line = append(append(append(line, '"'), entry.Level.String()...), '"')
		case "msg":
			line = append(append(append(line, '"'), entry.Message...), '"')
		case "time":
			line = append(entry.Time.AppendFormat(append(line, '"'), timeFormat), '"')
		default:
			var usual bool
			if line, usual = appendValue(line, entry.Data[key]); !usual {
				return line, false
			}
		}
	}
	return append(line, '}', '\n'), true
}

// appendValue appends text without escapes or an integer. It returns false for other
// values.
func appendValue(line []byte, value any) ([]byte, bool) {
	switch value.(type) {
	case nil, error, json.Marshaler, encoding.TextMarshaler:
		return line, false
	}
	v := reflect.ValueOf(value)
	switch v.Kind() {
	case reflect.String:
		text := v.String()
		return append(append(append(line, '"'), text...), '"'), plain(text)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.AppendInt(line, v.Int(), 10), true
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.AppendUint(line, v.Uint(), 10), true
	}
	return line, false
}

// plain reports whether the text is the same in JSON: printable ASCII without the
// characters that encoding/json escapes.
func plain(text string) bool {
	for i := range len(text) {
		switch b := text[i]; {
		case b < ' ', b > '~', b == '"', b == '\\', b == '<', b == '>', b == '&':
			return false
		}
	}
	return true
}

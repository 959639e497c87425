// Package explain collects the log lines about one request from the logs of all
// nodes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("explain")

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// line is one parsed log line.
type line struct {
	at      time.Time
	node    string
	message string
	fields  map[string]any
}

// cellMessages are the messages about the cell as a whole. They explain gaps between
// the lines of a request. The last four are earlier texts, for logs that were written
// with them.
var cellMessages = []string{
	"cell claimed", "cell taken over", "cell given up", "node starting", "node stopping",
	"cell log append failed; retrying", "cell log accepts appends again",
	"node starts", "node leaves", "cell log took no append, trying again", "cell log takes appends again",
}

// Files reads the log files, or standard input if there are none, and writes the
// lines about the request sorted by time, together with the cell-wide lines between
// the first and the last of them. It fails if no line is about the request.
func Files(out io.Writer, id string, paths []string) error {
	if len(paths) == 0 {
		return Write(out, id, os.Stdin)
	}
	readers := make([]io.Reader, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return Error.Wrap(err)
		}
		readers = append(readers, bytes.NewReader(data))
	}
	return Write(out, id, readers...)
}

// Write does the same as Files for readers. Lines without a JSON object are ignored,
// as is text before the object.
func Write(out io.Writer, id string, logs ...io.Reader) error {
	var requestLines, cellLines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			switch {
			case !ok:
			case l.fields["job"] == id:
				requestLines = append(requestLines, l)
			case slices.Contains(cellMessages, l.message):
				cellLines = append(cellLines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Error.Wrap(err)
		}
	}
	if len(requestLines) == 0 {
		return Error.New("no log line mentions request %q", id)
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(requestLines, byTime)
	first, last := requestLines[0].at, requestLines[len(requestLines)-1].at
	for _, l := range cellLines {
		if !l.at.Before(first) && !l.at.After(last) {
			requestLines = append(requestLines, l)
		}
	}
	slices.SortStableFunc(requestLines, byTime)
	for _, l := range requestLines {
		if _, err := fmt.Fprintf(out, "%+8.3fs  %-24s %-14s %s\n", l.at.Sub(first).Seconds(), l.node, l.message, l.rest()); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// parse returns the line, and false if it has no JSON object with a valid time.
func parse(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	l := line{}
	if json.Unmarshal([]byte(text[start:]), &l.fields) != nil {
		return line{}, false
	}
	l.message, _ = l.fields["msg"].(string)
	l.node, _ = l.fields["node"].(string)
	written, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	l.at = at
	return l, err == nil
}

// rest returns the fields that have no column of their own, sorted by name.
func (l line) rest() string {
	parts := make([]string, 0, len(l.fields))
	for _, key := range slices.Sorted(maps.Keys(l.fields)) {
		switch key {
		case "msg", "node", "time", "level", "job", "part", "settings":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", key, l.fields[key]))
		}
	}
	return strings.Join(parts, " ")
}

// Package explain tells the life of one request from the logs of the nodes.
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

// line is one log line that has to do with the request.
type line struct {
	at     time.Time
	node   string
	what   string
	fields map[string]any
}

// cellWide are the messages that tell of the cell as a whole. They explain
// gaps in a request's life.
var cellWide = []string{
	"cell claimed", "cell taken over", "cell given up", "node starts", "node leaves",
	"cell log took no append, trying again", "cell log takes appends again",
}

// Files reads the log files, or standard input if there are none, and writes
// the lines about the request in the order of their time.
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

// Write does the same for readers. Lines that hold no JSON object are passed
// over, as is what stands in front of one.
func Write(out io.Writer, id string, logs ...io.Reader) error {
	var own, cell []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			switch {
			case !ok:
			case l.fields["job"] == id:
				own = append(own, l)
			case slices.Contains(cellWide, l.what):
				cell = append(cell, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Error.Wrap(err)
		}
	}
	if len(own) == 0 {
		return Error.New("no line tells of request %q", id)
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(own, byTime)
	first, last := own[0].at, own[len(own)-1].at
	for _, l := range cell {
		if !l.at.Before(first) && !l.at.After(last) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	for _, l := range own {
		if _, err := fmt.Fprintf(out, "%+8.3fs  %-24s %-14s %s\n", l.at.Sub(first).Seconds(), l.node, l.what, l.rest()); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func parse(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	l := line{}
	if json.Unmarshal([]byte(text[start:]), &l.fields) != nil {
		return line{}, false
	}
	l.what, _ = l.fields["msg"].(string)
	l.node, _ = l.fields["node"].(string)
	written, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	l.at = at
	return l, err == nil
}

// rest returns the other fields in the order of their names.
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

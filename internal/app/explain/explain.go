// Package explain collects the log lines about one job from the logs of all nodes.
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
// the lines of a job. The last four are the former wording, which older logs contain.
var cellMessages = []string{
	"cell claimed", "cell taken over", "cell given up", "node starting", "node stopping",
	"cell log append failed; retrying", "cell log accepts appends again",
	"node starts", "node leaves", "cell log took no append, trying again", "cell log takes appends again",
}

// Files reads the log files, or standard input if there are none, and writes the
// lines about the job sorted by time, together with the cell-wide lines between the
// first and the last of them. It fails if no line is about the job.
func Files(out io.Writer, job string, paths []string) error {
	if len(paths) == 0 {
		return Write(out, job, os.Stdin)
	}
	readers := make([]io.Reader, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return Error.Wrap(err)
		}
		readers = append(readers, bytes.NewReader(data))
	}
	return Write(out, job, readers...)
}

// Write does the same as Files for readers. Lines without a JSON object are ignored,
// as is text before the object.
func Write(out io.Writer, job string, logs ...io.Reader) error {
	var jobLines, cellLines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			switch {
			case !ok:
			case l.fields["job"] == job:
				jobLines = append(jobLines, l)
			case slices.Contains(cellMessages, l.message):
				cellLines = append(cellLines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Error.Wrap(err)
		}
	}
	if len(jobLines) == 0 {
		return Error.New("no log line is about job %q", job)
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(jobLines, byTime)
	first, last := jobLines[0].at, jobLines[len(jobLines)-1].at
	for _, l := range cellLines {
		if !l.at.Before(first) && !l.at.After(last) {
			jobLines = append(jobLines, l)
		}
	}
	slices.SortStableFunc(jobLines, byTime)
	for _, l := range jobLines {
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

// rest returns the fields as key=value pairs sorted by key. It leaves out the fields
// that have a column of their own, and job, level, part and settings.
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

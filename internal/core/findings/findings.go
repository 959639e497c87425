// Package findings collects what is wrong with an input, each with its place,
// so that all of it is reported together.
package findings

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 when the fault has no line
	Key     string `json:"key,omitempty"`  // dotted path, such as platform.log
	Problem string `json:"problem"`
}

// String returns "file:line: key: problem" without the parts that are unknown.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	parts := make([]string, 0, 3)
	for _, part := range []string{place, f.Key, f.Problem} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// List is the faults of one input. A non-empty List is an error. It is not
// safe for concurrent use.
type List []Finding

// Add appends one finding.
func (l *List) Add(file string, line int, key, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Err returns the findings in order of file and line, or nil if there are none.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return sorted
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Package findings collects the problems of an input with their positions, so
// that all of them are reported together.
package findings

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem of an input.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 if the problem has no line
	Key     string `json:"key,omitempty"`  // dotted path, such as platform.log
	Problem string `json:"problem"`
}

// String returns "file:line: key: problem", leaving out the empty parts.
func (f Finding) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	parts := make([]string, 0, 3)
	for _, part := range []string{position, f.Key, f.Problem} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// List holds the findings of one input. A non-empty List is an error. It is
// not safe for concurrent use.
type List []Finding

// Add appends one finding.
func (l *List) Add(file string, line int, key, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Err returns the findings sorted by file and line, or nil if there are none.
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

package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
)

const (
	maxWait            = 10 * time.Minute
	waitPrecision      = 3 // significant digits of waiting times
	maxShownEvents     = 12
	maxShownReasons    = 8
	maxShownViolations = 3
	microsPerMilli     = 1000
	percentileMedian   = 50
	percentileTail     = 99
)

// waitTimes returns each team's waiting times in microseconds, from the first
// send of a call to the first start of each of its tasks.
func waitTimes(events []history.Event) map[model.TeamID]*hdrhistogram.Histogram {
	sorted := append([]history.Event(nil), events...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	sent := make(map[string]history.Event)
	out := make(map[model.TeamID]*hdrhistogram.Histogram)
	for _, e := range sorted {
		switch e.Kind {
		case history.Sent:
			if _, resent := sent[e.Call]; !resent {
				sent[e.Call] = e
			}
		case history.QuickStart, history.TaskStart:
			first, ok := sent[e.Call]
			if !ok || e.Attempt > 1 {
				continue
			}
			if out[first.Team] == nil {
				out[first.Team] = hdrhistogram.New(1, maxWait.Microseconds(), waitPrecision)
			}
			_ = out[first.Team].RecordValue(max(1, e.At.Sub(first.At).Microseconds()))
		}
	}
	return out
}

// repeatedStarts counts, per team, the quick requests and tasks that were started
// more than once.
func repeatedStarts(events []history.Event) map[model.TeamID]int {
	starts := make(map[string]int)
	out := make(map[model.TeamID]int)
	for _, e := range events {
		if e.Kind != history.QuickStart && e.Kind != history.TaskStart {
			continue
		}
		id := e.Call + "/" + string(e.Task)
		starts[id]++
		if starts[id] == 2 {
			out[e.Team]++
		}
	}
	return out
}

// writeTable writes one line of outcomes and waiting times per team.
func (l *load) writeTable(w io.Writer, events []history.Event) error {
	waits, repeated := waitTimes(events), repeatedStarts(events)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "team\tsent\tanswered once\tfailed\tnot run\tunknown\tlost\tstarted again\twait p50 ms\twait p99 ms\t")
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, team := range l.teamOrder {
		t := l.tallies[team]
		p50, p99 := percentiles(waits[team])
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", team,
			t.sent.Load(), t.done.Load(), t.failed.Load(), t.notRun.Load(), t.unknown.Load(), t.lost.Load(), repeated[team], p50, p99)
	}
	return table.Flush()
}

// WriteReasons writes the most frequent reasons of calls that were answered
// without success, with their counts.
func WriteReasons(w io.Writer, events []history.Event) {
	counts := make(map[string]int)
	for _, e := range events {
		if e.Kind == history.Answered && e.Outcome != "" && e.Outcome != model.OutcomeDone {
			counts[fmt.Sprintf("%s: %s: %s", e.Team, e.Outcome, e.Detail)]++
		}
	}
	reasons := slices.SortedFunc(maps.Keys(counts), func(a, b string) int { return counts[b] - counts[a] })
	for _, reason := range reasons[:min(len(reasons), maxShownReasons)] {
		_, _ = fmt.Fprintf(w, "%6d  %s\n", counts[reason], reason)
	}
}

func percentiles(h *hdrhistogram.Histogram) (median, tail string) {
	if h == nil {
		return "-", "-"
	}
	format := func(p float64) string {
		return fmt.Sprintf("%.1f", float64(h.ValueAtPercentile(p))/microsPerMilli)
	}
	return format(percentileMedian), format(percentileTail)
}

// WritePromises writes for each promise whether it was kept, broken or not
// tested, and returns how many were broken.
func WritePromises(w io.Writer, report history.Report) int {
	byPromise := make(map[history.Promise][]history.Violation)
	for _, v := range report.Violations {
		byPromise[v.Promise] = append(byPromise[v.Promise], v)
	}
	for _, promise := range history.Promises() {
		broken := byPromise[promise]
		tested := report.Tested[promise]
		switch {
		case len(broken) > 0:
			_, _ = fmt.Fprintf(w, "BROKEN      %s (%d times in %d)\n", promise, len(broken), tested)
			writeViolations(w, broken)
		case tested == 0:
			_, _ = fmt.Fprintf(w, "not tested  %s\n", promise)
		default:
			_, _ = fmt.Fprintf(w, "kept        %s (%d times)\n", promise, tested)
		}
	}
	return len(byPromise)
}

func writeViolations(w io.Writer, broken []history.Violation) {
	for _, v := range broken[:min(len(broken), maxShownViolations)] {
		v.Events = v.Events[:min(len(v.Events), maxShownEvents)]
		_, _ = fmt.Fprintf(w, "            %s\n", v)
	}
}

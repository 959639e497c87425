package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// print prints a report, if it has changes, and returns err joined with errors of
// printing.
func (c *Client) print(report Report, err error) error {
	if len(report.Changes) == 0 {
		return err
	}
	return errors.Join(err, c.printReport(report))
}

func (c *Client) printReport(report Report) error {
	if c.JSON {
		return c.printJSON(report)
	}
	rows := [][]string{{"OBJECT", "VERDICT", "REVISION"}}
	for _, o := range report.Changes {
		revision := formatUint(o.Revision)
		if o.LostTo > 0 {
			revision = "lost to " + formatUint(o.LostTo)
		}
		rows = append(rows, []string{string(o.Object), string(o.Verdict), revision})
	}
	if err := c.printTable(rows); err != nil {
		return err
	}
	if report.Key == "" {
		return nil
	}
	return c.printf("key id  %s\nkey     %s\nThe key is shown only once; only its hash is stored.\n", report.ID, report.Key)
}

// printFindings prints the findings in err if the output is JSON and returns err,
// joined with errors of printing.
func (c *Client) printFindings(err error) error {
	var list findings.List
	if !c.JSON || !errors.As(err, &list) {
		return err
	}
	return errors.Join(err, c.printJSON(list))
}

func (c *Client) printJSON(v any) error {
	encoder := json.NewEncoder(c.Out)
	encoder.SetIndent("", "  ")
	return Failure.Wrap(encoder.Encode(v))
}

func (c *Client) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return Failure.Wrap(err)
		}
	}
	return Failure.Wrap(w.Flush())
}

func (c *Client) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(c.Out, format, args...)
	return Failure.Wrap(err)
}

func formatCPU(milliCPU int64) string {
	const milli = 1000
	return strconv.FormatFloat(float64(milliCPU)/milli, 'g', -1, 64)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

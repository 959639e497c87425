// Command bench measures the decisions of the pure packages under internal/core
// and prints one table. It drives them in a loop with a virtual clock; speeds
// are wall time of one goroutine.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"text/tabwriter"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

func main() {
	runtime.GOMAXPROCS(1) // speeds are those of one core, collector included
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// table prints aligned rows.
type table struct{ out *tabwriter.Writer }

func newTable() table {
	return table{tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
}

func (t table) row(cells ...string) {
	for _, c := range cells {
		_, _ = fmt.Fprint(t.out, c, "\t")
	}
	_, _ = fmt.Fprintln(t.out)
}

func run() error {
	t := newTable()
	for _, section := range []func(table) error{placementTable, packingTable, gangTable, shareTable, domainTable, monthEndTable} {
		if err := section(t); err != nil {
			return err
		}
		_ = t.out.Flush()
	}
	return nil
}

var cellSizes = []int{50, 500, 5_000, 24_000}

func placementTable(t table) error {
	t.row("placement", "workers", "per second", "cost", "p99", "refused", "full scan", "ratio")
	for _, layout := range []struct {
		label string
		one   bool
	}{{"racks of " + strconv.Itoa(rackSize), false}, {"one rack", true}} {
		for _, n := range cellSizes {
			result, err := measurePlacement(guild, n, layout.one)
			if err != nil {
				return err
			}
			t.row(result.row(layout.label)...)
		}
	}
	return nil
}

func teamNumber(team model.TeamID) int {
	n, _ := strconv.Atoi(string(team[len("team-"):]))
	return n
}

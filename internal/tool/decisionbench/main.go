// Command decisionbench measures the scheduling decisions of the packages under
// internal/core and prints one table per measurement. It calls them in a loop
// with a virtual clock; costs are the wall-clock time of a single goroutine.
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
	runtime.GOMAXPROCS(1) // so that costs are those of one core, including garbage collection
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "decisionbench:", err)
		os.Exit(1)
	}
}

// table prints rows with aligned columns.
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
		label   string
		oneRack bool
	}{{"racks of " + strconv.Itoa(rackSize), false}, {"one rack", true}} {
		for _, n := range cellSizes {
			result, err := measurePlacement(guild, n, layout.oneRack)
			if err != nil {
				return err
			}
			t.row(result.row(layout.label)...)
		}
	}
	return nil
}

// teamNumber returns the index in a team id made by teamID.
func teamNumber(team model.TeamID) int {
	n, _ := strconv.Atoi(string(team[len("team-"):]))
	return n
}

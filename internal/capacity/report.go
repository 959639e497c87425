package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Measurement is the measured cost of one mechanism.
type Measurement struct {
	Processes string // the processes that have the cost
	Line      Line
}

// Measure runs all measurements and returns them in the order of the report. It
// uses one core, less than 500 MB of memory and loopback connections within the
// process.
func Measure() []Measurement {
	return []Measurement{
		{"all processes", ownershipMemory()},
		{"all processes", renewalTime()},
		{"all processes", renewalBytes()},
		{"all processes", configMemory()},
		{"all processes", configTime()},
		{"all processes", configBytes()},
		{"schedulers", journalMemory()},
		{"schedulers", journalTime()},
		{"schedulers", journalBytes()},
		{"schedulers", summaryBytes()},
		{"team owner", teamMemory()},
		{"team owner", teamTime()},
		{"rack owner", rackMemory()},
		{"rack owner", rackTime()},
		{"rack owner", heartbeatBytes()},
		{"rack owner", heartbeatTime()},
	}
}

// WriteLines prints the measurements as a table. Its column "role" is Processes, and
// "spread" is MaxDeviation in percent.
func WriteLines(w io.Writer, all []Measurement) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "role\twhat\tslope\tunit\tat zero\tspread\tpoints (size:value)"); err != nil {
		return err
	}
	for _, m := range all {
		line := m.Line
		points := ""
		for _, p := range line.Points {
			points += fmt.Sprintf(" %.0f:%.0f", p.Size, p.Value)
		}
		_, err := fmt.Fprintf(table, "%s\t%s\t%.1f\t%s\t%.0f\t%.1f %%\t%s\n",
			m.Processes, line.Name, line.PerUnit, line.Unit, line.Intercept, 100*line.MaxDeviation, points)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

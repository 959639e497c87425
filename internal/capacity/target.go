package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// The size that the design has to reach.
const (
	workers       = 24000
	startsPerSec  = 10000 // at the peak
	runningTasks  = 190000
	teams         = 240
	regions       = 11
	changesPerDay = 21000
	workersOfRack = 8
	secondsPerDay = 86400
)

// The budget of one daemon.
const (
	cpuBudget     = 3.3        // percent of a core
	memoryBudget  = 32 << 20   // bytes resident
	controlBudget = 8 << 10    // bytes a second
	appendBudget  = 300.0      // appends a second of one log service
	processBase   = 27.0 * 1e6 // bytes resident of an idle balsam-sched
)

// The pace of today's mechanisms.
const (
	renewalsPerSec  = 2.5 // of a member
	beatsPerSec     = 1.0 // to a worker
	summariesPerSec = 1.0 // of an unchanged partition to each member
	roomsOfSummary  = 8
	ourPartOfBeat   = 0.5 // of a heartbeat's time; the other half is the worker's
	tasksOfJob      = 1.0 // the least merging of ends in the journal
	journalPerTask  = 60  // bytes of a task's end on the log
	framePerCall    = 40  // bytes of a peer call around its message
)

// Load is what one scheduler bears.
type Load struct {
	CPU     float64 // percent of a core
	Memory  float64 // bytes
	Control float64 // bytes a second
}

// Row is one mechanism's part of a scheduler's load.
type Row struct {
	Mechanism string
	Formula   string
	Load      Load
}

// Slopes are the measured costs by their names.
type Slopes map[string]Slope

// ByName indexes measurements.
func ByName(all []Measurement) Slopes {
	slopes := Slopes{}
	for _, m := range all {
		slopes[m.Slope.Name] = m.Slope
	}
	return slopes
}

const (
	nanosPerSec = 1e9
	percent     = 100
)

// Scheduler works out the load of one of n schedulers that share a log and
// carry the part of the whole cell.
func Scheduler(s Slopes, n, part float64) []Row {
	racks := part * workers / workersOfRack
	partitions := racks + teams
	tasks := part * runningTasks
	tasksPerWorker := float64(runningTasks) / workers
	starts := part * startsPerSec
	beats := part * workers * beatsPerSec / n
	summary := s["summary size"].At(roomsOfSummary) + framePerCall
	return []Row{
		{"process", "resident when idle", Load{Memory: processBase}},
		{"ownership", "partitions x B; n x renewals/s x (ns, B)", Load{
			CPU:     n * renewalsPerSec * s["renewal time"].Per / nanosPerSec * percent,
			Memory:  partitions * s["ownership memory"].Per,
			Control: n * renewalsPerSec * s["renewal size"].Per,
		}},
		{"configuration", "teams x B; changes/s x (ns, B)", Load{
			CPU:     changesPerDay / float64(secondsPerDay) * s["configuration time"].At(teams) / nanosPerSec * percent,
			Memory:  s["configuration memory"].At(teams),
			Control: changesPerDay / float64(secondsPerDay) * s["configuration size"].Per,
		}},
		{"journal", "open jobs x B; ends/s x (ns, B)", Load{
			CPU:     starts / tasksOfJob * s["journal time"].Per / nanosPerSec * percent,
			Memory:  tasks / tasksOfJob * s["journal memory"].Per,
			Control: starts * journalPerTask,
		}},
		{"summaries", "racks x summaries/s x B, received", Load{
			Memory:  racks * summary,
			Control: racks * summariesPerSec * summary,
		}},
		{"heartbeats", "workers/n x beats/s x (ns, B)", Load{
			CPU:     beats * ourPartOfBeat * s["heartbeat time"].Per / nanosPerSec * percent,
			Control: beats * s["heartbeat size"].At(tasksPerWorker),
		}},
		{"rack owners", "starts/s/n x ns; workers/n x B", Load{
			CPU:    starts / n * s["rack owner time"].Per / nanosPerSec * percent,
			Memory: part * workers / n * s["rack owner memory"].Per,
		}},
		{"team owners", "starts/s/n x ns; tasks/n x B", Load{
			CPU:    starts / n * s["team owner time"].Per / nanosPerSec * percent,
			Memory: tasks / n * s["team owner memory"].Per,
		}},
	}
}

// Sum adds up the rows.
func Sum(rows []Row) Load {
	var total Load
	for _, r := range rows {
		total.CPU += r.Load.CPU
		total.Memory += r.Load.Memory
		total.Control += r.Load.Control
	}
	return total
}

// WriteTarget prints the load of one scheduler at the target size, for one log
// and for a log in each region.
func WriteTarget(w io.Writer, s Slopes, membersPerRegion int) error {
	perRegion := float64(membersPerRegion)
	all := perRegion * regions
	if err := writeRows(w, fmt.Sprintf("one cell, one log, %.0f schedulers", all), Scheduler(s, all, 1), all); err != nil {
		return err
	}
	title := fmt.Sprintf("a cell and log in each of %d regions, %.0f schedulers each", regions, perRegion)
	return writeRows(w, title, Scheduler(s, perRegion, 1.0/regions), perRegion)
}

func writeRows(w io.Writer, title string, rows []Row, n float64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{"\n" + title, "mechanism\tCPU %\tmemory MB\tcontrol KB/s\tformula\t"}
	total := Sum(rows)
	rows = append(rows, Row{"sum", "", total},
		Row{"budget", "", Load{CPU: cpuBudget, Memory: memoryBudget, Control: controlBudget}})
	for _, r := range rows {
		lines = append(lines, fmt.Sprintf("%s\t%.2f\t%.2f\t%.2f\t%s\t",
			r.Mechanism, r.Load.CPU, r.Load.Memory/1e6, r.Load.Control/1e3, r.Formula))
	}
	lines = append(lines, fmt.Sprintf("renewals on the log: %.0f appends/s of %.0f", n*renewalsPerSec, appendBudget))
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// The design target: the size of the cell that the design must support.
const (
	designWorkers       = 24000
	designStartsPerSec  = 10000 // at the peak
	designRunningTasks  = 190000
	designTeams         = 240
	designRegions       = 11
	configChangesPerDay = 21000
	workersPerRack      = 8
	secondsPerDay       = 86400
)

// The resource budget of one scheduler process, and of one log service.
const (
	cpuBudget    = 3.3      // percent of a core
	memoryBudget = 32 << 20 // bytes resident
	// controlBudget is the control traffic in bytes per second: what a scheduler
	// receives from the log and the other schedulers and exchanges with workers.
	controlBudget     = 8 << 10
	appendBudget      = 300.0      // appends per second of one log service
	idleProcessMemory = 27.0 * 1e6 // bytes resident of an idle balsam-sched
)

// The rates and message sizes that the calculation assumes.
const (
	renewalsPerSec            = 2.5 // by each member; one per membership.DefaultRenewEvery, while balsam-sched's default of 500 ms gives 2
	heartbeatsPerSec          = 1.0 // to each worker
	summariesPerSec           = 1.0 // of each unchanged partition to each member
	freeShapesPerSummary      = 8   // upper bound assumed here; rack.MaxFreeShapes is 4
	schedulerShareOfHeartbeat = 0.5 // of a heartbeat's CPU time; the worker spends the rest
	tasksPerJob               = 1.0 // worst case: each job has one task, so each task's end is a journal record of its own
	journalBytesPerTask       = 60  // size of a task's end on the log
	frameBytesPerCall         = 40  // overhead of a peer call beyond its message
)

// Load is the resource use of one scheduler.
type Load struct {
	CPU     float64 // percent of a core
	Memory  float64 // bytes
	Control float64 // bytes of control traffic per second
}

// Row is the load that one mechanism adds to a scheduler. In Formula, ends/s is
// starts/s, because as many tasks end as start, and a beat is a heartbeat.
type Row struct {
	Mechanism string
	Formula   string
	Load      Load
}

// Lines holds the measured lines by name.
type Lines map[string]Line

// IndexByName returns the lines of the measurements by name.
func IndexByName(all []Measurement) Lines {
	lines := Lines{}
	for _, m := range all {
		lines[m.Line.Name] = m.Line
	}
	return lines
}

const (
	nanosPerSec = 1e9
	percent     = 100
)

// SchedulerLoad returns the load of one of n schedulers that share a log and
// together serve a fraction (0 to 1) of the design target: one row for the memory
// of the idle process and one for each mechanism.
func SchedulerLoad(lines Lines, n, fraction float64) []Row {
	racks := fraction * designWorkers / workersPerRack
	partitions := racks + designTeams
	tasks := fraction * designRunningTasks
	meanTasksPerWorker := float64(designRunningTasks) / designWorkers
	starts := fraction * designStartsPerSec
	heartbeats := fraction * designWorkers * heartbeatsPerSec / n
	summary := lines["summary size"].At(freeShapesPerSummary) + frameBytesPerCall
	return []Row{
		{"process", "resident when idle", Load{Memory: idleProcessMemory}},
		{"ownership", "partitions x B; n x renewals/s x (ns, B)", Load{
			CPU:     n * renewalsPerSec * lines["renewal time"].PerUnit / nanosPerSec * percent,
			Memory:  partitions * lines["ownership memory"].PerUnit,
			Control: n * renewalsPerSec * lines["renewal size"].PerUnit,
		}},
		{"configuration", "teams x B; changes/s x (ns, B)", Load{
			CPU:     configChangesPerDay / float64(secondsPerDay) * lines["configuration time"].At(designTeams) / nanosPerSec * percent,
			Memory:  lines["configuration memory"].At(designTeams),
			Control: configChangesPerDay / float64(secondsPerDay) * lines["configuration size"].PerUnit,
		}},
		{"journal", "open jobs x B; ends/s x (ns, B)", Load{
			CPU:     starts / tasksPerJob * lines["journal time"].PerUnit / nanosPerSec * percent,
			Memory:  tasks / tasksPerJob * lines["journal memory"].PerUnit,
			Control: starts * journalBytesPerTask,
		}},
		{"summaries", "racks x summaries/s x B, received", Load{
			Memory:  racks * summary,
			Control: racks * summariesPerSec * summary,
		}},
		{"heartbeats", "workers/n x beats/s x (ns, B)", Load{
			CPU:     heartbeats * schedulerShareOfHeartbeat * lines["heartbeat time"].PerUnit / nanosPerSec * percent,
			Control: heartbeats * lines["heartbeat size"].At(meanTasksPerWorker),
		}},
		{"rack owners", "starts/s/n x ns; workers/n x B", Load{
			CPU:    starts / n * lines["rack owner time"].PerUnit / nanosPerSec * percent,
			Memory: fraction * designWorkers / n * lines["rack owner memory"].PerUnit,
		}},
		{"team owners", "starts/s/n x ns; tasks/n x B", Load{
			CPU:    starts / n * lines["team owner time"].PerUnit / nanosPerSec * percent,
			Memory: tasks / n * lines["team owner memory"].PerUnit,
		}},
	}
}

// Sum returns the total load of the rows.
func Sum(rows []Row) Load {
	var total Load
	for _, r := range rows {
		total.CPU += r.Load.CPU
		total.Memory += r.Load.Memory
		total.Control += r.Load.Control
	}
	return total
}

// WriteDesignLoad prints the load of one scheduler at the design target, for a single
// cell with one log and for a cell with its own log in each region.
// membersPerRegion is the number of schedulers in each region.
func WriteDesignLoad(w io.Writer, lines Lines, membersPerRegion int) error {
	perRegion := float64(membersPerRegion)
	all := perRegion * designRegions
	if err := writeRows(w, fmt.Sprintf("one cell, one log, %.0f schedulers", all), SchedulerLoad(lines, all, 1), all); err != nil {
		return err
	}
	title := fmt.Sprintf("a cell and log in each of %d regions, %.0f schedulers each", designRegions, perRegion)
	return writeRows(w, title, SchedulerLoad(lines, perRegion, 1.0/designRegions), perRegion)
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

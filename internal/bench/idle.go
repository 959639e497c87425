package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/proctest"
)

const (
	kibPerMiB      = 1024
	ticksPerSecond = 100 // per second, of /proc/<pid>/stat on Linux
	utimeField     = 11  // index after the command name, where the state is 0
	stimeField     = 12
	percentFactor  = 100
)

// usage is the CPU time that a process has used since its start, and its
// resident memory.
type usage struct {
	cpu time.Duration
	rss int64 // KiB
}

// measureIdle prints the CPU and memory use of each process without load.
func (b *bench) measureIdle() error {
	if b.options.Idle == 0 {
		return nil
	}
	var processes []*proctest.Process
	for _, vm := range b.cluster.VMs() {
		processes = append(processes, vm.Sched, vm.Entry)
	}
	before := make([]usage, len(processes))
	for i, p := range processes {
		var err error
		if before[i], err = processUsage(p.Pid()); err != nil {
			return err
		}
	}
	time.Sleep(b.options.Idle)
	_, _ = fmt.Fprintf(b.options.Out, "without load for %s, after the load above\n", b.options.Idle)
	for i, p := range processes {
		after, err := processUsage(p.Pid())
		if err != nil {
			return err
		}
		share := percentFactor * (after.cpu - before[i].cpu).Seconds() / b.options.Idle.Seconds()
		_, _ = fmt.Fprintf(b.options.Out, "%-20s %.1f %% of a core, %.1f MiB resident\n", p.Name, share, float64(after.rss)/kibPerMiB)
	}
	return nil
}

func processUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, Error.Wrap(err)
	}
	// The command name is in parentheses and may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= stimeField {
		return usage{}, Error.New("/proc/%d/stat has too few fields", pid)
	}
	utime, _ := strconv.ParseInt(string(fields[utimeField]), 10, 64)
	stime, _ := strconv.ParseInt(string(fields[stimeField]), 10, 64)
	rss, err := residentKiB(pid)
	return usage{cpu: time.Duration(utime+stime) * time.Second / ticksPerSecond, rss: rss}, err
}

func residentKiB(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for line := range bytes.Lines(status) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			return strconv.ParseInt(string(bytes.Fields(rest)[0]), 10, 64)
		}
	}
	return 0, Error.New("/proc/%d/status has no VmRSS line", pid)
}

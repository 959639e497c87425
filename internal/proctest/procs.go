// Package proctest runs real programs for process tests, the demonstration and
// benchmarks: processes that die with their parent, a TCP relay that can drop
// traffic, and a complete cell on loopback.
package proctest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("proctest")

// stopTimeout is how long Kill waits for the process to exit.
const stopTimeout = 10 * time.Second

// ProcessSet starts processes and kills them all on Close. The kernel also kills
// them when this process dies. It is safe for concurrent use.
type ProcessSet struct {
	dir    string // directory of the output files
	starts chan startRequest
	done   chan struct{}

	mu        sync.Mutex
	processes []*Process
}

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// NewProcessSet returns a set that writes the output of its processes to files
// in dir.
func NewProcessSet(dir string) *ProcessSet {
	s := &ProcessSet{dir: dir, starts: make(chan startRequest), done: make(chan struct{})}
	go s.startLoop()
	return s
}

// startLoop starts all processes from one thread that exists until Close: Linux
// sends the parent-death signal when the thread that started a process ends,
// not when the parent process does.
func (s *ProcessSet) startLoop() {
	runtime.LockOSThread()
	for {
		select {
		case request := <-s.starts:
			request.result <- request.cmd.Start()
		case <-s.done:
			return
		}
	}
}

// Start starts a program in a process group of its own. Its standard output and
// error go to the file name.log.
func (s *ProcessSet) Start(name, binary string, args ...string) (*Process, error) {
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	request := startRequest{cmd: cmd, result: make(chan error, 1)}
	s.starts <- request
	if err := <-request.result; err != nil {
		_ = output.Close()
		return nil, Error.Wrap(err)
	}
	p := &Process{Name: name, cmd: cmd, outputPath: output.Name(), exited: make(chan struct{})}
	go p.wait(output)
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

// Close kills every process that still runs and waits for it. The set must
// not be used afterwards.
func (s *ProcessSet) Close() {
	s.mu.Lock()
	processes := s.processes
	s.processes = nil
	s.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	close(s.done)
}

// Dump returns the state and the last lines of output of every process.
func (s *ProcessSet) Dump(lines int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b bytes.Buffer
	for _, p := range s.processes {
		fmt.Fprintf(&b, "--- %s (%s)\n%s\n", p.Name, p.state(), p.Tail(lines))
	}
	return b.String()
}

// Process is a started program. It is safe for concurrent use.
type Process struct {
	Name       string
	cmd        *exec.Cmd
	outputPath string
	exited     chan struct{}
	err        error // set before exited is closed
}

func (p *Process) wait(output *os.File) {
	p.err = p.cmd.Wait()
	_ = output.Close()
	close(p.exited)
}

// Pid returns the process id.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}

// Kill ends the process and its children with SIGKILL and waits until it has
// exited, at most stopTimeout.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
	}
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitError waits until the process has exited and returns its error, nil for
// exit code 0.
func (p *Process) ExitError() error {
	<-p.exited
	return p.err
}

// Output returns the standard output and error up to now.
func (p *Process) Output() []byte {
	data, _ := os.ReadFile(p.outputPath)
	return data
}

// Tail returns the last lines of the output.
func (p *Process) Tail(lines int) string {
	all := bytes.Split(bytes.TrimSpace(p.Output()), []byte("\n"))
	if len(all) > lines {
		all = all[len(all)-lines:]
	}
	return string(bytes.Join(all, []byte("\n")))
}

func (p *Process) state() string {
	select {
	case <-p.exited:
		return fmt.Sprint("exited: ", p.cmd.ProcessState)
	default:
		return fmt.Sprint("running with pid ", p.Pid())
	}
}

// signal sends sig to the process and its children, unless the process has
// exited.
func (p *Process) signal(sig syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = syscall.Kill(-p.Pid(), sig)
	}
}

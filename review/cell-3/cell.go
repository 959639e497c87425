//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB     = 284 // limits.memory_mb of a frontend machine
	restartPause = time.Second
	host         = "queue.example"
	prefix       = "/jobs/"
	key          = "key-1"
	grace        = 6 * time.Second
)

// cell is a small deployment: the stand-ins of the platform, and nodes as processes.
type cell struct {
	root, dir string // of the repository; for settings and output
	trouble   bool
	network   string // first three bytes of the addresses
	store     *store
	runners   []*runner
	nodes     []*node

	mu     sync.Mutex
	record *os.File
	began  time.Time
	starts map[string][]string // runs that have started, by task
	ends   map[string][]string // ends of runs, by task
	// crashBefore reports whether the runner loses power before an order to start the task
	// reaches it; nil for never.
	crashBefore func(r *runner, task string) bool
}

// trouble tells whether the disruption is played.
var trouble = true

// running is the cell of this process.
var running atomic.Pointer[cell]

// note writes a line to record.txt.
func (c *cell) note(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%9.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = c.record.WriteString(line)
}

func (c *cell) started(runner, task string, run int) {
	c.mu.Lock()
	c.starts[task] = append(c.starts[task], fmt.Sprintf("run %d on %s", run, runner))
	quiet := len(c.starts) > 500
	c.mu.Unlock()
	if !quiet {
		c.note("runner %s starts %s run %d", runner, task, run)
	}
}

func (c *cell) ended(runner, task string, run int, how string) {
	c.mu.Lock()
	c.ends[task] = append(c.ends[task], how)
	quiet := len(c.starts) > 500
	c.mu.Unlock()
	if !quiet {
		c.note("runner %s ends %s run %d: %s", runner, task, run, how)
	}
}

func (c *cell) losesPower(r *runner, task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashBefore != nil && c.crashBefore(r, task)
}

// newCell starts the stand-ins and the nodes, each on a loopback address of its own.
func newCell(root, folder string, nodes, runners int, config string) (*cell, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cell{
		root: root, dir: dir, record: record, began: time.Now(), trouble: trouble, store: newStore(),
		network: fmt.Sprintf("127.%d.%d", 1+rand.N(250), rand.N(250)),
		starts:  map[string][]string{}, ends: map[string][]string{},
	}
	running.Store(c)
	c.note("trouble: %t", c.trouble)
	c.store.put("keyed.op", "config", []byte(config))
	platform, err := c.serve(c.store)
	if err != nil {
		return c, err
	}
	for i := range runners {
		r := &runner{cell: c, id: fmt.Sprintf("i-%02d", i+1), address: c.network + ".100:0"}
		c.runners = append(c.runners, r)
		if err := r.start(); err != nil {
			return c, err
		}
	}
	var seeds []string
	for i := range nodes {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8180", c.network, i+1))
	}
	for i := range nodes {
		n := &node{cell: c, name: fmt.Sprintf("frontend-%d", i+1), ip: fmt.Sprintf("%s.%d", c.network, i+1)}
		n.settings = filepath.Join(dir, n.name+".toml")
		if err := c.writeSettings(n, seeds[:min(3, len(seeds))], platform); err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
		if err := n.start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// serve serves the handler at the platform's address.
func (c *cell) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", c.network+".99:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// writeSettings fills in the deploy file's template with the figures of sarj-atlas.
func (c *cell) writeSettings(n *node, seeds []string, platform string) error {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	text := string(template)
	begin, end := strings.Index(text, "{{#seeds}}"), strings.Index(text, "{{/seeds}}")
	if begin >= 0 && end > begin {
		text = text[:begin] + `"` + strings.Join(seeds, `","`) + `"` + text[end+len("{{/seeds}}"):]
	}
	for name, value := range map[string]any{
		"node_name": n.name, "zone": "z1", "ip": n.ip,
		"listen_addresses.frontend": n.ip + ":8183", "listen_addresses.readiness": n.ip + ":8184", "listen_addresses.control": n.ip + ":8180",
		"platform.address": platform, "platform.request_bytes": 2097152, "advice": platform, "cloud_api.address": platform,
		"fault_tolerance.zones": 1, "limits.cpu_share": 0.4, "limits.cores": 1, "limits.memory_mb": memoryMB,
		"limits.file_descriptors": 4100, "limits.link_mbps": 1000.0,
		"bounds.hold_max_ms": holdMax, "bounds.stop_ms": 400, "bounds.status_s": 120, "bounds.grace_s": 6,
		"bounds.maintenance_s": 2, "bounds.remote_factor": 2,
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return fmt.Errorf("settings template: nothing is known of %.40s", text[i:])
	}
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// close ends all processes and removes the folder.
func (c *cell) close() {
	for _, n := range c.nodes {
		n.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
	_ = c.record.Close()
}

// node is a machine with one process of the system.
type node struct {
	cell               *cell
	name, ip, settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  bool // for good
	starts int
	exits  int // that nobody asked for, or kills for want of memory
	peakMB int
}

// start starts the process with the command of the deploy file, and again when it ends.
func (n *node) start() error {
	output, err := os.OpenFile(filepath.Join(n.cell.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.cell.root, "target", "balsam-node"), "--settings", n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.cell.root, output, output
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMHITCH_CONFIG=" + n.settings}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.starts++
	go func() {
		err := cmd.Wait()
		_ = output.Close()
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		if ended {
			return
		}
		n.mu.Lock()
		n.exits++
		n.mu.Unlock()
		n.cell.note("process of %s has ended (%v); the platform starts it again", n.name, err)
		time.Sleep(restartPause)
		_ = n.start()
	}()
	return nil
}

// end ends the process for good.
func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
	}
}

// exits returns how often the processes of each node have ended.
func (c *cell) exits() []int {
	var counts []int
	for _, n := range c.nodes {
		n.mu.Lock()
		counts = append(counts, n.exits)
		n.mu.Unlock()
	}
	return counts
}

// peak returns the most memory that a process of the node was seen with, in MB.
func (n *node) peak() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakMB
}

// memory returns the process's resident memory in MB, without the pages of its program
// file.
func (n *node) memory() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			n.peakMB = max(n.peakMB, kib>>10)
			return kib >> 10
		}
	}
	return 0
}

// enforceMemory kills processes that exceed the memory of their machine, as the platform
// does, until the context ends.
func (c *cell) enforceMemory(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for _, n := range c.nodes {
			if mb := n.memory(); mb > memoryMB {
				c.note("process of %s takes %d MB of %d MB; the platform kills it", n.name, mb, memoryMB)
				n.mu.Lock()
				_ = n.cmd.Process.Kill()
				n.mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// ready waits until all nodes are ready.
func (c *cell) ready(within time.Duration) bool {
	for began := time.Now(); time.Since(began) < within; time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, n := range c.nodes {
			if response, err := client.Get("http://" + n.ip + ":8184/-/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					count++
				}
			}
		}
		if count == len(c.nodes) {
			return true
		}
	}
	return false
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes one call of a client to a node.
func (c *cell) call(n *node, method, id, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+n.ip+":8183"+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	return response.StatusCode, string(answer), nil
}

// submit hands a job in, again at other nodes while it is not answered, as clients do.
func (c *cell) submit(id, body string, attempts int) error {
	last := errors.New("no attempt")
	for attempt := range attempts {
		n := c.nodes[(attempt+int(id[len(id)-1]))%len(c.nodes)]
		status, _, err := c.call(n, http.MethodPost, id, body)
		c.note("client sends job %s (%d bytes) to %s: %d %v", id, len(body), n.name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("status %d", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

// state returns the state of a job that the nodes tell.
func (c *cell) state(id string) string {
	last := ""
	for _, n := range c.nodes {
		status, answer, err := c.call(n, http.MethodGet, id, "")
		if err != nil {
			last = err.Error()
			continue
		}
		if last = strconv.Itoa(status); status != http.StatusOK {
			continue
		}
		var body struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(answer), &body)
		return body.State
	}
	return last
}

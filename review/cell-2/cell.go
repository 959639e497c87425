//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the pages, as in the settings example of DEPLOY.md.
const (
	serviceName   = "workshop"
	statusS       = 120
	graceS        = 6
	maintenanceS  = 2
	nodeProgram   = "target/balsam-node"
	clientTimeout = 3 * time.Second
	host          = "jobs.example"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Cell is a small deployment: the stand-ins, the nodes and the record of what they saw.
type Cell struct {
	dir     string
	record  *os.File
	began   time.Time
	store   *Store
	workers []*Worker
	nodes   []*Node
	cloud   string // address of the machine service and of the placement policy
	client  *http.Client
	// The bounds hold_max_ms and stop_ms of the site whose figures the case takes.
	holdMaxMs, stopMs int64

	mu   sync.Mutex
	runs []runSeen
}

// runSeen is a run that a worker has begun.
type runSeen struct {
	worker, zone, kind string
	task               string
	run                uint64
	began, ended       time.Time
	how                string // "" while it runs, "crash" if it went with its worker
}

// NewCell starts the stand-ins without workers.
func NewCell(dir, recordPath string) *Cell {
	file, err := os.Create(recordPath)
	must(err)
	c := &Cell{dir: dir, record: file, began: time.Now(), store: StartStore(), client: &http.Client{Timeout: clientTimeout}, holdMaxMs: 6000, stopMs: 400}
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	c.cloud = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.machines)
	go func() { _ = http.Serve(listener, mux) }()
	return c
}

// note writes a line to the record: the time since the start, what happened, and pairs of
// a name and a value.
func (c *Cell) note(what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s", time.Since(c.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	line.WriteByte('\n')
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line.String())
}

func (c *Cell) runStarted(w *Worker, task string, number uint64) {
	seen := runSeen{worker: w.id, zone: w.zone, kind: w.kind, task: task, run: number, began: time.Now()}
	c.mu.Lock()
	c.runs = append(c.runs, seen)
	c.mu.Unlock()
	c.note("run-start", "worker", w.id, "zone", w.zone, "kind", w.kind, "task", task, "run", number)
}

func (c *Cell) runEnded(w *Worker, task string, number uint64, how string) {
	c.mu.Lock()
	for i := range c.runs {
		r := &c.runs[i]
		if r.worker == w.id && r.task == task && r.run == number && r.how == "" {
			r.ended, r.how = time.Now(), how
		}
	}
	c.mu.Unlock()
	c.note("run-end", "worker", w.id, "task", task, "run", number, "how", how)
}

func (c *Cell) runGone(w *Worker, task string, number uint64) { c.runEnded(w, task, number, "crash") }

// Runs returns the runs of the job, or of all jobs if it is "".
func (c *Cell) Runs(job string) []runSeen {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []runSeen
	for _, r := range c.runs {
		if strings.HasPrefix(r.task, job) {
			list = append(list, r)
		}
	}
	return list
}

// AddWorker starts a worker.
func (c *Cell) AddWorker(zone, kind string, capacity Resources) {
	n := len(c.workers) + 1
	w := &Worker{
		cell: c, id: fmt.Sprintf("i-%010x", 0x7f3a91c000+n), machine: fmt.Sprintf("m-%05x", n), zone: zone, rack: "r-" + zone,
		kind: kind, capacity: capacity, address: "127.0.0.1:0",
	}
	c.workers = append(c.workers, w)
	w.Up(time.Now().UnixMilli())
}

func (c *Cell) machines(rw http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, w := range c.workers {
		list = append(list, map[string]any{
			"machine": w.machine, "pool": serviceName, "state": "up", "zone": w.zone, "labels": []string{w.kind, w.rack},
			"capacity": w.capacity, "id": w.id,
		})
	}
	answer(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// Route is a queue of the configuration.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeout_ms"`
	TargetMs    int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Slowdown    float64 `json:"slowdown_factor"`
	Public      bool    `json:"public"`
}

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name     string    `json:"name"`
	Keys     []string  `json:"api_keys"`
	Priority int       `json:"priority"`
	Weight   int       `json:"weight"`
	Cap      Resources `json:"cap"`
}

// Configure writes a version of the configuration.
func (c *Cell) Configure(version int, routes []Route, tenants []Tenant) {
	for i := range routes {
		routes[i].Host, routes[i].Kind, routes[i].TimeoutMs, routes[i].Service = host, "unsafe", 3000, serviceName
	}
	c.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	c.note("config", "version", version)
}

// Node is a process of the system.
type Node struct {
	cell                     *Cell
	name, zone               string
	callers, readiness, peer string
	settings, log            string
	command                  *exec.Cmd
	done                     chan struct{}
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// StartNodes starts one node in each of the zones and waits until all are ready.
func (c *Cell) StartNodes(zones ...string) bool {
	for i, zone := range zones {
		n := &Node{cell: c, name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, callers: freeAddress(), readiness: freeAddress(), peer: freeAddress()}
		n.settings = filepath.Join(c.dir, n.name+".toml")
		n.log = filepath.Join(c.dir, n.name+".log")
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		n.Start()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range c.nodes {
		for !n.Ready() {
			if time.Now().After(deadline) {
				c.note("not-ready", "node", n.name)
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	c.note("ready", "nodes", len(c.nodes))
	return true
}

// Start starts the node's process with the settings that the template of the deploy file
// renders to.
func (n *Node) Start() {
	seeds := []string{}
	for _, other := range n.cell.nodes[:min(3, len(n.cell.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peer))
	}
	text := fmt.Sprintf(`node = %q
failure_domain = %q
callers_address = %q
readiness_address = %q
peer_address = %q
peer_seeds = [%s]
store_address = %q
policy_address = %q
machines_address = %q
[vm]
processor_share = 0.4
cores = 1
memory_mib = 284
file_descriptors = 4100
[bounds]
longest_lease_ms = %d
stop_ms = %d
job_end_kept_s = %d
shutdown_s = %d
upkeep_s = %d
`, n.name, n.zone, n.callers, n.readiness, n.peer, strings.Join(seeds, ","), n.cell.store.address, n.cell.cloud, n.cell.cloud,
		n.cell.holdMaxMs, n.cell.stopMs, statusS, graceS, maintenanceS)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
	file, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.command = exec.Command(nodeProgram, "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = file, file
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should this process be killed
	must(n.command.Start())
	n.cell.note("node-start", "node", n.name)
	command, done := n.command, make(chan struct{})
	n.done = done
	go func() {
		err := command.Wait()
		_ = file.Close()
		n.cell.note("node-end", "node", n.name, "error", err)
		close(done)
	}()
}

// Signal sends the signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	n.cell.note("signal", "node", n.name, "signal", signal)
	_ = n.command.Process.Signal(signal)
}

// Ready asks for the node's readiness as the platform does.
func (n *Node) Ready() bool {
	reply, err := n.cell.client.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// Owner returns the node whose log says that it took the cell over last, for the choice
// of the node that a disruption hits.
func (c *Cell) Owner() *Node {
	var owner *Node
	newest := ""
	for _, n := range c.nodes {
		data, _ := os.ReadFile(n.log)
		for _, line := range strings.Split(string(data), "\n") {
			var fields struct{ Msg, Time string }
			if json.Unmarshal([]byte(line), &fields) == nil && fields.Msg == "cell taken over" && fields.Time > newest {
				owner, newest = n, fields.Time
			}
		}
	}
	return owner
}

// Close ends all processes that the cell started.
func (c *Cell) Close() {
	for _, n := range c.nodes {
		_ = n.command.Process.Kill()
		<-n.done
	}
	_ = c.record.Sync()
}

// Step is a step of a job.
type Step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"requested_memory_mb"`
	EstimatedMs  int    `json:"estimated_ms"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Dependencies []int  `json:"dependencies,omitempty"`
}

// call sends a client's call to a node and returns the status, 0 without an answer, and
// the body.
func (c *Cell) call(n *Node, method, prefix, id, key string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		must(err)
	}
	request, err := http.NewRequest(method, "http://"+n.callers+prefix+id, bytes.NewReader(data))
	must(err)
	request.Host = host
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	reply, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return 0, ""
	}
	return reply.StatusCode, strings.TrimSpace(string(text))
}

// Submit hands a job in and repeats the call at other nodes until it is accepted, at most
// five times. It reports whether it was.
func (c *Cell) Submit(first int, prefix, id, key string, runMs int, steps ...Step) bool {
	body := map[string]any{"task_spec": fmt.Sprintf("%s%d", runTimePrefix, runMs), "steps": steps}
	for try := range 5 {
		n := c.nodes[(first+try)%len(c.nodes)]
		status, _ := c.call(n, http.MethodPost, prefix, id, key, body)
		c.note("submit", "job", id, "node", n.name, "status", status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// State asks for a job's state. It returns "" if no node answers with one.
func (c *Cell) State(first int, prefix, id, key string) string {
	for try := range len(c.nodes) {
		n := c.nodes[(first+try)%len(c.nodes)]
		status, text := c.call(n, http.MethodGet, prefix, id, key, nil)
		c.note("state", "job", id, "node", n.name, "status", status, "body", text)
		var reply struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &reply) == nil {
			return reply.State
		}
	}
	return ""
}

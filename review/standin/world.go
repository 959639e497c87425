//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service   = "huvo11a"
	routeHost = "nony24.example"
	prefix    = "/lohu930/"
	apiKey    = "6x73d3zji9n73hh2b9wu"
	otherKey  = "3fexd9dnn2ctnfzs989a" // of a second tenant
)

// world is a small deployment: the platform, its runners, the nodes of the system as
// separate processes, and what clients and runners have seen.
type world struct {
	dir       string // temporary
	record    *os.File
	startedAt time.Time

	store   *store
	cloud   *cloud
	runners []*runner
	nodes   []*node

	mu       sync.Mutex
	lastBeat map[string]time.Time // of the runners, until their entry is removed
	starts   []start
	ends     []taskEnd
	noted    map[string][]uint64 // runs that ended done and whose end was taken note of, by task
	fenced   map[string]int      // rejected calls by runner
	jobs     map[string]*jobState
}

type start struct {
	task, runner, kind string
	run                uint64
	at                 time.Duration
}

type taskEnd struct {
	task, runner, how string
	run               uint64
	at                time.Duration
}

// jobState is what a client has been told of its job.
type jobState struct {
	accepted bool
	state    string
	at       time.Duration // of the last change of state
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, record: record, startedAt: time.Now(), store: newStore(),
		lastBeat: map[string]time.Time{}, noted: map[string][]uint64{}, fenced: map[string]int{}, jobs: map[string]*jobState{},
	}
	w.cloud = newCloud(w)
	w.store.log = w.log
	go w.expireEntries()
	return w, nil
}

func (w *world) now() time.Duration { return time.Since(w.startedAt) }

// log writes a line to the record.
func (w *world) log(who, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-8s %s\n", w.now().Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

// heard notes a heartbeat of a runner.
func (w *world) heard(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastBeat[id] = time.Now()
}

// expireEntries removes the entries of runners after three heartbeat intervals of silence.
func (w *world) expireEntries() {
	for {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		for id, at := range w.lastBeat {
			if time.Since(at) > 3*heartbeatInterval {
				delete(w.lastBeat, id)
				w.store.put("keyed.servers", id, nil)
				w.log("platform", "the entry of %s is removed after three heartbeat intervals of silence", id)
			}
		}
		w.mu.Unlock()
	}
}

func (w *world) noteStart(s start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, s)
}

// began records a start; the caller holds the runner's lock.
func (w *world) began(r *runner, task string, run uint64, spec string) {
	w.log("runner", "%s begins %s run %d (%s)", r, task, run, spec)
	w.noteStart(start{task, r.id, r.kind, run, w.now()})
}

// ended records the end of a run; the caller holds the runner's lock.
func (w *world) ended(r *runner, task string, run uint64, how string) {
	w.log("runner", "%s lists the end of %s run %d: %s", r, task, run, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, taskEnd{task, r.id, how, run, w.now()})
}

// acknowledged records that ack_cursor has reached an end.
func (w *world) acknowledged(r *runner, e end) {
	w.log("runner", "%s: ack_cursor reaches the end %d of %s run %d (%s), lease lapsed since: %t", r.id, e.n, e.task, e.run, e.how, e.lapsed)
	if e.lapsed || e.how != "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noted[e.task] = append(w.noted[e.task], e.run)
}

// startsAfterDone describes the starts after a run of the task had ended done, if that
// end has been taken note of.
func (w *world) startsAfterDone() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, e := range w.ends {
		if e.how != "done" || !slices.Contains(w.noted[e.task], e.run) {
			continue
		}
		for _, s := range w.starts {
			if s.task == e.task && s.at > e.at {
				list = append(list, fmt.Sprintf("%s: run %d ended done at %.3f on %s, run %d was started at %.3f on %s",
					s.task, e.run, e.at.Seconds(), e.runner, s.run, s.at.Seconds(), s.runner))
			}
		}
	}
	return list
}

// busiest returns the runner with the latest start.
func (w *world) busiest() *runner {
	w.mu.Lock()
	id := w.runners[0].id
	if len(w.starts) > 0 {
		id = w.starts[len(w.starts)-1].runner
	}
	w.mu.Unlock()
	return w.runner(id)
}

func (w *world) countFenced(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced[id]++
	if n := w.fenced[id]; n == 1 || n%100 == 0 {
		w.log("runner", "%s has rejected %d calls with 409 fence", id, n)
	}
}

// endsOf returns how often a run of the task has ended so.
func (w *world) endsOf(task, how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, e := range w.ends {
		if e.task == task && e.how == how {
			count++
		}
	}
	return count
}

// startsOf returns the starts of the job's tasks.
func (w *world) startsOf(job string) []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []start
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// listen serves a part of the platform on a free loopback port.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// queueOptions are the fields of the configuration that cases set.
type queueOptions struct {
	MaxAttempts int
	Later       int // added to the version
	Cap         int // what the first tenant may have running, in thousandths of a core; 0 means no limit
}

// publish writes the configuration.
func (w *world) publish(options queueOptions) {
	config := map[string]any{
		"version": 7 + options.Later,
		"routes": []any{map[string]any{
			"name": "r-cpihhac", "host": routeHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": options.MaxAttempts, "slowdown_factor": 2.2, "public": false,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "admission_check": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "kaje80", "api_keys": []string{apiKey}, "weight": 25, "cap": map[string]any{"cpu": options.Cap, "requested_memory_mb": 0, "gpu": 0}},
			map[string]any{"name": "nopu871", "api_keys": []string{otherKey}, "weight": 25, "cap": map[string]any{"cpu": 0, "requested_memory_mb": 0, "gpu": 0}},
		},
	}
	encoded, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	w.store.put("keyed.op", "config", encoded)
}

// addRunners starts one runner for each kind in the list. They stand in three zones.
func (w *world) addRunners(kinds []string) error {
	for i, kind := range kinds {
		r := &runner{
			w: w, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), address: "127.0.0.1:0", machine: fmt.Sprintf("m-%d", i),
			zone: []string{"marrakech", "ouarzazate", "guelmim"}[i%3], rack: fmt.Sprintf("r1-%d", i%3), cpu: 32000, memory: 131072,
		}
		if err := r.start(kind, 0); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	return nil
}

func (w *world) runner(id string) *runner {
	for _, r := range w.runners {
		if r.id == id {
			return r
		}
	}
	return nil
}

// node is one process of the system.
type node struct {
	w                                 *world
	name                              string
	callers, readiness, peer, metrics string
	settings                          string
	process                           *exec.Cmd
	exited                            chan struct{}
}

// freeAddresses returns loopback addresses with ports that were free just now.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startSystem starts the store, the other services of the platform and the nodes, and
// waits until all nodes are ready.
func (w *world) startSystem(count int) error {
	storeAddress, err := listen(w.store)
	if err != nil {
		return err
	}
	cloudAddress, err := listen(w.cloud)
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(4 * count)
	if err != nil {
		return err
	}
	for i := range count {
		n := &node{w: w, name: fmt.Sprintf("frontend-%d", i+1)}
		n.callers, n.readiness, n.peer, n.metrics = addresses[4*i], addresses[4*i+1], addresses[4*i+2], addresses[4*i+3]
		w.nodes = append(w.nodes, n)
	}
	for i, n := range w.nodes {
		zone := []string{"marrakech", "ouarzazate", "guelmim"}[i%3]
		text := fmt.Sprintf(`node = %q
failure_domain = %q
callers_address = %q
readiness_address = %q
peer_address = %q
metrics_address = %q
peer_seeds = [%q]
store_address = %q
policy_address = %q
machines_address = %q

[vm]
processor_share = 0.4
cores = 1
memory_mib = 284
file_descriptors = 4100

[bounds]
longest_lease_ms = 6000
stop_ms = 400
job_end_kept_s = 120
shutdown_s = 6
upkeep_s = 2
`, n.name, zone, n.callers, n.readiness, n.peer, n.metrics, w.nodes[0].peer, storeAddress, cloudAddress, cloudAddress)
		n.settings = filepath.Join(w.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	w.log("test", "%d nodes are ready", count)
	return nil
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	output, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command("target/balsam-node", "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = output, output
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(n.process, n.exited)
	return nil
}

func (n *node) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer, err := http.Get("http://" + n.readiness + "/-/readiness")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, limit)
}

// kill kills the node's process.
func (n *node) kill() {
	_ = n.process.Process.Kill()
	<-n.exited
	n.w.log("test", "%s is killed", n.name)
}

// owner returns the node that owns the cell, as its log tells.
func (w *world) owner() *node {
	var found *node
	var latest int64 = -1
	for _, n := range w.nodes {
		data, err := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range bytes.SplitSeq(data, []byte{'\n'}) {
			if !bytes.Contains(line, []byte(`"cell taken over"`)) {
				continue
			}
			var entry struct {
				Epoch int64 `json:"epoch"`
			}
			if json.Unmarshal(line, &entry) == nil && entry.Epoch > latest {
				latest, found = entry.Epoch, n
			}
		}
	}
	return found
}

// close ends all processes and writes what they logged about the jobs to the record.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", w.dir)
	} else {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemoryMB     int    `json:"requested_memory_mb"`
	EstimatedMs  int    `json:"estimated_ms"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends a client's call to a node. It returns status 0 if there was no answer.
func (w *world) call(n *node, method, path string, body any) (int, []byte) {
	return w.callAs(apiKey, n, method, path, body)
}

// callAs is call with the key of a tenant.
func (w *world) callAs(key string, n *node, method, path string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.callers+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = routeHost
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	answer, err := httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// submit hands a job in, with the retries of a client. It returns whether it was accepted.
func (w *world) submit(id, spec string, steps ...step) bool {
	return w.submitAs(apiKey, id, spec, steps...)
}

// submitAs is submit with the key of a tenant.
func (w *world) submitAs(key, id, spec string, steps ...step) bool {
	w.mu.Lock()
	job := &jobState{}
	w.jobs[id] = job
	w.mu.Unlock()
	for attempt := range 5 {
		n := w.nodes[(int(id[15])+attempt)%len(w.nodes)]
		status, _ := w.callAs(key, n, http.MethodPost, prefix+id, map[string]any{"task_spec": spec, "steps": steps})
		w.log("client", "POST job %s (%s) to %s: %d", id, spec, n.name, status)
		if status >= 200 && status < 300 {
			job.accepted = true
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at each node until one answers.
func (w *world) state(id string) string {
	for _, n := range w.nodes {
		status, data := w.call(n, http.MethodGet, prefix+id, nil)
		if status == http.StatusGone {
			w.note(id, "410")
			return "410"
		}
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil && answer.State != "" {
			w.note(id, answer.State)
			return answer.State
		}
	}
	return ""
}

func (w *world) note(id, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := w.jobs[id]; job != nil && job.state != state {
		job.state, job.at = state, w.now()
		w.log("client", "GET job %s: %s", id, state)
	}
}

// awaitState asks for the job's state until it is one of the wanted ones.
func (w *world) awaitState(id string, limit time.Duration, wanted ...string) string {
	state := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		state = w.state(id)
		for _, s := range wanted {
			if state == s {
				return state
			}
		}
	}
	return state
}

// awaitStart waits for a start of the job's tasks beyond the first skip ones.
func (w *world) awaitStart(job string, skip int, limit time.Duration) (start, bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if list := w.startsOf(job); len(list) > skip {
			return list[skip], true
		}
	}
	return start{}, false
}

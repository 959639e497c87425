//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the platform's runners, as in the example of the settings.
const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 6 * time.Second
	stopTime          = 100 * time.Millisecond // at most stop_ms
	endsPerAnswer     = 500
)

// runner is a stand-in of one runner. A crash and a start replace its life.
type runner struct {
	w       *world
	id      string
	address string
	machine string
	zone    string
	rack    string
	cpu     int
	memory  int

	mu       sync.Mutex
	kind     string
	up       bool
	dark     bool // down since a power failure; its connections are silent
	cut      bool // no packet reaches it or leaves it
	cuts     int  // number of cuts so far
	life     int  // incremented by each start and crash; odd while the runner is up
	listener net.Listener
	conns    map[net.Conn]*connection
	server   *http.Server
	born     int64
	since    time.Time // start of the life
	seq      int

	token    uint64
	until    int64 // lease, on the runner's clock in ms
	running  map[string]*run
	finished []end
	lastEnd  uint64
	highest  map[string]uint64 // highest run that was stopped or has ended, by task
	changed  chan struct{}
}

// connection is what the runner knows of one of its connections.
type connection struct {
	life     int // in which it was accepted
	lastCall time.Time
	unacked  time.Time // of the first call that was sent while the machine was dark; zero for none
}

type connectionKey struct{}

// keepAlive is the time without traffic after which the other side's kernel probes a
// connection, as the system asks for. A machine that has started again resets it then.
const keepAlive = time.Second

// firstRepetition is the time after which a kernel sends an unacknowledged packet again
// on a fast network. The time doubles with each repetition.
const firstRepetition = 200 * time.Millisecond

type run struct {
	run      uint64
	spec     string
	started  time.Time
	stopping bool
}

type end struct {
	n      uint64
	task   string
	run    uint64
	how    string
	lapsed bool // the lease has lapsed since
}

// start begins a life of the runner.
func (r *runner) start(kind string, firstHeartbeat time.Duration) error {
	r.mu.Lock()
	listening := r.listener != nil
	r.mu.Unlock()
	if !listening {
		if err := r.listen(); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kind, r.up, r.dark = kind, true, false
	r.life++
	r.since = time.Now()
	r.born, r.seq = r.since.UnixMilli(), 0
	r.token, r.until, r.running, r.finished, r.lastEnd = 0, 0, map[string]*run{}, nil, 0
	r.highest, r.changed = map[string]uint64{}, make(chan struct{})
	for c, info := range r.conns {
		r.resetOnProbe(c, info)
	}
	go r.heartbeats(r.life, firstHeartbeat)
	r.w.log("runner", "%s of kind %s starts, born %d", r.id, kind, r.born)
	return nil
}

// resetOnProbe resets a connection of an earlier life with the next packet of the other
// side's kernel: the repetition of an unacknowledged one, or a probe. A connection that was
// opened while the machine was dark stays silent, since its first packet was lost. The
// caller holds mu.
func (r *runner) resetOnProbe(c net.Conn, info *connection) {
	if info.life%2 == 0 {
		return
	}
	probe, pause := info.lastCall.Add(keepAlive), keepAlive
	if !info.unacked.IsZero() {
		probe, pause = info.unacked.Add(firstRepetition), 2*firstRepetition
	}
	for probe.Before(r.since) {
		probe = probe.Add(pause)
		if !info.unacked.IsZero() {
			pause *= 2
		}
	}
	time.AfterFunc(time.Until(probe), func() {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	})
}

// listen opens the runner's port.
func (r *runner) listen() error {
	var listener net.Listener
	var err error
	for range 100 { // the port may not be free at once
		if listener, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.listener, r.conns = listener.Addr().String(), listener, map[net.Conn]*connection{}
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			r.mu.Lock()
			defer r.mu.Unlock()
			info := &connection{life: r.life, lastCall: time.Now()}
			if !r.up && !r.dark { // between the start of listening and that of the life
				info.life++
			}
			r.conns[c] = info
			return context.WithValue(ctx, connectionKey{}, info)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				r.mu.Lock()
				defer r.mu.Unlock()
				delete(r.conns, c)
			}
		},
	}
	go func() { _ = r.server.Serve(listener) }()
	return nil
}

// crash ends the life at once. All its runs are gone. Its connections are reset, unless
// the machine goes dark: then they are silent, and so are new ones.
func (r *runner) crash(dark bool) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up, r.dark = false, dark
	r.life++
	lost := len(r.running)
	r.running = map[string]*run{}
	server := r.server
	if !dark {
		r.listener = nil
	}
	r.mu.Unlock()
	if !dark {
		_ = server.Close()
	}
	r.w.log("runner", "%s crashes (dark: %t), %d runs are lost", r.id, dark, lost)
}

// setCut cuts the runner off from everything, or ends the cut. Calls that were under way
// are lost.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	if cut {
		r.cuts++
	}
	for c := range r.conns {
		if !cut {
			_ = c.Close()
		}
	}
	r.mu.Unlock()
	r.w.log("runner", "%s cut off: %t", r.id, cut)
}

// heartbeats writes the runner's entry until the life ends.
func (r *runner) heartbeats(life int, first time.Duration) {
	time.Sleep(first)
	for {
		r.mu.Lock()
		if r.life != life {
			r.mu.Unlock()
			return
		}
		if !r.cut {
			r.seq++
			entry, err := json.Marshal(map[string]any{
				"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
				"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": r.cpu, "requested_memory_mb": r.memory, "gpu": 0},
				"labels": []string{r.kind, r.rack}, "clock_ms": r.clock(), "seq": r.seq, "born": r.born,
			})
			if err != nil {
				panic(err)
			}
			r.w.store.put("keyed.servers", r.id, entry)
			r.w.heard(r.id)
			if r.seq == 1 {
				r.w.log("runner", "%s has its entry in the store: kind %s, born %d", r.id, r.kind, r.born)
			}
		}
		r.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
}

// clock returns the reading of the runner's clock in ms. The caller holds mu.
func (r *runner) clock() int64 { return time.Since(r.since).Milliseconds() + 1 }

// expire ends all runs once the lease has lapsed. The caller holds mu.
func (r *runner) expire() {
	if r.clock() < r.until {
		return
	}
	for i := range r.finished {
		r.finished[i].lapsed = true
	}
	if len(r.running) > 0 {
		for task := range r.running {
			r.endRun(task, "lapsed")
		}
	}
}

func (r *runner) watchLease(life int, until int64) {
	r.mu.Lock()
	wait := time.Duration(until-r.clock()) * time.Millisecond
	r.mu.Unlock()
	time.Sleep(wait + time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == life {
		r.expire()
	}
}

// endRun lists the end of a run. The caller holds mu.
func (r *runner) endRun(task, how string) {
	run, ok := r.running[task]
	if !ok {
		return
	}
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], run.run)
	r.lastEnd++
	r.finished = append(r.finished, end{n: r.lastEnd, task: task, run: run.run, how: how})
	r.w.ended(r, task, run.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// renew extends the lease. The caller holds mu.
func (r *runner) renew(until int64) {
	until = min(until, r.clock()+holdMax.Milliseconds())
	if until > r.until {
		r.until = until
		go r.watchLease(r.life, until)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	TaskSpec   string `json:"task_spec"`
	UntilMs    int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMs     int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	var call order
	if err := json.NewDecoder(q.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	info := q.Context().Value(connectionKey{}).(*connection)
	r.mu.Lock()
	defer r.mu.Unlock()
	life := info.life
	if r.dark && info.unacked.IsZero() {
		info.unacked = time.Now()
	} else if !r.dark {
		info.lastCall = time.Now()
	}
	cuts, cut := r.cuts, r.cut
	r.block(life, q)
	if r.life != life || !r.up {
		r.silence(q)
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	if expected := q.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.expire()
	status, reason := http.StatusOK, ""
	switch {
	case call.Token < r.token:
		status, reason = http.StatusConflict, "fence"
		r.w.countFenced(r.id)
	default:
		r.token = call.Token
		switch q.URL.Path {
		case "/-/run-start":
			status, reason = r.startRun(life, &call)
		case "/-/run-stop":
			r.stopRun(life, &call)
		case "/-/hold":
			r.hold(life, cuts, &call, w, q)
			return
		case "/-/pace":
		default:
			status = http.StatusNotFound
		}
	}
	answer := map[string]any{"clock_ms": r.clock(), "born": r.born}
	if reason != "" {
		answer["reason"] = reason
	}
	reply(w, status, answer)
}

// silence ends a call of an earlier life without an answer once its connection is closed.
// The caller holds mu.
func (r *runner) silence(q *http.Request) {
	r.mu.Unlock()
	<-q.Context().Done()
	r.mu.Lock()
	panic(http.ErrAbortHandler)
}

// block waits while the runner is cut off. The caller holds mu.
func (r *runner) block(life int, q *http.Request) {
	for r.cut && r.life == life && q.Context().Err() == nil {
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
	}
}

func (r *runner) startRun(life int, call *order) (int, string) {
	if current, ok := r.running[call.Task]; ok && current.run == call.Run {
		r.renew(call.UntilMs)
		return http.StatusOK, ""
	}
	if current, ok := r.running[call.Task]; call.Run <= r.highest[call.Task] || ok && call.Run < current.run {
		r.renew(call.UntilMs)
		return http.StatusConflict, "old"
	}
	if call.UntilMs <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.renew(call.UntilMs)
	r.running[call.Task] = &run{run: call.Run, spec: call.TaskSpec, started: time.Now()}
	r.w.began(r, call.Task, call.Run, call.TaskSpec)
	go r.work(life, call.Task, call.Run, workTime(call.TaskSpec))
	return http.StatusOK, ""
}

// workTime returns the time that a task with the text works.
func workTime(spec string) time.Duration {
	for _, field := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(field, "work_ms="); ok {
			if ms, err := strconv.Atoi(text); err == nil {
				return time.Duration(ms) * time.Millisecond
			}
		}
	}
	return time.Second
}

func (r *runner) work(life int, task string, number uint64, d time.Duration) {
	time.Sleep(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != life {
		return
	}
	r.expire()
	if current, ok := r.running[task]; ok && current.run == number && !current.stopping {
		r.endRun(task, "done")
	}
}

func (r *runner) stopRun(life int, call *order) {
	current, ok := r.running[call.Task]
	if !ok || current.run > call.Run {
		r.highest[call.Task] = max(r.highest[call.Task], call.Run)
		return
	}
	if current.stopping {
		return
	}
	current.stopping = true
	go func() {
		time.Sleep(stopTime)
		r.mu.Lock()
		defer r.mu.Unlock()
		if again, ok := r.running[call.Task]; r.life == life && ok && again == current {
			r.endRun(call.Task, "stopped")
		}
	}()
}

// hold renews the lease and answers with both lists. The caller holds mu.
func (r *runner) hold(life, cuts int, call *order, w http.ResponseWriter, q *http.Request) {
	if call.UntilMs > 0 {
		r.renew(call.UntilMs)
	}
	for len(r.finished) > 0 && r.finished[0].n <= call.AckCursor {
		r.w.acknowledged(r, r.finished[0])
		r.finished = r.finished[1:]
	}
	deadline := time.After(time.Duration(min(call.WaitMs, 2000)) * time.Millisecond)
	for waiting := call.WaitMs > 0; waiting && len(r.finished) == 0 && r.life == life; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	r.block(life, q)
	if r.life != life {
		r.silence(q)
	}
	if r.cuts != cuts {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	tasks := make([]string, 0, len(r.running))
	for task := range r.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		current := r.running[task]
		percent := min(100, int(100*time.Since(current.started)/max(workTime(current.spec), 1)))
		running = append(running, []any{task, current.run, "", percent, 1000})
	}
	for _, e := range r.finished[:min(len(r.finished), endsPerAnswer)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born, "running": running, "finished": finished})
}

func (r *runner) String() string { return fmt.Sprintf("%s (%s)", r.id, r.kind) }

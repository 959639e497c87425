//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holdMax   = 6000 // ms, longest lease
	stopTime  = 100 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// runner is a stand-in of one runner of the platform, without gangs and checkpoints.
type runner struct {
	cell    *cell
	id      string
	address string

	mu       sync.Mutex
	life     int // number of the life
	up       bool
	server   *http.Server
	began    time.Time
	born     int64
	seq      int
	fence    uint64
	until    int64 // on the runner's clock, ms
	running  map[string]*run
	highest  map[string]int // highest run that was stopped or has ended, by task
	finished [][]any
	ends     int
	changed  chan struct{} // closed at the next end
}

type run struct {
	number   int
	begins   time.Time
	duration time.Duration
	stopping bool
}

// start begins a life of the runner.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = listener.Addr().String()
	r.life++
	r.up, r.began = true, time.Now()
	r.born = r.began.UnixMilli()
	r.fence, r.until, r.ends, r.finished = 0, 0, 0, nil
	r.running, r.highest, r.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	r.server = &http.Server{Handler: r}
	server, life := r.server, r.life
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go r.beat(life)
	go r.expire(life)
	return nil
}

func (r *runner) alive(life int) bool { return r.up && r.life == life }

func (r *runner) beat(life int) {
	for ; ; time.Sleep(heartbeat) {
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			return
		}
		r.seq++
		entry := fmt.Appendf(nil, `{"service":"svc","address":%q,"zone":"z1","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"born":%d,"seq":%d,"clock_ms":%d,"capacity":{"cpu":32000,"requested_memory_mb":131072,"gpu":0},"labels":["a","rack-1"]}`,
			r.address, r.born, r.seq, r.clock())
		r.mu.Unlock()
		r.cell.store.put("keyed.servers", r.id, entry)
	}
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() }

// expire ends runs that are done, and all runs once the lease has expired.
func (r *runner) expire(life int) {
	for ; ; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			return
		}
		for task, run := range maps.Clone(r.running) {
			switch {
			case r.clock() > r.until:
				r.end(task, run, "lapsed")
			case !run.stopping && run.duration > 0 && time.Since(run.begins) >= run.duration:
				r.end(task, run, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (r *runner) end(task string, run *run, how string) {
	if r.running[task] != run {
		return
	}
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], run.number)
	r.ends++
	r.finished = append(r.finished, []any{r.ends, task, run.number, how, ""})
	close(r.changed)
	r.changed = make(chan struct{})
	r.cell.ended(r.id, task, run.number, how)
}

type order struct {
	Task   string  `json:"task"`
	Run    int     `json:"run"`
	Spec   string  `json:"task_spec"`
	Until  *int64  `json:"until_ms"`
	Fence  uint64  `json:"fencing_token"`
	Ack    int     `json:"ack_cursor"`
	WaitMs float64 `json:"wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		return // health
	}
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	if request.URL.Path == "/-/run-start" && r.cell.losesPower(r, o.Task) {
		r.up = false
		r.cell.note("runner %s crashes; an order to start %s run %d does not reach it", r.id, o.Task, o.Run)
		go func(server *http.Server) { _ = server.Close() }(r.server)
		panic(http.ErrAbortHandler)
	}
	if instance := request.Header.Get("X-Expected-Instance"); instance != "" && instance != r.id {
		r.answer(w, http.StatusMisdirectedRequest, "")
		return
	}
	if o.Fence < r.fence {
		r.answer(w, http.StatusConflict, "fence")
		return
	}
	r.fence = o.Fence
	if o.Until != nil {
		r.until = max(r.until, min(*o.Until, r.clock()+holdMax))
	}
	switch request.URL.Path {
	case "/-/run-start":
		r.runStart(w, &o)
	case "/-/run-stop":
		r.runStop(w, &o)
	case "/-/hold":
		r.hold(w, request, &o)
	case "/-/pace":
		r.answer(w, http.StatusOK, "")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": r.clock(), "born": r.born}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

func (r *runner) runStart(w http.ResponseWriter, o *order) {
	current := r.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		r.answer(w, http.StatusOK, "")
	case o.Run <= r.highest[o.Task] || current != nil && o.Run < current.number:
		r.answer(w, http.StatusConflict, "old")
	case o.Until == nil || *o.Until <= r.clock():
		r.answer(w, http.StatusConflict, "late")
	default:
		r.running[o.Task] = &run{number: o.Run, begins: time.Now(), duration: duration(o.Spec)}
		r.cell.started(r.id, o.Task, o.Run)
		r.answer(w, http.StatusOK, "")
	}
}

// duration returns the work of a task, which its payload states as "work=DURATION", or 0
// for a task that lasts.
func duration(spec string) time.Duration {
	_, text, _ := strings.Cut(spec, "work=")
	d, _ := time.ParseDuration(text)
	return d
}

func (r *runner) runStop(w http.ResponseWriter, o *order) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if current := r.running[o.Task]; current != nil && current.number <= o.Run {
		current.stopping = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(o.Task, current, "stopped")
		})
	}
	r.answer(w, http.StatusOK, "")
}

func (r *runner) hold(w http.ResponseWriter, request *http.Request, o *order) {
	for len(r.finished) > 0 && r.finished[0][0].(int) <= o.Ack {
		r.finished = r.finished[1:]
	}
	life, timeout := r.life, time.NewTimer(time.Duration(o.WaitMs)*time.Millisecond)
	defer timeout.Stop()
	for waiting := o.WaitMs > 0; waiting && len(r.finished) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		}
		r.mu.Lock()
		if !r.alive(life) {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, run := range r.running {
		running = append(running, []any{task, run.number, "", 100, 1000})
	}
	finished := append([][]any{}, r.finished[:min(len(r.finished), 500)]...)
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born, "running": running, "finished": finished})
}

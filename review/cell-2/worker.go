//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	maxEnds      = 500
	// runTimePrefix begins the task_spec of the cases' jobs. The run time in ms follows.
	runTimePrefix = "run-ms="
)

// Resources are amounts in the units of the platform.
type Resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"requested_memory_mb"`
	GPU    int `json:"gpu"`
}

// Worker is a stand-in of a runner. Restart makes a new incarnation of it.
type Worker struct {
	cell    *Cell
	id      string
	machine string
	zone    string
	rack    string
	address string

	mu       sync.Mutex
	kind     string
	capacity Resources
	server   *http.Server
	born     int64
	origin   time.Time // reading 0 of its clock
	fence    uint64
	lease    int64 // its clock in ms
	runs     map[string]*run
	barred   map[string]uint64 // highest run stopped or ended, by task
	ends     []ended
	lastEnd  int
	ended    chan struct{} // closed at the next end
	life     int           // counts the incarnations
	noPower  chan struct{} // never closed; nil while the worker has power
	seq      int
}

type run struct {
	number uint64
	timer  *time.Timer
}

type ended struct {
	sequence   int
	task       string
	run        uint64
	how, saved string
}

// Up begins an incarnation that was born at the given Unix time in ms by the worker's own
// time of day.
func (w *Worker) Up(born int64) {
	listener, err := net.Listen("tcp", w.address)
	must(err)
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.born, w.origin = born, time.Now().Add(-time.Second)
	w.fence, w.lease, w.lastEnd, w.seq = 0, 0, 0, 0
	w.runs, w.barred, w.ends = map[string]*run{}, map[string]uint64{}, nil
	w.ended = make(chan struct{})
	w.life++
	life := w.life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.start)
	mux.HandleFunc("POST /-/run-stop", w.stop)
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("POST /-/pace", w.pace)
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.cell.note("worker-up", "worker", w.id, "zone", w.zone, "kind", w.kind, "cpu", w.capacity.CPU, "born", born)
	w.beat()
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.keep(life)
}

// Crash ends the incarnation without a word.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	for task, r := range w.runs {
		r.timer.Stop()
		w.cell.runGone(w, task, r.number)
	}
	w.runs = map[string]*run{}
	_ = w.server.Close()
	w.cell.note("worker-crash", "worker", w.id)
	life := w.life
	time.AfterFunc(3*beatInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life {
			w.cell.store.Put("keyed.servers", w.id, nil)
		}
	})
}

// Dark ends the incarnation for good as a loss of power does: calls to it hang.
func (w *Worker) Dark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	for task, r := range w.runs {
		r.timer.Stop()
		w.cell.runGone(w, task, r.number)
	}
	w.runs = map[string]*run{}
	w.noPower = make(chan struct{})
	w.cell.note("worker-dark", "worker", w.id)
	time.AfterFunc(3*beatInterval, func() { w.cell.store.Put("keyed.servers", w.id, nil) })
}

// keep writes the worker's entry and ends what has no lease, until the incarnation ends.
func (w *Worker) keep(life int) {
	next := time.Now().Add(beatInterval)
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		if now := time.Now(); now.After(next) {
			next = now.Add(beatInterval)
			w.beat()
		}
		if len(w.runs) > 0 && w.clock() > w.lease {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// beat writes the worker's entry. The caller holds mu.
func (w *Worker) beat() {
	w.seq++
	w.cell.store.Put("keyed.servers", w.id, map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": w.capacity, "labels": []string{w.kind, w.rack}, "clock_ms": w.clock(), "seq": w.seq, "born": w.born,
	})
}

// clock returns the worker's clock in ms.
func (w *Worker) clock() int64 { return time.Since(w.origin).Milliseconds() }

// end ends a run. The caller holds mu.
func (w *Worker) end(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.barred[task] = max(w.barred[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, task, r.number, how, ""})
	close(w.ended)
	w.ended = make(chan struct{})
	w.cell.runEnded(w, task, r.number, how)
}

type order struct {
	Task   string `json:"task"`
	Run    uint64 `json:"run"`
	Spec   string `json:"task_spec"`
	Until  int64  `json:"until_ms"`
	Token  uint64 `json:"fencing_token"`
	Acked  int    `json:"ack_cursor"`
	WaitMs int64  `json:"wait_ms"`
}

// admit decodes an order and checks its addressee and token. It returns false after it
// has answered. Otherwise the caller holds mu.
func (w *Worker) admit(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if w.dropped() {
		return false
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		answer(rw, http.StatusMisdirectedRequest, nil)
		return false
	}
	if json.NewDecoder(r.Body).Decode(o) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return false
	}
	w.mu.Lock()
	if o.Token < w.fence {
		w.refuse(rw, "fence")
		return false
	}
	w.fence = o.Token
	w.lease = max(w.lease, min(o.Until, w.clock()+w.cell.holdMaxMs))
	return true
}

// dropped waits for ever if the worker has no power, so that the call is not carried out
// and gets no answer. Otherwise it returns false at once.
func (w *Worker) dropped() bool {
	w.mu.Lock()
	noPower := w.noPower
	w.mu.Unlock()
	if noPower == nil {
		return false
	}
	<-noPower
	return true
}

// refuse answers with 409. The caller holds mu, which it releases.
func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	reply := map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": reason}
	w.mu.Unlock()
	answer(rw, http.StatusConflict, reply)
}

// accept answers with 200. The caller holds mu, which it releases.
func (w *Worker) accept(rw http.ResponseWriter) {
	reply := map[string]any{"clock_ms": w.clock(), "born": w.born}
	w.mu.Unlock()
	w.dropped()
	answer(rw, http.StatusOK, reply)
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.admit(rw, r, &o) {
		return
	}
	if at, there := w.runs[o.Task]; there && at.number == o.Run {
		w.accept(rw)
		return
	}
	if o.Run <= w.barred[o.Task] {
		w.refuse(rw, "old")
		return
	}
	if w.lease <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(o.Spec, runTimePrefix))
	if err != nil {
		w.mu.Unlock()
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	life := w.life
	w.runs[o.Task] = &run{number: o.Run, timer: time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if at, there := w.runs[o.Task]; w.life == life && there && at.number == o.Run {
			w.end(o.Task, "done")
		}
	})}
	w.cell.runStarted(w, o.Task, o.Run)
	w.accept(rw)
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.admit(rw, r, &o) {
		return
	}
	if at, there := w.runs[o.Task]; there && at.number <= o.Run {
		w.end(o.Task, "stopped")
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	w.accept(rw)
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	var o order
	if w.admit(rw, r, &o) {
		w.accept(rw)
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.admit(rw, r, &o) {
		return
	}
	for len(w.ends) > 0 && w.ends[0].sequence <= o.Acked {
		w.cell.note("ack", "worker", w.id, "end", w.ends[0].sequence, "task", w.ends[0].task, "run", w.ends[0].run)
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && o.WaitMs > 0 {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, at := range w.runs {
		running = append(running, []any{task, at.number, "", 100})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.sequence, e.task, e.run, e.how, e.saved})
	}
	reply := map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "finished": finished}
	w.mu.Unlock()
	w.dropped() // the answer is lost
	answer(rw, http.StatusOK, reply)
}

package ownerbench

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// standInVariable makes the test's program serve this number of stand-in workers.
const standInVariable = "OWNERBENCH_WORKERS"

// answerDelay is the time that a stand-in takes for the answer to an order.
const answerDelay = 2 * time.Millisecond

func TestMain(m *testing.M) {
	if text := os.Getenv(standInVariable); text != "" {
		count, err := strconv.Atoi(text)
		if err == nil {
			err = serveStandIns(count)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// standIn is a worker that runs each task for the milliseconds in its payload.
type standIn struct {
	mu       sync.Mutex
	began    time.Time
	running  map[string]uint64 // runs by task
	finished []standInEnd
	last     uint64 // sequence number of the last end
	ended    chan struct{}
}

type standInEnd struct {
	sequence uint64
	task     string
	run      uint64
}

// standInCounts are what the stand-ins count together.
type standInCounts struct{ Connections, Polls, Starts, Ends atomic.Int64 }

// serveStandIns prints the addresses of the stand-ins as JSON and serves them until
// the process is killed. GET / returns the counts.
func serveStandIns(count int) error {
	var counts standInCounts
	addresses := make([]string, 0, count)
	failed := make(chan error, 1)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, listener.Addr().String())
		w := &standIn{began: time.Now(), running: map[string]uint64{}, ended: make(chan struct{}, 1)}
		server := &http.Server{
			Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(out, in, &counts) }),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					counts.Connections.Add(1)
				}
			},
		}
		go func() { failed <- server.Serve(listener) }()
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	return <-failed
}

func (w *standIn) clockMs() int64 { return time.Since(w.began).Milliseconds() + 1 }

func (w *standIn) serve(out http.ResponseWriter, in *http.Request, counts *standInCounts) {
	var order struct {
		Task      string `json:"task"`
		Run       uint64 `json:"run"`
		Spec      string `json:"task_spec"`
		AckCursor uint64 `json:"ack_cursor"`
		WaitMs    int64  `json:"wait_ms"`
	}
	if in.Method == http.MethodGet {
		_, _ = fmt.Fprintf(out, "[%d,%d,%d,%d]", counts.Connections.Load(), counts.Polls.Load(), counts.Starts.Load(), counts.Ends.Load())
		return
	}
	if err := json.NewDecoder(in.Body).Decode(&order); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	var body []byte
	switch in.URL.Path {
	case "/-/hold":
		counts.Polls.Add(1)
		body = w.hold(order.AckCursor, time.Duration(order.WaitMs)*time.Millisecond)
	case "/-/run-start":
		counts.Starts.Add(1)
		time.Sleep(answerDelay)
		body = w.start(order.Task, order.Run, order.Spec, counts)
	default:
		time.Sleep(answerDelay)
		body = fmt.Appendf(nil, `{"clock_ms":%d}`, w.clockMs())
	}
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(body)
}

func (w *standIn) start(task string, run uint64, spec string, counts *standInCounts) []byte {
	ms, _ := strconv.Atoi(spec)
	w.mu.Lock()
	w.running[task] = run
	w.mu.Unlock()
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		counts.Ends.Add(1)
		w.mu.Lock()
		delete(w.running, task)
		w.last++
		w.finished = append(w.finished, standInEnd{w.last, task, run})
		w.mu.Unlock()
		select {
		case w.ended <- struct{}{}:
		default:
		}
	})
	return fmt.Appendf(nil, `{"clock_ms":%d,"born":%d}`, w.clockMs(), w.began.UnixMilli())
}

// hold drops the acknowledged ends and waits for one that is not.
func (w *standIn) hold(acked uint64, wait time.Duration) []byte {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		w.mu.Lock()
		for len(w.finished) > 0 && w.finished[0].sequence <= acked {
			w.finished = w.finished[1:]
		}
		if len(w.finished) > 0 || wait <= 0 {
			defer w.mu.Unlock()
			return w.lists()
		}
		w.mu.Unlock()
		select {
		case <-w.ended:
		case <-deadline.C:
			wait = 0
		}
	}
}

// lists returns the answer to a poll. The caller holds mu.
func (w *standIn) lists() []byte {
	body := fmt.Appendf(nil, `{"clock_ms":%d,"born":%d,"running":[`, w.clockMs(), w.began.UnixMilli())
	separator := ""
	for task, run := range w.running {
		body = fmt.Appendf(body, `%s["%s",%d,"",41,5200]`, separator, task, run)
		separator = ","
	}
	body = append(body, `],"finished":[`...)
	separator = ""
	for _, end := range w.finished {
		body = fmt.Appendf(body, `%s[%d,"%s",%d,"done",""]`, separator, end.sequence, end.task, end.run)
		separator = ","
	}
	return append(body, `]}`...)
}

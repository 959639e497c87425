// Package runner is a stand-in of a runner VM, which executes quick requests.
package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/httpserver"
)

// Defaults for a VM that declares neither slots nor connections.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Options configures a runner.
type Options struct {
	VM          model.VM
	ServiceTime time.Duration
	Faults      *fault.Injector
	History     *history.Recorder
	// OmitHistory keeps requests out of the history, so that recording
	// does not distort benchmarks.
	OmitHistory bool
}

// Runner is one runner VM. It is safe for concurrent use.
type Runner struct {
	options Options

	mu         sync.Mutex
	busy       int64
	gone       bool
	executions map[model.RequestID]int
}

// Payload is the optional JSON body of a request, which controls the stand-in.
// A body that is not JSON is accepted and ignored.
type Payload struct {
	Call       string `json:"id,omitempty"` // identifies the request to its caller; recorded in the history
	RunMS      int64  `json:"run_ms,omitempty"`
	Fail       bool   `json:"fail,omitempty"`
	ReplyBytes int    `json:"reply_bytes,omitempty"` // length of Reply.Padding
}

// Reply is the body of the answer to a request.
type Reply struct {
	Request   model.RequestID `json:"request"`
	Call      string          `json:"id"`
	VM        model.VMID      `json:"vm"`
	Attempt   int             `json:"attempt"`
	Execution int             `json:"execution"` // number of times that this runner has executed the request id
	Padding   string          `json:"padding,omitempty"`
}

// New returns an idle runner.
func New(options Options) *Runner {
	if options.VM.Capacity.Slots == 0 {
		options.VM.Capacity.Slots = DefaultSlots
	}
	if options.VM.Connections == 0 {
		options.VM.Connections = DefaultConnections
	}
	if options.Faults == nil {
		options.Faults = fault.NewInjector()
	}
	if options.History == nil {
		options.History = &history.Recorder{}
	}
	options.History.Add(history.Event{
		Kind: history.VMSeen, VM: options.VM.ID, Domain: options.VM.FailureDomain, Size: options.VM.Capacity,
	})
	return &Runner{options: options, executions: make(map[model.RequestID]int)}
}

// SetGone sets whether the VM is gone. A runner that is gone refuses all
// requests.
func (r *Runner) SetGone(gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = gone
}

// Executions returns the number of executions of each request id.
func (r *Runner) Executions() map[model.RequestID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[model.RequestID]int, len(r.executions))
	for id, n := range r.executions {
		out[id] = n
	}
	return out
}

// Serve starts the HTTP server of the runner.
func (r *Runner) Serve(listen string) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Listen:      listen,
		Connections: r.options.VM.Connections,
		Faults:      r.options.Faults,
		History:     r.options.History,
		Admin: func(h *server.Hertz) {
			h.GET("/admin/executions", func(_ context.Context, c *app.RequestContext) {
				httpserver.JSON(c, http.StatusOK, r.Executions())
			})
		},
		Register: func(router httpserver.Router) {
			router.POST(platformapi.PathRequest, r.serve)
		},
	})
}

func (r *Runner) serve(_ context.Context, c *app.RequestContext) {
	var payload Payload
	_ = json.Unmarshal(c.Request.Body(), &payload) // a body that is not JSON is accepted
	event := r.event(c, payload)
	execution, refusal := r.begin(event)
	if refusal != "" {
		httpserver.NotStarted(c, http.StatusServiceUnavailable, refusal)
		return
	}
	time.Sleep(r.options.ServiceTime + time.Duration(payload.RunMS)*time.Millisecond)
	status := http.StatusOK
	if payload.Fail || r.options.Faults.Get().FailTasks {
		status = http.StatusInternalServerError
	}
	r.finish(event, status)
	c.Header(platformapi.HeaderRequestID, string(event.Request))
	httpserver.JSON(c, status, Reply{
		Request:   event.Request,
		Call:      payload.Call,
		VM:        r.options.VM.ID,
		Attempt:   event.Attempt,
		Execution: execution,
		Padding:   strings.Repeat("x", payload.ReplyBytes),
	})
}

func (r *Runner) event(c *app.RequestContext, payload Payload) history.Event {
	attempt, _ := strconv.Atoi(c.Request.Header.Get(platformapi.HeaderAttempt))
	return history.Event{
		VM:      r.options.VM.ID,
		Domain:  r.options.VM.FailureDomain,
		Team:    model.TeamID(c.Request.Header.Get(platformapi.HeaderTeam)),
		Request: model.RequestID(c.Request.Header.Get(platformapi.HeaderRequestID)),
		Attempt: attempt,
		Call:    payload.Call,
	}
}

// begin occupies a slot and returns the number of executions of the request so
// far, including this one, or the reason why it is refused.
func (r *Runner) begin(event history.Event) (execution int, refusal string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return 0, "the VM is gone"
	}
	if r.busy >= r.options.VM.Capacity.Slots {
		return 0, "all slots are busy"
	}
	r.busy++
	r.executions[event.Request]++
	r.record(history.QuickStart, event, "")
	return r.executions[event.Request], ""
}

func (r *Runner) finish(event history.Event, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	r.record(history.QuickEnd, event, strconv.Itoa(status))
}

func (r *Runner) record(kind history.Kind, event history.Event, state string) {
	if r.options.OmitHistory {
		return
	}
	event.Kind = kind
	event.State = state
	r.options.History.Add(event)
}

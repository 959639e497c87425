// Package vmlist is a stand-in of the platform's VM list. Its answers lag.
package vmlist

import (
	"context"
	"net/http"
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

// State of a VM, as told to the admin endpoint.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// SetState is the body of POST /admin/vms. With VM set, the VM is added or
// replaced.
type StateChange struct {
	ID    model.VMID `json:"id,omitempty"`
	State State      `json:"state"`
	VM    *model.VM  `json:"vm,omitempty"`
}

type version struct {
	since time.Time
	vms   []model.VM
}

// List holds the VMs. It is safe for concurrent use.
type List struct {
	lag     time.Duration
	history *history.Recorder
	// onState is told of each change, before the list shows it.
	onState func(model.VMID, State)

	mu       sync.Mutex
	all      map[model.VMID]model.VM // gone ones included
	versions []version
}

// New returns a list that shows the VMs at once and later changes with the
// lag. onState may be nil.
func New(vms []model.VM, lag time.Duration, recorder *history.Recorder, onState func(model.VMID, State)) *List {
	if onState == nil {
		onState = func(model.VMID, State) {}
	}
	l := &List{lag: lag, history: recorder, onState: onState, all: make(map[model.VMID]model.VM)}
	for _, vm := range vms {
		l.all[vm.ID] = vm
	}
	l.versions = []version{{vms: append([]model.VM(nil), vms...)}}
	return l
}

// VMs returns the list as of the lag ago.
func (l *List) VMs() []model.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := time.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(horizon) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].vms
}

// Set changes a VM's state and reports whether the VM is known.
func (l *List) Set(change StateChange) bool {
	if change.VM != nil {
		change.ID = change.VM.ID
	}
	if !l.apply(change) {
		return false
	}
	l.onState(change.ID, change.State)
	kind := history.VMLeaving
	if change.State == Live {
		kind = history.VMReturned
	}
	l.history.Add(history.Event{Kind: kind, VM: change.ID, State: string(change.State)})
	return true
}

func (l *List) apply(change StateChange) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, ok := l.all[change.ID]
	if change.VM != nil {
		vm, ok = *change.VM, true
	}
	if !ok {
		return false
	}
	vm.Leaving = change.State == Leaving
	l.all[vm.ID] = vm
	newest := l.versions[len(l.versions)-1].vms
	l.versions = append(l.versions, version{since: time.Now(), vms: replace(newest, vm, change.State)})
	return true
}

func replace(vms []model.VM, vm model.VM, state State) []model.VM {
	var out []model.VM
	for _, other := range vms {
		if other.ID != vm.ID {
			out = append(out, other)
		}
	}
	if state != Gone {
		out = append(out, vm)
	}
	return out
}

// Serve runs the list's HTTP server.
func (l *List) Serve(listen string, faults *fault.Injector) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Listen:  listen,
		Faults:  faults,
		History: l.history,
		Admin: func(h *server.Hertz) {
			h.POST("/admin/vms", l.serveSet)
		},
		Register: func(r httpserver.Router) {
			r.GET(platformapi.PathVMs, func(_ context.Context, c *app.RequestContext) {
				httpserver.JSON(c, http.StatusOK, platformapi.VMsReply{VMs: l.VMs()})
			})
		},
	})
}

func (l *List) serveSet(_ context.Context, c *app.RequestContext) {
	var change StateChange
	if !httpserver.Decode(c, &change) {
		return
	}
	if !l.Set(change) {
		httpserver.NotStarted(c, http.StatusNotFound, "no such VM: "+string(change.ID))
		return
	}
	httpserver.JSON(c, http.StatusOK, change)
}

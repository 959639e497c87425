package cell

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/httpserver"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
)

// Paths of the admin endpoint, besides /admin/history.
const (
	PathTargetFaults = "/admin/target-faults"
	PathVMState      = "/admin/vms"
	PathDomain       = "/admin/domains"
)

// TargetFaults is the body of a POST to PathTargetFaults.
type TargetFaults struct {
	Target string       `json:"target"` // "log", "vms" or a VM's id
	Faults fault.Faults `json:"faults"`
}

// DomainState is the body of a POST to PathDomain.
type DomainState struct {
	Domain model.FailureDomain `json:"failure_domain"`
	Gone   bool                `json:"gone"`
}

func (c *Cell) serveAdmin(listen string) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Listen:  listen,
		Faults:  fault.NewInjector(),
		History: c.History,
		Admin: func(h *server.Hertz) {
			h.POST(PathTargetFaults, c.postFaults)
			h.POST(PathVMState, c.postVM)
			h.POST(PathDomain, c.postDomain)
		},
		Register: func(httpserver.Router) {},
	})
}

func (c *Cell) postFaults(_ context.Context, ctx *app.RequestContext) {
	var in TargetFaults
	if !httpserver.Decode(ctx, &in) {
		return
	}
	if err := c.SetFaults(in.Target, in.Faults); err != nil {
		httpserver.NotStarted(ctx, http.StatusNotFound, err.Error())
		return
	}
	httpserver.JSON(ctx, http.StatusOK, in)
}

func (c *Cell) postVM(_ context.Context, ctx *app.RequestContext) {
	var in vmlist.StateChange
	if !httpserver.Decode(ctx, &in) {
		return
	}
	if !c.List.Set(in) {
		httpserver.NotStarted(ctx, http.StatusNotFound, "no such VM: "+string(in.ID))
		return
	}
	httpserver.JSON(ctx, http.StatusOK, in)
}

func (c *Cell) postDomain(_ context.Context, ctx *app.RequestContext) {
	var in DomainState
	if !httpserver.Decode(ctx, &in) {
		return
	}
	c.SetDomainGone(in.Domain, in.Gone)
	httpserver.JSON(ctx, http.StatusOK, in)
}

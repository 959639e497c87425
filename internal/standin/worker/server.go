package worker

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/standin/httpserver"
)

// Serve starts the HTTP server of the worker.
func (w *Worker) Serve(listen string) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Listen:  listen,
		Faults:  w.options.Faults,
		History: w.options.History,
		Register: func(r httpserver.Router) {
			r.POST(platformapi.PathHeartbeat, w.serveHeartbeat)
			r.POST(platformapi.PathStart, w.serveStart)
			r.POST(platformapi.PathAct, w.serveAct)
		},
	})
}

func (w *Worker) serveHeartbeat(ctx context.Context, c *app.RequestContext) {
	var heartbeat port.Heartbeat
	if !httpserver.Decode(c, &heartbeat) {
		return
	}
	report, err := w.Heartbeat(ctx, heartbeat)
	if err != nil {
		httpserver.NotStarted(c, http.StatusConflict, err.Error())
		return
	}
	httpserver.JSON(c, http.StatusOK, report)
}

func (w *Worker) serveStart(ctx context.Context, c *app.RequestContext) {
	var start port.StartTask
	if !httpserver.Decode(c, &start) {
		return
	}
	answer(c, w.Start(ctx, start))
}

func (w *Worker) serveAct(ctx context.Context, c *app.RequestContext) {
	var in platformapi.ActRequest
	if !httpserver.Decode(c, &in) {
		return
	}
	answer(c, w.Act(ctx, in.Attempt, in.Epoch, in.Action))
}

func answer(c *app.RequestContext, err error) {
	if err != nil {
		httpserver.NotStarted(c, http.StatusConflict, err.Error())
		return
	}
	c.SetStatusCode(http.StatusNoContent)
}

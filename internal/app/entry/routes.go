package entry

import (
	"bytes"
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
)

func (s *Server) routes() {
	h := s.hertz
	h.Use(s.closeWhileDraining)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", s.readyz)
	if s.options.Settings.MetricsAddress == "" {
		h.GET("/metrics", s.metrics)
	}
	h.POST("/v1/workspaces/:workspace/requests", s.limitInFlight(s.postRequest))
	h.POST("/v1/workspaces/:workspace/jobs", s.limitInFlight(s.postJob))
	h.GET("/v1/jobs/:id", s.limitInFlight(s.getJob))
	h.DELETE("/v1/jobs/:id", s.limitInFlight(s.deleteJob))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		newProblem(request.NotFound, "no such resource").write(c)
	})
}

// closeWhileDraining closes connections after their answer during a shutdown, so
// that callers move to another entry.
func (s *Server) closeWhileDraining(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if s.draining.Load() {
		c.SetConnectionClose()
	}
}

func (s *Server) readyz(_ context.Context, c *app.RequestContext) {
	if !s.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ok\n")
}

func (s *Server) metrics(_ context.Context, c *app.RequestContext) {
	var page bytes.Buffer
	s.options.Metrics.WritePrometheus(&page)
	metrics.WriteProcessMetrics(&page)
	c.Data(http.StatusOK, "text/plain; version=0.0.4", page.Bytes())
}

// limitInFlight rejects requests beyond Limits.MaxInFlight.
func (s *Server) limitInFlight(handler func(context.Context, *app.RequestContext)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		now := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if limit := s.options.Settings.Limits.MaxInFlight; limit > 0 && now > int64(limit) {
			s.stats.refused("", "entry-full")
			p := refusalProblem(model.OutcomeNotRun, request.Refusal{
				Reason: request.Unavailable, Detail: "this entry holds as many requests as it may",
			})
			p.write(c)
			return
		}
		handler(ctx, c)
	}
}

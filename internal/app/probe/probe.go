// Package probe serves a process's health, readiness and metrics over HTTP.
package probe

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/callerlisten"
	"github.com/balsamhitch/balsamhitch/internal/adapter/hertzlog"
)

// maxBodyBytes bounds the bodies of requests, which have none.
const maxBodyBytes = 4096

// Server serves /healthz, /readyz and /metrics.
type Server struct {
	http *server.Hertz
}

// New returns a server that listens on the address. /readyz answers with status 200 if
// ready returns true, otherwise with 503.
func New(address string, ready func() bool, logger logrus.FieldLogger) (*Server, error) {
	return NewProtected(address, ready, func(*callerlisten.Listener) {}, logger)
}

// NewProtected is like New and lets protect limit the listener before it is used.
func NewProtected(address string, ready func() bool, protect func(*callerlisten.Listener), logger logrus.FieldLogger) (*Server, error) {
	listener, err := callerlisten.Listen(address, logger)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	protect(listener)
	hertzlog.OnlyErrors()
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePreParseMultipartForm(true),
	)
	s := &Server{http: h}
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		c.String(http.StatusOK, "ok\n")
	})
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if !ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	h.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		c.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(c.Response.BodyWriter(), true)
	})
	return s, nil
}

// Run serves until Shutdown or until the listener fails for good.
func (s *Server) Run() error {
	return errs.Wrap(s.http.Run())
}

// Shutdown stops serving.
func (s *Server) Shutdown(ctx context.Context) error {
	return errs.Wrap(s.http.Shutdown(ctx))
}

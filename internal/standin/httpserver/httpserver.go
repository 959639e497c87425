// Package httpserver runs the Hertz HTTP server of a stand-in, with fault
// injection and admin endpoints.
package httpserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/hertzlog"
	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
)

// Error is the class of errors of this package.
var Error = errs.Class("stand-in server")

const (
	maxBodyBytes = 64 << 20
	idleTimeout  = 2 * time.Minute
	jsonType     = "application/json"
)

// Options configures a server.
type Options struct {
	Listen      string // host:port; port 0 selects a free port
	Connections int    // maximum of open connections; zero means no limit
	Faults      *fault.Injector
	History     *history.Recorder
	// Admin and Register add routes. Faults apply only to those of Register.
	Admin    func(r *server.Hertz)
	Register func(r Router)
}

// Router registers routes to which the faults apply.
type Router interface {
	GET(path string, handlers ...app.HandlerFunc)
	POST(path string, handlers ...app.HandlerFunc)
}

// Server is the running HTTP server of a stand-in.
type Server struct {
	hertz    *server.Hertz
	listener net.Listener
}

type faultyRouter struct {
	hertz  *server.Hertz
	faults *fault.Injector
}

func (r faultyRouter) GET(path string, handlers ...app.HandlerFunc) {
	r.hertz.GET(path, r.withFaults(handlers)...)
}

func (r faultyRouter) POST(path string, handlers ...app.HandlerFunc) {
	r.hertz.POST(path, r.withFaults(handlers)...)
}

func (r faultyRouter) withFaults(handlers []app.HandlerFunc) []app.HandlerFunc {
	return append([]app.HandlerFunc{inject(r.faults)}, handlers...)
}

// Start opens the listener and serves requests in the background until Close.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if options.Connections > 0 {
		listener = &limitedListener{Listener: listener, limit: int64(options.Connections)}
	}
	hertzlog.OnlyErrors()
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(0),
	)
	registerAdmin(h, options)
	options.Register(faultyRouter{hertz: h, faults: options.Faults})
	go func() { _ = h.Run() }()
	return &Server{hertz: h, listener: listener}, nil
}

// Address returns the host:port of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.hertz.Close()
	_ = s.listener.Close()
}

func inject(faults *fault.Injector) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		switch faults.BeforeCall(ctx) {
		case fault.Drop:
			drop(c)
			return
		case fault.Refuse:
			NotStarted(c, http.StatusServiceUnavailable, "refused as told")
			c.Abort()
			return
		}
		c.Next(ctx)
		if faults.DropAnswer() {
			drop(c)
		}
	}
}

// drop closes the connection without sending an answer.
func drop(c *app.RequestContext) {
	c.Abort()
	c.Response.Reset()
	c.SetConnectionClose()
	_ = c.GetConn().Close()
}

func registerAdmin(h *server.Hertz, options Options) {
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	h.GET("/admin/faults", func(_ context.Context, c *app.RequestContext) { JSON(c, http.StatusOK, options.Faults.Get()) })
	h.POST("/admin/faults", func(_ context.Context, c *app.RequestContext) {
		var faults fault.Faults
		if !Decode(c, &faults) {
			return
		}
		options.Faults.Set(faults)
		JSON(c, http.StatusOK, faults)
	})
	if options.History != nil {
		h.GET("/admin/history", func(_ context.Context, c *app.RequestContext) {
			from, _ := strconv.Atoi(c.Query("from"))
			JSON(c, http.StatusOK, options.History.Since(from))
		})
	}
	if options.Admin != nil {
		options.Admin(h)
	}
}

// Decode decodes the JSON body into out. If that fails, it answers 400 and
// returns false.
func Decode(c *app.RequestContext, out any) bool {
	if err := json.Unmarshal(c.Request.Body(), out); err != nil {
		NotStarted(c, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// JSON answers with value encoded as JSON.
func JSON(c *app.RequestContext, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.String(http.StatusInternalServerError, "%s", err)
		return
	}
	c.Data(status, jsonType, data)
}

// NotStarted answers with an error and a header which states that the call had
// no effect.
func NotStarted(c *app.RequestContext, status int, detail string) {
	c.Header(platformapi.HeaderNotStarted, "true")
	JSON(c, status, platformapi.ErrorReply{Error: detail})
}

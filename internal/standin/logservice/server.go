package logservice

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/httpserver"
)

// Serve starts the HTTP server of the store.
func Serve(listen string, store *Store, faults *fault.Injector) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Listen: listen,
		Faults: faults,
		Register: func(r httpserver.Router) {
			r.POST(platformapi.PathRecords, store.serveAppend)
			r.GET(platformapi.PathRecords, store.serveRead)
		},
	})
}

func (s *Store) serveAppend(_ context.Context, c *app.RequestContext) {
	var in platformapi.AppendRequest
	if !httpserver.Decode(c, &in) {
		return
	}
	if !s.Admit() {
		c.Header("Retry-After", "1")
		httpserver.NotStarted(c, http.StatusTooManyRequests, "too many appends a second")
		return
	}
	first := s.Append(strings.Clone(c.Param("stream")), in.Records)
	httpserver.JSON(c, http.StatusOK, platformapi.AppendReply{First: first})
}

func (s *Store) serveRead(ctx context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.DefaultQuery("from", "0"), 10, 64)
	if err != nil {
		httpserver.NotStarted(c, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	limit, _ := strconv.Atoi(c.Query("limit"))
	waitMS, _ := strconv.Atoi(c.Query("wait_ms"))
	reply, retained := s.Read(ctx, strings.Clone(c.Param("stream")), from, limit, time.Duration(waitMS)*time.Millisecond)
	if !retained {
		httpserver.JSON(c, http.StatusGone, reply)
		return
	}
	httpserver.JSON(c, http.StatusOK, reply)
}

// Package runnerclient sends quick requests to runner VMs.
package runnerclient

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Client implements port.Runner for all runners. It is safe for concurrent use.
type Client struct {
	caller *httpcall.Client
}

var _ port.Runner = (*Client)(nil)

// New returns a client that opens at most connsPerRunner connections to each
// runner. Further requests wait for a free connection.
func New(connsPerRunner int) *Client {
	return &Client{caller: httpcall.New(connsPerRunner)}
}

// Do implements port.Runner. A response with the id of another request is an error
// with an unknown outcome.
func (c *Client) Do(ctx context.Context, address string, request model.Request, attempt int) (model.Answer, error) {
	httpRequest, err := http.NewRequest(http.MethodPost, "http://"+address+platformapi.PathRequest, bytes.NewReader(request.Body))
	if err != nil {
		return model.Answer{}, port.NotStarted.Wrap(err)
	}
	setHeaders(httpRequest.Header, request, attempt)
	reply, err := c.caller.Do(ctx, httpRequest)
	if err != nil {
		return model.Answer{}, err
	}
	if reply.Header.Get(platformapi.HeaderNotStarted) != "" {
		return model.Answer{}, port.NotStarted.New("runner refused with status %d", reply.Status)
	}
	if got := reply.Header.Get(platformapi.HeaderRequestID); got != string(request.ID) {
		return model.Answer{}, httpcall.Error.New("status %d: answer is for request %q, not %q", reply.Status, got, request.ID)
	}
	return model.Answer{
		Status:      reply.Status,
		ContentType: reply.Header.Get("Content-Type"),
		Body:        reply.Body,
	}, nil
}

func setHeaders(header http.Header, request model.Request, attempt int) {
	if request.ContentType != "" {
		header.Set("Content-Type", request.ContentType)
	}
	header.Set(platformapi.HeaderRequestID, string(request.ID))
	header.Set(platformapi.HeaderAttempt, strconv.Itoa(attempt))
	header.Set(platformapi.HeaderTeam, string(request.Team))
	header.Set(platformapi.HeaderService, string(request.Service))
}

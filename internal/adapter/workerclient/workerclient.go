// Package workerclient is the client of the control protocol of worker VMs.
package workerclient

import (
	"context"
	"net/http"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Client implements port.Worker for all workers. It is safe for concurrent use.
type Client struct {
	caller *httpcall.Client
}

var _ port.Worker = (*Client)(nil)

// New returns a client without a limit on connections per worker.
func New() *Client {
	return &Client{caller: httpcall.New(0)}
}

// Heartbeat implements port.Worker.
func (c *Client) Heartbeat(ctx context.Context, address string, beat port.Heartbeat) (port.WorkerReport, error) {
	var report port.WorkerReport
	err := c.post(ctx, address, platformapi.PathHeartbeat, beat, &report)
	return report, err
}

// Start implements port.Worker.
func (c *Client) Start(ctx context.Context, address string, start port.StartTask) error {
	return c.post(ctx, address, platformapi.PathStart, start, nil)
}

// Act implements port.Worker.
func (c *Client) Act(ctx context.Context, address string, attempt port.TaskAttempt, epoch model.Epoch, action port.TaskAction) error {
	in := platformapi.ActRequest{Attempt: attempt, Epoch: epoch, Action: action}
	return c.post(ctx, address, platformapi.PathAct, in, nil)
}

func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	return c.caller.DoJSON(ctx, http.MethodPost, "http://"+address+path, in, out)
}

// Package vmclient reads the platform's VM list.
package vmclient

import (
	"context"
	"net/http"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Client implements port.VMList. It is safe for concurrent use.
type Client struct {
	base   string
	caller *httpcall.Client
}

var _ port.VMList = (*Client)(nil)

// New returns a client of the VM list service at baseURL.
func New(baseURL string) *Client {
	return &Client{base: strings.TrimRight(baseURL, "/"), caller: httpcall.New(0)}
}

// List implements port.VMList.
func (c *Client) List(ctx context.Context) ([]model.VM, error) {
	var reply platformapi.VMsReply
	err := c.caller.DoJSON(ctx, http.MethodGet, c.base+platformapi.PathVMs, nil, &reply)
	return reply.VMs, err
}

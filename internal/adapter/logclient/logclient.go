// Package logclient is the client of the platform's log service.
package logclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Client implements port.Log. It is safe for concurrent use.
type Client struct {
	base   string
	caller *httpcall.Client
}

var _ port.Log = (*Client)(nil)

// New returns a client of the log service at baseURL.
func New(baseURL string) *Client {
	return &Client{base: strings.TrimRight(baseURL, "/"), caller: httpcall.New(0)}
}

// Append implements port.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var reply platformapi.AppendReply
	in := platformapi.AppendRequest{Records: records}
	err := c.caller.DoJSON(ctx, http.MethodPost, c.recordsURL(stream), in, &reply)
	return reply.First, err
}

// Read implements port.Log. For an offset that is no longer retained it returns the
// stream's earliest and next offsets and an error of type port.LogTruncated.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (port.Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequest(http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return port.Batch{}, port.NotStarted.Wrap(err)
	}
	reply, err := c.caller.Do(ctx, request)
	if err != nil {
		return port.Batch{}, err
	}
	return decodeBatch(reply, from)
}

func decodeBatch(reply httpcall.Reply, from uint64) (port.Batch, error) {
	truncated := reply.Status == http.StatusGone
	if !truncated {
		if err := httpcall.StatusError(reply); err != nil {
			return port.Batch{}, err
		}
	}
	var read platformapi.ReadReply
	if err := json.Unmarshal(reply.Body, &read); err != nil {
		return port.Batch{}, httpcall.Error.Wrap(err)
	}
	batch := port.Batch{Earliest: read.Earliest, Next: read.Next}
	if truncated {
		return batch, port.LogTruncated.New("offset %d is no longer retained; the earliest is %d", from, read.Earliest)
	}
	for _, record := range read.Records {
		batch.Records = append(batch.Records, port.Record{Offset: record.Offset, Data: record.Data})
	}
	return batch, nil
}

// recordsURL returns the URL of the stream's records.
func (c *Client) recordsURL(stream string) string {
	return c.base + strings.Replace(platformapi.PathRecords, ":stream", url.PathEscape(stream), 1)
}

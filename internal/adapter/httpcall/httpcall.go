// Package httpcall sends the HTTP calls of the platform adapters. Its errors
// distinguish a call that was certainly not sent from one with an unknown outcome.
//
// It uses net/http instead of hertz's client for two reasons: a hertz call does
// not end with its context, which long polls and callers' deadlines need; and
// hertz has no hook that proves that no byte of a request was written, which the
// distinction between "not run" and "unknown" depends on.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// With these keep-alive settings a host that vanished without closing its
	// connections is detected within about 3 s.
	keepAliveTime   = time.Second
	keepAliveProbes = 2
	maxIdleConns    = 1024
	maxErrorDetail  = 512      // bytes of a response body that an error text includes
	maxReply        = 64 << 20 // bytes
)

// Error is the class of errors of calls with an unknown outcome, and of error
// responses without platformapi.HeaderNotStarted.
var Error = errs.Class("platform call")

// Reply is a response with its complete body.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends HTTP calls. It is safe for concurrent use.
type Client struct {
	client *http.Client
}

// Limits bound the connections of a client. Zero means no limit.
type Limits struct {
	PerHost     int
	IdlePerHost int
	Idle        int // to all hosts together
	// Dials and DialsPerSecond bound the connections to all hosts that are being opened,
	// and begun a second. Only package rawcall applies them.
	Dials          int
	DialsPerSecond int
}

// New returns a client that opens at most connsPerHost connections to each host;
// zero means no limit.
func New(connsPerHost int) *Client {
	idlePerHost := connsPerHost
	if idlePerHost == 0 {
		idlePerHost = http.DefaultMaxIdleConnsPerHost * 8
	}
	return NewLimited(Limits{PerHost: connsPerHost, IdlePerHost: idlePerHost, Idle: maxIdleConns})
}

// NewDialer returns a dialer whose connections notice a host that has vanished.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveProbes,
	}}
}

// NewLimited returns a client whose connections are within the limits.
func NewLimited(limits Limits) *Client {
	transport := &http.Transport{
		DialContext:         NewDialer().DialContext,
		MaxConnsPerHost:     limits.PerHost,
		MaxIdleConnsPerHost: limits.IdlePerHost,
		MaxIdleConns:        limits.Idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{client: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // following a redirect would send the call twice
		},
	}}
}

// CloseIdle closes the idle connections; the client may still be used. It is called
// after a call without a response, since other connections to the same host may be
// unresponsive too.
func (c *Client) CloseIdle() { c.client.CloseIdleConnections() }

// Do sends the request and reads the complete response. An error of class
// port.NotStarted proves that nothing was sent. An error status is not an error of
// Do; see StatusError.
func (c *Client) Do(ctx context.Context, request *http.Request) (Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected.Load() {
			return Reply{}, port.NotStarted.Wrap(err)
		}
		return Reply{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return Reply{}, Error.New("response body cannot be read completely: %w", err)
	}
	if len(body) > maxReply {
		return Reply{}, Error.New("response body is larger than %d bytes", maxReply)
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// DoJSON sends in as JSON and decodes the response body into out; either may be
// nil. A response with an error status is returned as an error; see StatusError.
func (c *Client) DoJSON(ctx context.Context, method, url string, in, out any) error {
	request, err := NewJSONRequest(method, url, in)
	if err != nil {
		return port.NotStarted.Wrap(err)
	}
	reply, err := c.Do(ctx, request)
	if err != nil {
		return err
	}
	if err := StatusError(reply); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(reply.Body, out))
}

// StatusError returns nil for a status below 400. Otherwise it returns an error of
// class port.NotStarted if platformapi.HeaderNotStarted is set, else of class
// Error.
func StatusError(reply Reply) error {
	if reply.Status < http.StatusBadRequest {
		return nil
	}
	detail := fmt.Sprintf("status %d: %s", reply.Status, errorDetail(reply.Body))
	if reply.Header.Get(platformapi.HeaderNotStarted) != "" {
		return port.NotStarted.New("%s", detail)
	}
	return Error.New("%s", detail)
}

// NewJSONRequest returns a request with in as its JSON body. If in is nil, the body
// is empty. It returns an error if in cannot be encoded or the URL is invalid.
func NewJSONRequest(method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func errorDetail(body []byte) string {
	var reply platformapi.ErrorReply
	if json.Unmarshal(body, &reply) == nil && reply.Error != "" {
		return reply.Error
	}
	return string(body[:min(len(body), maxErrorDetail)])
}

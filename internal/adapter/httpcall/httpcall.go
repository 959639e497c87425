// Package httpcall sends the HTTP calls of the platform adapters and tells a
// call that was certainly not sent from one whose effect is unknown.
//
// It uses net/http in place of hertz's client for two reasons: a hertz call
// does not end when its context does, which a long poll and a caller's
// deadline need; and it offers no hook that proves that no byte of a request
// was written, which the distinction between "not run" and "unknown" rests on.
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
	// A peer that is gone without a word is noticed within about 3 s.
	keepAliveTime   = time.Second
	keepAliveProbes = 2
	maxIdleConns    = 1024
	maxErrorDetail  = 512 // bytes of an error body that are kept
	defaultMaxReply = 64 << 20
)

// Error is the class of calls whose effect is unknown.
var Error = errs.Class("platform call")

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller sends calls. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// New returns a Caller that keeps up to connsPerHost connections to each host;
// zero means no limit.
func New(connsPerHost int) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveProbes,
	}}
	idlePerHost := connsPerHost
	if idlePerHost == 0 {
		idlePerHost = http.DefaultMaxIdleConnsPerHost * 8
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connsPerHost,
		MaxIdleConnsPerHost: idlePerHost,
		MaxIdleConns:        maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Caller{client: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // a redirect would send the call twice
		},
	}}
}

// Close ends the idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Drop closes the connections that are not in use. After a call without an
// answer the others to the same host may be as silent.
func (c *Caller) CloseIdle() { c.client.CloseIdleConnections() }

// Do sends the request and reads the whole answer. An error of type
// port.NotStarted proves that nothing was sent. An answer with an error status
// is returned as it is; see Failure.
func (c *Caller) Do(ctx context.Context, request *http.Request) (Reply, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, defaultMaxReply+1))
	if err != nil {
		return Reply{}, Error.New("answer is not whole: %w", err)
	}
	if len(body) > defaultMaxReply {
		return Reply{}, Error.New("answer is larger than %d bytes", defaultMaxReply)
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// JSON sends in as JSON and decodes the answer into out; either may be nil.
func (c *Caller) DoJSON(ctx context.Context, method, url string, in, out any) error {
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

// Failure returns the error that an answer's status stands for, or nil.
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

// NewRequest returns a request with in as its JSON body; in may be nil.
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

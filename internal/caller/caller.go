// Package caller is a client of a cell's entries. It submits work as a team's
// programs do and records sends and answers for the history checker.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
)

// Error is the class of errors of this package.
var Error = errs.Class("caller")

// ConnectionBroken is the class of errors of sends that had a connection but got
// no complete answer. The Detail of the Abandoned event starts with the name of
// this class.
var ConnectionBroken = errs.Class("connection broken")

// errUnsent is the class of errors of sends without a connection.
var errUnsent = errs.Class("not sent")

const (
	// resendDelay is the time between two sends of one call.
	resendDelay = 50 * time.Millisecond
	// answerMargin is how long a caller waits for an answer after the deadline of
	// its request.
	answerMargin   = 10 * time.Second
	maxConnections = 512
	maxAnswerBytes = 64 << 20
)

// Credential is an API key of a team.
type Credential struct {
	Team  model.TeamID
	KeyID string // id of the key
	Token string
}

// Balancer is a client-side load balancer over a cell's entries. It is safe for
// concurrent use.
type Balancer struct {
	mu      sync.Mutex
	entries []string
	next    int
}

// NewBalancer returns a balancer over the entries with the given base URLs.
func NewBalancer(entries ...string) *Balancer {
	return &Balancer{entries: entries}
}

// Add adds entries.
func (b *Balancer) Add(entries ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(b.entries, entries...)
}

// KeepOnly removes all entries but one and returns the removed ones.
func (b *Balancer) KeepOnly(only string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(b.entries), func(entry string) bool { return entry == only })
	b.entries = []string{only}
	return others
}

// Remove removes an entry.
func (b *Balancer) Remove(removed string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []string
	for _, entry := range b.entries {
		if entry != removed {
			remaining = append(remaining, entry)
		}
	}
	b.entries = remaining
}

// nextEntry returns the entries in turn (round robin), or "" if there is none.
func (b *Balancer) nextEntry() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) == 0 {
		return ""
	}
	b.next++
	return b.entries[b.next%len(b.entries)]
}

// Caller sends calls through a balancer. It is safe for concurrent use.
type Caller struct {
	balancer *Balancer
	recorder *history.Recorder
	client   *http.Client
}

// New returns a caller that sends through the balancer. A nil recorder records
// nothing.
func New(balancer *Balancer, recorder *history.Recorder) *Caller {
	return &Caller{
		balancer: balancer,
		recorder: recorder,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        maxConnections,
			MaxIdleConnsPerHost: maxConnections,
		}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Result is the result of a call.
type Result struct {
	Outcome model.Outcome // empty if no answer arrived
	Status  int
	Sends   int
	Latency time.Duration // from the first send to the answer
	Detail  string
	body    []byte
	header  http.Header
}

// Lost reports whether no answer arrived.
func (r Result) Lost() bool { return r.Outcome == "" }

// problem is the body of an application/problem+json answer.
type problem struct {
	Title   string        `json:"title"`
	Detail  string        `json:"detail"`
	Outcome model.Outcome `json:"outcome"`
}

// parseAnswer returns the result that an entry's answer describes.
func parseAnswer(status int, header http.Header, body []byte) Result {
	r := Result{Status: status, Outcome: model.OutcomeDone, body: body, header: header}
	if !strings.HasPrefix(header.Get("Content-Type"), "application/problem+json") {
		return r
	}
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		r.Outcome, r.Detail = model.OutcomeUnknown, "problem cannot be read: "+err.Error()
		return r
	}
	r.Outcome, r.Detail = p.Outcome, strings.TrimSpace(p.Title+" "+p.Detail)
	if r.Outcome == "" {
		r.Outcome = model.OutcomeNotRun // rejected before it could run
	}
	return r
}

// requestBuilder builds the HTTP request of one send to the entry with the given
// base URL.
type requestBuilder func(base string) (*http.Request, error)

// sendUntilAnswered sends a call to one entry after another until it gets an
// answer or ctx is done. It records each send; one that failed is recorded as
// abandoned before the next one. record is called with the answer.
func (c *Caller) sendUntilAnswered(ctx context.Context, sent history.Event, build requestBuilder, record func(history.Event, Result)) Result {
	started := time.Now()
	for n := 0; ; n++ {
		sent.Kind, sent.Send, sent.At = history.Sent, n, time.Time{}
		c.recorder.Add(sent)
		result, err := c.sendOnce(ctx, build)
		result.Sends, result.Latency = n+1, time.Since(started)
		if err == nil {
			answered := history.Event{Kind: history.Answered, Call: sent.Call, Send: n, Team: sent.Team, Outcome: result.Outcome, Detail: result.Detail}
			record(answered, result)
			return result
		}
		result.Detail = err.Error()
		select {
		case <-ctx.Done():
			return result
		case <-time.After(resendDelay):
		}
		c.recorder.Add(history.Event{Kind: history.Abandoned, Call: sent.Call, Send: n, Detail: err.Error()})
	}
}

// sendOnce sends one request to the next entry and does not record it.
func (c *Caller) sendOnce(ctx context.Context, build requestBuilder) (Result, error) {
	base := c.balancer.nextEntry()
	if base == "" {
		return Result{}, errUnsent.New("no entry is left")
	}
	request, err := build(base)
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !sent {
			return Result{}, errUnsent.Wrap(err)
		}
		return Result{}, ConnectionBroken.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Result{}, ConnectionBroken.Wrap(err)
	}
	return parseAnswer(response.StatusCode, response.Header, body), nil
}

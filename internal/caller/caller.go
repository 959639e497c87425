// Package caller hands work in at a cell's entries, as a team's own programs
// do, and records what was sent and answered for the history checker.
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

// ErrBroken is the class of connections that ended before a whole answer came.
// Its name starts the detail of the Abandoned event.
var ErrConnectionBroken = errs.Class("connection broken")

// errUnsent is a connection that could not be opened.
var errUnsent = errs.Class("not sent")

const (
	// resendDelay is the time between sendings of one call.
	resendDelay = 50 * time.Millisecond
	// patience is how long a caller waits beyond its deadline.
	patience       = 10 * time.Second
	maxConnections = 512
	maxAnswerBytes = 64 << 20
)

// Credential is a team's key as its callers hold it.
type Credential struct {
	Team  model.TeamID
	Name  string // for the history
	Token string
}

// Fleet is the set of entries that a balancer spreads calls over. It is safe
// for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	entries []string
	next    int
}

// NewFleet returns a fleet of entries, named by their base URLs.
func NewFleet(entries ...string) *Fleet {
	return &Fleet{entries: entries}
}

// Add puts entries into the balancer.
func (f *Fleet) Add(entries ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, entries...)
}

// Narrow leaves a single entry in the balancer and returns the others.
func (f *Fleet) KeepOnly(only string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(f.entries), func(entry string) bool { return entry == only })
	f.entries = []string{only}
	return others
}

// Remove takes an entry out of the balancer.
func (f *Fleet) Remove(old string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rest []string
	for _, entry := range f.entries {
		if entry != old {
			rest = append(rest, entry)
		}
	}
	f.entries = rest
}

// pick returns the entries in turn.
func (f *Fleet) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return ""
	}
	f.next++
	return f.entries[f.next%len(f.entries)]
}

// Caller sends calls to a fleet. It is safe for concurrent use.
type Caller struct {
	fleet    *Fleet
	recorder *history.Recorder
	client   *http.Client
}

// New returns a caller that records to the recorder; nil records nothing.
func New(fleet *Fleet, recorder *history.Recorder) *Caller {
	return &Caller{
		fleet:    fleet,
		recorder: recorder,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        maxConnections,
			MaxIdleConnsPerHost: maxConnections,
		}},
	}
}

// Close ends idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Result is what became of a call.
type Result struct {
	Outcome model.Outcome // empty if no answer came
	Status  int
	Sends   int
	Latency time.Duration // from the first sending to the answer
	Detail  string
	body    []byte
	header  http.Header
}

// Lost reports whether no answer came.
func (r Result) Lost() bool { return r.Outcome == "" }

// problem is the body of an application/problem+json answer.
type problem struct {
	Title   string        `json:"title"`
	Detail  string        `json:"detail"`
	Outcome model.Outcome `json:"outcome"`
}

// answerOf reads the outcome of an entry's answer.
func answerOf(status int, header http.Header, body []byte) Result {
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
		r.Outcome = model.OutcomeNotRun // refused before it could run
	}
	return r
}

// sending builds the request of one sending to an entry.
type sending func(base string) (*http.Request, error)

// send repeats a call through other entries until it gets an answer or the
// context ends. Each sending is recorded; those whose connection broke are
// recorded as abandoned once another one follows.
func (c *Caller) send(ctx context.Context, sent history.Event, build sending, record func(history.Event, Result)) Result {
	started := time.Now()
	for n := 0; ; n++ {
		sent.Kind, sent.Send, sent.At = history.Sent, n, time.Time{}
		c.recorder.Add(sent)
		result, err := c.once(ctx, build)
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

func (c *Caller) once(ctx context.Context, build sending) (Result, error) {
	base := c.fleet.pick()
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
		return Result{}, ErrConnectionBroken.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Result{}, ErrConnectionBroken.Wrap(err)
	}
	return answerOf(response.StatusCode, response.Header, body), nil
}

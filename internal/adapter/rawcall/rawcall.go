// Package rawcall sends small HTTP/1.1 calls to many hosts with little processor time.
//
// A call writes its request with one write and reads the answer on the caller's
// goroutine, so that a connection has no goroutines of its own and a call causes no
// more wake-ups than its answer does. Package httpcall has the general client.
package rawcall

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// shareWait is how long a call waits for the connection of another call to its host
	// before it opens one of its own, which takes as long as another call.
	shareWait   = 10 * time.Millisecond
	idleTimeout = 30 * time.Second
	readBuffer  = 4096 // bytes; also the longest line of an answer's header
)

// Call is a POST of a JSON body.
type Call struct {
	Address     string // host and port
	Path        string
	HeaderName  string // of one more header; empty for none
	HeaderValue string
	Body        []byte
	// Long tells that the answer may take long. No other call waits for its connection,
	// and it waits for none.
	Long bool
	// Process identifies the process that the call is for; nil for any. The call is sent
	// only on a connection whose last identified answer came from that process: a
	// connection ends with the process, so that no later one at the address gets the call.
	Process any
	// Identify returns the process that the answer names, or nil if it names none. It is
	// called before the connection is used again. It may be nil.
	Identify func(httpcall.Reply) any
	// Introduction returns a call without effect whose Identify names the process. It is
	// sent first on a connection whose process is not known, if there is no idle one to
	// Process. If Introduction is nil, such a call fails.
	Introduction func() (Call, error)
}

// NotConnected is the class of errors of calls to a process for which no connection is
// known to end at it. The call was not sent.
var NotConnected = errs.Class("not connected to the process")

// IntroductionError is the error of a call whose introduction was answered with an error
// status. The call was not sent.
type IntroductionError struct {
	Reply httpcall.Reply
}

// Error implements error.
func (e *IntroductionError) Error() string {
	return fmt.Sprintf("the introduction was answered with status %d", e.Reply.Status)
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	pool pool
}

// New returns a client whose connections are within the limits.
func New(limits httpcall.Limits) *Client {
	c := &Client{}
	c.pool = pool{limits: limits, dials: dials{limits: limits}, dial: httpcall.NewDialer().DialContext, hosts: map[string]*host{}}
	return c
}

// Post sends the call and returns the complete answer without its header. It ends with
// the context. An error of class port.NotStarted or NotConnected, or of type
// *IntroductionError, proves that the call was not sent; after any other error the outcome
// is unknown. An error status is not an error of Post.
func (c *Client) Post(ctx context.Context, call Call) (httpcall.Reply, error) {
	if !validHeader(call.Address) || strings.ContainsAny(call.Address, " \t") || !validHeader(call.HeaderValue) {
		return httpcall.Reply{}, port.NotStarted.New("address %q or header %q has bytes that a request must not contain", call.Address, call.HeaderValue)
	}
	request := buffers.Get().(*[]byte)
	defer buffers.Put(request)
	*request = appendRequest((*request)[:0], &call)
	for {
		conn, again, err := c.acquire(ctx, &call)
		if err == nil {
			var reply httpcall.Reply
			var written int
			if reply, written, err = c.exchange(ctx, conn, *request, &call); err == nil {
				return reply, nil
			}
			if written > 0 {
				return httpcall.Reply{}, httpcall.Error.Wrap(err)
			}
			again, err = conn.reused, port.NotStarted.Wrap(err)
		}
		if !again || ctx.Err() != nil {
			return httpcall.Reply{}, err
		}
	}
}

// acquire returns a connection that the call may be sent on. With an error, again reports
// that another connection may serve.
func (c *Client) acquire(ctx context.Context, call *Call) (conn *connection, again bool, err error) {
	if call.Process != nil {
		if conn = c.pool.acquireTo(ctx, call.Address, call.Process, call.Long); conn != nil {
			return conn, false, nil
		}
		if call.Introduction == nil {
			return nil, false, NotConnected.New("%v at %s", call.Process, call.Address)
		}
	}
	if conn, err = c.pool.acquire(ctx, call.Address, call.Long); err != nil {
		return nil, false, port.NotStarted.Wrap(err)
	}
	if call.Process == nil || conn.process == call.Process {
		return conn, false, nil
	}
	if again, err = c.introduce(ctx, conn, call); err != nil {
		return nil, again, err
	}
	return conn, false, nil
}

// introduce makes sure that the connection ends at the call's process; otherwise it
// releases the connection and returns an error. again reports that a connection failed
// that was used before.
func (c *Client) introduce(ctx context.Context, conn *connection, call *Call) (again bool, err error) {
	introduction, err := call.Introduction()
	if err != nil {
		c.pool.release(conn, call.Long, unused)
		return false, err
	}
	request := buffers.Get().(*[]byte)
	defer buffers.Put(request)
	*request = appendRequest((*request)[:0], &introduction)
	conn.process = nil
	reply, written, keep, err := roundTrip(ctx, conn, *request, &introduction)
	after := useOf(keep, err, written)
	switch {
	case err != nil:
		again, err = conn.reused, port.NotStarted.Wrap(err)
	case reply.Status != http.StatusOK:
		err = &IntroductionError{reply}
	case conn.process != call.Process:
		err = NotConnected.New("%v at %s: %v answered", call.Process, call.Address, conn.process)
	case !keep:
		err = port.NotStarted.New("the connection to %s ended with the introduction", call.Address)
	default:
		return false, nil
	}
	c.pool.release(conn, call.Long, after)
	return again, err
}

var (
	buffers = sync.Pool{New: func() any { return new([]byte) }}
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
)

// exchange sends the request on the connection, reads the answer and releases the
// connection. It returns the number of bytes of the request that were written.
func (c *Client) exchange(ctx context.Context, conn *connection, request []byte, call *Call) (httpcall.Reply, int, error) {
	reply, written, keep, err := roundTrip(ctx, conn, request, call)
	c.pool.release(conn, call.Long, useOf(keep, err, written))
	return reply, written, err
}

func useOf(keep bool, err error, written int) use {
	switch {
	case keep:
		return answered
	case err == nil:
		return ended
	case written > 0:
		return unanswered
	}
	return broken
}

// roundTrip sends the request on the connection and reads the answer. It returns the
// number of bytes of the request that were written, and whether the connection may be used
// again.
func roundTrip(ctx context.Context, conn *connection, request []byte, call *Call) (reply httpcall.Reply, written int, keep bool, err error) {
	stop := context.AfterFunc(ctx, conn.interrupt)
	defer func() { keep = stop() && keep }()
	if written, err = conn.Write(request); err != nil {
		return reply, written, false, err
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	reply, keep, err = readReply(reader)
	keep = keep && reader.Buffered() == 0
	reader.Reset(nil)
	readers.Put(reader)
	if err == nil && call.Identify != nil {
		conn.process = call.Identify(reply)
	}
	return reply, written, keep, err
}

// connection is a connection to a host. Its owner is a call, or the pool while it is
// idle.
type connection struct {
	net.Conn
	host      *host
	process   any // at its other end, by the last answer that named it; nil if not known
	reused    bool
	begun     time.Time // when the call that has it got it
	idleSince time.Time
	silent    silenceProbe
}

// interrupt makes the call that uses the connection fail.
func (c *connection) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// appendRequest appends the bytes of the call's request.
func appendRequest(b []byte, call *Call) []byte {
	b = append(b, http.MethodPost+" "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, call.Address...)
	b = append(b, "\r\nContent-Type: application/json\r\n"...)
	if call.HeaderName != "" {
		b = append(b, call.HeaderName...)
		b = append(b, ": "...)
		b = append(b, call.HeaderValue...)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(call.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, call.Body...)
}

// validHeader reports whether the text has no control characters.
func validHeader(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' && text[i] != '\t' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

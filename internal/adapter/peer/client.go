package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	firstRedialDelay = 20 * time.Millisecond
	maxRedialDelay   = 500 * time.Millisecond
)

// Client implements port.Peer. It keeps one session per address and is safe for
// concurrent use.
type Client struct {
	options  Options
	counters *counters

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

var _ port.Peer = (*Client)(nil)

// New returns a client. An address is dialed on the first call to it.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options:  options,
		counters: newCounters(options.Metrics),
		links:    make(map[string]*link),
	}
}

// Call implements port.Peer. The request carries the time that is left until the
// context's deadline.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, port.NotStarted.Wrap(err)
	}
	link, err := c.link(address)
	if err != nil {
		return nil, err
	}
	session, err := link.connect(ctx)
	if err != nil {
		return nil, port.NotStarted.Wrap(err)
	}
	return session.call(ctx, request)
}

// Close closes all sessions. Calls in flight fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, link := range c.links {
		link.close()
	}
	return nil
}

func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, port.NotStarted.New("peer client is closed")
	}
	existing, ok := c.links[address]
	if !ok {
		existing = newLink(c, address)
		c.links[address] = existing
	}
	return existing, nil
}

// RedialPending is the class of errors of calls for which nothing was dialed, for
// example of an earlier dial: the address may be reachable again by now.
var RedialPending = errs.Class("redial pending")

// link manages the session to one address and redials it with exponential
// backoff.
type link struct {
	client  *Client
	address string

	mu       sync.Mutex
	session  *session
	dialDone chan struct{} // closed when the current dial returns; nil if none
	lastErr  error         // of the last dial
	delays   *backoff.ExponentialBackOff
	redialAt time.Time
	closed   bool
}

func newLink(client *Client, address string) *link {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRedialDelay
	delays.MaxInterval = maxRedialDelay
	return &link{client: client, address: address, delays: delays}
}

// connect returns the open session or dials a new one. After a failed dial it
// returns that dial's error, of class RedialPending, until the backoff has expired.
func (l *link) connect(ctx context.Context) (*session, error) {
	for dialed := false; ; {
		session, dialDone, err := l.sessionOrDial()
		if err != nil && !dialed {
			err = RedialPending.Wrap(err)
		}
		if session != nil || err != nil {
			return session, err
		}
		select {
		case <-dialDone:
			dialed = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// sessionOrDial returns the open session, or starts a dial if none is running and
// returns a channel that is closed when the dial returns.
func (l *link) sessionOrDial() (*session, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, Error.New("peer client is closed")
	}
	if l.session != nil && !l.session.ended() {
		return l.session, nil, nil
	}
	if l.dialDone != nil {
		return nil, l.dialDone, nil
	}
	if l.lastErr != nil && time.Now().Before(l.redialAt) {
		return nil, nil, l.lastErr
	}
	l.dialDone = make(chan struct{})
	go l.dial()
	return nil, l.dialDone, nil
}

// dial runs independently of any call's context, so that a cancelled call does not
// fail the others that wait for the same session.
func (l *link) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), l.client.options.DialTimeout)
	defer cancel()
	session, err := dialSession(ctx, l.client, l.address)

	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialDone)
	l.dialDone = nil
	l.lastErr = err
	if err != nil {
		l.client.counters.dialErrors.Inc()
		l.redialAt = time.Now().Add(l.delays.NextBackOff())
		return
	}
	l.delays.Reset()
	if l.closed {
		session.end(Error.New("peer client is closed"))
		return
	}
	l.session = session
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.session != nil {
		l.session.end(Error.New("peer client is closed"))
	}
}

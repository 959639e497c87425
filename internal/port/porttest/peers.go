package porttest

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// PeerFailed is the class of peer calls whose effect is unknown.
var PeerFailed = errs.Class("peer call failed")

type link struct{ from, to string }

// Peers connects the handlers of one test. It is safe for concurrent use.
type Peers struct {
	mu       sync.Mutex
	handlers map[string]port.PeerHandler
	cut      map[link]bool
	delay    time.Duration // one way
}

// NewPeers returns a network without processes.
func NewPeers() *Peers {
	return &Peers{handlers: make(map[string]port.PeerHandler), cut: make(map[link]bool)}
}

// Attach makes the handler answer at the address; nil takes it away.
func (n *Peers) Attach(address string, handler port.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// SetDelay sets the one-way delay of all links.
func (n *Peers) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetCut cuts or mends the link in one direction.
func (n *Peers) SetLinkDown(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// Client returns the port.Peer of the process at the address. Calls block
// while its gate is closed; gate may be nil.
func (n *Peers) Client(address string, gate *Gate) port.Peer {
	return &peerClient{net: n, from: address, gate: gate}
}

func (n *Peers) hop(ctx context.Context, from, to string) (port.PeerHandler, error) {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[link{from, to}] {
		return nil, PeerFailed.New("%s cannot reach %s", from, to)
	}
	return n.handlers[to], nil
}

type peerClient struct {
	net  *Peers
	from string
	gate *Gate
}

func (c *peerClient) Call(
	ctx context.Context, address string, request *peerpb.Request,
) (*peerpb.Response, error) {
	c.gate.Wait()
	request = proto.CloneOf(request)
	handler, err := c.net.hop(ctx, c.from, address)
	if err != nil {
		return nil, err
	}
	if handler == nil {
		return nil, port.NotStarted.New("nobody listens at %s", address)
	}
	answers := make(chan *peerpb.Response, 1)
	go func() { answers <- proto.CloneOf(handler.Serve(ctx, request)) }()
	select {
	case answer := <-answers:
		if _, err := c.net.hop(ctx, address, c.from); err != nil {
			return nil, err
		}
		c.gate.Wait()
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

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

// PeerFailed is the class of errors of peer calls with an unknown outcome.
var PeerFailed = errs.Class("peer call failed")

type link struct{ from, to string }

// Peers is an in-memory network of peer handlers. It is safe for concurrent use.
type Peers struct {
	mu       sync.Mutex
	handlers map[string]port.PeerHandler
	down     map[link]bool
	delay    time.Duration // in one direction
}

// NewPeers returns a network without handlers.
func NewPeers() *Peers {
	return &Peers{handlers: make(map[string]port.PeerHandler), down: make(map[link]bool)}
}

// Attach registers the handler of an address; a nil handler removes it.
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

// SetLinkDown sets whether messages in one direction of a link are lost.
func (n *Peers) SetLinkDown(from, to string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[link{from, to}] = down
}

// Client returns the port.Peer of the process at the address. Its calls block
// while the gate is closed; gate may be nil.
func (n *Peers) Client(address string, gate *Gate) port.Peer {
	return &peerClient{peers: n, from: address, gate: gate}
}

// deliver waits for the link's delay and returns the handler at to, or nil if
// there is none.
func (n *Peers) deliver(ctx context.Context, from, to string) (port.PeerHandler, error) {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[link{from, to}] {
		return nil, PeerFailed.New("%s cannot reach %s", from, to)
	}
	return n.handlers[to], nil
}

type peerClient struct {
	peers *Peers
	from  string
	gate  *Gate
}

func (c *peerClient) Call(
	ctx context.Context, address string, request *peerpb.Request,
) (*peerpb.Response, error) {
	c.gate.Wait()
	request = proto.CloneOf(request)
	handler, err := c.peers.deliver(ctx, c.from, address)
	if err != nil {
		return nil, err
	}
	if handler == nil {
		return nil, port.NotStarted.New("no handler at %s", address)
	}
	answers := make(chan *peerpb.Response, 1)
	go func() { answers <- proto.CloneOf(handler.Serve(ctx, request)) }()
	select {
	case answer := <-answers:
		if _, err := c.peers.deliver(ctx, address, c.from); err != nil {
			return nil, err
		}
		c.gate.Wait()
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

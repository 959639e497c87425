// Package relay calls the store through other nodes for a node that the store refuses
// or does not answer.
package relay

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/retry"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// maxAttempts is the number of nodes that are tried for one call.
const maxAttempts = 3

// Node is another node of the cell.
type Node struct {
	Name            string
	Address         string // for other nodes
	MilliProcessors int64  // zero if not known
	Owner           bool   // of the cell; it has the least time for others
}

// Options are what a Relay needs. All fields are required.
type Options struct {
	Self  string // name of this node
	Peers port.Peer
	Nodes func() []Node // the other nodes, in a new slice
	// Refused reports whether the store's status proves that it has not carried out a call.
	Refused func(status int) bool
	Clock   port.Clock
	Logger  logrus.FieldLogger
}

// Relay makes calls to the store through the node that answered the last one, and through
// another one once that fails. Large VMs go first, since small ones have narrow links. It
// is safe for concurrent use.
type Relay struct {
	Options

	mu      sync.Mutex
	current string                     // address of the node that answered last; "" if there is none
	failed  map[string]retry.Exclusion // by address
}

// New returns a Relay.
func New(options Options) *Relay {
	return &Relay{Options: options, failed: map[string]retry.Exclusion{}}
}

// Call makes a call to the store through another node and returns the store's status and
// body. An error of class NotStarted proves that the call was not made.
func (r *Relay) Call(ctx context.Context, method, target string, body []byte) (status int, answer []byte, err error) {
	err = port.NotStarted.New("no other node is known")
	for _, node := range r.candidates() {
		status, answer, err = r.callThrough(ctx, node, method, target, body)
		refused := err == nil && r.Refused(status)
		if ctx.Err() == nil || err == nil {
			r.record(node, err == nil && !refused)
		}
		unknown := err != nil && !port.NotStarted.Has(err)
		if err == nil && !refused || unknown && method != http.MethodGet || ctx.Err() != nil {
			break
		}
	}
	return status, answer, err
}

func (r *Relay) callThrough(ctx context.Context, node Node, method, target string, body []byte) (int, []byte, error) {
	reply, err := r.Peers.Call(ctx, node.Address, &peerpb.Request{Body: &peerpb.Request_StoreCall{StoreCall: &peerpb.StoreCall{
		Method: method, Target: target, Body: body,
	}}})
	if err != nil {
		return 0, nil, err
	}
	if answer := reply.GetStoreReply(); answer != nil {
		return int(answer.GetStatus()), answer.GetBody(), nil
	}
	return 0, nil, errs.New("node at %s got no answer from the store", node.Address)
}

// candidates returns the nodes to try, the best first.
func (r *Relay) candidates() []Node {
	nodes := r.Nodes()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := func(n Node) int {
		switch {
		case r.failed[n.Address].Active(now):
			return 3
		case n.Address == r.current:
			return 0
		case n.Owner:
			return 2
		}
		return 1
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(r.failed[a.Address].Until, r.failed[b.Address].Until),
			cmp.Compare(b.MilliProcessors, a.MilliProcessors), cmp.Compare(r.hash(a), r.hash(b)))
	})
	return nodes[:min(len(nodes), maxAttempts)]
}

// hash spreads the nodes that relay at the same time over VMs of equal size.
func (r *Relay) hash(n Node) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Self + "\x00" + n.Address)) // never fails
	return h.Sum64()
}

// record records the result of a call through the node.
func (r *Relay) record(node Node, succeeded bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if succeeded {
		delete(r.failed, node.Address)
		if r.current != node.Address {
			r.current = node.Address
			r.Logger.WithFields(logrus.Fields{"peer": node.Name, "peer_processors": float64(node.MilliProcessors) / 1000}).Info("calling the store through another node")
		}
		return
	}
	if r.current == node.Address {
		r.current = ""
	}
	exclusion := r.failed[node.Address]
	if exclusion.Fail(now) {
		metrics.GetOrCreateCounter("balsam_relay_failures_total").Inc()
		r.failed[node.Address] = exclusion
	}
}

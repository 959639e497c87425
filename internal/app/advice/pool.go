// Package advice spreads questions to the placement policy over the cell's
// nodes. The policy serves one call at a time for each calling VM, so the owner
// alone could not ask often enough.
package advice

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// downTime is how long a node that did not answer is asked nothing.
	downTime = 2 * time.Second
	// overdueTime is how much later than expected a node may answer: a few times
	// the way there and back, and a slow VM's scheduling.
	overdueTime = 150 * time.Millisecond
	askAttempts = 3 // nodes that a question is put to
)

// Pool asks through the node that is expected to answer first. It is safe for
// concurrent use.
type Pool struct {
	Node    string
	Local   port.Advisor
	Peers   port.Peer
	Members func() map[string]string // peer addresses by node
	Clock   port.Clock

	mu      sync.Mutex
	helpers map[string]*helper
}

type helper struct {
	busyUntil time.Duration // expected
	downUntil time.Duration
}

var _ port.Advisor = (*Pool)(nil)

// Ask implements port.Advisor. A question that another node has not answered
// when it should have goes to the next one.
func (p *Pool) Advise(ctx context.Context, query dispatch.AdviceRequest) (approved []dispatch.Approval, validity time.Duration, err error) {
	for range askAttempts {
		node, address, due := p.pick(query.ExpectedLatency)
		if node == p.Node {
			return p.Local.Advise(ctx, query)
		}
		callCtx, cancel := context.WithTimeout(ctx, due-p.Clock.Now()+query.ExpectedLatency/2+overdueTime)
		approved, validity, err = p.askPeer(callCtx, address, query)
		cancel()
		if err == nil || ctx.Err() != nil {
			return approved, validity, err
		}
		p.down(node)
	}
	return nil, 0, err
}

// down notes that the node has not answered.
func (p *Pool) down(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.helpers[node].downUntil = p.Clock.Now() + downTime
	p.helpers[node].busyUntil = 0
}

// pick chooses the node whose queue is expected to be empty first and adds the
// question to it. due is when the answer is expected.
func (p *Pool) pick(expected time.Duration) (node, address string, due time.Duration) {
	members := p.Members()
	members[p.Node] = ""
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.helpers == nil {
		p.helpers = map[string]*helper{}
	}
	node = p.Node
	for _, name := range slices.Sorted(maps.Keys(members)) {
		h := p.helper(name)
		if name != p.Node && now < h.downUntil {
			continue
		}
		if h.busyUntil < p.helper(node).busyUntil {
			node = name
		}
	}
	chosen := p.helper(node)
	chosen.busyUntil = max(chosen.busyUntil, now) + expected
	return node, members[node], chosen.busyUntil
}

func (p *Pool) helper(node string) *helper {
	h, ok := p.helpers[node]
	if !ok {
		h = &helper{}
		p.helpers[node] = h
	}
	return h
}

func (p *Pool) askPeer(ctx context.Context, address string, query dispatch.AdviceRequest) ([]dispatch.Approval, time.Duration, error) {
	message := &peerpb.AdviceQuery{Job: string(query.Job), Occurrence: int32(query.Occurrence), Step: int32(query.Step)}
	for _, worker := range query.Workers {
		message.Workers = append(message.Workers, string(worker))
	}
	reply, err := p.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Advice{Advice: message}})
	if err != nil {
		return nil, 0, err
	}
	answer := reply.GetAdvice()
	if answer == nil {
		return nil, 0, port.NotStarted.New("node at %s gave no advice", address)
	}
	approved := make([]dispatch.Approval, 0, len(answer.GetApproved()))
	for _, a := range answer.GetApproved() {
		approved = append(approved, dispatch.Approval{Worker: model.VMID(a.GetWorker()), Ticket: a.GetTicket()})
	}
	return approved, time.Duration(answer.GetValidityMs()) * time.Millisecond, nil
}

// Serve answers a question of another node. It returns nil if the policy did
// not answer.
func Serve(ctx context.Context, local port.Advisor, message *peerpb.AdviceQuery) *peerpb.Response {
	query := dispatch.AdviceRequest{Job: model.JobID(message.GetJob()), Occurrence: int(message.GetOccurrence()), Step: int(message.GetStep())}
	for _, worker := range message.GetWorkers() {
		query.Workers = append(query.Workers, model.VMID(worker))
	}
	approved, validity, err := local.Advise(ctx, query)
	if err != nil {
		return nil
	}
	reply := &peerpb.AdviceReply{ValidityMs: validity.Milliseconds()}
	for _, a := range approved {
		reply.Approved = append(reply.Approved, &peerpb.AdviceReply_Approval{Worker: string(a.Worker), Ticket: a.Ticket})
	}
	return &peerpb.Response{Body: &peerpb.Response_Advice{Advice: reply}}
}

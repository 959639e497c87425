// Package advice distributes advice requests to the placement policy over the cell's
// nodes. The placement policy serves one call at a time per calling VM, so the owner alone
// could not send enough of them.
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
	// downPeriod is how long an unresponsive node gets no requests.
	downPeriod = 2 * time.Second
	// answerGrace is how much later than expected a node may answer. It covers a few
	// network round trips and scheduling delays on a slow VM.
	answerGrace = 150 * time.Millisecond
	maxAttempts = 3 // nodes tried per request
)

// Pool sends each advice request through the node that is expected to answer first. It
// is safe for concurrent use.
type Pool struct {
	Node      string
	Local     port.Advisor
	Peers     port.Peer
	Addresses func() map[string]string // peer addresses by node
	Clock     port.Clock

	mu    sync.Mutex
	nodes map[string]*nodeState
}

type nodeState struct {
	busyUntil time.Duration // expected
	downUntil time.Duration
}

var _ port.Advisor = (*Pool)(nil)

// Advise implements port.Advisor. If another node does not answer in time, it retries
// through the next one.
func (p *Pool) Advise(ctx context.Context, request dispatch.AdviceRequest) (approved []dispatch.Approval, validity time.Duration, err error) {
	for range maxAttempts {
		node, address, due := p.pickNode(request.ExpectedLatency)
		if node == p.Node {
			return p.Local.Advise(ctx, request)
		}
		callCtx, cancel := context.WithTimeout(ctx, due-p.Clock.Now()+request.ExpectedLatency/2+answerGrace)
		approved, validity, err = p.callPeer(callCtx, address, request)
		cancel()
		if err == nil || ctx.Err() != nil {
			return approved, validity, err
		}
		p.markDown(node)
	}
	return nil, 0, err
}

// markDown excludes an unresponsive node for downPeriod.
func (p *Pool) markDown(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[node].downUntil = p.Clock.Now() + downPeriod
	p.nodes[node].busyUntil = 0
}

// pickNode adds the request to the queue of the node that is expected to be idle
// first. It returns the node, its peer address and, in due, the clock reading at which
// its answer is expected.
func (p *Pool) pickNode(expected time.Duration) (node, address string, due time.Duration) {
	members := p.Addresses()
	members[p.Node] = ""
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nodes == nil {
		p.nodes = map[string]*nodeState{}
	}
	node = p.Node
	for _, name := range slices.Sorted(maps.Keys(members)) {
		candidate := p.nodeState(name)
		if name != p.Node && now < candidate.downUntil {
			continue
		}
		if candidate.busyUntil < p.nodeState(node).busyUntil {
			node = name
		}
	}
	chosen := p.nodeState(node)
	chosen.busyUntil = max(chosen.busyUntil, now) + expected
	return node, members[node], chosen.busyUntil
}

// nodeState returns the state of the node and adds it if needed. The caller holds mu.
func (p *Pool) nodeState(node string) *nodeState {
	found, ok := p.nodes[node]
	if !ok {
		found = &nodeState{}
		p.nodes[node] = found
	}
	return found
}

func (p *Pool) callPeer(ctx context.Context, address string, request dispatch.AdviceRequest) ([]dispatch.Approval, time.Duration, error) {
	message := &peerpb.AdviceQuery{Job: string(request.Job), Occurrence: int32(request.Occurrence), Step: int32(request.Step)}
	for _, worker := range request.Workers {
		message.Workers = append(message.Workers, string(worker))
	}
	reply, err := p.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Advice{Advice: message}})
	if err != nil {
		return nil, 0, err
	}
	answer := reply.GetAdvice()
	if answer == nil {
		return nil, 0, port.NotStarted.New("node at %s returned no advice", address)
	}
	approved := make([]dispatch.Approval, 0, len(answer.GetApproved()))
	for _, a := range answer.GetApproved() {
		approved = append(approved, dispatch.Approval{Worker: model.VMID(a.GetWorker()), Ticket: a.GetTicket()})
	}
	return approved, time.Duration(answer.GetValidityMs()) * time.Millisecond, nil
}

// Serve answers an advice request of another node by calling the placement policy
// through local. It returns nil if the placement policy did not answer.
func Serve(ctx context.Context, local port.Advisor, message *peerpb.AdviceQuery) *peerpb.Response {
	request := dispatch.AdviceRequest{Job: model.JobID(message.GetJob()), Occurrence: int(message.GetOccurrence()), Step: int(message.GetStep())}
	for _, worker := range message.GetWorkers() {
		request.Workers = append(request.Workers, model.VMID(worker))
	}
	approved, validity, err := local.Advise(ctx, request)
	if err != nil {
		return nil
	}
	reply := &peerpb.AdviceReply{ValidityMs: validity.Milliseconds()}
	for _, a := range approved {
		reply.Approved = append(reply.Approved, &peerpb.AdviceReply_Approval{Worker: string(a.Worker), Ticket: a.Ticket})
	}
	return &peerpb.Response{Body: &peerpb.Response_Advice{Advice: reply}}
}

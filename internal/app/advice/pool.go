// Package advice distributes advice requests to the placement policy over the cell's
// nodes. The placement policy serves one call at a time per calling VM, so the owner alone
// could not send enough of them.
package advice

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/retry"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// answerGrace is how much later than expected a node may answer. It covers a few
	// network round trips and scheduling delays on a slow VM.
	answerGrace = 150 * time.Millisecond
	// lateAnswerTime is how much later an answer still shows that the node can be asked
	// again: a small VM's link may be full for longer than answerGrace.
	lateAnswerTime = time.Second
	maxAttempts    = 3 // nodes tried per request
)

// Pool sends each advice request through the node that is expected to answer first. It
// is safe for concurrent use.
type Pool struct {
	Node      string
	Local     port.Advisor
	Peers     port.Peer
	Addresses func() map[string]string // peer addresses by node, in a new map
	Clock     port.Clock

	mu    sync.Mutex
	nodes map[string]*nodeState
}

type nodeState struct {
	busyUntil time.Duration // expected
	exclusion retry.Exclusion
}

var _ port.Advisor = (*Pool)(nil)

// noAdvice is the class of errors of calls that a node answers without advice.
var noAdvice = errs.Class("no advice")

// result is the result of a call through another node.
type result struct {
	attempt  int
	approved []dispatch.Approval
	validity time.Duration
	err      error
}

// Advise implements port.Advisor. If the call through another node fails or is late, it
// tries the next one. The first answer counts, also a late one.
func (p *Pool) Advise(ctx context.Context, request dispatch.AdviceRequest) ([]dispatch.Approval, time.Duration, error) {
	results := make(chan result, maxAttempts)
	last := result{err: noAdvice.New("no node was asked")}
	for attempt := range maxAttempts {
		node, address, due := p.pickNode(request.ExpectedLatency, attempt > 0)
		if node == p.Node {
			return p.Local.Advise(ctx, request)
		}
		patience := due - p.Clock.Now() + request.ExpectedLatency/2 + answerGrace
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience+lateAnswerTime)
			defer cancel()
			approved, validity, err := p.callPeer(callCtx, address, request)
			if err == nil || callCtx.Err() == nil {
				p.record(node, err)
			}
			results <- result{attempt, approved, validity, err}
		}()
		var answered bool
		if last, answered = p.await(ctx, results, attempt, patience); answered || ctx.Err() != nil {
			return last.approved, last.validity, last.err
		}
		if errors.Is(last.err, errLate) {
			p.record(node, errLate)
		}
	}
	return nil, 0, last.err
}

// errLate is the error of a call that has no answer yet.
var errLate = errs.New("answer is late")

// await waits for the result of an attempt or the answer to an earlier one. It reports
// whether an answer has arrived.
func (p *Pool) await(ctx context.Context, results <-chan result, attempt int, patience time.Duration) (result, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil || r.attempt == attempt {
				return r, r.err == nil
			}
		case <-timer.C:
			return result{err: errLate}, false
		case <-ctx.Done():
			return result{err: context.Cause(ctx)}, false
		}
	}
}

// record records the result of a call through the node. After a failed or late one the
// node is excluded for a while, or until it answers.
func (p *Pool) record(node string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.nodes[node]
	now := p.Clock.Now()
	switch {
	case err == nil:
		state.exclusion = retry.Exclusion{}
		return
	case noAdvice.Has(err):
		state.exclusion = retry.Exclusion{Until: now + retry.FirstExclusion}
	default:
		state.exclusion.Fail(now)
	}
	state.busyUntil = 0
}

// pickNode adds the request to the queue of the node that is expected to be idle
// first. With answered set, that is one that has answered its last call, or has had none.
// It returns the node, its peer address and, in due, the clock reading at which its answer
// is expected.
func (p *Pool) pickNode(expected time.Duration, answered bool) (node, address string, due time.Duration) {
	addresses := p.Addresses()
	addresses[p.Node] = ""
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nodes == nil {
		p.nodes = map[string]*nodeState{}
	}
	node = p.Node
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		candidate := p.nodeState(name)
		if name != p.Node && (candidate.exclusion.Active(now) || answered && candidate.exclusion.Failures > 0) {
			continue
		}
		if candidate.busyUntil < p.nodeState(node).busyUntil {
			node = name
		}
	}
	chosen := p.nodeState(node)
	chosen.busyUntil = max(chosen.busyUntil, now) + expected
	return node, addresses[node], chosen.busyUntil
}

// Callers returns the number of nodes that requests are sent through, this one included:
// all but those that are excluded after failed calls.
func (p *Pool) Callers() int {
	addresses := p.Addresses()
	addresses[p.Node] = ""
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, state := range p.nodes {
		if name != p.Node && state.exclusion.Active(now) {
			delete(addresses, name)
		}
	}
	return len(addresses)
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
		return nil, 0, noAdvice.New("node at %s got no answer from the placement policy", address)
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

package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/peer"
	"github.com/balsamhitch/balsamhitch/internal/app/advice"
	"github.com/balsamhitch/balsamhitch/internal/app/relay"
	"github.com/balsamhitch/balsamhitch/internal/app/relocation"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// forward sends a caller's record to the cell's owner. Its errors are those of
// intake.Options.Forward.
func (n *node) forward(ctx context.Context, record port.KeyedRecord) error {
	if n.owner.Owning() {
		return n.owner.Append(ctx, []port.KeyedRecord{record})
	}
	owner := n.replica.Owner()
	if owner.Resigned || owner.Node == n.settings.Node {
		return port.NotStarted.Wrap(port.NoOwner.New("the cell's owner is not known"))
	}
	reply, err := n.call(ctx, owner.Node, &peerpb.Request{Body: &peerpb.Request_KeepRecords{KeepRecords: &peerpb.KeepRecords{
		Records: []*peerpb.KeepRecords_Record{{Key: record.Key, Value: record.Value}},
	}}})
	if port.NotStarted.Has(err) {
		return port.NotStarted.Wrap(port.NoOwner.Wrap(err))
	}
	if err != nil {
		return err
	}
	return refusalError(reply.GetAck().GetRefusal())
}

// refusalError returns the owner's refusal of records as the error that its Append returned,
// nil for none.
func refusalError(refusal *peerpb.Refusal) error {
	switch refusal.GetReason() {
	case peerpb.Refusal_NOT_OWNER:
		return port.NotStarted.Wrap(port.NoOwner.New("%s", refusal.GetDetail()))
	case peerpb.Refusal_NEVER_FITS:
		return port.NotStarted.Wrap(port.NeverFits.New("%s", refusal.GetDetail()))
	case peerpb.Refusal_OVERLOADED:
		return port.NotStarted.Wrap(&port.OverloadedError{
			Detail: refusal.GetDetail(), RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
		})
	case peerpb.Refusal_LOG_UNAVAILABLE:
		return port.NotStarted.New("%s", refusal.GetDetail())
	}
	if refusal != nil {
		return errs.New("%s", refusal.GetDetail())
	}
	return nil
}

// call sends a request to the named node. An error of class NotStarted proves that the
// node did not receive it.
func (n *node) call(ctx context.Context, node string, request *peerpb.Request) (*peerpb.Response, error) {
	info, known := n.replica.NodeInfo(node)
	if !known {
		return nil, port.NotStarted.New("address of %s is not known", node)
	}
	return n.peerClient.Call(ctx, info.Address, request)
}

// appendRecords makes records from another node durable.
func (n *node) appendRecords(ctx context.Context, message *peerpb.KeepRecords) *peerpb.Ack {
	records := make([]port.KeyedRecord, 0, len(message.GetRecords()))
	for _, record := range message.GetRecords() {
		records = append(records, port.KeyedRecord{Key: record.GetKey(), Value: record.GetValue()})
	}
	return appendAck(n.owner.Append(ctx, records))
}

// appendAck returns the answer to another node for the result of Append.
func appendAck(err error) *peerpb.Ack {
	var overloaded *port.OverloadedError
	switch {
	case err == nil:
		return &peerpb.Ack{}
	case errors.As(err, &overloaded):
		return &peerpb.Ack{Refusal: &peerpb.Refusal{
			Reason: peerpb.Refusal_OVERLOADED, Detail: overloaded.Detail, RetryAfterMs: overloaded.RetryAfter.Milliseconds(),
		}}
	case port.NeverFits.Has(err):
		return &peerpb.Ack{Refusal: &peerpb.Refusal{Reason: peerpb.Refusal_NEVER_FITS, Detail: err.Error()}}
	case port.NotStarted.Has(err) && !port.NoOwner.Has(err):
		return &peerpb.Ack{Refusal: &peerpb.Refusal{Reason: peerpb.Refusal_LOG_UNAVAILABLE, Detail: err.Error()}}
	case port.NotStarted.Has(err):
		return &peerpb.Ack{Refusal: &peerpb.Refusal{Reason: peerpb.Refusal_NOT_OWNER, Detail: err.Error()}}
	default:
		return &peerpb.Ack{Refusal: &peerpb.Refusal{Reason: peerpb.Refusal_UNAVAILABLE, Detail: err.Error()}}
	}
}

// relayNodes returns the nodes through which this one may call the store. Before it
// knows any, these are its seeds.
func (n *node) relayNodes() []relay.Node {
	owner := n.replica.Owner().Node
	infos := n.replica.Nodes()
	nodes := make([]relay.Node, 0, len(infos))
	for name, info := range infos {
		if name != n.settings.Node {
			nodes = append(nodes, relay.Node{Name: name, Address: info.Address, MilliProcessors: info.Size.MilliProcessors, Owner: name == owner})
		}
	}
	if len(nodes) > 0 {
		return nodes
	}
	for _, seed := range n.settings.PeerSeeds {
		if seed != n.settings.PeerAddress {
			nodes = append(nodes, relay.Node{Name: seed, Address: seed})
		}
	}
	return nodes
}

const (
	// overdueReadWait is the read wait while the owner's heartbeat is overdue. It is
	// short because only a read that was sent late enough proves that the owner is
	// unresponsive.
	overdueReadWait = 100 * time.Millisecond
	usualReadWait   = time.Second // logtail limits it to its maxReadWait
)

// ownerStopped reports whether the owner answers that it no longer serves, or
// refuses the connection because its process has ended. If the owner answers that it
// serves, the replica keeps the age of its latest append.
func (n *node) ownerStopped(ctx context.Context, owner replica.OwnerHeartbeat) bool {
	askedAt := n.clock.Now()
	reply, err := n.call(ctx, owner.Node, &peerpb.Request{Body: &peerpb.Request_OwnerQuery{OwnerQuery: &peerpb.OwnerQuery{Epoch: owner.Epoch}}})
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) && !peer.RedialPending.Has(err)
	}
	answer := reply.GetOwnerReply()
	if answer == nil {
		return false
	}
	if answer.GetServing() && answer.AppendAgeMs != nil {
		n.replica.OwnerAnswered(owner.Epoch, askedAt, askedAt-time.Duration(answer.GetAppendAgeMs())*time.Millisecond)
	}
	return !answer.GetServing()
}

// OtherNodes implements election.Peers.
func (n *node) OtherNodes() []string { return n.replica.PeersBySuitability(n.settings.Node) }

// CanTakeOver implements election.Peers.
func (n *node) CanTakeOver(ctx context.Context, node string) bool {
	reply, err := n.call(ctx, node, &peerpb.Request{Body: &peerpb.Request_OwnerQuery{OwnerQuery: &peerpb.OwnerQuery{}}})
	return err == nil && reply.GetOwnerReply().GetFit()
}

// fitness asks a node whether it could take over the cell. A node of an older version,
// which does not tell how the log answers it, is not fit for a move by plan.
func (n *node) fitness(ctx context.Context, node string) (relocation.Fitness, error) {
	reply, err := n.call(ctx, node, &peerpb.Request{Body: &peerpb.Request_OwnerQuery{OwnerQuery: &peerpb.OwnerQuery{}}})
	if err != nil {
		return relocation.Fitness{}, err
	}
	answer := reply.GetOwnerReply()
	return relocation.Fitness{
		Fit: answer.GetFit() && answer.LogAnswerMs != nil, Stopping: answer.GetStopping(), Direct: !answer.GetRelayed(),
		LogAnswer: time.Duration(answer.GetLogAnswerMs()) * time.Millisecond,
	}, nil
}

// NotifyOwner implements election.Peers.
func (n *node) NotifyOwner(ctx context.Context, node string, epoch uint64, owner string) error {
	reply, err := n.call(ctx, node, &peerpb.Request{Body: &peerpb.Request_OwnerChange{OwnerChange: &peerpb.OwnerChange{Epoch: epoch, Node: owner}}})
	if err != nil {
		return err
	}
	if refusal := reply.GetAck().GetRefusal(); refusal != nil {
		return errs.New("%s", refusal.GetDetail())
	}
	return nil
}

// serveStoreCall makes a call to the store for another node.
func (n *node) serveStoreCall(ctx context.Context, call *peerpb.StoreCall) *peerpb.Response {
	status, body, err := n.store.CallDirect(ctx, call.GetMethod(), call.GetTarget(), call.GetBody())
	if err != nil {
		return &peerpb.Response{Body: &peerpb.Response_Ack{Ack: &peerpb.Ack{
			Refusal: &peerpb.Refusal{Reason: peerpb.Refusal_UNAVAILABLE, Detail: err.Error()},
		}}}
	}
	return &peerpb.Response{Body: &peerpb.Response_StoreReply{StoreReply: &peerpb.StoreReply{Status: int32(status), Body: body}}}
}

// Serve implements port.PeerHandler.
func (n *node) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	if query := request.GetOwnerQuery(); query != nil {
		reply := &peerpb.OwnerReply{
			Serving: n.owner.Serving(query.GetEpoch()), Fit: n.candidate.CanTakeOver(), Stopping: n.stopping.Load(),
			Relayed: n.store.Relaying(), LogAnswerMs: new(uint64(n.cellTail.AnswerTime().Milliseconds())),
		}
		if reply.GetServing() {
			reply.AppendAgeMs = new(uint64(n.owner.AppendAge().Milliseconds()))
		}
		return &peerpb.Response{Body: &peerpb.Response_OwnerReply{OwnerReply: reply}}
	}
	if change := request.GetOwnerChange(); change != nil {
		ack := &peerpb.Ack{}
		if err := n.candidate.OwnerChanged(change.GetEpoch(), change.GetNode()); err != nil {
			ack.Refusal = &peerpb.Refusal{Reason: peerpb.Refusal_UNAVAILABLE, Detail: err.Error()}
		}
		return &peerpb.Response{Body: &peerpb.Response_Ack{Ack: ack}}
	}
	if call := request.GetStoreCall(); call != nil {
		return n.serveStoreCall(ctx, call)
	}
	if message := request.GetKeepRecords(); message != nil {
		return &peerpb.Response{Body: &peerpb.Response_Ack{Ack: n.appendRecords(ctx, message)}}
	}
	if query := request.GetAdvice(); query != nil {
		if response := advice.Serve(ctx, n.advisor, query); response != nil {
			return response
		}
	}
	return &peerpb.Response{Body: &peerpb.Response_Ack{Ack: &peerpb.Ack{}}}
}

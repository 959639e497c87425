package membership

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// outageLoop gathers promises while this member's renewals do not come back
// from the log, and asks after lapsed members that it may not remove yet.
func (m *Member) outageLoop(ctx context.Context) error {
	ticker := time.NewTicker(m.opt.RenewEvery / 2)
	defer ticker.Stop()
	var nextRound, nextProbe time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := m.clock.Now()
		lagging := m.lagging(now)
		if m.promised && !lagging {
			m.logger.Info("renewals work again")
			m.promised = false
		}
		if lagging && now >= nextRound {
			nextRound = now + promiseEvery
			if !m.extend(ctx) {
				nextRound = now + m.opt.RenewEvery
			}
		}
		if now >= nextProbe {
			nextProbe = now + probeEvery
			m.probeLapsed(ctx)
		}
	}
}

// lagging reports whether the log lease has not been renewed for two periods,
// and the outage is not too old to go on without the log.
func (m *Member) lagging(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	renewed := m.lease.Expiry() - m.opt.Lease // when the last renewal was sent
	age := now - renewed
	return len(m.held) > 0 && age > 2*m.opt.RenewEvery && age < m.opt.MaxOutage
}

// extend renews the lease by promises. Unless the last round succeeded it asks
// first whether all would promise: promises of some do not help this member
// and keep the others from taking over.
func (m *Member) extend(ctx context.Context) bool {
	if !m.promised && !m.gather(ctx, true) {
		return false
	}
	promised := m.gather(ctx, false)
	if promised && !m.promised {
		m.logger.Warn("going on without the log")
	}
	m.promised = promised
	return promised
}

// gather asks every other member of the view. Unless it only probes, it
// extends the lease if all of them promise. It reports whether all do.
func (m *Member) gather(ctx context.Context, probe bool) bool {
	vms := m.opt.VMs()
	now := m.clock.Now()
	m.mu.Lock()
	state := m.state()
	if state == nil {
		m.mu.Unlock()
		return false
	}
	view := m.others()
	round := m.extension.Begin(m.actable(), view, now)
	m.mu.Unlock()

	answers := m.askAll(ctx, view, round.Held, probe)
	for i, other := range view {
		round.Answers[other.ID] = answers[i]
	}
	now = m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range view {
		if round.Answers[other.ID] == ownership.Unanswered && m.missing(vms, other) {
			round.Answers[other.ID] = ownership.Ended
		}
	}
	if probe {
		return m.extension.Suffices(round, now, m.lease.Expiry())
	}
	extended := m.extension.Finish(round, now, m.lease.Expiry(), m.opt.PromiseTerm)
	if extended {
		m.publish()
	}
	return extended
}

// others returns all members but this one.
func (m *Member) others() []ownership.Member {
	var others []ownership.Member
	for _, other := range m.state().Members() {
		if other.ID != m.opt.ID {
			others = append(others, other)
		}
	}
	return others
}

// actable returns what is held and not released.
func (m *Member) actable() ownership.Held {
	held := make(ownership.Held, len(m.held))
	for p, e := range m.held {
		if t := m.tenures[p]; t == nil || !t.released {
			held[p] = e
		}
	}
	return held
}

// askAll asks all members at once and returns their answers in order.
func (m *Member) askAll(
	ctx context.Context, view []ownership.Member, held ownership.Held, probe bool,
) []ownership.Answer {
	request := &peerpb.PromiseRequest{
		Member: string(m.opt.ID),
		TermMs: m.opt.PromiseTerm.Milliseconds(),
		Probe:  probe,
	}
	for p, e := range held {
		request.Partitions = append(request.Partitions,
			&peerpb.HeldPartition{Partition: string(p), Epoch: uint64(e)})
	}
	answers := make([]ownership.Answer, len(view))
	var calls sync.WaitGroup
	for i, other := range view {
		calls.Go(func() { answers[i] = m.ask(ctx, other, request) })
	}
	calls.Wait()
	return answers
}

func (m *Member) ask(ctx context.Context, other ownership.Member, request *peerpb.PromiseRequest) ownership.Answer {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := m.opt.Peer.Call(ctx, other.Address, &peerpb.Request{
		Body: &peerpb.Request_Promise{Promise: &peerpb.PromiseRequest{
			Member:     request.GetMember(),
			TermMs:     request.GetTermMs(),
			Probe:      request.GetProbe(),
			Partitions: request.GetPartitions(),
			Receiver:   string(other.ID),
		}},
	})
	reply := response.GetPromise()
	switch {
	case err != nil || reply.GetMember() == "":
		return ownership.Unanswered
	case reply.GetMember() != string(other.ID):
		return ownership.Ended
	case reply.GetGranted():
		return ownership.Granted
	default:
		m.logger.WithField("member", other.ID).Info("promise refused: " + reply.GetDetail())
		return ownership.Refused
	}
}

// ServePeer answers the membership's own peer calls; ok is false for others.
func (m *Member) ServePeer(_ context.Context, request *peerpb.Request) (response *peerpb.Response, ok bool) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Promise:
		reply := m.promise(body.Promise)
		return &peerpb.Response{Body: &peerpb.Response_Promise{Promise: reply}}, true
	case *peerpb.Request_Identity:
		reply := &peerpb.IdentityReply{Member: string(m.opt.ID)}
		return &peerpb.Response{Body: &peerpb.Response_Identity{Identity: reply}}, true
	default:
		return nil, false
	}
}

func (m *Member) promise(request *peerpb.PromiseRequest) *peerpb.PromiseReply {
	reply := &peerpb.PromiseReply{Member: string(m.opt.ID)}
	if request.GetReceiver() != string(m.opt.ID) {
		reply.Detail = "another process has taken the receiver's place"
		return reply
	}
	held := make(ownership.Held, len(request.GetPartitions()))
	for _, p := range request.GetPartitions() {
		held[model.PartitionID(p.GetPartition())] = model.Epoch(p.GetEpoch())
	}
	term := min(time.Duration(request.GetTermMs())*time.Millisecond, m.opt.PromiseTerm)
	if term.Milliseconds() != request.GetTermMs() {
		reply.Detail = "the term is longer than this member's own"
		return reply
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	holder := model.MemberID(request.GetMember())
	reply.Detail = m.promises.CheckRequest(m.state(), holder, held, now)
	if !m.ours {
		reply.Detail = "the process has not joined yet"
	}
	reply.Granted = reply.GetDetail() == ""
	if !reply.GetGranted() {
		promisesRefused.Inc()
	}
	if reply.GetGranted() && !request.GetProbe() {
		promisesGranted.Inc()
		m.promises.Grant(holder, held, now+term+m.opt.DriftMargin)
	}
	return reply
}

// probeLapsed asks who runs at the addresses of lapsed members that this
// member may not remove by its own promise.
func (m *Member) probeLapsed(ctx context.Context) {
	for _, other := range m.doubtful() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		response, err := m.opt.Peer.Call(call, other.Address, &peerpb.Request{
			Body: &peerpb.Request_Identity{Identity: &peerpb.IdentityQuery{}},
		})
		cancel()
		answering := response.GetIdentity().GetMember()
		if err != nil || answering == "" || answering == string(other.ID) {
			continue
		}
		m.mu.Lock()
		m.gone[other.ID] = true
		m.mu.Unlock()
		notify(m.kick)
	}
}

// doubtful returns the lapsed members whose view need not contain this one.
func (m *Member) doubtful() []ownership.Member {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.state()
	if state == nil {
		return nil
	}
	self, joined := state.Member(m.opt.ID)
	var doubtful []ownership.Member
	for _, other := range state.Members() {
		if joined && other.ID != m.opt.ID && m.watch.Expired(other.ID, now) && !ownership.InView(other, self) {
			doubtful = append(doubtful, other)
		}
	}
	return doubtful
}

// noteVMs remembers which members the VM list has named and forgets about
// removed ones.
func (t *turn) noteVMs() {
	listed := make(map[string]bool)
	for _, vm := range t.vms {
		if vm.Role == model.RoleEntry {
			listed[host(vm.Address)] = true
		}
	}
	for _, other := range t.state.Members() {
		if listed[host(other.Address)] {
			t.seen[other.ID] = true
		}
	}
	forgetRemoved(t.state, t.seen)
	forgetRemoved(t.state, t.gone)
	forgetRemoved(t.state, t.removed)
}

// forgetRemoved deletes what is noted of those that are members no more.
func forgetRemoved[V any](state *ownership.State, notes map[model.MemberID]V) {
	for id := range notes {
		if _, ok := state.Member(id); !ok {
			delete(notes, id)
		}
	}
}

// unlisted reports whether the VM of a lapsed member has certainly ended. A
// VM that this process never saw listed counts as ended after a grace period,
// for the list lags behind new VMs.
func (t *turn) unlisted(other ownership.Member) bool {
	if t.missing(t.vms, other) {
		return true
	}
	old := t.now >= t.watch.ExpiresAt(other.ID, t.now)+goneGrace
	return old && absent(t.vms, other.Address)
}

// missing reports whether the VM list has named the member's VM before and
// does no longer.
func (m *Member) missing(vms []model.VM, other ownership.Member) bool {
	return m.seen[other.ID] && absent(vms, other.Address)
}

// absent reports whether a list that names entry VMs does not name the one of
// the address. Hosts are compared, since the list may name another port.
func absent(vms []model.VM, address string) bool {
	entries := 0
	for _, vm := range vms {
		if vm.Role != model.RoleEntry {
			continue
		}
		entries++
		if host(vm.Address) == host(address) {
			return false
		}
	}
	return entries > 0
}

func host(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}

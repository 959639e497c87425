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

// outageLoop collects promises while this member's renewals cannot be read back
// from the log, and queries the identity of expired members that this member may
// not remove yet.
func (m *Member) outageLoop(ctx context.Context) error {
	ticker := time.NewTicker(m.opt.RenewEvery / 2)
	defer ticker.Stop()
	var nextRound, nextIdentityQuery time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := m.clock.Now()
		renewalOverdue := m.renewalOverdue(now)
		if m.promised && !renewalOverdue {
			m.logger.Info("renewals through the log succeed again")
			m.promised = false
		}
		if renewalOverdue && now >= nextRound {
			nextRound = now + promiseEvery
			if !m.extendLease(ctx) {
				nextRound = now + m.opt.RenewEvery
			}
		}
		if now >= nextIdentityQuery {
			nextIdentityQuery = now + identityQueryEvery
			m.queryIdentities(ctx)
		}
	}
}

// renewalOverdue reports whether this member owns partitions and its last renewal
// through the log is more than two renewal intervals and less than MaxOutage old.
func (m *Member) renewalOverdue(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	renewed := m.lease.Expiry() - m.opt.Lease // when the last renewal was sent
	age := now - renewed
	return len(m.owned) > 0 && age > 2*m.opt.RenewEvery && age < m.opt.MaxOutage
}

// extendLease extends the lease by promises and reports whether it did. Unless the
// last round succeeded, it first sends dry-run requests to check whether all
// members grant them: promises of only some members do not extend the lease, but
// keep these members from taking over.
func (m *Member) extendLease(ctx context.Context) bool {
	if !m.promised && !m.gatherPromises(ctx, true) {
		return false
	}
	promised := m.gatherPromises(ctx, false)
	if promised && !m.promised {
		m.logger.Warn("renewals through the log are overdue; extending the lease by promises of the other members")
	}
	m.promised = promised
	return promised
}

// gatherPromises asks every other member for a promise and reports whether the
// answers are enough to extend the lease. Unless dryRun is set, it then extends
// the lease.
func (m *Member) gatherPromises(ctx context.Context, dryRun bool) bool {
	vms := m.opt.VMs()
	now := m.clock.Now()
	m.mu.Lock()
	state := m.state()
	if state == nil {
		m.mu.Unlock()
		return false
	}
	view := m.others()
	round := m.extension.Begin(m.activePartitions(), view, now)
	m.mu.Unlock()

	answers := m.requestPromises(ctx, view, round.Owned, dryRun)
	for i, other := range view {
		round.Answers[other.ID] = answers[i]
	}
	now = m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range view {
		if round.Answers[other.ID] == ownership.Unanswered && m.delisted(vms, other) {
			round.Answers[other.ID] = ownership.Ended
		}
	}
	if dryRun {
		return m.extension.Suffices(round, now, m.lease.Expiry())
	}
	extended := m.extension.Finish(round, now, m.lease.Expiry(), m.opt.PromiseTerm)
	if extended {
		m.publish()
	}
	return extended
}

// others returns all members except this one. mu must be held.
func (m *Member) others() []ownership.Member {
	var others []ownership.Member
	for _, other := range m.state().Members() {
		if other.ID != m.opt.ID {
			others = append(others, other)
		}
	}
	return others
}

// activePartitions returns the owned partitions that are not drained. mu must be
// held.
func (m *Member) activePartitions() ownership.OwnedPartitions {
	owned := make(ownership.OwnedPartitions, len(m.owned))
	for p, e := range m.owned {
		if r := m.releases[p]; r == nil || !r.drained {
			owned[p] = e
		}
	}
	return owned
}

// requestPromises asks all members of view concurrently and returns their answers
// in the order of view.
func (m *Member) requestPromises(
	ctx context.Context, view []ownership.Member, owned ownership.OwnedPartitions, dryRun bool,
) []ownership.Answer {
	request := &peerpb.PromiseRequest{
		Member: string(m.opt.ID),
		TermMs: m.opt.PromiseTerm.Milliseconds(),
		Probe:  dryRun,
	}
	for p, e := range owned {
		request.Partitions = append(request.Partitions,
			&peerpb.HeldPartition{Partition: string(p), Epoch: uint64(e)})
	}
	answers := make([]ownership.Answer, len(view))
	var calls sync.WaitGroup
	for i, other := range view {
		calls.Go(func() { answers[i] = m.requestPromise(ctx, other, request) })
	}
	calls.Wait()
	return answers
}

func (m *Member) requestPromise(ctx context.Context, other ownership.Member, request *peerpb.PromiseRequest) ownership.Answer {
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
		m.logger.WithField("member", other.ID).Info("promise refused; asking again in the next round: " + reply.GetDetail())
		return ownership.Refused
	}
}

// ServePeer handles the peer requests of membership. ok is false for all other
// requests.
func (m *Member) ServePeer(_ context.Context, request *peerpb.Request) (response *peerpb.Response, ok bool) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Promise:
		reply := m.answerPromise(body.Promise)
		return &peerpb.Response{Body: &peerpb.Response_Promise{Promise: reply}}, true
	case *peerpb.Request_Identity:
		reply := &peerpb.IdentityReply{Member: string(m.opt.ID)}
		return &peerpb.Response{Body: &peerpb.Response_Identity{Identity: reply}}, true
	default:
		return nil, false
	}
}

func (m *Member) answerPromise(request *peerpb.PromiseRequest) *peerpb.PromiseReply {
	reply := &peerpb.PromiseReply{Member: string(m.opt.ID)}
	if request.GetReceiver() != string(m.opt.ID) {
		reply.Detail = "another process has taken the receiver's place"
		return reply
	}
	owned := make(ownership.OwnedPartitions, len(request.GetPartitions()))
	for _, p := range request.GetPartitions() {
		owned[model.PartitionID(p.GetPartition())] = model.Epoch(p.GetEpoch())
	}
	term := min(time.Duration(request.GetTermMs())*time.Millisecond, m.opt.PromiseTerm)
	if term.Milliseconds() != request.GetTermMs() {
		reply.Detail = "the term is longer than this member's own"
		return reply
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	requester := model.MemberID(request.GetMember())
	reply.Detail = m.promises.CheckRequest(m.state(), requester, owned, now)
	if !m.joinSent {
		reply.Detail = "the process has not joined yet"
	}
	reply.Granted = reply.GetDetail() == ""
	if !reply.GetGranted() {
		promisesRefused.Inc()
	}
	if reply.GetGranted() && !request.GetProbe() {
		promisesGranted.Inc()
		m.promises.Grant(requester, owned, now+term+m.opt.DriftMargin)
	}
	return reply
}

// queryIdentities queries which process runs at the addresses of the unverified
// members. If another process answers at a member's address, that member's process
// has ended.
func (m *Member) queryIdentities(ctx context.Context) {
	for _, other := range m.unverified() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		response, err := m.opt.Peer.Call(call, other.Address, &peerpb.Request{
			Body: &peerpb.Request_Identity{Identity: &peerpb.IdentityQuery{}},
		})
		cancel()
		current := response.GetIdentity().GetMember()
		if err != nil || current == "" || current == string(other.ID) {
			continue
		}
		m.mu.Lock()
		m.replaced[other.ID] = true
		m.mu.Unlock()
		notify(m.wake)
	}
}

// unverified returns the expired members whose view may not contain this one. They
// may still act on promises of others, so this member may not remove them before
// it is certain that they have ended.
func (m *Member) unverified() []ownership.Member {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.state()
	if state == nil {
		return nil
	}
	self, joined := state.Member(m.opt.ID)
	var unverified []ownership.Member
	for _, other := range state.Members() {
		if joined && other.ID != m.opt.ID && m.leases.Expired(other.ID, now) && !ownership.InView(other, self) {
			unverified = append(unverified, other)
		}
	}
	return unverified
}

// recordListedVMs records which members the VM list contains and drops the entries
// of removed members.
func (c *controlPass) recordListedVMs() {
	listed := make(map[string]bool)
	for _, vm := range c.vms {
		if vm.Role == model.RoleEntry {
			listed[host(vm.Address)] = true
		}
	}
	for _, other := range c.state.Members() {
		if listed[host(other.Address)] {
			c.everListed[other.ID] = true
		}
	}
	forgetRemoved(c.state, c.everListed)
	forgetRemoved(c.state, c.replaced)
	forgetRemoved(c.state, c.removalSentAt)
}

// forgetRemoved deletes the entries of ids that are no longer members.
func forgetRemoved[V any](state *ownership.State, entries map[model.MemberID]V) {
	for id := range entries {
		if _, ok := state.Member(id); !ok {
			delete(entries, id)
		}
	}
}

// vmEnded reports whether the VM of an expired member has certainly ended. A VM
// that this process never saw in the list counts as ended after a grace period,
// because the list lags behind new VMs.
func (c *controlPass) vmEnded(other ownership.Member) bool {
	if c.delisted(c.vms, other) {
		return true
	}
	old := c.now >= c.leases.ExpiresAt(other.ID, c.now)+unlistedVMGrace
	return old && notListed(c.vms, other.Address)
}

// delisted reports whether the VM list contained the member's VM before and no
// longer does.
func (m *Member) delisted(vms []model.VM, other ownership.Member) bool {
	return m.everListed[other.ID] && notListed(vms, other.Address)
}

// notListed reports whether the list contains entry VMs but not the one of the
// address. Only hosts are compared, since the list may contain another port. It is
// false for a list without entry VMs.
func notListed(vms []model.VM, address string) bool {
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

package targetowner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/targets"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

const (
	group      = model.PartitionID("targets/quotes/g")
	epoch      = model.Epoch(7)
	afterGrace = targets.DefaultTakeoverGrace + time.Millisecond
)

// testEnv implements the environment of one owner, the runners that it calls and
// the team's owner that receives released permits.
type testEnv struct {
	clock port.Clock
	peers *porttest.Peers

	mu              sync.Mutex
	leaseLost       bool
	stale           bool
	domainsOut      map[model.FailureDomain]bool
	vms             []model.VM
	busy            map[string]int
	maxBusy         int
	sent            []string // "request@address"
	releasedPermits []string
	serve           func(ctx context.Context, address string) (model.Answer, error)
}

func newTestEnv(runners int) *testEnv {
	e := &testEnv{
		clock:      porttest.NewClock(nil, time.Hour, 0),
		peers:      porttest.NewPeers(),
		domainsOut: map[model.FailureDomain]bool{},
		busy:       map[string]int{},
		serve: func(context.Context, string) (model.Answer, error) {
			time.Sleep(10 * time.Millisecond)
			return model.Answer{Status: 200, Body: []byte("ok")}, nil
		},
	}
	for i := range runners {
		name := fmt.Sprint("r", i)
		e.vms = append(e.vms, model.VM{
			ID: model.VMID(name), Address: name, Role: model.RoleRunner, Service: "quotes", Group: "g",
			FailureDomain: model.FailureDomain(fmt.Sprint("d", i)), Capacity: model.Resources{Slots: 8}, Connections: 64,
		})
	}
	e.peers.Attach("team", e)
	return e
}

// Serve implements the team's owner: it records released permits.
func (e *testEnv) Serve(_ context.Context, request *peerpb.Request) *peerpb.Response {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releasedPermits = append(e.releasedPermits, request.GetReleasePermits().GetQuick()...)
	return host.Ack(nil)
}

// Do implements port.Runner for all runners.
func (e *testEnv) Do(ctx context.Context, address string, request model.Request, _ int) (model.Answer, error) {
	e.mu.Lock()
	e.sent = append(e.sent, string(request.ID)+"@"+address)
	e.busy[address]++
	e.maxBusy = max(e.maxBusy, e.busy[address])
	serve := e.serve
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy[address]--
	}()
	return serve(ctx, address)
}

func (e *testEnv) Owner(model.PartitionID) (string, model.Epoch, bool) { return "team", 3, true }
func (e *testEnv) MayAct(model.PartitionID, model.Epoch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaseLost
}
func (e *testEnv) Config() host.Config { return e }
func (e *testEnv) ConfigFresh() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stale
}
func (e *testEnv) Summaries(model.PartitionKind) []*peerpb.PartitionSummary { return nil }
func (e *testEnv) ActUntil(model.PartitionID, model.Epoch) (time.Duration, bool) {
	return e.clock.Now() + time.Hour, !e.leaseLost
}
func (e *testEnv) Demands() []*peerpb.TeamDemand                             { return nil }
func (e *testEnv) Peer() port.Peer                                           { return e.peers.Client("group", nil) }
func (e *testEnv) Clock() port.Clock                                         { return e.clock }
func (e *testEnv) Revision() uint64                                          { return 1 }
func (e *testEnv) Template(model.TeamID) (t model.WorkspaceTemplate, k bool) { return }
func (e *testEnv) Teams() []model.TeamID                                     { return nil }
func (e *testEnv) IsDomainOut(d model.FailureDomain) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domainsOut[d]
}

func (e *testEnv) VMs() []model.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vms
}

// sentRequests returns the requests that the runners received.
func (e *testEnv) sentRequests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.sent)
}

// released returns the permits that the team's owner received.
func (e *testEnv) released() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.releasedPermits)
}

func (e *testEnv) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// runOwner runs the test in a synctest bubble with a running owner whose takeover
// grace period has passed.
func runOwner(t *testing.T, runners int, test func(t *testing.T, e *testEnv, o *Owner)) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEnv(runners)
		o := New(group, epoch, e, Options{Runner: e})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { o.Run(ctx); close(done) }()
		time.Sleep(afterGrace)
		test(t, e, o)
		require.NoError(t, o.Check())
		time.Sleep(time.Second) // lets releases finish
		cancel()
		<-done
	})
}

func newCall(id string, deadline time.Duration) *peerpb.ExecuteQuick {
	return &peerpb.ExecuteQuick{
		Permit:     &peerpb.Permit{Id: "p" + id, Team: "a", TeamEpoch: 3, Sequence: 10, Partition: string(group), PartitionEpoch: uint64(epoch)},
		RequestId:  id,
		Attempt:    1,
		Service:    "quotes",
		DeadlineMs: deadline.Milliseconds(),
	}
}

func (o *Owner) executeCall(call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
	request := &peerpb.Request{Body: &peerpb.Request_ExecuteQuick{ExecuteQuick: call}}
	return o.Serve(context.Background(), request).GetExecuteQuick()
}

func (o *Owner) queryUsage(minSequence uint64) *peerpb.UsageReply {
	return o.Serve(context.Background(), &peerpb.Request{Body: &peerpb.Request_UsageQuery{UsageQuery: &peerpb.UsageQuery{
		Team: "a", Partition: string(group), TeamEpoch: 3, MinSequence: minSequence,
	}}}).GetUsage()
}

func TestRunnerConcurrencyStaysWithinSlots(t *testing.T) {
	runOwner(t, 3, func(t *testing.T, e *testEnv, o *Owner) {
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				reply := o.executeCall(newCall(fmt.Sprint(i), 5*time.Second))
				assert.Equal(t, string(model.OutcomeDone), reply.GetOutcome())
				assert.Equal(t, "ok", string(reply.GetAnswer().GetBody()))
			})
		}
		all.Wait()
		assert.Equal(t, 8, e.maxBusy)
		assert.Len(t, e.sentRequests(), 200)
		time.Sleep(time.Second)
		assert.Len(t, e.released(), 200, "each permit is released once")
	})
}

func TestPreviousOwnerSendsNoRequests(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		release := make(chan struct{})
		e.set(func() {
			e.serve = func(context.Context, string) (model.Answer, error) { <-release; return model.Answer{Status: 200}, nil }
		})
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() { o.executeCall(newCall(fmt.Sprint(i), time.Minute)) })
		}
		synctest.Wait()
		all.Go(func() {
			reply := o.executeCall(newCall("late", time.Minute)) // queued while the lease is valid
			assert.Equal(t, string(model.OutcomeNotRun), reply.GetOutcome())
		})
		synctest.Wait()
		e.set(func() { e.leaseLost = true })
		close(release)
		all.Wait()
		assert.Len(t, e.sentRequests(), 8)
	})
}

func TestRefusedRequestGoesToAnotherRunner(t *testing.T) {
	runOwner(t, 2, func(t *testing.T, e *testEnv, o *Owner) {
		e.set(func() {
			e.serve = func(_ context.Context, address string) (model.Answer, error) {
				if address == "r0" {
					return model.Answer{}, port.NotStarted.New("busy")
				}
				return model.Answer{Status: 200}, nil
			}
		})
		for i := range 20 {
			assert.Equal(t, string(model.OutcomeDone), o.executeCall(newCall(fmt.Sprint(i), time.Second)).GetOutcome())
		}
		e.set(func() {
			e.sent = nil
			e.serve = func(context.Context, string) (model.Answer, error) {
				return model.Answer{}, port.NotStarted.New("busy")
			}
		})
		once := newCall("once", time.Second)
		once.NonIdempotent = true
		assert.Equal(t, string(model.OutcomeNotRun), o.executeCall(once).GetOutcome())
		assert.Len(t, e.sentRequests(), 1, "a non-idempotent request is sent once")
	})
}

func TestUnknownOutcomeKeepsPermitAndSlot(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		e.set(func() {
			e.serve = func(context.Context, string) (model.Answer, error) {
				return model.Answer{}, fmt.Errorf("connection reset")
			}
		})
		assert.Equal(t, string(model.OutcomeUnknown), o.executeCall(newCall("1", time.Second)).GetOutcome())
		assert.Len(t, o.queryUsage(0).GetHeld(), 1)
		assert.Equal(t, int64(7), o.Summary().GetFree().GetSlots())
		time.Sleep(2 * time.Second)
		assert.Empty(t, o.queryUsage(0).GetHeld())
		assert.Equal(t, []string{"p1"}, e.released())
		assert.Equal(t, int64(8), o.Summary().GetFree().GetSlots())
	})
}

func TestRequestsAreNotRunWithDomainOutOrStaleConfig(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		e.set(func() { e.domainsOut["d0"] = true })
		start := time.Now()
		reply := o.executeCall(newCall("out", time.Second))
		assert.Zero(t, time.Since(start), "the request waited for the next update of the runners")
		assert.Equal(t, string(model.OutcomeNotRun), reply.GetOutcome())
		assert.Equal(t, peerpb.Refusal_DOMAIN_OUT, reply.GetRefusal().GetReason())
		e.set(func() { e.domainsOut["d0"] = false; e.stale = true })
		reply = o.executeCall(newCall("stale", time.Second))
		assert.Equal(t, peerpb.Refusal_UNAVAILABLE, reply.GetRefusal().GetReason())
		assert.Empty(t, e.sentRequests())
	})
}

// Requests must not wait until their deadline in a group that cannot serve them:
// neither when the failure domain goes out while they are queued, nor when the
// only runner has refused them.
func TestRequestsDoNotWaitInUnservableGroup(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		e.set(func() {
			e.serve = func(context.Context, string) (model.Answer, error) {
				time.Sleep(time.Second)
				return model.Answer{Status: 200}, nil
			}
		})
		var all sync.WaitGroup
		for i := range 9 { // the ninth waits
			all.Go(func() { o.executeCall(newCall(fmt.Sprint(i), time.Minute)) })
		}
		synctest.Wait()
		e.set(func() { e.domainsOut["d0"] = true })
		start := time.Now()
		time.Sleep(2 * refreshInterval)
		assert.Zero(t, o.Summary().GetWaiting())
		all.Wait()
		assert.Len(t, e.sentRequests(), 8)
		assert.Equal(t, time.Second, time.Since(start).Round(100*time.Millisecond))
		e.set(func() {
			e.domainsOut["d0"] = false
			e.serve = func(context.Context, string) (model.Answer, error) {
				return model.Answer{}, port.NotStarted.New("busy")
			}
		})
		start = time.Now()
		reply := o.executeCall(newCall("refused", time.Minute))
		assert.Equal(t, peerpb.Refusal_UNAVAILABLE, reply.GetRefusal().GetReason(), "another group may be able to serve the request")
		assert.Zero(t, time.Since(start))
	})
}

func TestUsageIsUncertainDuringTakeoverGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEnv(2)
		o := New(group, epoch, e, Options{Runner: e})
		assert.Equal(t, int64(16), o.queryUsage(0).GetUncertain().GetSlots())
		assert.Equal(t, int64(8), o.Summary().GetFree().GetSlots(), "half is reserved for requests that the previous owner may have sent")
		time.Sleep(afterGrace)
		assert.True(t, o.queryUsage(0).GetCertain())
		assert.Equal(t, int64(16), o.Summary().GetFree().GetSlots())
	})
}

func TestFencedAndForeignPermitsAreRefused(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		require.Nil(t, o.queryUsage(11).GetRefusal())
		assert.Equal(t, peerpb.Refusal_STALE_EPOCH, o.executeCall(newCall("old", time.Second)).GetRefusal().GetReason())
		foreign := newCall("foreign", time.Second)
		foreign.Permit.PartitionEpoch++
		assert.Equal(t, peerpb.Refusal_STALE_EPOCH, o.executeCall(foreign).GetRefusal().GetReason())
		assert.Empty(t, e.sentRequests())
	})
}

func TestReleasesAreRetriedUntilAcknowledged(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		e.peers.SetLinkDown("team", "group", true) // the call is received, but its answer is lost
		o.executeCall(newCall("1", time.Second))
		time.Sleep(time.Second)
		assert.Greater(t, len(e.released()), 1)
		assert.Len(t, o.queryUsage(0).GetHeld(), 1, "held until acknowledged")
		e.peers.SetLinkDown("team", "group", false)
		time.Sleep(3 * time.Second)
		assert.Empty(t, o.queryUsage(0).GetHeld())
	})
}

func TestDrainFinishesQueuedAndRunningRequests(t *testing.T) {
	runOwner(t, 1, func(t *testing.T, e *testEnv, o *Owner) {
		var all sync.WaitGroup
		for i := range 30 { // more than the slots: some wait in the queue
			all.Go(func() {
				assert.Equal(t, string(model.OutcomeDone), o.executeCall(newCall(fmt.Sprint(i), time.Second)).GetOutcome())
			})
		}
		synctest.Wait()
		o.Drain(context.Background())
		assert.Len(t, e.released(), 30)
		assert.Equal(t, peerpb.Refusal_NOT_OWNER, o.executeCall(newCall("new", time.Second)).GetRefusal().GetReason())
		all.Wait()
	})
}

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
	core "github.com/balsamhitch/balsamhitch/internal/core/targets"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

const (
	group   = model.PartitionID("targets/quotes/g")
	epoch   = model.Epoch(7)
	settled = core.DefaultTakeoverGrace + time.Millisecond
)

// world is the environment of one owner and the runners that it calls.
type world struct {
	clock port.Clock
	peers *porttest.Peers

	mu      sync.Mutex
	mayNot  bool
	stale   bool
	out     map[model.FailureDomain]bool
	vms     []model.VM
	busy    map[string]int
	most    int
	sent    []string // "request@address"
	release []string
	serve   func(ctx context.Context, address string) (model.Answer, error)
}

func newWorld(runners int) *world {
	w := &world{
		clock: porttest.NewClock(nil, time.Hour, 0),
		peers: porttest.NewPeers(),
		out:   map[model.FailureDomain]bool{},
		busy:  map[string]int{},
		serve: func(context.Context, string) (model.Answer, error) {
			time.Sleep(10 * time.Millisecond)
			return model.Answer{Status: 200, Body: []byte("ok")}, nil
		},
	}
	for i := range runners {
		name := fmt.Sprint("r", i)
		w.vms = append(w.vms, model.VM{
			ID: model.VMID(name), Address: name, Role: model.RoleRunner, Service: "quotes", Group: "g",
			FailureDomain: model.FailureDomain(fmt.Sprint("d", i)), Capacity: model.Resources{Slots: 8}, Connections: 64,
		})
	}
	w.peers.Attach("team", w)
	return w
}

// Serve is the team's owner, which takes released permits.
func (w *world) Serve(_ context.Context, request *peerpb.Request) *peerpb.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.release = append(w.release, request.GetReleasePermits().GetQuick()...)
	return host.Ack(nil)
}

// Do is the runners.
func (w *world) Do(ctx context.Context, address string, request model.Request, _ int) (model.Answer, error) {
	w.mu.Lock()
	w.sent = append(w.sent, string(request.ID)+"@"+address)
	w.busy[address]++
	w.most = max(w.most, w.busy[address])
	serve := w.serve
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy[address]--
	}()
	return serve(ctx, address)
}

func (w *world) Owner(model.PartitionID) (string, model.Epoch, bool) { return "team", 3, true }
func (w *world) MayAct(model.PartitionID, model.Epoch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.mayNot
}
func (w *world) Config() host.Config { return w }
func (w *world) ConfigFresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stale
}
func (w *world) Summaries(model.PartitionKind) []*peerpb.PartitionSummary { return nil }
func (w *world) ActUntil(model.PartitionID, model.Epoch) (time.Duration, bool) {
	return w.clock.Now() + time.Hour, !w.mayNot
}
func (w *world) Demands() []*peerpb.TeamDemand                             { return nil }
func (w *world) Peer() port.Peer                                           { return w.peers.Client("group", nil) }
func (w *world) Clock() port.Clock                                         { return w.clock }
func (w *world) Revision() uint64                                          { return 1 }
func (w *world) Template(model.TeamID) (t model.WorkspaceTemplate, k bool) { return }
func (w *world) Teams() []model.TeamID                                     { return nil }
func (w *world) DomainOut(d model.FailureDomain) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out[d]
}

func (w *world) VMs() []model.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

// sends returns what the runners got.
func (w *world) sends() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.sent)
}

// released returns what the team's owner got back.
func (w *world) released() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.release)
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// run gives the test a settled owner in a bubble with its own time.
func run(t *testing.T, runners int, test func(t *testing.T, w *world, o *Owner)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(runners)
		o := New(group, epoch, w, Options{Runner: w})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { o.Run(ctx); close(done) }()
		time.Sleep(settled)
		test(t, w, o)
		require.NoError(t, o.Check())
		time.Sleep(time.Second) // releases end
		cancel()
		<-done
	})
}

func call(id string, deadline time.Duration) *peerpb.ExecuteQuick {
	return &peerpb.ExecuteQuick{
		Permit:     &peerpb.Permit{Id: "p" + id, Team: "a", TeamEpoch: 3, Sequence: 10, Partition: string(group), PartitionEpoch: uint64(epoch)},
		RequestId:  id,
		Attempt:    1,
		Service:    "quotes",
		DeadlineMs: deadline.Milliseconds(),
	}
}

func (o *Owner) do(call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
	request := &peerpb.Request{Body: &peerpb.Request_ExecuteQuick{ExecuteQuick: call}}
	return o.Serve(context.Background(), request).GetExecuteQuick()
}

func (o *Owner) ask(floor uint64) *peerpb.UsageReply {
	return o.Serve(context.Background(), &peerpb.Request{Body: &peerpb.Request_UsageQuery{UsageQuery: &peerpb.UsageQuery{
		Team: "a", Partition: string(group), TeamEpoch: 3, MinSequence: floor,
	}}}).GetUsage()
}

func TestRunnerConcurrencyStaysWithinSlots(t *testing.T) {
	run(t, 3, func(t *testing.T, w *world, o *Owner) {
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				reply := o.do(call(fmt.Sprint(i), 5*time.Second))
				assert.Equal(t, string(model.OutcomeDone), reply.GetOutcome())
				assert.Equal(t, "ok", string(reply.GetAnswer().GetBody()))
			})
		}
		all.Wait()
		assert.Equal(t, 8, w.most)
		assert.Len(t, w.sends(), 200)
		time.Sleep(time.Second)
		assert.Len(t, w.released(), 200, "each permit is given back once")
	})
}

func TestPreviousOwnerSendsNoRequests(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		release := make(chan struct{})
		w.set(func() {
			w.serve = func(context.Context, string) (model.Answer, error) { <-release; return model.Answer{Status: 200}, nil }
		})
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() { o.do(call(fmt.Sprint(i), time.Minute)) })
		}
		synctest.Wait()
		all.Go(func() {
			reply := o.do(call("late", time.Minute)) // queued while the lease runs
			assert.Equal(t, string(model.OutcomeNotRun), reply.GetOutcome())
		})
		synctest.Wait()
		w.set(func() { w.mayNot = true })
		close(release)
		all.Wait()
		assert.Len(t, w.sends(), 8)
	})
}

func TestRefusedRequestGoesToAnotherRunner(t *testing.T) {
	run(t, 2, func(t *testing.T, w *world, o *Owner) {
		w.set(func() {
			w.serve = func(_ context.Context, address string) (model.Answer, error) {
				if address == "r0" {
					return model.Answer{}, port.NotStarted.New("busy")
				}
				return model.Answer{Status: 200}, nil
			}
		})
		for i := range 20 {
			assert.Equal(t, string(model.OutcomeDone), o.do(call(fmt.Sprint(i), time.Second)).GetOutcome())
		}
		w.set(func() {
			w.sent = nil
			w.serve = func(context.Context, string) (model.Answer, error) {
				return model.Answer{}, port.NotStarted.New("busy")
			}
		})
		once := call("once", time.Second)
		once.NonIdempotent = true
		assert.Equal(t, string(model.OutcomeNotRun), o.do(once).GetOutcome())
		assert.Len(t, w.sends(), 1, "a non-idempotent request is sent once")
	})
}

func TestUnknownOutcomeKeepsPermitAndSlot(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		w.set(func() {
			w.serve = func(context.Context, string) (model.Answer, error) {
				return model.Answer{}, fmt.Errorf("connection reset")
			}
		})
		assert.Equal(t, string(model.OutcomeUnknown), o.do(call("1", time.Second)).GetOutcome())
		assert.Len(t, o.ask(0).GetHeld(), 1)
		assert.Equal(t, int64(7), o.Summary().GetFree().GetSlots())
		time.Sleep(2 * time.Second)
		assert.Empty(t, o.ask(0).GetHeld())
		assert.Equal(t, []string{"p1"}, w.released())
		assert.Equal(t, int64(8), o.Summary().GetFree().GetSlots())
	})
}

func TestRequestsAreNotRunWithDomainOutOrStaleConfig(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		w.set(func() { w.out["d0"] = true })
		start := time.Now()
		reply := o.do(call("out", time.Second))
		assert.Zero(t, time.Since(start), "it does not even wait for the next look at the runners")
		assert.Equal(t, string(model.OutcomeNotRun), reply.GetOutcome())
		assert.Equal(t, peerpb.Refusal_DOMAIN_OUT, reply.GetRefusal().GetReason())
		w.set(func() { w.out["d0"] = false; w.stale = true })
		reply = o.do(call("stale", time.Second))
		assert.Equal(t, peerpb.Refusal_UNAVAILABLE, reply.GetRefusal().GetReason())
		assert.Empty(t, w.sends())
	})
}

// TestNothingWaitsForRunnersThatGetNoWork guards requests that would wait for
// their whole deadline in a group that cannot serve them.
func TestRequestsDoNotWaitInUnservableGroup(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		w.set(func() {
			w.serve = func(context.Context, string) (model.Answer, error) {
				time.Sleep(time.Second)
				return model.Answer{Status: 200}, nil
			}
		})
		var all sync.WaitGroup
		for i := range 9 { // the ninth waits
			all.Go(func() { o.do(call(fmt.Sprint(i), time.Minute)) })
		}
		synctest.Wait()
		w.set(func() { w.out["d0"] = true })
		start := time.Now()
		time.Sleep(2 * tickEvery)
		assert.Zero(t, o.Summary().GetWaiting())
		all.Wait()
		assert.Len(t, w.sends(), 8)
		assert.Equal(t, time.Second, time.Since(start).Round(100*time.Millisecond))
		w.set(func() {
			w.out["d0"] = false
			w.serve = func(context.Context, string) (model.Answer, error) {
				return model.Answer{}, port.NotStarted.New("busy")
			}
		})
		start = time.Now()
		reply := o.do(call("refused", time.Minute))
		assert.Equal(t, peerpb.Refusal_UNAVAILABLE, reply.GetRefusal().GetReason(), "another group may do better")
		assert.Zero(t, time.Since(start))
	})
}

func TestUsageIsUncertainDuringTakeoverGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		o := New(group, epoch, w, Options{Runner: w})
		assert.Equal(t, int64(16), o.ask(0).GetUncertain().GetSlots())
		assert.Equal(t, int64(8), o.Summary().GetFree().GetSlots(), "half is left to what the former holder sent")
		time.Sleep(settled)
		assert.True(t, o.ask(0).GetCertain())
		assert.Equal(t, int64(16), o.Summary().GetFree().GetSlots())
	})
}

func TestFencedAndForeignPermitsAreRefused(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		require.Nil(t, o.ask(11).GetRefusal())
		assert.Equal(t, peerpb.Refusal_STALE_EPOCH, o.do(call("old", time.Second)).GetRefusal().GetReason())
		foreign := call("foreign", time.Second)
		foreign.Permit.PartitionEpoch++
		assert.Equal(t, peerpb.Refusal_STALE_EPOCH, o.do(foreign).GetRefusal().GetReason())
		assert.Empty(t, w.sends())
	})
}

func TestReleasesAreRetriedUntilAcknowledged(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		w.peers.SetLinkDown("team", "group", true) // taken, but the answer is lost
		o.do(call("1", time.Second))
		time.Sleep(time.Second)
		assert.Greater(t, len(w.released()), 1)
		assert.Len(t, o.ask(0).GetHeld(), 1, "held until acknowledged")
		w.peers.SetLinkDown("team", "group", false)
		time.Sleep(3 * time.Second)
		assert.Empty(t, o.ask(0).GetHeld())
	})
}

func TestDrainFinishesQueuedAndRunningRequests(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world, o *Owner) {
		var all sync.WaitGroup
		for i := range 30 { // more than the slots: some wait in the queue
			all.Go(func() {
				assert.Equal(t, string(model.OutcomeDone), o.do(call(fmt.Sprint(i), time.Second)).GetOutcome())
			})
		}
		synctest.Wait()
		o.Drain(context.Background())
		assert.Len(t, w.released(), 30)
		assert.Equal(t, peerpb.Refusal_NOT_OWNER, o.do(call("new", time.Second)).GetRefusal().GetReason())
		all.Wait()
	})
}

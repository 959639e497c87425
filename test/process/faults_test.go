package process

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/caller"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/proctest"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
)

const (
	warmUp = time.Second
	// outage is longer than a lease and shorter than the callers' patience.
	outage = 4 * time.Second
)

func TestKilledEntryVMLosesNoWork(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 30)
	f.submit("gang", model.WorkGang, 4)
	time.Sleep(warmUp)
	victim := f.ownerOf("quotes")
	victim.Kill()
	f.replace(victim)
	f.submit("batch-2", model.WorkBatch, 10)
	time.Sleep(outage)
	f.judge()
}

func TestResumedSchedulerDoesNotActAsOwner(t *testing.T) {
	f := start(t, false)
	// The team's upper limit is 16 of these tasks, which outlast the takeover.
	f.submitLasting("full", model.WorkBatch, 16, outage+2*warmUp)
	time.Sleep(warmUp)
	sched := f.ownerOf("layouts").Sched
	sched.Pause()
	f.submit("batch-2", model.WorkBatch, 20)
	time.Sleep(outage)
	sched.Resume()
	time.Sleep(warmUp)
	f.judge()
}

func TestLogOutageKeepsServing(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 30)
	time.Sleep(warmUp)
	require.NoError(t, f.cluster.Platform.SetFaults(cell.TargetLog, fault.Faults{Down: true}))
	time.Sleep(outage)
	require.NoError(t, f.cluster.Platform.SetFaults(cell.TargetLog, fault.Faults{}))
	time.Sleep(warmUp)
	f.judge()
}

func TestLostAnswersCauseNoDuplicateRuns(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 10)
	time.Sleep(warmUp)
	f.eachTarget(fault.Faults{LoseAnswers: -1})
	f.submit("batch-2", model.WorkBatch, 20)
	time.Sleep(warmUp)
	f.eachTarget(fault.Faults{})
	require.NoError(t, f.cluster.Platform.SetFaults(cell.TargetLog, fault.Faults{LoseAnswers: 5}))
	f.submit("batch-3", model.WorkBatch, 20)
	time.Sleep(warmUp)
	f.judge()
}

// Requests that run on a runner while the owner of their team dies, with the
// entry that holds their connections, are sent again by their callers.
func TestNonIdempotentRequestsRunOnceAcrossOwnerCrash(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 10)
	time.Sleep(warmUp)
	victim := f.ownerOf("quotes")
	others := f.fleet.KeepOnly(victim.URL())
	for n := range 12 {
		f.wg.Go(func() {
			f.caller.Quick(t.Context(), caller.Quick{
				Call: fmt.Sprint("long-", n), Credential: f.keys["quotes"], Service: "quotes", Deadline: 2 * deadline,
				NonIdempotent: true, RunMS: 1500,
			})
		})
	}
	f.awaitEvents(12, func(e history.Event) bool {
		return e.Kind == history.QuickStart && strings.HasPrefix(e.Call, "long-")
	})
	f.fleet.Add(others...)
	victim.Kill()
	f.replace(victim)
	f.judge()
}

// The paused entry finds requests with a withdrawn key in its socket buffers
// when it goes on with the configuration that it had. Its way to the log is
// cut, since it would else find the withdrawal in its buffers too.
func TestResumedEntryRejectsWithdrawnKey(t *testing.T) {
	f := start(t, true)
	f.submit("batch", model.WorkBatch, 5)
	withdrawn, err := f.operator.IssueKey("quotes")
	require.NoError(t, err)
	time.Sleep(warmUp)
	paused := f.cluster.VMs()[0]
	f.fleet.Remove(paused.URL())
	paused.Entry.Pause()
	paused.LogRelay.Set(proctest.CutBoth)
	f.operator.NoWait = true // the scheduler beside it is cut off too
	require.NoError(t, f.operator.WithdrawKey(withdrawn))
	time.Sleep(history.DefaultGrace + warmUp)
	late := caller.New(caller.NewFleet(paused.URL()), f.recorder)
	for n := range 20 {
		f.wg.Go(func() {
			late.Quick(t.Context(), caller.Quick{
				Call: fmt.Sprint("withdrawn-", n), Credential: withdrawn, Service: "quotes", Deadline: deadline,
			})
		})
	}
	time.Sleep(warmUp)
	paused.Entry.Resume()
	time.Sleep(warmUp)
	paused.LogRelay.Set(proctest.CutNone)
	f.judge(history.KeyRequired)
}

func TestMemberCutOffFromLogHonorsWithdrawals(t *testing.T) {
	f := start(t, true)
	f.submit("batch", model.WorkBatch, 60)
	time.Sleep(warmUp)
	cut := f.ownerOf("quotes")
	cut.LogRelay.Set(proctest.CutBoth)
	f.operator.NoWait = true // the member that is cut off cannot follow
	withdrawn, err := f.operator.IssueKey("quotes")
	require.NoError(t, err)
	require.NoError(t, f.operator.WithdrawKey(withdrawn))
	require.NoError(t, f.operator.TakeDomainOut("marrakech"))
	time.Sleep(history.DefaultGrace + warmUp)
	for n := range 20 {
		f.caller.Quick(t.Context(), caller.Quick{
			Call: fmt.Sprint("withdrawn-", n), Credential: withdrawn, Service: "quotes", Deadline: deadline,
		})
	}
	cut.LogRelay.Set(proctest.CutNone)
	require.NoError(t, f.operator.ReturnDomain("marrakech"))
	f.judge(history.KeyRequired, history.NoStartInDomainOut)
}

func TestGracefulShutdownBreaksNoConnection(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 30)
	time.Sleep(warmUp)
	for _, vm := range f.cluster.VMs() {
		vm.Entry.Terminate()
		assert.NoError(t, vm.Entry.ExitError())
		vm.Sched.Terminate()
		assert.NoError(t, vm.Sched.ExitError())
		f.replace(vm)
	}
	events := f.judge()
	cutOff := count(events, func(e history.Event) bool {
		return e.Kind == history.Abandoned && strings.HasPrefix(e.Detail, string(caller.ErrConnectionBroken))
	})
	assert.Zero(t, cutOff, "connections broken during graceful shutdowns")
}

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
	// outageDuration is longer than a lease and shorter than callers wait for an
	// answer.
	outageDuration = 4 * time.Second
)

func TestKilledEntryVMLosesNoWork(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 30)
	f.submit("gang", model.WorkGang, 4)
	time.Sleep(warmUp)
	victim := f.awaitOwner("quotes")
	victim.Kill()
	f.replace(victim)
	f.submit("batch-2", model.WorkBatch, 10)
	time.Sleep(outageDuration)
	f.stopAndCheck()
}

func TestResumedSchedulerDoesNotActAsOwner(t *testing.T) {
	f := startCell(t, false)
	// The team's upper limit fits 16 of these tasks, which run longer than the
	// takeover.
	f.submitWithRunTime("full", model.WorkBatch, 16, outageDuration+2*warmUp)
	time.Sleep(warmUp)
	sched := f.awaitOwner("layouts").Sched
	sched.Pause()
	f.submit("batch-2", model.WorkBatch, 20)
	time.Sleep(outageDuration)
	sched.Resume()
	time.Sleep(warmUp)
	f.stopAndCheck()
}

func TestLogOutageKeepsServing(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 30)
	time.Sleep(warmUp)
	require.NoError(t, f.cluster.Platform.SetFaults(cell.TargetLog, fault.Faults{Down: true}))
	time.Sleep(outageDuration)
	require.NoError(t, f.cluster.Platform.SetFaults(cell.TargetLog, fault.Faults{}))
	time.Sleep(warmUp)
	f.stopAndCheck()
}

func TestLostAnswersCauseNoDuplicateRuns(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 10)
	time.Sleep(warmUp)
	f.setTargetFaults(fault.Faults{LoseAnswers: -1})
	f.submit("batch-2", model.WorkBatch, 20)
	time.Sleep(warmUp)
	f.setTargetFaults(fault.Faults{})
	require.NoError(t, f.cluster.Platform.SetFaults(cell.TargetLog, fault.Faults{LoseAnswers: 5}))
	f.submit("batch-3", model.WorkBatch, 20)
	time.Sleep(warmUp)
	f.stopAndCheck()
}

// The VM of the team's owner, which also runs the entry that holds the callers'
// connections, is killed while requests run on a runner. The callers send the
// requests again, which must not run twice.
func TestNonIdempotentRequestsRunOnceAcrossOwnerCrash(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 10)
	time.Sleep(warmUp)
	victim := f.awaitOwner("quotes")
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
	f.stopAndCheck()
}

// A resumed entry still has its old configuration and finds requests with a
// meanwhile withdrawn key in its socket buffers. It must reject them. Its
// connection to the log is cut, since the withdrawal would otherwise be in its
// buffers as well.
func TestResumedEntryRejectsWithdrawnKey(t *testing.T) {
	f := startCell(t, true)
	f.submit("batch", model.WorkBatch, 5)
	withdrawn, err := f.operator.IssueKey("quotes")
	require.NoError(t, err)
	time.Sleep(warmUp)
	paused := f.cluster.VMs()[0]
	f.fleet.Remove(paused.URL())
	paused.Entry.Pause()
	paused.LogRelay.Set(proctest.CutBoth)
	f.operator.NoWait = true // the scheduler on the same VM is cut off from the log too
	require.NoError(t, f.operator.WithdrawKey(withdrawn))
	time.Sleep(history.DefaultGrace + warmUp)
	direct := caller.New(caller.NewBalancer(paused.URL()), f.recorder)
	for n := range 20 {
		f.wg.Go(func() {
			direct.Quick(t.Context(), caller.Quick{
				Call: fmt.Sprint("withdrawn-", n), Credential: withdrawn, Service: "quotes", Deadline: deadline,
			})
		})
	}
	time.Sleep(warmUp)
	paused.Entry.Resume()
	time.Sleep(warmUp)
	paused.LogRelay.Set(proctest.CutNone)
	f.stopAndCheck(history.KeyRequired)
}

func TestMemberCutOffFromLogHonorsWithdrawals(t *testing.T) {
	f := startCell(t, true)
	f.submit("batch", model.WorkBatch, 60)
	time.Sleep(warmUp)
	isolated := f.awaitOwner("quotes")
	isolated.LogRelay.Set(proctest.CutBoth)
	f.operator.NoWait = true // the member that is cut off cannot apply the changes
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
	isolated.LogRelay.Set(proctest.CutNone)
	require.NoError(t, f.operator.ReturnDomain("marrakech"))
	f.stopAndCheck(history.KeyRequired, history.NoStartInDomainOut)
}

func TestGracefulShutdownBreaksNoConnection(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 30)
	time.Sleep(warmUp)
	for _, vm := range f.cluster.VMs() {
		vm.Entry.Terminate()
		assert.NoError(t, vm.Entry.ExitError())
		vm.Sched.Terminate()
		assert.NoError(t, vm.Sched.ExitError())
		f.replace(vm)
	}
	events := f.stopAndCheck()
	broken := count(events, func(e history.Event) bool {
		return e.Kind == history.Abandoned && strings.HasPrefix(e.Detail, string(caller.ConnectionBroken))
	})
	assert.Zero(t, broken, "connections broken during graceful shutdowns")
}

package process

import (
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

func TestKilledEntryVMLosesNothing(t *testing.T) {
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

func TestPausedSchedulerDoesNotActOnItsReturn(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 40)
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

func TestLostAnswersAreNotRepeatedBlindly(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 30)
	for range 4 {
		for _, target := range []string{cell.TargetLog, "worker-0", "worker-3", "quotes-runner-0", "quotes-runner-3"} {
			require.NoError(t, f.cluster.Platform.SetFaults(target, fault.Faults{LoseAnswers: 3}))
		}
		time.Sleep(warmUp)
	}
	f.judge()
}

func TestMemberCutOffFromTheLogObeysWithdrawals(t *testing.T) {
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
			Call: "withdrawn-" + string(rune('a'+n)), Credential: withdrawn, Service: "quotes", Deadline: deadline,
		})
	}
	cut.LogRelay.Set(proctest.CutNone)
	require.NoError(t, f.operator.ReturnDomain("marrakech"))
	f.judge(history.KeysOnly, history.DomainStaysOut)
}

func TestGracefulShutdownCutsOffNoRequest(t *testing.T) {
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
		return e.Kind == history.Abandoned && strings.HasPrefix(e.Detail, string(caller.ErrBroken))
	})
	assert.Zero(t, cutOff, "connections broken during graceful shutdowns")
}

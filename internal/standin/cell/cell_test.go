package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/adapter/logclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/runnerclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/vmclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/workerclient"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/runner"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
)

func startCell(t *testing.T, change func(*Config)) *Cell {
	t.Helper()
	config := DefaultConfig()
	config.Workers, config.VMListLagMS = 3, 0
	config.Services[0].Runners = 3
	if change != nil {
		change(&config)
	}
	c, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func (c *Cell) vm(t *testing.T, id model.VMID) model.VM {
	t.Helper()
	for _, vm := range c.List.VMs() {
		if vm.ID == id {
			return vm
		}
	}
	t.Fatalf("no VM %s", id)
	return model.VM{}
}

func TestLogKeepsOrderAndTruncates(t *testing.T) {
	c := startCell(t, func(config *Config) { config.LogRetention = 3 })
	log := logclient.New(c.URLs.Log)
	first, err := log.Append(t.Context(), "journal", [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	assert.Zero(t, first)
	read := make(chan port.Batch)
	go func() {
		batch, _ := log.Read(context.Background(), "journal", 2, 10, time.Minute)
		read <- batch
	}()
	_, err = log.Append(t.Context(), "journal", [][]byte{[]byte("c"), []byte("d")})
	require.NoError(t, err)
	batch := <-read
	require.NotEmpty(t, batch.Records)
	assert.Equal(t, port.Record{Offset: 2, Data: []byte("c")}, batch.Records[0])
	batch, err = log.Read(t.Context(), "journal", 0, 10, 0)
	assert.True(t, port.LogTruncated.Has(err))
	assert.Equal(t, port.Batch{Earliest: 1, Next: 4}, batch)
}

func TestLogLimitsRateOfAppends(t *testing.T) {
	c := startCell(t, func(config *Config) { config.LogAppendsPerSecond = 1 })
	log := logclient.New(c.URLs.Log)
	_, err := log.Append(t.Context(), "journal", [][]byte{nil})
	require.NoError(t, err)
	_, err = log.Append(t.Context(), "journal", [][]byte{nil})
	assert.True(t, port.NotStarted.Has(err))
}

// A call whose answer is lost has taken effect, so the client must not report it
// as not started.
func TestLostAnswerIsUnknownOutcomeAndRefusalIsNotStarted(t *testing.T) {
	c := startCell(t, nil)
	log := logclient.New(c.URLs.Log)
	require.NoError(t, c.SetFaults(TargetLog, fault.Faults{LoseAnswers: 1}))
	_, err := log.Append(t.Context(), "journal", [][]byte{[]byte("a")})
	require.Error(t, err)
	assert.False(t, port.NotStarted.Has(err))
	require.NoError(t, c.SetFaults(TargetLog, fault.Faults{Refuse: true}))
	_, err = log.Append(t.Context(), "journal", [][]byte{[]byte("b")})
	assert.True(t, port.NotStarted.Has(err))
	require.NoError(t, c.SetFaults(TargetLog, fault.Faults{Down: true}))
	_, err = log.Append(t.Context(), "journal", [][]byte{[]byte("c")})
	require.Error(t, err)
	assert.False(t, port.NotStarted.Has(err), "a dropped connection has an unknown outcome")
	require.NoError(t, c.SetFaults(TargetLog, fault.Faults{}))
	batch, err := log.Read(t.Context(), "journal", 0, 10, 0)
	require.NoError(t, err)
	assert.Equal(t, []port.Record{{Offset: 0, Data: []byte("a")}}, batch.Records)
}

func TestWorkerOverHTTP(t *testing.T) {
	c := startCell(t, nil)
	vm, client := c.vm(t, "worker-0"), workerclient.New()
	report, err := client.Heartbeat(t.Context(), vm.Address, port.Heartbeat{Epoch: 3})
	require.NoError(t, err)
	start := port.StartTask{
		Task: "j/0", Attempt: 1, Job: "j", Team: "layouts", Size: model.Resources{MilliCPU: 1000}, Epoch: 3,
		StartBefore: report.Clock + time.Minute, LeaseUntil: report.Clock + time.Minute, Payload: []byte(`{"id":"call"}`),
	}
	require.NoError(t, c.SetFaults("worker-0", fault.Faults{LoseAnswers: 1}))
	err = client.Start(t.Context(), vm.Address, start)
	require.Error(t, err)
	assert.False(t, port.NotStarted.Has(err))
	report, err = client.Heartbeat(t.Context(), vm.Address, port.Heartbeat{Epoch: 3})
	require.NoError(t, err)
	require.Len(t, report.Tasks, 1)
	assert.Equal(t, port.TaskRunning, report.Tasks[0].State)
	start.Epoch = 2
	assert.True(t, port.NotStarted.Has(client.Start(t.Context(), vm.Address, start)))
	require.NoError(t, client.Act(t.Context(), vm.Address, port.TaskAttempt{Task: "j/0", Attempt: 1}, 3, port.ActionStop))
	events := c.History.Since(0)
	assert.Equal(t, history.TaskEnd, events[len(events)-1].Kind)
	assert.Equal(t, "call", events[len(events)-1].Call)
}

func TestRunnerAnswersEachRequestAndRefusesBeyondItsSlots(t *testing.T) {
	c := startCell(t, func(config *Config) { config.RunnerSlots = 2 })
	vm, client := c.vm(t, "quotes-runner-0"), runnerclient.New(64)
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed, refused := 0, 0
	for i := range 8 {
		wg.Go(func() {
			id := model.RequestID(fmt.Sprint("r", i))
			request := model.Request{ID: id, Team: "quotes", Body: []byte(`{"run_ms":300}`)}
			answer, err := client.Do(context.Background(), vm.Address, request, 1)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				assert.True(t, port.NotStarted.Has(err), "%v", err)
				refused++
				return
			}
			var reply runner.Reply
			assert.NoError(t, json.Unmarshal(answer.Body, &reply))
			assert.Equal(t, id, reply.Request)
			completed++
		})
	}
	wg.Wait()
	assert.Equal(t, 8, completed+refused)
	assert.GreaterOrEqual(t, completed, 2)
	assert.Positive(t, refused)
	assert.Empty(t, history.Check(c.History.Since(0), history.Options{}))
}

func TestRefusedConnectionIsNotStarted(t *testing.T) {
	client := runnerclient.New(1)
	_, err := client.Do(t.Context(), "127.0.0.1:1", model.Request{ID: "r"}, 1)
	assert.True(t, port.NotStarted.Has(err))
}

// A request whose deadline passes while it waits for a free connection has never
// been sent.
func TestWaitingForAConnectionIsNotStarted(t *testing.T) {
	c := startCell(t, nil)
	vm, client := c.vm(t, "quotes-runner-0"), runnerclient.New(1)
	require.NoError(t, c.SetFaults(string(vm.ID), fault.Faults{Hang: true}))
	first, cancelFirst := context.WithCancel(t.Context())
	firstErr := make(chan error)
	go func() {
		_, err := client.Do(first, vm.Address, model.Request{ID: "first"}, 1)
		firstErr <- err
	}()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := client.Do(ctx, vm.Address, model.Request{ID: "second"}, 1)
		return port.NotStarted.Has(err)
	}, time.Minute, time.Millisecond)
	cancelFirst()
	assert.False(t, port.NotStarted.Has(<-firstErr), "the first request was sent")
}

func TestVMListShowsLeavingAndGone(t *testing.T) {
	c := startCell(t, nil)
	post(t, c.URLs.Admin+PathVMState, vmlist.StateChange{ID: "worker-0", State: vmlist.Leaving})
	post(t, c.URLs.Admin+PathVMState, vmlist.StateChange{ID: "worker-1", State: vmlist.Gone})
	vms, err := vmclient.New(c.URLs.VMList).List(t.Context())
	require.NoError(t, err)
	states := make(map[model.VMID]bool)
	for _, vm := range vms {
		states[vm.ID] = vm.Leaving
	}
	assert.True(t, states["worker-0"])
	assert.NotContains(t, states, model.VMID("worker-1"))
	report, err := workerclient.New().Heartbeat(t.Context(), c.vm(t, "worker-0").Address, port.Heartbeat{})
	require.NoError(t, err)
	assert.True(t, report.Leaving)
}

func TestConfigReportsUnknownKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cell.toml")
	require.NoError(t, os.WriteFile(path, []byte("workers = 4\nwrokers_per_rack = 2\n"), 0o600))
	_, err := ReadConfig(path)
	require.Error(t, err)
	assert.Contains(t, err.Error(), "wrokers_per_rack")
}

// The example cells must have 100 VMs with distinct ids in three failure domains.
func TestExampleCellsHaveExpectedSizes(t *testing.T) {
	for _, user := range []string{"guild", "vestfjord"} {
		config, err := ReadConfig(filepath.Join("../../../examples", user, "cell.toml"))
		require.NoError(t, err)
		ids, domains := make(map[model.VMID]bool), make(map[model.FailureDomain]int)
		for _, vm := range append(config.workerVMs(), config.runnerVMs()...) {
			ids[vm.ID] = true
			domains[vm.FailureDomain]++
		}
		assert.Len(t, ids, 100, user)
		assert.Len(t, domains, 3, user)
	}
}

func post(t *testing.T, url string, in any) {
	t.Helper()
	data, err := json.Marshal(in)
	require.NoError(t, err)
	response, err := http.Post(url, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

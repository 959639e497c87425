// Package process tests the real programs under load and faults. The history
// checker verifies each run.
package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/caller"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/demo"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/proctest"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/worker"
)

var binaries string // directory with the built programs

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// binariesEnv is the environment variable with a directory of programs to test,
// such as ones built with the race detector. Without it TestMain builds them.
const binariesEnv = "BALSAM_BINARIES"

func buildAndRun(m *testing.M) int {
	if binaries = os.Getenv(binariesEnv); binaries != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "balsam-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

const (
	templates = `
[[template]]
team = "quotes"
kinds = ["quick"]
services = ["quotes"]
share = 1.0
max_queued = 1000
upper_limit = { slots = 32 }

[[template]]
team = "layouts"
kinds = ["batch", "gang"]
share = 1.0
max_queued = 1000
upper_limit = { processors = 64, memory = "256GiB" }
`
	shortRun     = 400 * time.Millisecond
	targets      = 6 // number of workers, and of runners
	deadline     = 5 * time.Second
	sendInterval = 20 * time.Millisecond
	// firstAnswerTimeout leaves time for the start on a busy machine.
	firstAnswerTimeout = time.Minute
	jobTimeout         = time.Minute
	outputLines        = 25
)

// fixture is a running cell under load.
type fixture struct {
	t        *testing.T
	cluster  *proctest.Cluster
	operator *demo.Operator
	recorder *history.Recorder
	balancer *caller.Balancer
	caller   *caller.Caller
	keys     map[model.TeamID]caller.Credential
	wg       sync.WaitGroup
	stop     context.CancelFunc
}

// startCell starts a cell with templates, keys and a steady load of quotes, and
// waits for the first answer. relayed puts relays between the entry VMs and the
// log service.
func startCell(t *testing.T, relayed bool) *fixture {
	t.Helper()
	config := cell.DefaultConfig()
	config.Workers, config.WorkersPerRack = targets, 2
	config.Services[0].Runners, config.RunnersPerGroup = targets, 2
	dir := t.TempDir()
	cluster, err := proctest.StartCluster(proctest.ClusterOptions{
		Binaries: binaries, Dir: dir, EntryVMs: 3, Cell: config, Relayed: relayed,
	})
	require.NoError(t, err)
	f := &fixture{
		t: t, cluster: cluster, recorder: &history.Recorder{}, balancer: caller.NewBalancer(),
		keys: make(map[model.TeamID]caller.Credential),
	}
	t.Cleanup(f.close)
	for _, vm := range cluster.VMs() {
		require.NoError(t, cluster.AwaitReady(vm))
		f.balancer.Add(vm.URL())
	}
	f.operator = demo.NewOperator(cluster, f.recorder, dir)
	f.caller = caller.New(f.balancer, f.recorder)
	require.NoError(t, f.operator.Apply("templates.toml", []byte(templates)))
	for _, team := range []model.TeamID{"quotes", "layouts"} {
		f.keys[team], err = f.operator.IssueKey(team)
		require.NoError(t, err)
	}
	f.startLoad()
	serving := proctest.Eventually(firstAnswerTimeout, func() bool {
		return count(f.recorder.Since(0), func(e history.Event) bool { return e.Outcome == model.OutcomeDone }) > 0
	})
	require.True(t, serving, "no quote was answered")
	return f
}

func (f *fixture) close() {
	if f.t.Failed() {
		f.t.Log(f.cluster.Processes.Dump(outputLines))
	}
	f.cluster.Close()
}

// startLoad sends quotes until stopAndCheck is called; every third is
// non-idempotent.
func (f *fixture) startLoad() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.wg.Go(func() {
		ticker := time.NewTicker(sendInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f.wg.Go(func() { f.quote(n) })
			}
		}
	})
}

func (f *fixture) quote(n int) {
	f.caller.Quick(context.Background(), caller.Quick{
		Call: fmt.Sprint("quote-", n), Credential: f.keys["quotes"], Service: "quotes", Deadline: deadline,
		NonIdempotent: n%3 == 0, RunMS: 5, ReplyBytes: 256,
	})
}

// submit submits a job of short tasks and waits for its end in the background.
func (f *fixture) submit(name string, kind model.WorkKind, tasks int) {
	f.submitWithRunTime(name, kind, tasks, shortRun)
}

func (f *fixture) submitWithRunTime(name string, kind model.WorkKind, tasks int, runTime time.Duration) {
	runMS := runTime.Milliseconds()
	job := caller.Job{
		Call: name, Credential: f.keys["layouts"], Kind: kind, Tasks: tasks, Processors: 4, Memory: "2GiB",
		ExpectedRun: time.Second, TaskPayload: worker.Payload{RunMS: &runMS},
	}
	f.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
		defer cancel()
		path, _ := f.caller.Submit(ctx, job)
		if path != "" {
			f.caller.Await(ctx, job, path)
		}
	})
}

// setTargetFaults sets the faults of all workers and runners.
func (f *fixture) setTargetFaults(faults fault.Faults) {
	f.t.Helper()
	for n := range targets {
		for _, vm := range []string{"worker-", "quotes-runner-"} {
			require.NoError(f.t, f.cluster.Platform.SetFaults(vm+strconv.Itoa(n), faults))
		}
	}
}

// awaitEvents waits until the stand-ins have recorded at least n events that
// match.
func (f *fixture) awaitEvents(n int, match func(history.Event) bool) {
	f.t.Helper()
	got := proctest.Eventually(deadline, func() bool {
		events, err := f.cluster.Platform.History()
		return err == nil && count(events, match) >= n
	})
	require.True(f.t, got, "too few matching events were recorded in time")
}

// awaitOwner waits until the team has an owner and returns the owner's VM.
func (f *fixture) awaitOwner(team model.TeamID) *proctest.EntryVM {
	f.t.Helper()
	var vm *proctest.EntryVM
	var err error
	owned := proctest.Eventually(deadline, func() bool {
		vm, err = f.cluster.TeamOwner(team)
		return err == nil
	})
	require.True(f.t, owned, "%v", err)
	return vm
}

// replace starts a new VM in place of vm and waits until it is ready.
func (f *fixture) replace(vm *proctest.EntryVM) {
	f.t.Helper()
	f.balancer.Remove(vm.URL())
	replacement, err := f.cluster.Replace(vm)
	require.NoError(f.t, err)
	require.NoError(f.t, f.cluster.AwaitReady(replacement))
	f.balancer.Add(replacement.URL())
}

// stopAndCheck stops the load, waits for all answers, checks the history and
// returns it. The test fails for each violation, if the history did not test one
// of the promises in always or tested, and unless most quotes were answered with
// success.
func (f *fixture) stopAndCheck(tested ...history.Promise) []history.Event {
	f.t.Helper()
	f.stop()
	f.wg.Wait()
	f.caller.Close()
	events, err := f.cluster.Platform.History()
	require.NoError(f.t, err)
	events = append(events, f.recorder.Since(0)...)
	report := history.Analyze(events, history.Options{})
	for _, violation := range report.Violations {
		f.t.Error(violation)
	}
	always := []history.Promise{history.NoOvercommit, history.SinglePlacement, history.UpperLimit, history.CompleteAnswer, history.AtMostOnce, history.NoLostWork}
	for _, promise := range append(always, tested...) {
		assert.Positive(f.t, report.Tested[promise], "promise was not tested: %s", promise)
	}
	f.requireServed(events)
	return events
}

// count returns the number of events that match.
func count(events []history.Event, match func(history.Event) bool) int {
	n := 0
	for _, e := range events {
		if match(e) {
			n++
		}
	}
	return n
}

// requireServed fails the test unless most quotes were answered with success, so
// that it cannot pass because nothing ran.
func (f *fixture) requireServed(events []history.Event) {
	f.t.Helper()
	quotes := func(kind history.Kind, outcome model.Outcome) int {
		return count(events, func(e history.Event) bool {
			return e.Kind == kind && e.Outcome == outcome && strings.HasPrefix(e.Call, "quote-") && (kind != history.Sent || e.Send == 0)
		})
	}
	sent, done := quotes(history.Sent, ""), quotes(history.Answered, model.OutcomeDone)
	var reasons strings.Builder
	demo.WriteReasons(&reasons, events)
	f.t.Logf("quotes: sent %d, done %d, not run %d, unknown %d, longest wait %s\n%s", sent, done,
		quotes(history.Answered, model.OutcomeNotRun), quotes(history.Answered, model.OutcomeUnknown), longestWait(events), &reasons)
	assert.Greater(f.t, done, sent*2/3)
}

// longestWait returns the longest time from a call's first send to its successful
// answer.
func longestWait(events []history.Event) time.Duration {
	sent := make(map[string]time.Time)
	longest := time.Duration(0)
	for _, e := range events {
		switch {
		case e.Kind == history.Sent && e.Send == 0:
			sent[e.Call] = e.At
		case e.Kind == history.Answered && e.Outcome == model.OutcomeDone:
			longest = max(longest, e.At.Sub(sent[e.Call]))
		}
	}
	return longest
}

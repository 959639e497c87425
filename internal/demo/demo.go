// Package demo runs an example workload, that of the Saddle Guild, on a small
// cell of real processes while operators change its configuration and a VM
// fails. It reports the outcomes of the work and whether each promise was kept.
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/caller"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/proctest"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
)

// Error is the class of errors of this package.
var Error = errs.Class("demo")

//go:embed templates/guild.toml
var guildTemplates []byte

//go:embed templates/guild-revised.toml
var revisedTemplates []byte

const (
	entryVMs        = 3
	quotesRate      = 100 // per second
	soukRate        = 20  // per second
	batchTasks      = 60
	gangs           = 4
	inFlightTimeout = 20 * time.Second
	observeInterval = time.Second
	balancerLag     = 500 * time.Millisecond // until the balancer removes a stopped VM
	outDomain       = "marrakech"
)

// Options configures a run.
type Options struct {
	Binaries string // directory with the built programs
	Out      io.Writer
	// Step is the time between the steps of the scenario.
	Step time.Duration
}

type run struct {
	options  Options
	started  time.Time
	recorder *history.Recorder
	cluster  *proctest.Cluster
	operator *Operator
	balancer *caller.Balancer
	load     *load
	keys     map[model.TeamID]caller.Credential
	rounds   int // rounds of submitted jobs so far
}

// Run runs the scenario and writes its progress and report to options.Out. It
// returns an error if a step failed or a promise was broken. After an error the
// output of the programs is kept.
func Run(options Options) (err error) {
	dir, err := os.MkdirTemp("", "balsam-demo-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() {
		if err == nil {
			err = Error.Wrap(os.RemoveAll(dir))
			return
		}
		_, _ = fmt.Fprintf(options.Out, "The output of the programs is kept in %s\n", dir)
	}()
	r := &run{options: options, started: time.Now(), recorder: &history.Recorder{}, keys: make(map[model.TeamID]caller.Credential)}
	if err := r.start(dir); err != nil {
		return err
	}
	defer r.cluster.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return r.runScenario(ctx)
}

func (r *run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, "%6.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// runTimed runs an operator's command, which returns once the change is in force
// on every member, and prints how long that took.
func (r *run) runTimed(description string, command func() error) error {
	started := time.Now()
	if err := command(); err != nil {
		return err
	}
	r.printf("%s; in force after %d ms", description, time.Since(started).Milliseconds())
	return nil
}

func (r *run) start(dir string) error {
	r.printf("starting the platform's stand-ins and %d entry VMs", entryVMs)
	cluster, err := proctest.StartCluster(proctest.ClusterOptions{
		Binaries: r.options.Binaries, Dir: dir, EntryVMs: entryVMs, Cell: cell.DefaultConfig(),
	})
	if err != nil {
		return err
	}
	r.cluster = cluster
	r.operator = NewOperator(cluster, r.recorder, dir)
	var urls []string
	for _, vm := range cluster.VMs() {
		if err := cluster.AwaitReady(vm); err != nil {
			cluster.Close()
			return err
		}
		urls = append(urls, vm.URL())
	}
	r.balancer = caller.NewBalancer(urls...)
	r.load = newLoad(caller.New(r.balancer, r.recorder))
	return nil
}

// runScenario sends load while it runs the steps of operators and faults.
func (r *run) runScenario(ctx context.Context) error {
	if err := r.publish(); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	jobCtx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	r.load.sendQuotes(loadCtx, r.keys["stitch-quotes"], quotesRate)
	r.load.sendQuotes(loadCtx, r.keys["souk-quotes"], soukRate)
	r.load.wg.Go(func() { r.recordRevisions(loadCtx) })
	for _, step := range []func(context.Context) error{
		r.submitJobs, r.lowerUpperLimit, r.withdrawKey, r.markLeaving, r.takeDomainOut, r.submitJobs, r.returnDomain, r.killVM, r.submitJobs, r.shutDownVM,
	} {
		if err := step(jobCtx); err != nil {
			return err
		}
		select {
		case <-time.After(r.options.Step):
		case <-ctx.Done():
			return Error.New("interrupted")
		}
	}
	stopLoad()
	r.printf("load stopped; waiting for calls in flight")
	r.awaitInFlight(stopJobs)
	return r.report()
}

// recordRevisions records the configuration revisions of all members at
// intervals until ctx is done.
func (r *run) recordRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		_ = r.operator.RecordRevisions() // fails while a member is down
		select {
		case <-ctx.Done():
		case <-time.After(observeInterval):
		}
	}
}

// awaitInFlight waits until all calls are answered and all jobs have ended. After
// inFlightTimeout it calls stopJobs, which ends the wait for jobs.
func (r *run) awaitInFlight(stopJobs func()) {
	done := make(chan struct{})
	go func() {
		r.load.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(inFlightTimeout):
		stopJobs()
		<-done
	}
	r.load.caller.Close()
}

func (r *run) publish() error {
	r.printf("publishing the Guild's templates and issuing keys")
	if err := r.operator.Apply("guild.toml", guildTemplates); err != nil {
		return err
	}
	for _, team := range []model.TeamID{"stitch-quotes", "souk-quotes", "hide-layouts", "tree-fittings"} {
		credential, err := r.operator.IssueKey(team)
		if err != nil {
			return err
		}
		r.keys[team] = credential
	}
	return nil
}

func (r *run) submitJobs(ctx context.Context) error {
	r.printf("submitting a batch of %d hide layouts and %d gangs of fittings", batchTasks, gangs)
	r.rounds++
	r.load.submitJob(ctx, layoutBatch(r.keys["hide-layouts"], r.rounds, batchTasks))
	for i := range gangs {
		r.load.submitJob(ctx, fittingGang(r.keys["tree-fittings"], r.rounds*gangs+i))
	}
	return nil
}

func (r *run) lowerUpperLimit(context.Context) error {
	return r.runTimed("halving the upper limit of hide-layouts", func() error {
		return r.operator.Apply("guild-revised.toml", revisedTemplates)
	})
}

func (r *run) withdrawKey(context.Context) error {
	return r.runTimed("withdrawing the key of souk-quotes, whose callers keep sending", func() error {
		return r.operator.WithdrawKey(r.keys["souk-quotes"])
	})
}

func (r *run) takeDomainOut(context.Context) error {
	return r.runTimed("taking "+outDomain+" out of service", func() error { return r.operator.TakeDomainOut(outDomain) })
}

func (r *run) returnDomain(context.Context) error {
	return r.runTimed("returning "+outDomain+" to service", func() error { return r.operator.ReturnDomain(outDomain) })
}

// markLeaving marks one worker and one runner as leaving.
func (r *run) markLeaving(context.Context) error {
	for _, id := range []model.VMID{"worker-1", "quotes-runner-1"} {
		r.printf("marking %s as leaving", id)
		if err := r.cluster.Platform.SetVM(vmlist.StateChange{ID: id, State: vmlist.Leaving}); err != nil {
			return err
		}
	}
	return nil
}

// shutDownVM shuts down the programs of one entry VM gracefully and replaces the
// VM.
func (r *run) shutDownVM(context.Context) error {
	vm := r.cluster.VMs()[1]
	r.printf("shutting down the programs of %s with SIGTERM", vm.ID)
	vm.Entry.Terminate()
	time.Sleep(balancerLag)
	r.balancer.Remove(vm.URL())
	if err := vm.Entry.ExitError(); err != nil {
		return Error.New("%s: balsam-entry: %w", vm.ID, err)
	}
	vm.Sched.Terminate()
	if err := vm.Sched.ExitError(); err != nil {
		return Error.New("%s: balsam-sched: %w", vm.ID, err)
	}
	return r.replace(vm)
}

// killVM kills the programs of one entry VM and replaces the VM.
func (r *run) killVM(context.Context) error {
	vm := r.cluster.VMs()[0]
	r.printf("killing the programs of %s", vm.ID)
	vm.Kill()
	time.Sleep(balancerLag)
	r.balancer.Remove(vm.URL())
	return r.replace(vm)
}

func (r *run) replace(vm *proctest.EntryVM) error {
	replacement, err := r.cluster.Replace(vm)
	if err != nil {
		return err
	}
	if err := r.cluster.AwaitReady(replacement); err != nil {
		return err
	}
	r.balancer.Add(replacement.URL())
	r.printf("%s replaces %s", replacement.ID, vm.ID)
	return nil
}

func (r *run) report() error {
	events, err := r.cluster.Platform.History()
	if err != nil {
		return err
	}
	events = append(events, r.recorder.Since(0)...)
	_, _ = fmt.Fprintln(r.options.Out)
	if err := r.load.writeTable(r.options.Out, events); err != nil {
		return Error.Wrap(err)
	}
	_, _ = fmt.Fprintln(r.options.Out)
	WriteReasons(r.options.Out, events)
	_, _ = fmt.Fprintln(r.options.Out)
	if broken := WritePromises(r.options.Out, history.Analyze(events, history.Options{})); broken > 0 {
		return Error.New("%d promises were broken", broken)
	}
	r.printf("every promise was kept")
	return nil
}

// Package demo runs the Saddle Guild's work on a small cell of real processes
// while operators change its configuration and a VM fails, and reports what
// became of the work and of each promise.
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
	entryVMs     = 3
	quotesRate   = 100 // a second
	soukRate     = 20  // a second
	batchTasks   = 60
	gangs        = 4
	drainedIn    = 20 * time.Second
	observeEvery = time.Second
	balancerLag  = 500 * time.Millisecond
	outDomain    = "marrakech"
)

// Options sets up a run.
type Options struct {
	Binaries string // directory with the built programs
	Out      io.Writer
	// Step is the time between the events of the scenario.
	Step time.Duration
}

type run struct {
	options  Options
	started  time.Time
	recorder *history.Recorder
	cluster  *proctest.Cluster
	operator *Operator
	fleet    *caller.Fleet
	load     *load
	keys     map[model.TeamID]caller.Credential
	rounds   int // of submitted jobs
}

// Run runs the scenario. It returns an error if the scenario could not be
// carried out or a promise broke.
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
		_, _ = fmt.Fprintf(options.Out, "The programs' output is kept in %s\n", dir)
	}()
	r := &run{options: options, started: time.Now(), recorder: &history.Recorder{}, keys: make(map[model.TeamID]caller.Credential)}
	if err := r.start(dir); err != nil {
		return err
	}
	defer r.cluster.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return r.scenario(ctx)
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, "%6.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// timed runs an operator's command, which returns once it is in force on every
// member.
func (r *run) timed(what string, command func() error) error {
	started := time.Now()
	if err := command(); err != nil {
		return err
	}
	r.say("%s; in force after %d ms", what, time.Since(started).Milliseconds())
	return nil
}

func (r *run) start(dir string) error {
	r.say("starting the platform's stand-ins and %d entry VMs", entryVMs)
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
	r.fleet = caller.NewFleet(urls...)
	r.load = newLoad(caller.New(r.fleet, r.recorder))
	return nil
}

// scenario runs the load and the operators' and failures' steps beside it.
func (r *run) scenario(ctx context.Context) error {
	if err := r.publish(); err != nil {
		return err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	jobContext, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	r.load.quotes(loadContext, r.keys["stitch-quotes"], quotesRate)
	r.load.quotes(loadContext, r.keys["souk-quotes"], soukRate)
	r.load.wg.Go(func() { r.observe(loadContext) })
	for _, step := range []func(context.Context) error{
		r.submit, r.revise, r.withdraw, r.leave, r.domainOut, r.submit, r.domainIn, r.killVM, r.submit, r.shutDownVM,
	} {
		if err := step(jobContext); err != nil {
			return err
		}
		select {
		case <-time.After(r.options.Step):
		case <-ctx.Done():
			return Error.New("interrupted")
		}
	}
	stopLoad()
	r.say("no more requests are sent; waiting for what is in flight")
	r.drain(stopJobs)
	return r.report()
}

// observe records the members' configuration revisions until the context ends.
func (r *run) observe(ctx context.Context) {
	for ctx.Err() == nil {
		_ = r.operator.RecordRevisions() // a member may be down
		select {
		case <-ctx.Done():
		case <-time.After(observeEvery):
		}
	}
}

// drain waits for all answers and ends of jobs, for a bounded time.
func (r *run) drain(stopJobs func()) {
	done := make(chan struct{})
	go func() {
		r.load.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainedIn):
		stopJobs()
		<-done
	}
	r.load.caller.Close()
}

func (r *run) publish() error {
	r.say("publishing the Guild's templates and issuing keys")
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

func (r *run) submit(ctx context.Context) error {
	r.say("handing in a batch of %d hide layouts and %d gangs of fittings", batchTasks, gangs)
	r.rounds++
	r.load.job(ctx, layouts(r.keys["hide-layouts"], r.rounds, batchTasks))
	for i := range gangs {
		r.load.job(ctx, fitting(r.keys["tree-fittings"], r.rounds*gangs+i))
	}
	return nil
}

func (r *run) revise(context.Context) error {
	return r.timed("halving the upper limit of hide-layouts", func() error {
		return r.operator.Apply("guild-revised.toml", revisedTemplates)
	})
}

func (r *run) withdraw(context.Context) error {
	return r.timed("withdrawing the key of souk-quotes, whose callers go on sending", func() error {
		return r.operator.WithdrawKey(r.keys["souk-quotes"])
	})
}

func (r *run) domainOut(context.Context) error {
	return r.timed("taking "+outDomain+" out of service", func() error { return r.operator.TakeDomainOut(outDomain) })
}

func (r *run) domainIn(context.Context) error {
	return r.timed("taking "+outDomain+" back into service", func() error { return r.operator.ReturnDomain(outDomain) })
}

// leave marks one worker and one runner as leaving.
func (r *run) leave(context.Context) error {
	for _, id := range []model.VMID{"worker-1", "quotes-runner-1"} {
		r.say("marking %s as leaving", id)
		if err := r.cluster.Platform.SetVM(vmlist.StateChange{ID: id, State: vmlist.Leaving}); err != nil {
			return err
		}
	}
	return nil
}

// shutDownVM ends one entry VM's programs gracefully and replaces the VM.
func (r *run) shutDownVM(context.Context) error {
	vm := r.cluster.VMs()[1]
	r.say("shutting the programs of %s down with SIGTERM", vm.ID)
	vm.Entry.Terminate()
	time.Sleep(balancerLag)
	r.fleet.Remove(vm.URL())
	if err := vm.Entry.ExitError(); err != nil {
		return Error.New("%s: balsam-entry: %w", vm.ID, err)
	}
	vm.Sched.Terminate()
	if err := vm.Sched.ExitError(); err != nil {
		return Error.New("%s: balsam-sched: %w", vm.ID, err)
	}
	return r.replace(vm)
}

// killVM kills one entry VM's programs and replaces the VM.
func (r *run) killVM(context.Context) error {
	vm := r.cluster.VMs()[0]
	r.say("killing the programs of %s", vm.ID)
	vm.Kill()
	time.Sleep(balancerLag)
	r.fleet.Remove(vm.URL())
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
	r.fleet.Add(replacement.URL())
	r.say("%s took its place", replacement.ID)
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
		return Error.New("%d promises broke", broken)
	}
	r.say("every promise was kept")
	return nil
}

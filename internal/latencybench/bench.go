// Package latencybench measures the latency that the system adds to a quick
// request and the resource use of its idle programs, with real processes on
// loopback.
package latencybench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/runnerclient"
	"github.com/balsamhitch/balsamhitch/internal/adapter/vmclient"
	"github.com/balsamhitch/balsamhitch/internal/caller"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/demo"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/proctest"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
)

// Error is the class of errors of this package.
var Error = errs.Class("bench")

const (
	team           = model.TeamID("bench")
	service        = model.ServiceID("quotes")
	deadline       = 5 * time.Second
	warmUp         = 2 * time.Second
	rounds         = 2 // each with a direct phase and a phase through the system
	connsPerRunner = 64
	template       = `
[[template]]
team = "bench"
kinds = ["quick"]
services = ["quotes"]
share = 1.0
max_queued = 10000
upper_limit = { slots = 4096 }
`
)

// Options configures a measurement.
type Options struct {
	Binaries string // directory with the built programs
	Out      io.Writer
	EntryVMs int
	Runners  int
	Rate     int           // requests per second
	Phase    time.Duration // length of each phase
	Idle     time.Duration // time without load to measure idle programs; 0 skips it
}

type bench struct {
	options    Options
	cluster    *proctest.Cluster
	credential caller.Credential
	balancer   *caller.Balancer
	runnerVMs  []model.VM
}

// Run starts a small cell in a temporary directory, measures it, prints the results
// to options.Out and stops the cell.
func Run(options Options) error {
	dir, err := os.MkdirTemp("", "balsam-bench-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{options: options, balancer: caller.NewBalancer()}
	if err := b.start(dir); err != nil {
		return err
	}
	defer b.cluster.Close()
	b.measureLatency()
	return b.measureIdle()
}

// start starts the cell and prepares it. It stops the cell if that fails.
func (b *bench) start(dir string) error {
	config := cell.DefaultConfig()
	config.Services = []cell.Service{{Name: service, Runners: b.options.Runners}}
	config.OmitRequestHistory = true
	cluster, err := proctest.StartCluster(proctest.ClusterOptions{
		Binaries: b.options.Binaries, Dir: dir, EntryVMs: b.options.EntryVMs, Cell: config,
	})
	if err != nil {
		return err
	}
	b.cluster = cluster
	if err := b.prepare(dir); err != nil {
		cluster.Close()
		return err
	}
	return nil
}

// prepare waits until the entry VMs are ready, publishes the template, issues a key
// and lists the runners.
func (b *bench) prepare(dir string) error {
	for _, vm := range b.cluster.VMs() {
		if err := b.cluster.AwaitReady(vm); err != nil {
			return err
		}
		b.balancer.Add(vm.URL())
	}
	operator := demo.NewOperator(b.cluster, &history.Recorder{}, dir)
	if err := operator.Apply("bench.toml", []byte(template)); err != nil {
		return err
	}
	var err error
	if b.credential, err = operator.IssueKey(team); err != nil {
		return err
	}
	all, err := vmclient.New(b.cluster.Platform.URLs.VMList).List(context.Background())
	for _, vm := range all {
		if vm.Role == model.RoleRunner {
			b.runnerVMs = append(b.runnerVMs, vm)
		}
	}
	return err
}

// measureLatency alternates phases of direct calls and of calls through the
// system, so that background load on the machine affects both alike.
func (b *bench) measureLatency() {
	systemClient := caller.New(b.balancer, nil)
	directClient := runnerclient.New(connsPerRunner)
	paths := []*loadGenerator{
		{name: "direct", send: func(n int) bool { return b.sendDirect(directClient, n) }},
		{name: "through the system", send: func(n int) bool { return b.sendThroughSystem(systemClient, n) }},
	}
	for _, p := range paths {
		p.run(b.options.Rate, warmUp)
		p.reset()
	}
	for range rounds {
		for _, p := range paths {
			p.run(b.options.Rate, b.options.Phase)
		}
	}
	_, _ = fmt.Fprintf(b.options.Out, "%d requests a second, %d entry VMs, %d runners\n", b.options.Rate, b.options.EntryVMs, b.options.Runners)
	for _, p := range paths {
		p.writeResult(b.options.Out)
	}
	writeDifference(b.options.Out, paths[0], paths[1])
}

func (b *bench) sendDirect(client port.Runner, n int) bool {
	vm := b.runnerVMs[n%len(b.runnerVMs)]
	request := model.Request{
		ID: model.RequestID(fmt.Sprint("direct-", n)), Team: team, Service: service,
		Body: []byte(`{"id":"direct"}`), ContentType: "application/json",
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	_, err := client.Do(ctx, vm.Address, request, 1)
	return err == nil
}

func (b *bench) sendThroughSystem(client *caller.Caller, n int) bool {
	result := client.Quick(context.Background(), caller.Quick{
		Call: fmt.Sprint("bench-", time.Now().UnixNano(), "-", n), Credential: b.credential, Service: service, Deadline: deadline,
	})
	return result.Outcome == model.OutcomeDone
}

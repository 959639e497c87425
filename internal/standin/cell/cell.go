// Package cell runs the stand-ins of a complete cell in one process. Stand-ins are
// simulated platform services and VMs for tests and the demonstration: the log
// service, the VM list, and the workers and runners in their failure domains.
package cell

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/httpserver"
	"github.com/balsamhitch/balsamhitch/internal/standin/logservice"
	"github.com/balsamhitch/balsamhitch/internal/standin/runner"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
	"github.com/balsamhitch/balsamhitch/internal/standin/worker"
)

// Names of the services as targets of faults.
const (
	TargetLog    = "log"
	TargetVMList = "vms"
)

// maxClockOffset is the upper bound of the random offsets of the workers' clocks.
// It is large, so that a reading of one clock is not valid on another by chance.
const maxClockOffset = 1000 * time.Hour

// URLs are the base URLs of the cell's services.
type URLs struct {
	Log    string `json:"log,omitempty"`
	VMList string `json:"vms,omitempty"`
	Admin  string `json:"admin,omitempty"`
}

// Cell is a running set of stand-ins. It is safe for concurrent use.
type Cell struct {
	URLs    URLs
	History *history.Recorder
	Store   *logservice.Store
	List    *vmlist.List

	mu      sync.Mutex
	faults  map[string]*fault.Injector // by target
	workers map[model.VMID]*worker.Worker
	runners map[model.VMID]*runner.Runner
	vms     []model.VM
	servers []*httpserver.Server
}

// Start starts all stand-ins. They run until Close.
func Start(config Config) (*Cell, error) {
	c := &Cell{
		History: &history.Recorder{},
		Store: logservice.NewStore(logservice.Options{
			Retention:  config.LogRetention,
			AppendRate: float64(config.LogAppendsPerSecond),
		}),
		faults:  make(map[string]*fault.Injector),
		workers: make(map[model.VMID]*worker.Worker),
		runners: make(map[model.VMID]*runner.Runner),
	}
	if err := c.start(config); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cell) start(config Config) error {
	if err := c.startWorkers(config); err != nil {
		return err
	}
	if err := c.startRunners(config); err != nil {
		return err
	}
	c.vms = append(c.vms, config.entryVMs()...)
	c.List = vmlist.New(c.vms, config.vmListLag(), c.History, c.applyVMState)
	return c.startServices(config)
}

func (c *Cell) startServices(config Config) error {
	log, err := logservice.Serve(address(config.Host, config.LogPort), c.Store, c.injector(TargetLog))
	if err != nil {
		return err
	}
	c.servers = append(c.servers, log)
	list, err := c.List.Serve(address(config.Host, config.VMListPort), c.injector(TargetVMList))
	if err != nil {
		return err
	}
	c.servers = append(c.servers, list)
	admin, err := c.serveAdmin(address(config.Host, config.AdminPort))
	if err != nil {
		return err
	}
	c.servers = append(c.servers, admin)
	c.URLs = URLs{
		Log:    "http://" + log.Address(),
		VMList: "http://" + list.Address(),
		Admin:  "http://" + admin.Address(),
	}
	return nil
}

func (c *Cell) startWorkers(config Config) error {
	progress := worker.NewProgress()
	for _, vm := range config.workerVMs() {
		w := worker.New(worker.Options{
			VM:          vm,
			UsageLag:    time.Duration(config.UsageLagMS) * time.Millisecond,
			ClockOffset: rand.N(maxClockOffset),
			Faults:      c.injector(string(vm.ID)),
			History:     c.History,
			Progress:    progress,
		})
		server, err := w.Serve(address(config.Host, 0))
		if err != nil {
			return err
		}
		vm.Address = server.Address()
		c.workers[vm.ID] = w
		c.vms = append(c.vms, vm)
		c.servers = append(c.servers, server)
	}
	return nil
}

func (c *Cell) startRunners(config Config) error {
	for _, vm := range config.runnerVMs() {
		r := runner.New(runner.Options{
			VM:          vm,
			ServiceTime: time.Duration(config.ServiceTimeMicros) * time.Microsecond,
			Faults:      c.injector(string(vm.ID)),
			History:     c.History,
			OmitHistory: config.OmitRequestHistory,
		})
		server, err := r.Serve(address(config.Host, 0))
		if err != nil {
			return err
		}
		vm.Address = server.Address()
		c.runners[vm.ID] = r
		c.vms = append(c.vms, vm)
		c.servers = append(c.servers, server)
	}
	return nil
}

// Close stops all stand-ins.
func (c *Cell) Close() {
	for _, server := range c.servers {
		server.Close()
	}
}

// SetFaults replaces the faults of a target: "log", "vms" or a VM's id.
func (c *Cell) SetFaults(target string, faults fault.Faults) error {
	c.mu.Lock()
	injector := c.faults[target]
	c.mu.Unlock()
	if injector == nil {
		return Error.New("no such target: %s", target)
	}
	injector.Set(faults)
	c.History.Add(history.Event{Kind: history.FaultSet, Detail: fmt.Sprintf("%s: %+v", target, faults)})
	return nil
}

// SetDomainGone sets whether the worker and runner VMs of a failure domain are gone.
// Workers that are gone lose their tasks and come back without any. The VM list does
// not change.
func (c *Cell) SetDomainGone(domain model.FailureDomain, gone bool) {
	for _, vm := range c.vms {
		if vm.FailureDomain == domain {
			c.setGone(vm.ID, gone)
		}
	}
}

func (c *Cell) injector(target string) *fault.Injector {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults[target] == nil {
		c.faults[target] = fault.NewInjector()
	}
	return c.faults[target]
}

// applyVMState applies a change of the VM list to the VM's stand-in.
func (c *Cell) applyVMState(id model.VMID, state vmlist.State) {
	c.setGone(id, state == vmlist.Gone)
	if w := c.workers[id]; w != nil {
		w.SetLeaving(state == vmlist.Leaving)
	}
}

func (c *Cell) setGone(id model.VMID, gone bool) {
	if w := c.workers[id]; w != nil {
		w.SetGone(gone)
	}
	if r := c.runners[id]; r != nil {
		r.SetGone(gone)
	}
	if c.workers[id] != nil || c.runners[id] != nil {
		c.injector(string(id)).Set(fault.Faults{Down: gone})
	}
}

func address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

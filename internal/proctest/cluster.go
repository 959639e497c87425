package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
)

// Ports of the programs on the loopback address of each entry VM.
const (
	peerPort         = "7100"
	callerPort       = "8080"
	schedMetricsPort = "9100"
	entryMetricsPort = "9101"
)

const (
	// startTimeout bounds the start of one program on a busy machine.
	startTimeout = time.Minute
	ctlTimeout   = 2 * time.Minute
	dumpLines    = 30
)

// ClusterOptions configures a cluster.
type ClusterOptions struct {
	Binaries string // directory with the built programs
	Dir      string // for settings and output; must exist
	EntryVMs int
	Cell     cell.Config
	// Relayed puts a relay between each entry VM and the log service.
	Relayed bool
}

// Cluster runs a complete cell: the stand-ins of the platform, and entry VMs with
// balsam-sched and balsam-entry, each VM on its own loopback address. It is safe
// for concurrent use.
type Cluster struct {
	Platform      *Platform
	Processes     *ProcessSet
	options       ClusterOptions
	addressPrefix string // the first three bytes of the loopback addresses

	mu      sync.Mutex
	vms     []*EntryVM
	created int // number of VMs created so far
}

// EntryVM is a VM that runs balsam-sched and balsam-entry.
type EntryVM struct {
	ID     model.VMID
	Domain model.FailureDomain
	Sched  *Process
	Entry  *Process
	// LogRelay is between the VM and the log service; nil unless
	// ClusterOptions.Relayed is set.
	LogRelay *Relay
	ip       string
}

// URL returns the base URL of the callers' API.
func (v *EntryVM) URL() string { return "http://" + net.JoinHostPort(v.ip, callerPort) }

// PeerAddress returns the host:port of the VM's balsam-sched.
func (v *EntryVM) PeerAddress() string { return net.JoinHostPort(v.ip, peerPort) }

// Kill ends both programs with SIGKILL.
func (v *EntryVM) Kill() {
	v.Sched.Kill()
	v.Entry.Kill()
}

// Pause stops both programs with SIGSTOP.
func (v *EntryVM) Pause() {
	v.Sched.Pause()
	v.Entry.Pause()
}

// Resume continues both programs with SIGCONT.
func (v *EntryVM) Resume() {
	v.Sched.Resume()
	v.Entry.Resume()
}

// StartCluster starts the platform and the programs of all entry VMs, without
// waiting until they are ready.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		Processes:     NewProcessSet(options.Dir),
		options:       options,
		addressPrefix: fmt.Sprintf("127.%d.%d", 1+rand.N(254), rand.N(255)),
	}
	for range options.EntryVMs {
		vm := c.newVM()
		c.vms = append(c.vms, vm)
		c.options.Cell.Entries = append(c.options.Cell.Entries, cell.EntryVM{ID: vm.ID, Address: vm.PeerAddress(), Domain: vm.Domain})
	}
	var err error
	c.Platform, err = StartPlatform(c.Processes, options.Binaries, options.Dir, c.options.Cell, startTimeout)
	if err == nil {
		err = c.startPrograms()
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startPrograms() error {
	for _, vm := range c.vms {
		if err := c.startVM(vm); err != nil {
			return err
		}
	}
	return c.writeCtlSettings()
}

// Close kills all programs and closes the relays.
func (c *Cluster) Close() {
	c.Processes.Close()
	for _, vm := range c.VMs() {
		if vm.LogRelay != nil {
			vm.LogRelay.Close()
		}
	}
}

// VMs returns the current entry VMs, without replaced ones.
func (c *Cluster) VMs() []*EntryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*EntryVM(nil), c.vms...)
}

// Replace marks old as gone in the VM list, adds a new VM with a new address in
// the same failure domain and starts its programs.
func (c *Cluster) Replace(old *EntryVM) (*EntryVM, error) {
	c.mu.Lock()
	vm := c.newVM()
	vm.Domain = old.Domain
	for i := range c.vms {
		if c.vms[i] == old {
			c.vms[i] = vm
		}
	}
	c.mu.Unlock()
	if err := c.Platform.SetVM(vmlist.StateChange{ID: old.ID, State: vmlist.Gone}); err != nil {
		return nil, err
	}
	listed := model.VM{ID: vm.ID, Role: model.RoleEntry, Address: vm.PeerAddress(), FailureDomain: vm.Domain}
	if err := c.Platform.SetVM(vmlist.StateChange{State: vmlist.Live, VM: &listed}); err != nil {
		return nil, err
	}
	return vm, c.startVM(vm)
}

// AwaitReady waits until the VM's balsam-entry reports that it is ready. It
// returns an error with the end of all programs' output after startTimeout.
func (c *Cluster) AwaitReady(vm *EntryVM) error {
	ready := func() bool {
		response, err := adminClient.Get(vm.URL() + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	if !Eventually(startTimeout, ready) {
		return Error.New("%s did not become ready\n%s", vm.ID, c.Processes.Dump(dumpLines))
	}
	return nil
}

// Ctl runs balsamctl and returns its standard output. An error includes its
// standard error.
func (c *Cluster) Ctl(args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ctlTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(c.options.Binaries, "balsamctl"), args...)
	cmd.Env = append(os.Environ(), "BALSAMCTL_SETTINGS="+filepath.Join(c.options.Dir, "ctl.toml"))
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return out, Error.New("balsamctl %s: %w\n%s", strings.Join(args, " "), err, stderr.String())
	}
	return out, nil
}

// TeamOwner returns the VM whose scheduler owns the team's partition.
func (c *Cluster) TeamOwner(team model.TeamID) (*EntryVM, error) {
	out, err := c.Ctl("status", "--output", "json")
	if err != nil {
		return nil, err
	}
	var status struct {
		Teams []struct {
			Team  model.TeamID `json:"team"`
			Owner model.VMID   `json:"owner"`
		} `json:"teams"`
	}
	if err := json.Unmarshal(out, &status); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, t := range status.Teams {
		for _, vm := range c.VMs() {
			if t.Team == team && t.Owner == vm.ID {
				return vm, nil
			}
		}
	}
	return nil, Error.New("no entry VM owns team %s", team)
}

// newVM returns the next VM with its id, failure domain and address, not yet
// started. c.mu must be held once the cluster is in use.
func (c *Cluster) newVM() *EntryVM {
	n := c.created
	c.created++
	return &EntryVM{
		ID:     model.VMID(fmt.Sprintf("entry-%d", n)),
		Domain: c.options.Cell.FailureDomains[n%len(c.options.Cell.FailureDomains)],
		ip:     fmt.Sprintf("%s.%d", c.addressPrefix, 10+n),
	}
}

func (c *Cluster) startVM(vm *EntryVM) error {
	logURL := c.Platform.URLs.Log
	if c.options.Relayed {
		relay, err := NewRelay(strings.TrimPrefix(logURL, "http://"))
		if err != nil {
			return err
		}
		vm.LogRelay = relay
		logURL = "http://" + relay.Address()
	}
	sched, err := c.writeSettings(vm, "sched", schedSettings(vm, logURL, c.Platform.URLs.VMList))
	if err != nil {
		return err
	}
	entry, err := c.writeSettings(vm, "entry", entrySettings(vm, logURL, c.Platform.URLs.VMList))
	if err != nil {
		return err
	}
	vm.Sched, err = c.Processes.Start(string(vm.ID)+"-sched", filepath.Join(c.options.Binaries, "balsam-sched"), "--config", sched)
	if err != nil {
		return err
	}
	vm.Entry, err = c.Processes.Start(string(vm.ID)+"-entry", filepath.Join(c.options.Binaries, "balsam-entry"), "--config", entry)
	return err
}

func (c *Cluster) writeSettings(vm *EntryVM, program, text string) (string, error) {
	path := filepath.Join(c.options.Dir, fmt.Sprintf("%s-%s.toml", vm.ID, program))
	return path, Error.Wrap(os.WriteFile(path, []byte(text), 0o600))
}

func (c *Cluster) writeCtlSettings() error {
	path := filepath.Join(c.options.Dir, "ctl.toml")
	text := platformSettings(c.Platform.URLs.Log, c.Platform.URLs.VMList)
	return Error.Wrap(os.WriteFile(path, []byte(text), 0o600))
}

func schedSettings(vm *EntryVM, logURL, vmsURL string) string {
	return fmt.Sprintf("address = %q\nmetrics_address = %q\nfailure_domain = %q\n",
		vm.PeerAddress(), net.JoinHostPort(vm.ip, schedMetricsPort), vm.Domain) + platformSettings(logURL, vmsURL)
}

func entrySettings(vm *EntryVM, logURL, vmsURL string) string {
	return fmt.Sprintf("listen = %q\nmetrics_address = %q\nfailure_domain = %q\nsched = %q\n",
		net.JoinHostPort(vm.ip, callerPort), net.JoinHostPort(vm.ip, entryMetricsPort), vm.Domain, vm.PeerAddress()) +
		platformSettings(logURL, vmsURL)
}

func platformSettings(logURL, vmsURL string) string {
	return fmt.Sprintf("[platform]\nlog = %q\nvm_list = %q\n", logURL, vmsURL)
}

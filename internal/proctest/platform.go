package proctest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/cell"
	"github.com/balsamhitch/balsamhitch/internal/standin/fault"
	"github.com/balsamhitch/balsamhitch/internal/standin/vmlist"
)

const (
	adminTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

var adminClient = &http.Client{Timeout: adminTimeout}

// Platform is the process that runs a cell's stand-ins.
type Platform struct {
	Process *Process
	URLs    cell.URLs
}

// StartPlatform starts balsam-standin with the cell's settings as one of the
// processes and waits until it has printed its URLs.
func StartPlatform(processes *ProcessSet, binaries, dir string, config cell.Config, within time.Duration) (*Platform, error) {
	data, err := toml.Marshal(config)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	path := filepath.Join(dir, "cell.toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	process, err := processes.Start("platform", filepath.Join(binaries, "balsam-standin"), "cell", "--config", path)
	if err != nil {
		return nil, err
	}
	p := &Platform{Process: process}
	ready := func() bool { return json.Unmarshal(process.Output(), &p.URLs) == nil }
	if !Eventually(within, ready) {
		return nil, Error.New("balsam-standin did not become ready: %s", process.Tail(10))
	}
	return p, nil
}

// SetFaults replaces the injected faults of a stand-in: "log", "vms" or the id
// of a VM.
func (p *Platform) SetFaults(target string, faults fault.Faults) error {
	return p.post(cell.PathTargetFaults, cell.TargetFaults{Target: target, Faults: faults})
}

// SetVM changes the state of a VM in the VM list, or adds a VM to it.
func (p *Platform) SetVM(change vmlist.StateChange) error {
	return p.post(cell.PathVMState, change)
}

// SetDomainGone makes all workers and runners of a failure domain disappear, or
// return.
func (p *Platform) SetDomainGone(domain model.FailureDomain, gone bool) error {
	return p.post(cell.PathDomain, cell.DomainState{Domain: domain, Gone: gone})
}

// History returns the events that the stand-ins recorded.
func (p *Platform) History() ([]history.Event, error) {
	response, err := adminClient.Get(p.URLs.Admin + "/admin/history")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var events []history.Event
	err = json.NewDecoder(response.Body).Decode(&events)
	return events, Error.Wrap(err)
}

func (p *Platform) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := adminClient.Post(p.URLs.Admin+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Error.New("POST %s: HTTP status %d", path, response.StatusCode)
	}
	return nil
}

// Eventually polls ok until it returns true and reports whether it did within
// the given time.
func Eventually(within time.Duration, ok func() bool) bool {
	deadline := time.Now().Add(within)
	for !ok() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

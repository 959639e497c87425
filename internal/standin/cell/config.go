package cell

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Error is the class of errors of this package.
var Error = errs.Class("cell")

// Service is a service and the number of its runners.
type Service struct {
	Name    model.ServiceID `toml:"name"`
	Runners int             `toml:"runners"`
}

// Entry is a VM of the scheduler itself that the VM list contains.
type EntryVM struct {
	ID      model.VMID          `toml:"id"`
	Address string              `toml:"address"`
	Domain  model.FailureDomain `toml:"failure_domain"`
}

// Config describes the stand-ins of a cell.
type Config struct {
	// Host is the address that all stand-ins listen on.
	Host           string                `toml:"host"`
	LogPort        int                   `toml:"log_port"` // 0 selects a free port
	VMListPort     int                   `toml:"vm_list_port"`
	AdminPort      int                   `toml:"admin_port"`
	FailureDomains []model.FailureDomain `toml:"failure_domains"`

	Workers             int   `toml:"workers"`
	WorkersPerRack      int   `toml:"workers_per_rack"`
	WorkerProcessors    int64 `toml:"worker_processors"`
	WorkerMemoryMiB     int64 `toml:"worker_memory_mib"`
	WorkerAccelerators  int64 `toml:"worker_accelerators"`
	UsageLagMS          int   `toml:"usage_lag_ms"`
	RunnersPerGroup     int   `toml:"runners_per_group"`
	RunnerSlots         int64 `toml:"runner_slots"`
	RunnerConnections   int   `toml:"runner_connections"`
	ServiceTimeMicros   int   `toml:"service_time_us"`
	VMListLagMS         int   `toml:"vm_list_lag_ms"`
	LogRetention        int   `toml:"log_retention"` // records per stream
	LogAppendsPerSecond int   `toml:"log_appends_per_second"`
	OmitRequestHistory  bool  `toml:"leave_requests_unnoted"` // keeps quick requests out of the history

	Services []Service `toml:"service"`
	Entries  []EntryVM `toml:"entry"`
}

// DefaultConfig returns a cell like the one in examples/guild, reduced to a size
// that fits one machine.
func DefaultConfig() Config {
	return Config{
		Host:                "127.0.0.1",
		FailureDomains:      []model.FailureDomain{"marrakech", "ouarzazate", "guelmim"},
		Workers:             12,
		WorkersPerRack:      4,
		WorkerProcessors:    32,
		WorkerMemoryMiB:     128 << 10,
		UsageLagMS:          1000,
		RunnersPerGroup:     4,
		RunnerSlots:         8,
		RunnerConnections:   64,
		ServiceTimeMicros:   500,
		VMListLagMS:         500,
		LogRetention:        100_000,
		LogAppendsPerSecond: 400,
		Services:            []Service{{Name: "quotes", Runners: 12}},
	}
}

// ReadConfig reads a TOML file over the defaults, except that services have no
// default. It returns an error for unknown keys and invalid values.
func ReadConfig(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, Error.Wrap(err)
	}
	config := DefaultConfig()
	config.Services = nil
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return Config{}, Error.New("%s: unknown keys:\n%s", path, strict.String())
		}
		return Config{}, Error.New("%s: %w", path, err)
	}
	return config, config.validate()
}

func (c Config) validate() error {
	var problems []string
	for _, field := range [...]struct {
		name  string
		value int
	}{
		{"failure_domains", len(c.FailureDomains)},
		{"workers_per_rack", c.WorkersPerRack},
		{"runners_per_group", c.RunnersPerGroup},
		{"log_retention", c.LogRetention},
		{"log_appends_per_second", c.LogAppendsPerSecond},
	} {
		if field.value <= 0 {
			problems = append(problems, fmt.Sprintf("%s must be positive", field.name))
		}
	}
	if len(problems) > 0 {
		return Error.New("%s", strings.Join(problems, "; "))
	}
	return nil
}

func (c Config) vmListLag() time.Duration {
	return time.Duration(c.VMListLagMS) * time.Millisecond
}

// domain returns the failure domain of the i-th rack or group; they are assigned
// in turn.
func (c Config) domain(i int) model.FailureDomain {
	return c.FailureDomains[i%len(c.FailureDomains)]
}

// workerVMs returns the VMs of the workers, without addresses.
func (c Config) workerVMs() []model.VM {
	var vms []model.VM
	for i := range c.Workers {
		rack := i / c.WorkersPerRack
		vms = append(vms, model.VM{
			ID:            model.VMID(fmt.Sprintf("worker-%d", i)),
			Role:          model.RoleWorker,
			FailureDomain: c.domain(rack),
			Rack:          fmt.Sprintf("%s-%d", c.domain(rack), rack),
			Capacity: model.Resources{
				MilliCPU:     c.WorkerProcessors * 1000,
				MemoryMiB:    c.WorkerMemoryMiB,
				Accelerators: c.WorkerAccelerators,
			},
		})
	}
	return vms
}

// runnerVMs returns the VMs of the runners, without addresses.
func (c Config) runnerVMs() []model.VM {
	var vms []model.VM
	for _, service := range c.Services {
		for i := range service.Runners {
			group := i / c.RunnersPerGroup
			vms = append(vms, model.VM{
				ID:            model.VMID(fmt.Sprintf("%s-runner-%d", service.Name, i)),
				Role:          model.RoleRunner,
				FailureDomain: c.domain(group),
				Service:       service.Name,
				Group:         fmt.Sprintf("%s-%d", c.domain(group), group),
				Capacity:      model.Resources{Slots: c.RunnerSlots},
				Connections:   c.RunnerConnections,
			})
		}
	}
	return vms
}

func (c Config) entryVMs() []model.VM {
	var vms []model.VM
	for _, e := range c.Entries {
		vms = append(vms, model.VM{ID: e.ID, Role: model.RoleEntry, Address: e.Address, FailureDomain: e.Domain})
	}
	return vms
}

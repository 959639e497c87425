package settings

import "time"

// Sched is the settings of balsam-sched.
type Sched struct {
	// Member names the process; a ULID is generated when it is empty.
	Member         string      `toml:"member"`
	Address        string      `toml:"address"` // host:port for peers
	MetricsAddress string      `toml:"metrics_address"`
	FailureDomain  string      `toml:"failure_domain"`
	Platform       Platform    `toml:"platform"`
	Lease          Lease       `toml:"lease"`
	Config         SchedConfig `toml:"config"`
	Policy         Policy      `toml:"policy"`
	Limits         Limits      `toml:"limits"`
	Log            Logging     `toml:"log"`
}

// Entry is the settings of balsam-entry.
type Entry struct {
	Listen         string `toml:"listen"` // host:port for callers
	MetricsAddress string `toml:"metrics_address"`
	FailureDomain  string `toml:"failure_domain"`
	// Sched is the peer address of the balsam-sched on the same VM.
	Sched    string       `toml:"sched"`
	Platform Platform     `toml:"platform"`
	Config   Config       `toml:"config"`
	Limits   EntryLimits  `toml:"limits"`
	Timeouts EntryTimeout `toml:"timeouts"`
	Log      Logging      `toml:"log"`
}

// Ctl is the settings of balsamctl.
type Ctl struct {
	Platform Platform      `toml:"platform"`
	Timeout  time.Duration `toml:"timeout"` // until a change must be in force
}

// Platform is where the platform's services are.
type Platform struct {
	Log    string `toml:"log"`     // base URL
	VMList string `toml:"vm_list"` // base URL
}

// Lease is how a scheduler keeps its partitions.
type Lease struct {
	Renew    time.Duration `toml:"renew"`    // between renewals
	Duration time.Duration `toml:"duration"` // from a renewal to its lapse
	Drift    time.Duration `toml:"drift"`    // added by whoever claims
}

// Config is how a process follows the configuration.
type Config struct {
	// FreshFor is how long a snapshot may be used after the process last
	// learned that no newer one exists.
	FreshFor time.Duration `toml:"fresh_for"`
}

// SchedConfig is how a scheduler follows and keeps the configuration.
type SchedConfig struct {
	// FreshFor is as in Config.
	FreshFor time.Duration `toml:"fresh_for"`
	// CheckpointEvery is the time between checkpoints of the configuration; it
	// must be well within the log's retention.
	CheckpointEvery time.Duration `toml:"checkpoint_every"`
}

// The scheduling policies.
const (
	PolicyWaiting = "waiting" // shortest waiting time first
	PolicyShare   = "share"   // lowest share first
)

// Policy is what the scheduler optimizes.
type Policy struct {
	Name string `toml:"name"`
}

// Limits bounds what a scheduler holds and how long it waits.
type Limits struct {
	MaxMessage   Size          `toml:"max_message"` // one peer message
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// QuickRun is the longest that a runner works on a quick request.
	QuickRun time.Duration `toml:"quick_run"`
}

// EntryLimits bounds what an entry accepts.
type EntryLimits struct {
	MaxBody     Size `toml:"max_body"`
	MaxHeader   Size `toml:"max_header"`
	MaxInFlight int  `toml:"max_in_flight"`
	// MaxConnections bounds callers' connections.
	MaxConnections int `toml:"max_connections"`
}

// EntryTimeout bounds how long an entry waits for callers and targets.
type EntryTimeout struct {
	Header   time.Duration `toml:"header"`
	Read     time.Duration `toml:"read"`
	Idle     time.Duration `toml:"idle"`
	Deadline time.Duration `toml:"deadline"` // of requests that state none
	Drain    time.Duration `toml:"drain"`
}

// The formats and levels of logs.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Logging is what is logged and how.
type Logging struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// DefaultSched returns the values of settings that a file leaves out.
func DefaultSched() Sched {
	return Sched{
		Lease: Lease{
			Renew:    500 * time.Millisecond,
			Duration: 1500 * time.Millisecond,
			Drift:    100 * time.Millisecond,
		},
		Config: SchedConfig{FreshFor: defaultFreshFor, CheckpointEvery: 10 * time.Minute},
		Policy: Policy{Name: PolicyWaiting},
		Limits: Limits{
			MaxMessage:   4 * MiB,
			DrainTimeout: 30 * time.Second,
			QuickRun:     time.Second,
		},
		Log: defaultLogging(),
	}
}

// DefaultEntry returns the values of settings that a file leaves out.
func DefaultEntry() Entry {
	return Entry{
		Config: Config{FreshFor: defaultFreshFor},
		Limits: EntryLimits{
			MaxBody:        1 * MiB,
			MaxHeader:      16 * KiB,
			MaxInFlight:    4096,
			MaxConnections: 8192,
		},
		Timeouts: EntryTimeout{
			Header:   5 * time.Second,
			Read:     15 * time.Second,
			Idle:     60 * time.Second,
			Deadline: 10 * time.Second,
			Drain:    30 * time.Second,
		},
		Log: defaultLogging(),
	}
}

// DefaultCtl returns the values of settings that a file leaves out.
func DefaultCtl() Ctl {
	return Ctl{Timeout: 15 * time.Second}
}

const defaultFreshFor = 3 * time.Second

func defaultLogging() Logging {
	return Logging{Level: "info", Format: FormatText}
}

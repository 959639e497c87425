package settings

import "time"

// Sched holds the settings of balsam-sched.
type Sched struct {
	// Member is the member id of the process; LoadSched generates a ULID if it
	// is empty.
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

// Entry holds the settings of balsam-entry.
type Entry struct {
	Listen         string `toml:"listen"` // host:port for callers
	MetricsAddress string `toml:"metrics_address"`
	FailureDomain  string `toml:"failure_domain"`
	// Sched is the peer address of the balsam-sched on the same VM.
	Sched    string        `toml:"sched"`
	Platform Platform      `toml:"platform"`
	Config   Config        `toml:"config"`
	Limits   EntryLimits   `toml:"limits"`
	Timeouts EntryTimeouts `toml:"timeouts"`
	Log      Logging       `toml:"log"`
}

// Ctl holds the settings of balsamctl.
type Ctl struct {
	Platform Platform      `toml:"platform"`
	Timeout  time.Duration `toml:"timeout"` // limit on the wait until a change is in force
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log    string `toml:"log"`     // base URL
	VMList string `toml:"vm_list"` // base URL
}

// Lease configures the lease under which a member owns partitions.
type Lease struct {
	Renew    time.Duration `toml:"renew"`    // between renewals
	Duration time.Duration `toml:"duration"` // from a renewal to the expiry
	Drift    time.Duration `toml:"drift"`    // margin for clock drift that other members add before they treat the lease as expired
}

// Config configures how a process follows the configuration.
type Config struct {
	// FreshFor is the time for which a snapshot may be used after the last
	// confirmation that no newer one exists.
	FreshFor time.Duration `toml:"fresh_for"`
}

// SchedConfig configures how a scheduler follows and checkpoints the
// configuration.
type SchedConfig struct {
	// FreshFor has the same meaning as in Config.
	FreshFor time.Duration `toml:"fresh_for"`
	// CheckpointEvery is the time between checkpoints of the configuration; it
	// must be well within the log's retention.
	CheckpointEvery time.Duration `toml:"checkpoint_every"`
}

// The scheduling policies.
const (
	PolicyWaiting = "waiting" // urgent and long-waiting work first among teams whose ratios of share to weight are close
	PolicyShare   = "share"   // lowest ratio of share to weight first
)

// Policy selects what the scheduler optimizes.
type Policy struct {
	Name string `toml:"name"`
}

// Limits holds the size and time limits of a scheduler.
type Limits struct {
	MaxMessage Size `toml:"max_message"` // maximum size of a peer frame; see peer.Options.MaxFrame
	// DrainTimeout limits the handover of the partitions at shutdown and, after
	// it, the shutdown of the servers.
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// QuickRun is the maximum run time of a quick request on a runner.
	QuickRun time.Duration `toml:"quick_run"`
}

// EntryLimits limits what an entry accepts.
type EntryLimits struct {
	MaxBody     Size `toml:"max_body"`
	MaxHeader   Size `toml:"max_header"`
	MaxInFlight int  `toml:"max_in_flight"`
	// MaxConnections is the maximum number of callers' connections.
	MaxConnections int `toml:"max_connections"`
}

// EntryTimeouts limits how long an entry waits for callers and targets.
type EntryTimeouts struct {
	Header   time.Duration `toml:"header"`   // read timeout of the HTTP server; at most Read
	Read     time.Duration `toml:"read"`     // of one complete request
	Idle     time.Duration `toml:"idle"`     // of a connection between requests
	Deadline time.Duration `toml:"deadline"` // of requests that state none
	Drain    time.Duration `toml:"drain"`    // at shutdown, for requests in flight
}

// The log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Logging holds the level and format of the log.
type Logging struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// DefaultSched returns the defaults of settings that a file leaves out.
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

// DefaultEntry returns the defaults of settings that a file leaves out.
func DefaultEntry() Entry {
	return Entry{
		Config: Config{FreshFor: defaultFreshFor},
		Limits: EntryLimits{
			MaxBody:        1 * MiB,
			MaxHeader:      16 * KiB,
			MaxInFlight:    4096,
			MaxConnections: 8192,
		},
		Timeouts: EntryTimeouts{
			Header:   5 * time.Second,
			Read:     15 * time.Second,
			Idle:     60 * time.Second,
			Deadline: 10 * time.Second,
			Drain:    30 * time.Second,
		},
		Log: defaultLogging(),
	}
}

// DefaultCtl returns the defaults of settings that a file leaves out.
func DefaultCtl() Ctl {
	return Ctl{Timeout: 15 * time.Second}
}

const defaultFreshFor = 3 * time.Second

func defaultLogging() Logging {
	return Logging{Level: "info", Format: FormatText}
}

package settings

import (
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
)

// LoadSched reads the settings of balsam-sched. The error is a findings.List.
func LoadSched(path string) (Sched, error) {
	s := DefaultSched()
	d, err := readDocument(path)
	if err != nil {
		return s, err
	}
	d.bind(&s)
	d.checkSched(s)
	if s.Member == "" {
		s.Member = ulid.Make().String()
	}
	return s, d.found.Err()
}

// LoadEntry reads the settings of balsam-entry. The error is a findings.List.
func LoadEntry(path string) (Entry, error) {
	s := DefaultEntry()
	d, err := readDocument(path)
	if err != nil {
		return s, err
	}
	d.bind(&s)
	d.checkEntry(s)
	return s, d.found.Err()
}

// LoadCtl reads the settings of balsamctl. The error is a findings.List.
func LoadCtl(path string) (Ctl, error) {
	s := DefaultCtl()
	d, err := readDocument(path)
	if err != nil {
		return s, err
	}
	d.bind(&s)
	d.checkPlatform(s.Platform)
	d.positive("timeout", s.Timeout)
	return s, d.found.Err()
}

func (d *document) checkSched(s Sched) {
	d.address("address", s.Address, true)
	d.address("metrics_address", s.MetricsAddress, false)
	d.required("failure_domain", s.FailureDomain)
	d.checkPlatform(s.Platform)
	d.checkLease(s.Lease)
	d.checkFreshFor(s.Config.FreshFor)
	d.positive("config.checkpoint_every", s.Config.CheckpointEvery)
	d.oneOf("policy.name", s.Policy.Name, PolicyWaiting, PolicyShare)
	d.positiveInt("limits.max_message", int64(s.Limits.MaxMessage))
	d.positive("limits.drain_timeout", s.Limits.DrainTimeout)
	d.positive("limits.quick_run", s.Limits.QuickRun)
	d.checkLogging(s.Log)
}

func (d *document) checkEntry(s Entry) {
	d.address("listen", s.Listen, true)
	d.address("metrics_address", s.MetricsAddress, false)
	d.address("sched", s.Sched, false)
	d.required("failure_domain", s.FailureDomain)
	d.checkPlatform(s.Platform)
	d.checkFreshFor(s.Config.FreshFor)
	d.positiveInt("limits.max_body", int64(s.Limits.MaxBody))
	d.positiveInt("limits.max_header", int64(s.Limits.MaxHeader))
	d.positiveInt("limits.max_in_flight", int64(s.Limits.MaxInFlight))
	d.positiveInt("limits.max_connections", int64(s.Limits.MaxConnections))
	d.positive("timeouts.header", s.Timeouts.Header)
	d.positive("timeouts.read", s.Timeouts.Read)
	d.positive("timeouts.idle", s.Timeouts.Idle)
	d.positive("timeouts.deadline", s.Timeouts.Deadline)
	d.positive("timeouts.drain", s.Timeouts.Drain)
	if s.Timeouts.Header > s.Timeouts.Read {
		d.add("timeouts.header", "must not exceed timeouts.read (%s)", s.Timeouts.Read)
	}
	if s.Listen != "" && s.Listen == s.MetricsAddress {
		d.add("metrics_address", "must differ from listen")
	}
	d.checkLogging(s.Log)
}

func (d *document) checkPlatform(p Platform) {
	d.baseURL("platform.log", p.Log)
	d.baseURL("platform.vm_list", p.VMList)
}

func (d *document) checkLease(l Lease) {
	d.positive("lease.renew", l.Renew)
	d.positive("lease.duration", l.Duration)
	if 2*l.Renew > l.Duration {
		d.add("lease.renew", "must be at most half of lease.duration (%s), so that one lost renewal does not end the lease", l.Duration)
	}
	if l.Drift >= l.Duration {
		d.add("lease.drift", "must be less than lease.duration (%s)", l.Duration)
	}
}

// maxFreshFor is the maximum of config.fresh_for. It bounds how long a withdrawn
// key keeps working and a failure domain stays in service after it was taken out.
const maxFreshFor = 10 * time.Second

func (d *document) checkFreshFor(freshFor time.Duration) {
	d.positive("config.fresh_for", freshFor)
	if freshFor > maxFreshFor {
		d.add("config.fresh_for", "must be at most %s", maxFreshFor)
	}
}

func (d *document) checkLogging(l Logging) {
	d.oneOf("log.format", l.Format, FormatText, FormatJSON)
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		d.add("log.level", "%q is not a level: trace, debug, info, warning, error", l.Level)
	}
}

func (d *document) required(key, value string) {
	if value == "" {
		d.add(key, "is missing")
	}
}

func (d *document) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		d.add(key, "%q is not one of %q", value, allowed)
	}
}

func (d *document) positive(key string, value time.Duration) {
	if value <= 0 {
		d.add(key, "must be longer than 0")
	}
}

func (d *document) positiveInt(key string, value int64) {
	if value <= 0 {
		d.add(key, "must be more than 0")
	}
}

func (d *document) address(key, value string, required bool) {
	if value == "" {
		if required {
			d.add(key, "is missing")
		}
		return
	}
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		d.add(key, "%q is not host:port", value)
	}
}

func (d *document) baseURL(key, value string) {
	if value == "" {
		d.add(key, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.add(key, "%q is not an http or https URL", value)
	}
}

// Package policy holds the policy that operators publish for the cell: the routes,
// teams and upkeep waves by which a node serves callers and places work. It is
// unrelated to the placement policy, the service that approves workers.
package policy

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Route maps requests by host and path prefix to a queue.
type Route struct {
	Host       string
	PathPrefix string
	Open       bool // callers need no API key
	Timeout    time.Duration
	Queue      dispatch.Queue
}

// Limits are the operators' limits on callers' requests. They are decoded but not
// enforced.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Wave is an operator's request for the upkeep of machines.
type Wave struct {
	Name          string
	Number        int
	Machines      []string
	Deadline      time.Duration // time allowed for the whole wave; it bounds only how long machines wait for their tasks to end
	MaxConcurrent int           // maximum number of machines in upkeep at a time
}

// Snapshot is one version of the policy. It must not be modified after it has
// been published.
type Snapshot struct {
	Version      uint64
	Routes       []Route
	Teams        []dispatch.Team
	TeamByKey    map[string]string // by API key
	Limits       Limits
	OutOfService []model.FailureDomain
	Waves        []Wave
}

// MatchRoute returns the route of the host with the longest matching path prefix, or
// false if none matches.
func (s *Snapshot) MatchRoute(host, path string) (*Route, bool) {
	var best *Route
	for i := range s.Routes {
		route := &s.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) &&
			(best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best, best != nil
}

// Queues returns the queues of all routes.
func (s *Snapshot) Queues() []dispatch.Queue {
	queues := make([]dispatch.Queue, 0, len(s.Routes))
	for i := range s.Routes {
		queues = append(queues, s.Routes[i].Queue)
	}
	return queues
}

// Current holds the newest snapshot. It is safe for concurrent use.
type Current struct {
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[func()]
}

// Get returns the newest snapshot, or nil before the first Set.
func (c *Current) Get() *Snapshot { return c.current.Load() }

// Set publishes a snapshot and calls the function set by Notify. It ignores a snapshot
// of an older version and reports false, so that the policy never reverts.
func (c *Current) Set(s *Snapshot) bool {
	for {
		old := c.current.Load()
		if old != nil && s.Version < old.Version {
			return false
		}
		if c.current.CompareAndSwap(old, s) {
			break
		}
	}
	if notify := c.changed.Load(); notify != nil {
		(*notify)()
	}
	return true
}

// Notify sets the function that Set calls after each change. It replaces the previous
// function.
func (c *Current) Notify(f func()) { c.changed.Store(&f) }

// Package policy holds the policy that operators publish for the cell: the routes,
// teams and upkeep waves by which a node serves callers and places work. It is
// unrelated to the placement policy, the service that approves workers.
package policy

import (
	"strings"
	"sync"
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

	mu            sync.Mutex
	subscriptions map[*func()]struct{}
}

// Get returns the newest snapshot, or nil before the first Set.
func (c *Current) Get() *Snapshot { return c.current.Load() }

// Set publishes a snapshot and calls the subscribers. It ignores a snapshot of an older
// version and reports false, so that the policy never reverts.
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
	for _, notify := range c.subscribers() {
		notify()
	}
	return true
}

func (c *Current) subscribers() []func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]func(), 0, len(c.subscriptions))
	for f := range c.subscriptions {
		list = append(list, *f)
	}
	return list
}

// Subscribe makes Set call f after each change until cancel is called; a call that has
// begun may end later. A subscriber that reads the snapshot after Subscribe has returned
// misses no change. Calls of f may overlap.
func (c *Current) Subscribe(f func()) (cancel func()) {
	subscription := &f
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscriptions == nil {
		c.subscriptions = map[*func()]struct{}{}
	}
	c.subscriptions[subscription] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscriptions, subscription)
	}
}

// Package policy holds what operators publish, as far as a node needs it to
// serve callers and to place work.
package policy

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Route leads callers to a queue.
type Route struct {
	Host       string
	PathPrefix string
	Open       bool // callers need no key
	Timeout    time.Duration
	Queue      dispatch.Queue
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Wave asks for the upkeep of machines.
type Wave struct {
	Name          string
	Number        int
	Machines      []string
	Deadline      time.Duration
	MaxConcurrent int // machines at a time
}

// Snapshot is the policy in force at one time. It is not changed once it has
// been published.
type Snapshot struct {
	Version      uint64
	Routes       []Route
	Teams        []dispatch.Team
	TeamByKey    map[string]string // key to team
	Limits       Limits
	OutOfService []model.FailureDomain
	Waves        []Wave
}

// Find returns the route with the longest prefix of the path on the host.
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

// Holder publishes the newest snapshot. It is safe for concurrent use.
type Current struct {
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[func()]
}

// Get returns the snapshot in force, or nil before the first configuration.
func (h *Current) Get() *Snapshot { return h.current.Load() }

// Set publishes a snapshot. Snapshots of an older version are dropped, so that
// a node never goes back.
func (h *Current) Set(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && s.Version < old.Version {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			break
		}
	}
	if notify := h.changed.Load(); notify != nil {
		(*notify)()
	}
	return true
}

// Notify calls f after each change; it replaces an earlier f.
func (h *Current) Notify(f func()) { h.changed.Store(&f) }

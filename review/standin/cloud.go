//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// cloud is a stand-in of the platform's list of machines, and of the call that begins
// the upkeep of one. It also answers calls for advice, which no case needs.
type cloud struct {
	w *world

	mu       sync.Mutex
	machines []*machine
	late     func(machine string) time.Duration // how much later the call is carried out without an answer
	mostDown int                                // most machines that were down for their upkeep at a time
	lastID   int
}

type machine struct {
	id     string
	runner *runner
	state  string
	token  uint64
	done   map[int]bool // waves for which its upkeep has begun
}

func newCloud(w *world) *cloud { return &cloud{w: w, late: func(string) time.Duration { return 0 }} }

// addMachines puts each runner on a machine of its own.
func (c *cloud) addMachines(runners []*runner) {
	for _, r := range runners {
		c.machines = append(c.machines, &machine{id: r.machine, runner: r, state: "up", done: map[int]bool{}})
	}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/-/machines":
		c.serveList(w)
	case "/-/machine-upkeep":
		c.serveUpkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) serveList(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, m := range c.machines {
		list = append(list, map[string]any{
			"machine": m.id, "pool": service, "state": m.state, "zone": m.runner.zone, "labels": []string{m.runner.kind, m.runner.rack},
			"capacity": map[string]any{"cpu": m.runner.cpu, "requested_memory_mb": m.runner.memory, "gpu": 0}, "id": m.runner.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// upkeepCall is a call that begins the upkeep of a machine.
type upkeepCall struct {
	Machine string `json:"machine"`
	Wave    int    `json:"wave"`
	holder  string
	token   uint64
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var call upkeepCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.holder = r.Header.Get("X-Duty-Holder")
	call.token, _ = strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if delay := c.late(call.Machine); delay > 0 {
		c.w.log("platform", "upkeep of %s ordered by %s with token %d gets no answer; it is carried out %v later", call.Machine, call.holder, call.token, delay)
		time.AfterFunc(delay, func() { c.upkeep(&call) })
		<-r.Context().Done()
		return
	}
	status, reason := c.upkeep(&call)
	answer := map[string]any{}
	if reason != "" {
		answer["reason"] = reason
	}
	reply(w, status, answer)
}

// upkeep begins the upkeep of a machine.
func (c *cloud) upkeep(call *upkeepCall) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, reason := http.StatusBadRequest, ""
	for _, m := range c.machines {
		if m.id == call.Machine {
			status, reason = c.begin(m, call)
		}
	}
	c.w.log("platform", "upkeep of %s, ordered by %s with token %d: %d %s", call.Machine, call.holder, call.token, status, reason)
	return status, reason
}

// begin begins the upkeep of the machine. The caller holds mu.
func (c *cloud) begin(m *machine, call *upkeepCall) (int, string) {
	switch {
	case call.token < m.token:
		return http.StatusConflict, "fence"
	case m.done[call.Wave]:
		m.token = call.token
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.token, m.state = call.token, "upkeep"
	m.done[call.Wave] = true
	down := 0
	for _, other := range c.machines {
		if other.state == "upkeep" {
			down++
		}
	}
	c.w.log("platform", "%s is down for its upkeep; %d machines of the wave are down", m.id, down)
	c.mostDown = max(c.mostDown, down)
	m.runner.crash(false)
	time.AfterFunc(upkeepTime, func() { c.finish(m) })
	return http.StatusOK, ""
}

// finish brings the machine back with a new runner.
func (c *cloud) finish(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := m.runner
	c.lastID++
	fresh := &runner{
		w: c.w, id: fmt.Sprintf("i-%08x", 0x9a000000+c.lastID), address: "127.0.0.1:0", machine: m.id,
		zone: old.zone, rack: old.rack, cpu: old.cpu, memory: old.memory,
	}
	if err := fresh.start(old.kind, 0); err != nil {
		c.w.log("platform", "%s does not come back: %v", m.id, err)
		return
	}
	m.runner, m.state = fresh, "up"
	c.w.log("platform", "%s is up again", m.id)
}

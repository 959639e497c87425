//go:build review2

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["policy"] = policyCase }

// evacuationTime is evacuation_ms of the site file.
const evacuationTime = 5 * time.Second

const (
	// backlog is the number of jobs that wait when the owner changes. The new owner takes
	// the longer to restore them the more there are.
	backlog = 1200
	// evacuationDelay is the time from the node's SIGTERM to the operator's request.
	evacuationDelay = 15 * time.Millisecond
	policyRounds    = 4
)

// policyCase: an operator stops a node of a zone, as in a rolling restart, and evacuates
// the zone. Nothing may start in the zone later than evacuation_ms after the evacuation,
// until it is taken back.
func policyCase(c *Cell, trouble bool) int {
	room := Resources{CPU: 16000, Memory: 65536}
	for i := range 8 {
		c.AddWorker([]string{"north", "south"}[i%2], "a", room)
	}
	c.Configure(1, []Route{{Name: "plans", Prefix: "/plans/", Priority: 1, TargetMs: 1000, MaxAttempts: 4, Slowdown: 2.2}},
		[]Tenant{{Name: "one", Keys: []string{"key-one"}, Weight: 10}})
	if !c.StartNodes("north", "south", "north") {
		return exitNotRun
	}
	time.Sleep(4 * time.Second)
	if !submitBacklog(c, backlog) {
		return exitNotRun
	}
	time.Sleep(4 * time.Second)
	for range policyRounds {
		if late := evacuateOwner(c, trouble); late > 0 {
			return exitBroken
		}
	}
	return exitHeld
}

// evacuateOwner stops the owner's node, evacuates its zone for a while, and starts the
// node again. It returns the number of starts in the zone that came too late.
func evacuateOwner(c *Cell, trouble bool) int {
	owner := c.Owner()
	if trouble {
		owner.Signal(syscall.SIGTERM)
		time.Sleep(evacuationDelay)
	}
	c.store.Put("keyed.op", "evacuate/"+owner.zone, map[string]any{})
	evacuated := time.Now()
	c.note("evacuate", "zone", owner.zone)
	time.Sleep(evacuationTime + 8*time.Second)
	late := 0
	for _, r := range c.Runs("") {
		if r.zone == owner.zone && r.began.After(evacuated.Add(evacuationTime)) {
			late++
		}
	}
	c.note("starts-in-zone", "zone", owner.zone, "later-than-ms", evacuationTime.Milliseconds(), "count", late, "all", len(c.Runs("")))
	c.store.Put("keyed.op", "evacuate/"+owner.zone, nil)
	c.note("evacuation-ends", "zone", owner.zone)
	if trouble {
		<-owner.done // it was stopped before the evacuation began
		owner.Start()
	}
	time.Sleep(6 * time.Second)
	return late
}

// submitBacklog hands in the given number of jobs and reports whether all were accepted.
func submitBacklog(c *Cell, jobs int) bool {
	var group sync.WaitGroup
	accepted := make(chan bool, jobs)
	next := make(chan int)
	for range 32 {
		group.Go(func() {
			for i := range next {
				accepted <- c.Submit(i, "/plans/", jobID(0xa000+i), "key-one", 2000, Step{Count: 4, CPU: 2000, Memory: 2048, EstimatedMs: 2000})
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	group.Wait()
	close(accepted)
	for ok := range accepted {
		if !ok {
			return false
		}
	}
	return true
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

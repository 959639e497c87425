//go:build review2

package main

import (
	"time"
)

func init() { cases["gang"] = gangCase }

// finishTime is finish_s of the site file.
const finishTime = 14 * time.Second

// gangCase: a gang waits for a worker that was lost for good. A job of another tenant,
// for which there is room on all other workers, must run all the same.
func gangCase(c *Cell, trouble bool) int {
	room := Resources{CPU: 16000, Memory: 65536}
	for i := range 8 {
		c.AddWorker([]string{"north", "south"}[i%2], "a", room)
	}
	c.Configure(1, []Route{
		{Name: "plans", Prefix: "/plans/", Priority: 1, TargetMs: 1000, MaxAttempts: 4, Slowdown: 2.2},
		{Name: "layouts", Prefix: "/layouts/", Priority: 2, TargetMs: 3000, MaxAttempts: 2, Slowdown: 4},
	}, []Tenant{
		{Name: "one", Keys: []string{"key-one"}, Weight: 10, Cap: Resources{CPU: 128000, Memory: 524288}},
		{Name: "two", Keys: []string{"key-two"}, Weight: 10, Cap: Resources{CPU: 128000, Memory: 524288}},
	})
	if !c.StartNodes("north", "south", "north") {
		return exitNotRun
	}
	time.Sleep(5 * time.Second)
	if trouble {
		c.workers[7].Crash()
		time.Sleep(8 * time.Second)
	}
	if !c.Submit(0, "/plans/", "00000000000000a1", "key-one", 4000, Step{Count: 8, CPU: 9000, Memory: 8192, EstimatedMs: 4000, Gang: true}) {
		return exitNotRun
	}
	time.Sleep(time.Second)
	if !c.Submit(1, "/layouts/", "00000000000000b1", "key-two", 3400, Step{Count: 1, CPU: 1800, Memory: 4096, EstimatedMs: 3400}, Step{Count: 2, CPU: 1800, Memory: 4096, EstimatedMs: 3400, Dependencies: []int{0}}) {
		return exitNotRun
	}
	accepted := time.Now()
	for time.Since(accepted) < finishTime+3*time.Second {
		time.Sleep(2 * time.Second)
		c.State(0, "/layouts/", "00000000000000b1", "key-two")
	}
	c.note("runs", "gang", len(c.Runs("00000000000000a1")), "other", len(c.Runs("00000000000000b1")))
	if len(c.Runs("00000000000000b1.0.1")) == 0 {
		status, _ := c.call(c.nodes[0], "DELETE", "/plans/", "00000000000000a1", "key-one", nil)
		c.note("cancel", "status", status)
		for i := 0; i < 10; i++ {
			time.Sleep(3 * time.Second)
			c.State(i, "/layouts/", "00000000000000b1", "key-two")
		}
		c.note("runs", "gang", len(c.Runs("00000000000000a1")), "other", len(c.Runs("00000000000000b1")))
		return exitBroken
	}
	return exitHeld
}

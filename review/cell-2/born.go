//go:build review2

package main

import (
	"time"
)

func init() { cases["born"] = bornCase }

// smallCell starts eight workers and three nodes with one queue.
func smallCell(c *Cell, kinds ...string) bool {
	for i := range 8 {
		c.AddWorker([]string{"north", "south"}[i%2], kinds[i%len(kinds)], Resources{CPU: 16000, Memory: 65536})
	}
	c.Configure(1, []Route{{Name: "plans", Prefix: "/plans/", Priority: 1, TargetMs: 1000, MaxAttempts: 4, Slowdown: 2.2}},
		[]Tenant{{Name: "one", Keys: []string{"key-one"}, Weight: 10}})
	if !c.StartNodes("north", "south", "north") {
		return false
	}
	time.Sleep(4 * time.Second)
	return true
}

// bornCase: a worker starts while its time of day is ahead, crashes, and starts again under
// its id after its time of day was set right. What it ran must run again.
func bornCase(c *Cell, trouble bool) int {
	const job = "00000000000000e1"
	const step = 2400 * time.Millisecond // of the time of day
	if !smallCell(c, "a", "a", "a", "b") {
		return exitNotRun
	}
	w := c.workers[3]
	w.Crash()
	time.Sleep(8 * time.Second)
	other := c.workers[7] // the only other one of its kind
	other.Crash()
	time.Sleep(500 * time.Millisecond)
	if !c.Submit(0, "/plans/", job, "key-one", 4000, Step{Count: 1, CPU: 9000, Memory: 8192, EstimatedMs: 4000, Requirements: "b"}) {
		return exitNotRun
	}
	born := time.Now()
	if trouble {
		born = born.Add(step)
	}
	w.Up(born.UnixMilli())
	for i := 0; len(c.Runs(job)) == 0; i++ {
		if i == 100 {
			return exitNotRun
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	w.Crash()
	time.Sleep(300 * time.Millisecond)
	w.Up(time.Now().UnixMilli())
	other.Up(time.Now().UnixMilli())
	time.Sleep(finishTime + 3*time.Second)
	c.State(0, "/plans/", job, "key-one")
	time.Sleep(20 * time.Second)
	state := c.State(0, "/plans/", job, "key-one")
	c.note("job", "state", state, "runs", len(c.Runs(job)))
	if len(c.Runs(job)) == 1 {
		return exitBroken
	}
	return exitHeld
}

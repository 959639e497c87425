//go:build review2

package main

import (
	"time"
)

func init() {
	cases["crash"] = crashCase
	cases["kind"] = kindCase
	cases["born"] = bornCase
}

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

// crashCase: workers crash in turn, one at a time, and start again under their ids. A job
// whose tasks never fail by themselves must not be shown as failed.
func crashCase(c *Cell, trouble bool) int {
	const job = "00000000000000c1"
	if !smallCell(c, "a") || !c.Submit(0, "/plans/", job, "key-one", 12000, Step{Count: 6, CPU: 9000, Memory: 8192, EstimatedMs: 12000}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	for i := 0; trouble && time.Since(began) < 45*time.Second; i++ {
		w := c.workers[i%len(c.workers)]
		w.Crash()
		time.Sleep(500 * time.Millisecond)
		w.Up(time.Now().UnixMilli())
		time.Sleep(time.Second)
	}
	state := ""
	for i := 0; i < 20 && state != "completed" && state != "failed"; i++ {
		time.Sleep(2 * time.Second)
		state = c.State(i, "/plans/", job, "key-one")
	}
	failed, crashed := 0, 0
	for _, r := range c.Runs(job) {
		switch r.how {
		case "failed":
			failed++
		case "crash":
			crashed++
		}
	}
	c.note("job", "state", state, "runs", len(c.Runs(job)), "ended-failed", failed, "ended-with-their-worker", crashed)
	if state == "failed" && failed == 0 {
		return exitBroken
	}
	return exitHeld
}

// taskCPU is the size of the tasks of kindCase.
const taskCPU = 4000

// kindCase: workers crash one at a time and start again under their ids as a smaller kind.
// None may get more than it has room for.
func kindCase(c *Cell, trouble bool) int {
	over := 0
	c.onStart = func(began runSeen) {
		used, room := 0, 0
		for _, r := range c.Runs("") {
			if r.worker == began.worker && r.how == "" {
				used += taskCPU
			}
		}
		for _, w := range c.workers {
			if w.id == began.worker {
				room = w.capacity.CPU // the caller holds the worker's lock
			}
		}
		if used > room {
			over++
			c.note("over-capacity", "worker", began.worker, "used", used, "room", room)
		}
	}
	if !smallCell(c, "a") {
		return exitNotRun
	}
	for i := range 40 {
		if !c.Submit(i, "/plans/", jobID(0xd000+i), "key-one", 4000, Step{Count: 16, CPU: taskCPU, Memory: 2048, EstimatedMs: 4000}) {
			return exitNotRun
		}
	}
	for _, w := range c.workers {
		time.Sleep(5 * time.Second)
		w.Crash()
		time.Sleep(300 * time.Millisecond)
		if trouble {
			w.mu.Lock()
			w.kind, w.capacity = "b", Resources{CPU: 8000, Memory: 32768}
			w.mu.Unlock()
		}
		w.Up(time.Now().UnixMilli())
	}
	time.Sleep(5 * time.Second)
	c.note("starts-over-capacity", "count", over)
	if over > 0 {
		return exitBroken
	}
	return exitHeld
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

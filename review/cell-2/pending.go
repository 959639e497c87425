//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pending"] = pendingCase }

const (
	// visibleTime is visible_ms + 2 s: from this age, a job that has not begun counts.
	visibleTime = 5 * time.Second
	// leastWaiting is the number of jobs from which a count is judged.
	leastWaiting = 4
	// zoneLossTime is the default for_s of zone_loss.
	zoneLossTime = 5 * time.Second
)

// pendingCase: a zone loses power and, a moment later, the owner, which is in the other
// zone, is killed. The zone has power again after zoneLossTime. The node that nothing has
// happened to must count the jobs that have not begun. ONLY=zone and ONLY=kill leave out the
// other disruption.
func pendingCase(c *Cell, trouble bool) int {
	c.Configure(1, []Route{{Name: "quotes", Prefix: "/quotes/", Priority: 0, TargetMs: 250, MaxAttempts: 2, Slowdown: 1.5}},
		[]Tenant{{Name: "one", Keys: []string{"key-one"}, Weight: 10}})
	if !c.StartNodes("north", "north", "south", "south") {
		return exitNotRun
	}
	time.Sleep(time.Second)
	owner := c.Owner()
	lost, kept := "north", "south" // the zone without power is not the owner's
	if owner.zone == lost {
		lost, kept = kept, lost
	}
	for i := range 8 {
		c.AddWorker([]string{lost, kept}[i/4], "a", Resources{CPU: 16000, Memory: 65536})
	}
	time.Sleep(4 * time.Second)
	var untouched *Node
	for _, n := range c.nodes {
		if n.zone == kept && n != owner {
			untouched = n
		}
	}
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	var calls sync.WaitGroup
	submit := func(i int) {
		if id := jobID(0xb000 + i); c.Submit(i, "/quotes/", id, "key-one", 1000, Step{Count: 1, CPU: 2600, Memory: 2048, EstimatedMs: 1000}) {
			mu.Lock()
			accepted[id] = time.Now()
			mu.Unlock()
		}
	}
	lose, kill := trouble && os.Getenv("ONLY") != "kill", trouble && os.Getenv("ONLY") != "zone"
	for i := range 34 { // 30 a second
		if i == 6 && lose {
			for _, w := range c.workers[:4] {
				w.Dark()
			}
			for _, n := range c.nodes {
				if n.zone == lost {
					n.Signal(syscall.SIGKILL)
				}
			}
			time.AfterFunc(zoneLossTime, func() { c.restore(lost) })
		}
		if i == 32 && kill {
			owner.Signal(syscall.SIGKILL)
		}
		calls.Go(func() { submit(i) })
		time.Sleep(33 * time.Millisecond)
	}
	calls.Wait()
	broken := wrongCounts(c, untouched, accepted)
	c.note("wrong-counts", "count", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// restore gives a zone its power back: its nodes start again, and its workers under new ids.
func (c *Cell) restore(zone string) {
	c.note("zone-power-back", "zone", zone)
	for _, n := range c.nodes {
		if n.zone == zone {
			<-n.done
			n.Start()
		}
	}
	for range 4 {
		c.AddWorker(zone, "a", Resources{CPU: 16000, Memory: 65536})
	}
}

// wrongCounts asks the node for the number of pending jobs for a while and returns how
// often it gave fewer than half of the accepted jobs that had waited long enough.
func wrongCounts(c *Cell, n *Node, accepted map[string]time.Time) int {
	wrong := 0
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(200 * time.Millisecond) {
		before := waitingJobs(c, accepted)
		status, text := c.call(n, http.MethodGet, "/quotes/", "", "key-one", nil)
		var reply struct{ Pending *int }
		if status != http.StatusOK || json.Unmarshal([]byte(text), &reply) != nil || reply.Pending == nil {
			continue
		}
		waiting := 0
		for _, id := range before {
			if len(c.Runs(id)) == 0 {
				waiting++
			}
		}
		c.note("pending", "node", n.name, "said", *reply.Pending, "waiting", waiting)
		if waiting >= leastWaiting && 2**reply.Pending < waiting {
			wrong++
		}
	}
	return wrong
}

// waitingJobs returns the jobs that were accepted visibleTime ago or earlier and have not
// begun.
func waitingJobs(c *Cell, accepted map[string]time.Time) []string {
	var ids []string
	for id, at := range accepted {
		if time.Since(at) > visibleTime && len(c.Runs(id)) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// config returns a configuration with one queue.
func config(attempts int) string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"r-1","host":%q,"kind":"unsafe","path_prefix":%q,"timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"svc","max_attempts":%d,"slowdown_factor":2.2,"public":false}],
"services":[{"name":"svc"}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"tenants":[{"name":"t-1","api_keys":[%q],"weight":30,"cap":{"cpu":0,"requested_memory_mb":0,"gpu":0}}]}`, host, prefix, attempts, key)
}

// unstarted hands in a job of one sound task. Three runners, one of eight at a time, crash
// before an order to start the task reaches them, and are back a second later. The task is
// at work on none of them when they crash.
func unstarted(root, folder string) (verdict, string) {
	c, err := newCell(root, folder, 3, 8, config(maxAttempts))
	if err != nil {
		return cannotRun, err.Error()
	}
	if !c.ready(20 * time.Second) {
		return cannotRun, "the nodes are not ready"
	}
	time.Sleep(2 * time.Second)
	const id, task, most = "00000000000000a1", "00000000000000a1.0.0.0", 3
	crashes, under, down := 0, 0, false // guarded by c.mu
	if c.trouble {
		c.mu.Lock()
		c.crashBefore = func(r *runner, ordered string) bool { // the caller holds the runner's mu and c.mu
			if ordered != task || crashes == most || down {
				return false
			}
			crashes, down = crashes+1, true
			if r.running[task] != nil {
				under++
			}
			go func() {
				time.Sleep(time.Second)
				if err := r.start(); err != nil {
					c.note("runner %s does not come back: %v", r.id, err)
					return
				}
				c.note("runner %s is back", r.id)
				c.mu.Lock()
				down = false
				c.mu.Unlock()
			}()
			return true
		}
		c.mu.Unlock()
	}
	if err := c.submit(id, `{"task_spec":"work=4s","steps":[{"count":1,"cpu":9000,"requested_memory_mb":34000,"estimated_ms":4000}]}`, 4); err != nil {
		return cannotRun, "the job was not accepted: " + err.Error()
	}
	state := ""
	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(100 * time.Millisecond) {
		if state = c.state(id); state == "completed" || state == "failed" {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := 0
	for _, how := range c.ends[task] {
		if how == "failed" {
			failed++
		}
	}
	text := fmt.Sprintf("the job is shown as %s; runs of its task that a runner has begun: %d, ends that runners listed: %v, runners that crashed before an order to start it reached them: %d, under a run of it: %d",
		state, len(c.starts[task]), c.ends[task], crashes, under)
	switch {
	case state == "failed" && failed < maxAttempts && under < allowedCrashes:
		return broken, text
	case state == "failed" || state == "completed":
		return held, text
	}
	return cannotRun, text
}

const (
	maxAttempts    = 4 // of the queue; a task that has failed so often fails its job
	allowedCrashes = 2 // of runners under a task, from which its job may be shown as failed
)

// fields hands in jobs whose bodies are legal in size and made of very many short fields.
// It then hands one ordinary job in.
func fields(root, folder string) (verdict, string) {
	c, err := newCell(root, folder, 3, 8, config(maxAttempts))
	if err != nil {
		return cannotRun, err.Error()
	}
	if !c.ready(20 * time.Second) {
		return cannotRun, "the nodes are not ready"
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.enforceMemory(ctx)
	time.Sleep(2 * time.Second)
	const ordinary = `{"task_spec":"work=1s","steps":[{"count":2,"cpu":2600,"requested_memory_mb":7300,"estimated_ms":1000}]}`
	if err := c.submit("00000000000000b0", ordinary, 4); err != nil {
		return cannotRun, "an ordinary job was not accepted: " + err.Error()
	}
	if c.trouble {
		body := `{"task_spec":"work=1s","steps":[` + strings.TrimSuffix(strings.Repeat(stepFields, fieldSteps), ",") + `]}`
		var crowd sync.WaitGroup
		began := time.Now()
		for client := range fieldClients {
			crowd.Go(func() {
				for i := range fieldJobs / fieldClients {
					if time.Since(began) > crowdTime {
						return
					}
					_ = c.submit(fmt.Sprintf("%016x", 0xc0000+client*0x1000+i), body, 1)
					time.Sleep(fieldPause)
				}
			})
		}
		crowd.Wait()
	}
	c.note("the crowd has left")
	before := c.exits()
	time.Sleep(observeTime)
	often, ends := 0, []string{}
	for i, exits := range c.exits() {
		ends = append(ends, fmt.Sprintf("%d of %s (peak %d MB)", exits-before[i], c.nodes[i].name, c.nodes[i].peak()))
		if exits-before[i] >= 3 {
			often++
		}
	}
	err = c.submit("00000000000000b1", ordinary, 4)
	time.Sleep(ordinaryTime)
	text := fmt.Sprintf("ends of processes over the limit of %d MB in the %v after the last request of the crowd: %s; an ordinary job handed in then: %s, its state %v later: %s",
		memoryMB, observeTime, strings.Join(ends, ", "), answerText(err), ordinaryTime, c.state("00000000000000b1"))
	if often >= 2 {
		return broken, text
	}
	return held, text
}

func answerText(err error) string {
	if err != nil {
		return err.Error()
	}
	return "accepted"
}

const (
	stepFields   = `{"count":1,"cpu":1000},`
	fieldSteps   = 1000
	fieldJobs    = 240
	fieldClients = 4
	fieldPause   = 165 * time.Millisecond // keeps the crowd below the tenant's weight, 30 jobs a second
	crowdTime    = 25 * time.Second       // at most
	observeTime  = 30 * time.Second
	ordinaryTime = 10 * time.Second
)

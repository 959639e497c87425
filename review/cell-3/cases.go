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

// crashes hands in a job of one task, and then one of a task that lasts. It crashes the runner
// that the task is at work on, one runner of eight at a time, for a second.
func crashes(root, folder string) (verdict, string) {
	c, err := newCell(root, folder, 3, 8, config(4))
	if err != nil {
		return cannotRun, err.Error()
	}
	if !c.ready(20 * time.Second) {
		return cannotRun, "the nodes are not ready"
	}
	time.Sleep(2 * time.Second)
	result, texts := held, []string{}
	for _, job := range []struct{ id, what, body string }{
		{"00000000000000a1", "a job of one task of 4 s", `{"task_spec":"work=4s","steps":[{"count":1,"cpu":9000,"requested_memory_mb":34000,"estimated_ms":4000}]}`},
		{"00000000000000a2", "a job of one task that lasts", `{"task_spec":"lasts","steps":[{"count":1,"cpu":9000,"requested_memory_mb":34000,"long_running":true}]}`},
	} {
		if err := c.submit(job.id, job.body, 4); err != nil {
			return cannotRun, "the job was not accepted: " + err.Error()
		}
		state, crashed, err := c.crashUnder(job.id)
		if err != nil {
			return cannotRun, err.Error()
		}
		c.mu.Lock()
		ends := strings.Join(c.ends[job.id+".0.0.0"], " ")
		c.mu.Unlock()
		texts = append(texts, fmt.Sprintf("%s is shown as %s after %d crashes of runners; ends of its runs that runners listed: [%s]", job.what, state, crashed, ends))
		c.note("%s", texts[len(texts)-1])
		if state == "failed" {
			result = broken
		}
	}
	return result, strings.Join(texts, "; ")
}

// crashUnder crashes the runner of each run of the job's only task, up to five times. It
// returns the job's state once it has ended, or after 30 s.
func (c *cell) crashUnder(id string) (state string, crashed int, err error) {
	task := id + ".0.0.0"
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		if state = c.state(id); state == "completed" || state == "failed" {
			return state, crashed, nil
		}
		if !c.trouble || c.ran(task) <= crashed || crashed == 5 {
			continue
		}
		crashed++
		time.Sleep(1500 * time.Millisecond)
		for _, r := range c.runners {
			r.mu.Lock()
			at := r.running[task] != nil
			r.mu.Unlock()
			if !at {
				continue
			}
			r.crash()
			time.Sleep(time.Second)
			if err := r.start(); err != nil {
				return state, crashed, err
			}
			c.note("runner %s is back", r.id)
		}
	}
	return state, crashed, nil
}

// fields hands in jobs whose bodies are legal in size and made of very many short fields.
// It then hands one ordinary job in.
func fields(root, folder string) (verdict, string) {
	c, err := newCell(root, folder, 3, 8, config(4))
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
		for client := range fieldClients {
			crowd.Go(func() {
				for i := range fieldJobs / fieldClients {
					_ = c.submit(fmt.Sprintf("%016x", 0xc0000+client*0x1000+i), body, 1)
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
	observeTime  = 30 * time.Second
	ordinaryTime = 10 * time.Second
)

// lasting hands a job of tasks that last in and crashes the runner that they have just
// begun on, for 4.5 s.
func lasting(root, folder string) (verdict, string) {
	c, err := newCell(root, folder, 3, 8, config(4))
	if err != nil {
		return cannotRun, err.Error()
	}
	if !c.ready(20 * time.Second) {
		return cannotRun, "the nodes are not ready"
	}
	time.Sleep(2 * time.Second)
	const id, tasks = "00000000000000d1", 12
	if err := c.submit(id, fmt.Sprintf(`{"task_spec":"lasts","steps":[{"count":%d,"cpu":1000,"requested_memory_mb":1000,"long_running":true}]}`, tasks), 4); err != nil {
		return cannotRun, "the job was not accepted: " + err.Error()
	}
	time.Sleep(2 * time.Second)
	counts := map[*runner]int{}
	for _, r := range c.runners {
		r.mu.Lock()
		counts[r] = len(r.running)
		r.mu.Unlock()
	}
	victim := c.runners[0]
	for r, n := range counts {
		if n > counts[victim] {
			victim = r
		}
	}
	c.note("most tasks are at work on %s: %d", victim.id, counts[victim])
	lastRun := time.Now()
	calm := lastRun
	if c.trouble {
		victim.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := victim.start(); err != nil {
			return cannotRun, err.Error()
		}
		calm = time.Now()
		c.note("runner %s is back", victim.id)
	}
	// The rule holds from 6 s after the last run, in 3 s before which 4 s were calm.
	from := lastRun.Add(6 * time.Second)
	if after := calm.Add(4 * time.Second); after.After(from) {
		from = after
	}
	idle := map[string]time.Time{}
	for time.Since(lastRun) < 25*time.Second {
		atWork := map[string]bool{}
		for _, r := range c.runners {
			r.mu.Lock()
			for task := range r.running {
				atWork[task] = true
			}
			r.mu.Unlock()
		}
		now := time.Now()
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			if atWork[task] || now.Before(from) {
				delete(idle, task)
				continue
			}
			if idle[task].IsZero() {
				idle[task] = now
			}
			if now.Sub(idle[task]) > 3*time.Second {
				return broken, fmt.Sprintf("task %s is not at work %.1f s after its last run, %.1f s after the runner was back", task, now.Sub(lastRun).Seconds(), now.Sub(calm).Seconds())
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return held, "all tasks were started again in time"
}

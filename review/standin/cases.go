//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func repeat(kind string, count int) []string {
	kinds := make([]string, count)
	for i := range kinds {
		kinds[i] = kind
	}
	return kinds
}

// changedKind plays the crash of a runner that starts again under its id as a runner of
// another kind.
func changedKind(w *world, trouble bool) (bool, string, error) {
	const (
		first  = "5c0e7a21d94b36f8"
		second = "5c0e7a21d94b36f9"
		// firstHeartbeat is the time from the start of the new life to its entry in the
		// store, less than one heartbeat interval.
		firstHeartbeat = 500 * time.Millisecond
		downFor        = 3 * time.Second
	)
	w.publish(queueOptions{MaxAttempts: 4})
	if err := w.addRunners([]string{"a", "a", "b", "b", "b", "b", "b", "b"}); err != nil {
		return false, "", err
	}
	if err := w.startSystem(3); err != nil {
		return false, "", err
	}
	// Each task takes more than half of a runner, so that the two runners of kind a are taken.
	size := step{Count: 1, CPU: 20000, MemoryMB: 1024, EstimatedMs: 12000, Requirements: "a"}
	if !w.submit(first, "work_ms=12000", size) || !w.submit(second, "work_ms=12000", size) {
		return false, "", errors.New("a job was not accepted")
	}
	begun, ok := w.awaitStart(first, 0, 10*time.Second)
	if !ok {
		return false, "", errors.New("the first job has not begun")
	}
	if _, ok := w.awaitStart(second, 0, 10*time.Second); !ok {
		return false, "", errors.New("the second job has not begun")
	}
	if trouble {
		time.Sleep(4 * time.Second)
		r := w.runner(begun.runner)
		r.crash(false)
		time.Sleep(downFor)
		if err := r.start("b", firstHeartbeat); err != nil {
			return false, "", err
		}
	}
	w.awaitState(first, 40*time.Second, "completed", "failed")
	w.awaitState(second, 40*time.Second, "completed", "failed")
	wrong := 0
	list := append(w.startsOf(first), w.startsOf(second)...)
	for _, s := range list {
		if s.kind != "a" {
			wrong++
		}
	}
	return wrong > 0, fmt.Sprintf("%d of %d starts were on a runner without the label that the step requires", wrong, len(list)), nil
}

// relisted plays a runner that crashes and starts again under its id, and is cut off some
// seconds later for so long that its entry is removed.
func relisted(w *world, trouble bool) (bool, string, error) {
	const (
		job    = "5c0e7a21d94b36f8"
		before = "5c0e7a21d94b36f9"
		cutFor = 5500 * time.Millisecond
		// The job is asked for finishS after the end of the traffic, and for the 3 s after
		// that.
		finishS = 14 * time.Second
	)
	w.publish(queueOptions{MaxAttempts: 4})
	kinds := append([]string{"a"}, repeat("b", 7)...)
	if err := w.addRunners(kinds); err != nil {
		return false, "", err
	}
	if err := w.startSystem(3); err != nil {
		return false, "", err
	}
	r := w.runners[0]
	size := step{Count: 1, CPU: 2000, MemoryMB: 1024, EstimatedMs: 1000, Requirements: "a"}
	if !w.submit(before, "work_ms=1000", size) {
		return false, "", errors.New("a job was not accepted")
	}
	if state := w.awaitState(before, 20*time.Second, "completed"); state != "completed" {
		return false, "", fmt.Errorf("the job before the disruption is shown as %q", state)
	}
	if trouble {
		r.crash(false)
		time.Sleep(time.Second)
		if err := r.start("a", 0); err != nil {
			return false, "", err
		}
		time.Sleep(5 * time.Second)
		r.setCut(true)
		time.Sleep(cutFor)
		r.setCut(false)
	}
	time.Sleep(5 * time.Second)
	if !w.submit(job, "work_ms=1000", size) {
		return false, "", errors.New("the job was not accepted")
	}
	state := w.awaitState(job, finishS+3*time.Second, "completed")
	w.log("test", "starts of the job: %d", len(w.startsOf(job)))
	return state != "completed" && len(w.startsOf(job)) == 0, fmt.Sprintf("job %s is shown as %q %v after the end of the traffic; %d starts, %d calls rejected by the runner with 409 fence",
		job, state, finishS+3*time.Second, len(w.startsOf(job)), w.fenced[r.id]), nil
}

// lateUpkeep plays a wave of upkeep in which the order for the first machine gets no
// answer and is carried out some seconds later, and the node that gave it is killed.
func lateUpkeep(w *world, trouble bool) (bool, string, error) {
	const (
		waveCap  = 1
		late     = 2500 * time.Millisecond
		deadline = 60 * time.Second
	)
	w.publish(queueOptions{MaxAttempts: 4})
	if err := w.addRunners(repeat("a", 8)); err != nil {
		return false, "", err
	}
	w.cloud.addMachines(w.runners)
	if err := w.startSystem(3); err != nil {
		return false, "", err
	}
	// The runners run one task each, but for one, which is the first that can go.
	size := step{Count: 1, CPU: 20000, MemoryMB: 1024, EstimatedMs: 1000}
	const before = "5c0e7a21d94b3610"
	if !w.submit(before, "work_ms=100", size) || w.awaitState(before, 20*time.Second, "completed") != "completed" {
		return false, "", errors.New("the job before the wave was not completed")
	}
	for i := range 7 {
		if !w.submit(fmt.Sprintf("5c0e7a21d94b360%d", i), "work_ms=1000", size) {
			return false, "", errors.New("a job was not accepted")
		}
	}
	ordered := make(chan string, 1)
	if trouble {
		var once sync.Once
		w.cloud.late = func(machine string) (delay time.Duration) {
			once.Do(func() {
				delay = late
				ordered <- machine
			})
			return delay
		}
	}
	machines := []string{}
	for _, m := range w.cloud.machines {
		machines = append(machines, m.id)
	}
	wave, err := json.Marshal(map[string]any{"wave": 1, "machines": machines, "deadline_s": deadline.Seconds(), "cap": waveCap})
	if err != nil {
		return false, "", err
	}
	w.store.put("keyed.op", "wave/1", wave)
	w.log("operator", "op/wave/1: %s", wave)
	if trouble {
		select {
		case machine := <-ordered:
			owner := w.owner()
			if owner == nil {
				return false, "", errors.New("no node owns the cell")
			}
			time.Sleep(100 * time.Millisecond)
			w.log("test", "killing %s, which has ordered the upkeep of %s", owner.name, machine)
			owner.kill()
			time.Sleep(time.Second)
			if err := owner.start(); err != nil {
				return false, "", err
			}
		case <-time.After(20 * time.Second):
			return false, "", errors.New("no upkeep was ordered")
		}
	}
	status := ""
	for until := time.Now().Add(deadline); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status = string(w.store.get("keyed.status", "wave/1")); strings.Contains(status, "completed") {
			break
		}
	}
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	return w.cloud.mostDown > waveCap, fmt.Sprintf("up to %d machines of the wave were down for their upkeep at a time, cap is %d; status/wave/1 is %s",
		w.cloud.mostDown, waveCap, status), nil
}

// forgotten plays runners that lose power for a second, one after the other, under a
// steady flow of short jobs. Each starts again under its id.
func forgotten(w *world, trouble bool) (bool, string, error) {
	const (
		downFor  = 1050 * time.Millisecond
		failures = 6
		pause    = 4 * time.Second // between two power failures
		interval = 50 * time.Millisecond
		workMs   = 500
	)
	w.publish(queueOptions{MaxAttempts: 4})
	if err := w.addRunners(repeat("a", 8)); err != nil {
		return false, "", err
	}
	if err := w.startSystem(3); err != nil {
		return false, "", err
	}
	size := step{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMs: workMs}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			id := fmt.Sprintf("5c0e7a21%08x", i)
			clients.Go(func() { w.submit(id, fmt.Sprintf("work_ms=%d", workMs), size) })
		}
	})
	time.Sleep(6 * time.Second)
	for range failures {
		time.Sleep(pause)
		if !trouble {
			continue
		}
		r := w.busiest()
		r.crash(true)
		time.Sleep(downFor)
		if err := r.start(r.kind, 0); err != nil {
			return false, "", err
		}
	}
	time.Sleep(pause)
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	again := w.startsAfterDone()
	for _, line := range again {
		w.log("test", "%s", line)
	}
	return len(again) > 0, fmt.Sprintf("%d starts were after a run of the task had ended done and the end had been taken note of", len(again)), nil
}

// backlog plays a tenant whose jobs wait for its cap, and the change of the configuration
// that lifts the cap.
func backlog(w *world, trouble bool) (bool, string, error) {
	const (
		before   = "5c0e7a21d94b36f7"
		small    = "5c0e7a21d94b36f9"
		jobs     = 1400
		interval = 27 * time.Millisecond // between two jobs, as usual on the site
		tasks    = 60                    // of a job, the most on the site
		cpu      = 3                     // of a task
		// Jobs are asked for finishS after the end of the traffic, and for the 3 s after that.
		finishS = 14 * time.Second
	)
	w.publish(queueOptions{MaxAttempts: 4, Cap: 100 * cpu})
	if err := w.addRunners(repeat("a", 8)); err != nil {
		return false, "", err
	}
	if err := w.startSystem(3); err != nil {
		return false, "", err
	}
	size := step{Count: 1, CPU: 2000, MemoryMB: 1024, EstimatedMs: 1000}
	if !w.submitAs(otherKey, before, "work_ms=1000", size) {
		return false, "", errors.New("a job was not accepted")
	}
	if state := w.awaitState(before, 20*time.Second, "completed"); state != "completed" {
		return false, "", fmt.Errorf("the job before the backlog is shown as %q", state)
	}
	var clients sync.WaitGroup
	var accepted atomic.Int64
	for i := range jobs {
		time.Sleep(interval)
		clients.Go(func() {
			if w.submit(fmt.Sprintf("5c0e7a21%08x", i), "work_ms=3000", step{Count: tasks, CPU: cpu, MemoryMB: 8, EstimatedMs: 3000}) {
				accepted.Add(1)
			}
		})
	}
	clients.Wait()
	if trouble {
		w.publish(queueOptions{MaxAttempts: 4, Later: 2})
		w.log("operator", "op/config: version 9 lifts the cap of the tenant")
	}
	time.Sleep(2 * time.Second)
	if !w.submitAs(otherKey, small, "work_ms=1000", size) {
		return false, "", errors.New("the small job was not accepted")
	}
	state := w.awaitState(small, finishS+3*time.Second, "completed")
	w.store.mu.Lock()
	refused := w.store.refused
	w.store.mu.Unlock()
	verdict := fmt.Sprintf("%d of %d jobs of the tenant were accepted; %v after the end of the traffic a job of another tenant is shown as %q and has begun %d runs; the store has refused %d appends beyond request_bytes",
		accepted.Load(), jobs, finishS+3*time.Second, state, len(w.startsOf(small)), refused)
	return state != "completed" && len(w.startsOf(small)) == 0, verdict, nil
}

// lastingTasks plays the power failure of the runner on which all tasks of a lasting job
// have just begun.
func lastingTasks(w *world, trouble bool) (bool, string, error) {
	const (
		job     = "5c0e7a21d94b36f8"
		tasks   = 20
		downFor = 4 * time.Second
		// A task that lasts must have begun by then: the 4 s after the failure and the 3 s
		// that count are calm.
		limit = downFor + 7*time.Second
	)
	w.publish(queueOptions{MaxAttempts: 4})
	if err := w.addRunners(repeat("a", 8)); err != nil {
		return false, "", err
	}
	if err := w.startSystem(3); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	if !w.submit(job, "work_ms=1000000", step{Count: tasks, CPU: 1500, MemoryMB: 1024, LongRunning: true}) {
		return false, "", errors.New("the job was not accepted")
	}
	begun, ok := w.awaitStart(job, tasks-1, 10*time.Second)
	if !ok {
		return false, "", errors.New("the tasks have not begun")
	}
	time.Sleep(1500 * time.Millisecond)
	failed := w.now()
	if trouble {
		r := w.runner(begun.runner)
		r.crash(true)
		time.Sleep(downFor)
		if err := r.start(r.kind, 0); err != nil {
			return false, "", err
		}
	}
	time.Sleep(failed + limit + 4*time.Second - w.now())
	late, lost := 0, 0
	for _, s := range w.startsOf(job) {
		if s.run > 1 {
			lost++
			if s.at > failed+limit {
				late++
			}
		}
	}
	return late > 0, fmt.Sprintf("%d tasks were lost, %d of them were started again later than %v after the power failure", lost, late, limit), nil
}

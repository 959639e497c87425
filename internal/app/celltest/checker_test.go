package celltest

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// cancelGrace is the time after an acknowledged cancellation within which tasks of
// the job may still start.
const cancelGrace = 3 * time.Second

const (
	// shrinkGrace is the time from which a smaller capacity counts.
	shrinkGrace = 4 * time.Second
	// crashLimit is the number of workers that may crash under a task.
	crashLimit = 3
	// giveUpLimit is the number of workers that must have crashed under a task before
	// its job may be shown as failed.
	giveUpLimit = 2
	// startsAfterCrashLimit is the number of starts after crashLimit that breaks a rule.
	startsAfterCrashLimit = 3
)

// checkStart records a violation for each rule that the start breaks. The caller
// holds f.mu. The first word of a violation names the rule:
//   - TWICE: a task runs once at a time, and not again after its end was acknowledged
//   - LIMIT: the tasks of a worker fit its capacity, or one of the last shrinkGrace
//   - QUOTA: the tasks of a team stay within its upper limit
//   - BUDGET: a task is not started again after MaxAttempts failed runs, and a deadly one
//     fewer than startsAfterCrashLimit times after crashLimit workers have crashed under it
//   - UNASKED: a task starts only if its job was submitted and was not cancelled more
//     than cancelGrace ago
//   - ORDER: a task starts only after the steps that its step depends on
func (f *fleet) checkStart(w *fakeWorker, order dispatch.StartOrder, j *submittedJob) {
	name := order.Task
	used, total := model.Resources{}, model.Resources{}
	for _, other := range f.workers {
		for running := range other.running {
			spec := f.jobs[running.Job].spec
			size := spec.Steps[running.Step].Size
			if other == w {
				used = used.Add(size)
			}
			if spec.Team == j.spec.Team {
				total = total.Add(size)
			}
			if running == name {
				f.addViolation("TWICE: %s run %d on %s while run %d is on %s", name, order.Run, w.info.ID, other.running[name].run, other.info.ID)
			}
		}
	}
	size := j.spec.Steps[name.Step].Size
	if !w.fits(used.Add(size)) {
		f.addViolation("LIMIT: %s on %s, of which %v is in use", name, w.info.ID, used)
	}
	if limit := f.limits[j.spec.Team]; limit.MilliCPU > 0 && total.Add(size).MilliCPU > limit.MilliCPU {
		f.addViolation("QUOTA: %s brings team %s to %v", name, j.spec.Team, total.Add(size))
	}
	if j.acknowledged[name] {
		f.addViolation("TWICE: %s starts after its end was acknowledged", name)
	}
	lasting := j.spec.Steps[name.Step].LongRunning // may fail any number of times
	if maxAttempts := j.spec.Queue.MaxAttempts; !lasting && maxAttempts > 0 && j.failures[name] >= maxAttempts {
		f.addViolation("BUDGET: %s starts after %d failures", name, j.failures[name])
	}
	if j.deadly[name] && j.crashes[name] >= crashLimit {
		j.afterCrashes[name]++
		if j.afterCrashes[name] >= startsAfterCrashLimit {
			f.addViolation("BUDGET: %s starts for the %d. time after %d workers have crashed under it", name, j.afterCrashes[name], j.crashes[name])
		}
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelGrace {
		f.addViolation("UNASKED: %s starts %v after its job was cancelled", name, time.Since(j.cancelled))
	}
	for _, earlier := range j.spec.Steps[name.Step].DependsOn {
		for index := range j.spec.Steps[earlier].Tasks {
			before := dispatch.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: earlier, Index: index}
			if !j.completed[before] {
				f.addViolation("ORDER: %s starts before %s is done", name, before)
			}
		}
	}
}

// offer is a capacity that a worker offers from a time on.
type offer struct {
	since    time.Time
	capacity model.Resources
}

// setCapacity changes what the worker offers.
func (f *fleet) setCapacity(id model.VMID, capacity model.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.info.Capacity = capacity
	w.offers = append(w.offers, offer{since: time.Now(), capacity: capacity})
}

// fits reports whether the worker offers the resources, or has offered them within
// shrinkGrace. For a late order all offers count.
func (w *fakeWorker) fits(used model.Resources) bool {
	for i, o := range w.offers {
		ended := i+1 < len(w.offers) && time.Since(w.offers[i+1].since) > shrinkGrace
		if (w.late || !ended) && used.Fits(o.capacity) {
			return true
		}
	}
	return false
}

// mayFail reports whether the job may be shown as failed: giveUpLimit workers have
// crashed under one of its tasks, crashLimit under a long-running one, or a task or gang
// has failed as often as its queue allows.
func (j *submittedJob) mayFail() bool {
	for name, crashes := range j.crashes {
		limit := giveUpLimit
		if j.spec.Steps[name.Step].LongRunning {
			limit = crashLimit
		}
		if crashes >= limit {
			return true
		}
	}
	gangFailures := map[int]int{} // by step
	for name, failures := range j.failedRuns {
		if j.spec.Steps[name.Step].LongRunning {
			continue // may fail any number of times
		}
		gangFailures[name.Step] += failures
		if failures >= j.spec.Queue.MaxAttempts || j.spec.Steps[name.Step].Gang && gangFailures[name.Step] >= j.spec.Queue.MaxAttempts {
			return true
		}
	}
	return false
}

package health

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// quarantineIfFaulty quarantines a worker if its blame and its share of failures
// reach the policy's thresholds. It reports whether it did.
func (f *RackHealth) quarantineIfFaulty(vm model.VMID, now time.Duration) bool {
	w := f.workers[vm]
	if w == nil || w.quarantined {
		return false
	}
	if w.failed < f.policy.FailRatio*(w.done+w.failed) || f.blame(vm, w) < f.policy.BlameThreshold {
		return false
	}
	if float64(len(f.quarantinedIDs)+1) > max(1, f.policy.MaxQuarantinedShare*float64(f.size)) {
		return false
	}
	w.quarantined, w.probing, w.probesPassed = true, false, 0
	w.probeDelay = f.policy.ProbeAfter
	w.nextProbe = now + w.probeDelay
	f.quarantinedIDs = append(f.quarantinedIDs, vm)
	slices.Sort(f.quarantinedIDs)
	return true
}

// blame returns the sum of blame for the worker's recent failures; each job
// counts once.
func (f *RackHealth) blame(vm model.VMID, w *workerRecord) float64 {
	sum := 0.0
	counted := make(map[model.JobID]bool, len(w.recentFailures))
	for _, a := range w.recentFailures {
		if !counted[a.Job] {
			counted[a.Job] = true
			sum += f.failureBlame(vm, a)
		}
	}
	return sum
}

func (f *RackHealth) failureBlame(vm model.VMID, a Attempt) float64 {
	job := f.jobs[a.Job]
	switch {
	case job == nil:
		return blameUnknown
	case job.done > 0 && job.doneOn != vm:
		return blameJobDoneElsewhere
	case len(job.failedOn) >= faultyJobWorkers:
		return blameNone
	}
	if t := f.templates[a.Template]; t != nil && t.done > 0 && t.doneOn != vm {
		return blameTemplateDoneElsewhere
	}
	return blameUnknown
}

// applyProbeResult applies the result of an attempt on a quarantined worker. Only
// probes count; attempts started before the quarantine do not.
func (f *RackHealth) applyProbeResult(a Attempt, w *workerRecord, now time.Duration) []model.VMID {
	if !a.Probe {
		return nil
	}
	if a.Result == Failed {
		if f.failureBlame(a.VM, a) == blameNone {
			return nil
		}
		w.probesPassed = 0
		w.probeDelay = min(2*w.probeDelay, f.policy.ProbeMax)
		w.nextProbe = now + w.probeDelay
		return nil
	}
	if w.probesPassed++; w.probesPassed < f.policy.ClearAfter {
		return nil
	}
	*w = workerRecord{}
	f.quarantinedIDs = slices.DeleteFunc(f.quarantinedIDs, func(id model.VMID) bool { return id == a.VM })
	return []model.VMID{a.VM}
}

// AnyProbeDue reports whether a quarantined worker is due for a probe.
func (f *RackHealth) AnyProbeDue(now time.Duration) bool {
	for _, vm := range f.quarantinedIDs {
		if f.workers[vm].probeDue(now) {
			return true
		}
	}
	return false
}

// ProbesDue returns the quarantined workers that are due for a probe, sorted.
func (f *RackHealth) ProbesDue(now time.Duration) []model.VMID {
	var due []model.VMID
	for _, vm := range f.quarantinedIDs {
		if f.workers[vm].probeDue(now) {
			due = append(due, vm)
		}
	}
	return due
}

func (w *workerRecord) probeDue(now time.Duration) bool {
	return !w.probing && now >= w.nextProbe
}

// ProbeSent records that a probe is in flight. No other probe is due until it
// ends.
func (f *RackHealth) ProbeSent(vm model.VMID) {
	if w := f.workers[vm]; w != nil {
		w.probing = true
	}
}

// QuarantinedWorkers returns the quarantined workers, sorted.
func (f *RackHealth) QuarantinedWorkers() []model.VMID {
	return slices.Clone(f.quarantinedIDs)
}

// ProbeLost records that a probe ended without a known result.
func (f *RackHealth) ProbeLost(vm model.VMID) {
	if w := f.workers[vm]; w != nil {
		w.probing = false
	}
}

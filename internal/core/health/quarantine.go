package health

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// quarantineIfFaulty quarantines a worker if its blame and its share of failures
// reach the policy's thresholds, unless that would exceed MaxQuarantinedShare. It
// reports whether it did.
func (h *RackHealth) quarantineIfFaulty(vm model.VMID, now time.Duration) bool {
	w := h.workers[vm]
	if w == nil || w.quarantined {
		return false
	}
	if w.failed < h.policy.FailRatio*(w.done+w.failed) || h.blame(vm, w) < h.policy.BlameThreshold {
		return false
	}
	if float64(len(h.quarantinedIDs)+1) > max(1, h.policy.MaxQuarantinedShare*float64(h.size)) {
		return false
	}
	w.quarantined, w.probing, w.probesPassed = true, false, 0
	w.probeDelay = h.policy.ProbeAfter
	w.nextProbe = now + w.probeDelay
	h.quarantinedIDs = append(h.quarantinedIDs, vm)
	slices.Sort(h.quarantinedIDs)
	return true
}

// blame returns the sum of blame for the worker's recent failures; each job
// counts once.
func (h *RackHealth) blame(vm model.VMID, w *workerRecord) float64 {
	sum := 0.0
	counted := make(map[model.JobID]bool, len(w.recentFailures))
	for _, a := range w.recentFailures {
		if !counted[a.Job] {
			counted[a.Job] = true
			sum += h.failureBlame(vm, a)
		}
	}
	return sum
}

func (h *RackHealth) failureBlame(vm model.VMID, a Attempt) float64 {
	job := h.jobs[a.Job]
	switch {
	case job == nil:
		return blameUnknown
	case job.done > 0 && job.doneOn != vm:
		return blameJobDoneElsewhere
	case len(job.failedOn) >= faultyJobWorkers:
		return blameNone
	}
	if t := h.templates[a.Template]; t != nil && t.done > 0 && t.doneOn != vm {
		return blameTemplateDoneElsewhere
	}
	return blameUnknown
}

// applyProbeResult applies the result of an attempt on a quarantined worker. Only
// probes count; attempts started before the quarantine do not.
func (h *RackHealth) applyProbeResult(a Attempt, w *workerRecord, now time.Duration) []model.VMID {
	if !a.Probe {
		return nil
	}
	if a.Result == Failed {
		if h.failureBlame(a.VM, a) == blameNone {
			return nil
		}
		w.probesPassed = 0
		w.probeDelay = min(2*w.probeDelay, h.policy.ProbeMax)
		w.nextProbe = now + w.probeDelay
		return nil
	}
	if w.probesPassed++; w.probesPassed < h.policy.ClearAfter {
		return nil
	}
	*w = workerRecord{}
	h.quarantinedIDs = slices.DeleteFunc(h.quarantinedIDs, func(id model.VMID) bool { return id == a.VM })
	return []model.VMID{a.VM}
}

// AnyProbeDue reports whether a quarantined worker is due for a probe.
func (h *RackHealth) AnyProbeDue(now time.Duration) bool {
	for _, vm := range h.quarantinedIDs {
		if h.workers[vm].probeDue(now) {
			return true
		}
	}
	return false
}

// ProbesDue returns the quarantined workers that are due for a probe, sorted.
func (h *RackHealth) ProbesDue(now time.Duration) []model.VMID {
	var due []model.VMID
	for _, vm := range h.quarantinedIDs {
		if h.workers[vm].probeDue(now) {
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
func (h *RackHealth) ProbeSent(vm model.VMID) {
	if w := h.workers[vm]; w != nil {
		w.probing = true
	}
}

// QuarantinedWorkers returns the quarantined workers, sorted.
func (h *RackHealth) QuarantinedWorkers() []model.VMID {
	return slices.Clone(h.quarantinedIDs)
}

// ProbeLost records that a probe ended without a known result.
func (h *RackHealth) ProbeLost(vm model.VMID) {
	if w := h.workers[vm]; w != nil {
		w.probing = false
	}
}

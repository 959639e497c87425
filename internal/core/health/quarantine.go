package health

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// judge quarantines a worker that fails what others finish and reports
// whether it did.
func (f *Fleet) judge(vm model.VMID, now time.Duration) bool {
	w := f.workers[vm]
	if w == nil || w.quarantined {
		return false
	}
	if w.failed < f.policy.FailRatio*(w.done+w.failed) || f.blame(vm, w) < f.policy.BlameThreshold {
		return false
	}
	if float64(len(f.isolated)+1) > max(1, f.policy.MaxQuarantinedShare*float64(f.size)) {
		return false
	}
	w.quarantined, w.probing, w.cleared = true, false, 0
	w.interval = f.policy.ProbeAfter
	w.nextProbe = now + w.interval
	f.isolated = append(f.isolated, vm)
	slices.Sort(f.isolated)
	return true
}

// blame sums up the worker's recent failures; each job counts once.
func (f *Fleet) blame(vm model.VMID, w *workerRecord) float64 {
	sum := 0.0
	seen := make(map[model.JobID]bool, len(w.recent))
	for _, a := range w.recent {
		if !seen[a.Job] {
			seen[a.Job] = true
			sum += f.blameFor(vm, a)
		}
	}
	return sum
}

func (f *Fleet) blameFor(vm model.VMID, a Attempt) float64 {
	job := f.jobs[a.Job]
	switch {
	case job == nil:
		return blameUnknown
	case job.done > 0 && job.doneOn != vm:
		return blameOthersFinish
	case len(job.failedOn) >= jobFailsOn:
		return blameJob
	}
	if t := f.templates[a.Template]; t != nil && t.done > 0 && t.doneOn != vm {
		return blameTemplateOK
	}
	return blameUnknown
}

// judgeProbe weighs the end of a probe, or of an older task, on a quarantined
// worker.
func (f *Fleet) judgeProbe(a Attempt, w *workerRecord, now time.Duration) []model.VMID {
	if !a.Probe {
		return nil
	}
	if a.Result == Failed {
		if f.blameFor(a.VM, a) == blameJob {
			return nil
		}
		w.cleared = 0
		w.interval = min(2*w.interval, f.policy.ProbeMax)
		w.nextProbe = now + w.interval
		return nil
	}
	if w.cleared++; w.cleared < f.policy.ClearAfter {
		return nil
	}
	*w = workerRecord{}
	f.isolated = slices.DeleteFunc(f.isolated, func(id model.VMID) bool { return id == a.VM })
	return []model.VMID{a.VM}
}

// AnyProbe reports whether a quarantined worker may be due for a probe.
func (f *Fleet) AnyProbeDue(now time.Duration) bool {
	for _, vm := range f.isolated {
		if f.workers[vm].due(now) {
			return true
		}
	}
	return false
}

// ProbesDue returns the quarantined workers that may get one task now.
func (f *Fleet) ProbesDue(now time.Duration) []model.VMID {
	var due []model.VMID
	for _, vm := range f.isolated {
		if f.workers[vm].due(now) {
			due = append(due, vm)
		}
	}
	return due
}

func (w *workerRecord) due(now time.Duration) bool {
	return !w.probing && now >= w.nextProbe
}

// ProbeSent records that a probe is on its way; the next one waits for its
// end.
func (f *Fleet) ProbeSent(vm model.VMID) {
	if w := f.workers[vm]; w != nil {
		w.probing = true
	}
}

// Isolated returns the quarantined workers, sorted.
func (f *Fleet) QuarantinedWorkers() []model.VMID {
	return slices.Clone(f.isolated)
}

// ProbeLost records that a probe ended without saying anything.
func (f *Fleet) ProbeLost(vm model.VMID) {
	if w := f.workers[vm]; w != nil {
		w.probing = false
	}
}

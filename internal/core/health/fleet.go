// Package health tells workers that fail everything from jobs that fail
// everywhere. It is pure and not safe for concurrent use.
package health

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Result is the certain end of an attempt.
type Result uint8

// The ends of an attempt.
const (
	Done         Result = iota
	Failed              // the task failed on its own account or the worker's
	Inconclusive        // stopped or never started; says nothing
)

// Attempt is one ended attempt.
type Attempt struct {
	VM       model.VMID
	Job      model.JobID
	Template string
	Probe    bool
	Result   Result
}

// Policy tunes quarantine. The zero value of a field selects its default.
type Policy struct {
	// Blame is the sum of blame from which a worker is quarantined.
	BlameThreshold float64
	// FailRatio is the least share of failures among a worker's recent ends.
	FailRatio float64
	// MaxShare is the largest fraction of the fleet in quarantine; beyond it
	// the cause is likely not the workers.
	MaxQuarantinedShare float64
	// ProbeAfter is the delay before the first probe; it doubles up to
	// ProbeMax with each failed one.
	ProbeAfter time.Duration
	ProbeMax   time.Duration
	// ClearAfter is how many probes in a row must succeed.
	ClearAfter int
	// JobMemory is how long the ends of a job are remembered.
	JobRetention time.Duration
}

// The defaults of Policy.
const (
	defaultBlame      = 3
	defaultFailRatio  = 0.5
	defaultMaxShare   = 0.5
	defaultProbeAfter = 5 * time.Second
	defaultProbeMax   = 5 * time.Minute
	defaultClearAfter = 2
	defaultJobMemory  = 10 * time.Minute
)

// How much a failure counts against the worker.
const (
	blameOthersFinish = 1.0 // the job finished on another worker
	blameTemplateOK   = 0.6 // the job's template finishes on other workers
	blameUnknown      = 0.4 // nothing is known of the job elsewhere
	blameJob          = 0.0 // the job failed on several workers
)

const (
	maxRecent       = 16   // failures remembered per worker
	maxJobs         = 1024 // jobs and templates remembered
	maxFailedOn     = 4    // workers remembered per job
	jobFailsOn      = 3    // workers on which a job must fail to be at fault
	countersHalveAt = 32   // ends after which a worker's counters are halved
)

type workerRecord struct {
	done, failed float64
	recent       []Attempt
	quarantined  bool
	probing      bool
	nextProbe    time.Duration
	interval     time.Duration
	cleared      int
}

type jobRecord struct {
	done     int
	doneOn   model.VMID
	failedOn []model.VMID
	last     time.Duration
}

// Fleet compares workers with each other.
type Fleet struct {
	policy    Policy
	size      int
	workers   map[model.VMID]*workerRecord
	jobs      map[model.JobID]*jobRecord
	templates map[string]*jobRecord
	isolated  []model.VMID // quarantined, sorted
}

// NewFleet returns an empty fleet.
func NewFleet(policy Policy) *Fleet {
	return &Fleet{
		policy:    policy.withDefaults(),
		workers:   make(map[model.VMID]*workerRecord),
		jobs:      make(map[model.JobID]*jobRecord),
		templates: make(map[string]*jobRecord),
	}
}

func (p Policy) withDefaults() Policy {
	set(&p.BlameThreshold, defaultBlame)
	set(&p.FailRatio, defaultFailRatio)
	set(&p.MaxQuarantinedShare, defaultMaxShare)
	set(&p.ProbeAfter, defaultProbeAfter)
	set(&p.ProbeMax, defaultProbeMax)
	set(&p.ClearAfter, defaultClearAfter)
	set(&p.JobRetention, defaultJobMemory)
	return p
}

func set[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}

// SetSize tells how many workers the fleet has.
func (f *Fleet) SetSize(workers int) { f.size = workers }

// Forget drops a worker.
func (f *Fleet) Remove(vm model.VMID) {
	delete(f.workers, vm)
	f.isolated = slices.DeleteFunc(f.isolated, func(id model.VMID) bool { return id == vm })
}

// Quarantined reports whether the worker gets no work but probes.
func (f *Fleet) IsQuarantined(vm model.VMID) bool {
	if len(f.isolated) == 0 {
		return false
	}
	w := f.workers[vm]
	return w != nil && w.quarantined
}

// Ended records the end of an attempt. It returns the workers whose
// quarantine changed.
func (f *Fleet) RecordEnd(a Attempt, now time.Duration) []model.VMID {
	w := f.worker(a.VM)
	if a.Probe {
		w.probing = false
	}
	if a.Result == Inconclusive {
		return nil
	}
	suspects := f.learn(a, now)
	w.count(a)
	if w.quarantined {
		return f.judgeProbe(a, w, now)
	}
	var changed []model.VMID
	for _, vm := range suspects {
		if f.judge(vm, now) {
			changed = append(changed, vm)
		}
	}
	return changed
}

// FinishedElsewhere records that a job or template finished on a worker
// outside this fleet.
func (f *Fleet) RecordFinishedElsewhere(job model.JobID, template string, now time.Duration) []model.VMID {
	var changed []model.VMID
	for _, vm := range f.learn(Attempt{Job: job, Template: template, Result: Done}, now) {
		if f.judge(vm, now) {
			changed = append(changed, vm)
		}
	}
	return changed
}

func (f *Fleet) worker(vm model.VMID) *workerRecord {
	w := f.workers[vm]
	if w == nil {
		w = &workerRecord{}
		f.workers[vm] = w
	}
	return w
}

// learn updates the job and template and returns the workers to judge. Jobs
// are remembered from their first failure on, so that the many that never fail
// take no memory.
func (f *Fleet) learn(a Attempt, now time.Duration) []model.VMID {
	if a.Template != "" {
		record(f.templates, a.Template).add(a, now)
	}
	if a.Result == Failed {
		f.prune(now)
		record(f.jobs, a.Job).add(a, now)
		return []model.VMID{a.VM}
	}
	if job := f.jobs[a.Job]; job != nil {
		return job.add(a, now)
	}
	return nil
}

func record[K comparable](records map[K]*jobRecord, key K) *jobRecord {
	r := records[key]
	if r == nil {
		r = &jobRecord{}
		records[key] = r
	}
	return r
}

// add returns the workers that failed what now finished.
func (j *jobRecord) add(a Attempt, now time.Duration) []model.VMID {
	j.last = now
	if a.Result == Done {
		j.done++
		j.doneOn = a.VM
		return slices.Clone(j.failedOn)
	}
	if len(j.failedOn) < maxFailedOn && !slices.Contains(j.failedOn, a.VM) {
		j.failedOn = append(j.failedOn, a.VM)
	}
	return nil
}

func (f *Fleet) prune(now time.Duration) {
	if len(f.jobs) > maxJobs {
		pruneRecords(f.jobs, now-f.policy.JobRetention)
	}
	if len(f.templates) > maxJobs {
		pruneRecords(f.templates, now-f.policy.JobRetention)
	}
}

// pruneRecords drops old records, and all if none is old, so that a full map
// does not cost a pass on every call.
func pruneRecords[K comparable](records map[K]*jobRecord, before time.Duration) {
	for key, r := range records {
		if r.last < before {
			delete(records, key)
		}
	}
	if len(records) > maxJobs/2 {
		clear(records)
	}
}

func (w *workerRecord) count(a Attempt) {
	if a.Result == Done {
		w.done++
	} else {
		w.failed++
		w.recent = append(w.recent, a)
		if len(w.recent) > maxRecent {
			w.recent = slices.Delete(w.recent, 0, 1)
		}
	}
	if w.done+w.failed >= countersHalveAt {
		w.done /= 2
		w.failed /= 2
	}
}

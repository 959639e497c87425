// Package health distinguishes faulty workers, on which the tasks of many jobs
// fail, from faulty jobs, which fail on many workers. Faulty workers are
// quarantined: they get only probes, which are attempts of ordinary tasks that
// test the worker. The package does no I/O and is not safe for concurrent use.
//
// It is used by balsam-sched; balsam-node has a simpler rule in package dispatch.
package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Result is the known result of an attempt.
type Result uint8

// Results of an attempt.
const (
	Done         Result = iota
	Failed              // the task failed, because of itself or of the worker
	Inconclusive        // the task was stopped or never started
)

// Attempt is one ended attempt.
type Attempt struct {
	VM       model.VMID
	Job      model.JobID
	Template string
	Probe    bool
	Result   Result
}

// Policy configures quarantine. The zero value of a field selects its default.
type Policy struct {
	// BlameThreshold is the sum of blame at which a worker is quarantined.
	BlameThreshold float64
	// FailRatio is the minimum share of failures among a worker's recent results
	// for quarantine.
	FailRatio float64
	// MaxQuarantinedShare is the maximum share of the rack's workers in
	// quarantine. If more of them fail, the workers are probably not the cause.
	MaxQuarantinedShare float64
	// ProbeAfter is the delay before the first probe; it doubles with each
	// failed probe up to ProbeMax.
	ProbeAfter time.Duration
	ProbeMax   time.Duration
	// ClearAfter is the number of consecutive successful probes that ends the
	// quarantine.
	ClearAfter int
	// JobRetention is how long the results of a job or template are kept when
	// the limit on tracked ones is exceeded.
	JobRetention time.Duration
}

// Defaults of Policy.
const (
	defaultBlameThreshold      = 3
	defaultFailRatio           = 0.5
	defaultMaxQuarantinedShare = 0.5
	defaultProbeAfter          = 5 * time.Second
	defaultProbeMax            = 5 * time.Minute
	defaultClearAfter          = 2
	defaultJobRetention        = 10 * time.Minute
)

// Blame of a worker for a failed attempt.
const (
	blameJobDoneElsewhere      = 1.0 // the job finished on another worker
	blameTemplateDoneElsewhere = 0.6 // the job's template finished on another worker
	blameUnknown               = 0.4 // no result of the job or its template on other workers is known
	blameNone                  = 0.0 // the job failed on several workers
)

const (
	maxRecentFailures = 16   // failures kept per worker
	maxTrackedJobs    = 1024 // tracked jobs, and tracked templates
	maxFailedOn       = 4    // failing workers kept per job
	faultyJobWorkers  = 3    // number of failing workers from which the job is the cause
	halveCountersAt   = 32   // number of results at which a worker's counters are halved
)

type workerRecord struct {
	done, failed   float64
	recentFailures []Attempt
	quarantined    bool
	probing        bool
	nextProbe      time.Duration
	probeDelay     time.Duration
	probesPassed   int
}

type jobRecord struct {
	done     int
	doneOn   model.VMID
	failedOn []model.VMID
	lastSeen time.Duration
}

// RackHealth compares the results of the workers of one rack and decides which
// ones are quarantined.
type RackHealth struct {
	policy         Policy
	size           int
	workers        map[model.VMID]*workerRecord
	jobs           map[model.JobID]*jobRecord
	templates      map[string]*jobRecord
	quarantinedIDs []model.VMID // quarantined, sorted
}

// NewRackHealth returns a RackHealth without workers.
func NewRackHealth(policy Policy) *RackHealth {
	return &RackHealth{
		policy:    policy.withDefaults(),
		workers:   make(map[model.VMID]*workerRecord),
		jobs:      make(map[model.JobID]*jobRecord),
		templates: make(map[string]*jobRecord),
	}
}

func (p Policy) withDefaults() Policy {
	p.BlameThreshold = cmp.Or(p.BlameThreshold, defaultBlameThreshold)
	p.FailRatio = cmp.Or(p.FailRatio, defaultFailRatio)
	p.MaxQuarantinedShare = cmp.Or(p.MaxQuarantinedShare, defaultMaxQuarantinedShare)
	p.ProbeAfter = cmp.Or(p.ProbeAfter, defaultProbeAfter)
	p.ProbeMax = cmp.Or(p.ProbeMax, defaultProbeMax)
	p.ClearAfter = cmp.Or(p.ClearAfter, defaultClearAfter)
	p.JobRetention = cmp.Or(p.JobRetention, defaultJobRetention)
	return p
}

// SetSize sets the number of workers in the rack.
func (h *RackHealth) SetSize(workers int) { h.size = workers }

// Remove removes a worker.
func (h *RackHealth) Remove(vm model.VMID) {
	delete(h.workers, vm)
	h.quarantinedIDs = slices.DeleteFunc(h.quarantinedIDs, func(id model.VMID) bool { return id == vm })
}

// IsQuarantined reports whether the worker may run probes only.
func (h *RackHealth) IsQuarantined(vm model.VMID) bool {
	if len(h.quarantinedIDs) == 0 {
		return false
	}
	w := h.workers[vm]
	return w != nil && w.quarantined
}

// RecordEnd records the end of an attempt. It returns the workers whose
// quarantine changed.
func (h *RackHealth) RecordEnd(a Attempt, now time.Duration) []model.VMID {
	w := h.worker(a.VM)
	if a.Probe {
		w.probing = false
	}
	if a.Result == Inconclusive {
		return nil
	}
	candidates := h.recordResult(a, now)
	w.updateCounters(a)
	if w.quarantined {
		return h.applyProbeResult(a, w, now)
	}
	var changed []model.VMID
	for _, vm := range candidates {
		if h.quarantineIfFaulty(vm, now) {
			changed = append(changed, vm)
		}
	}
	return changed
}

// RecordFinishedElsewhere records that a job or template finished on a worker of
// another rack. It returns the workers whose quarantine changed.
func (h *RackHealth) RecordFinishedElsewhere(job model.JobID, template string, now time.Duration) []model.VMID {
	var changed []model.VMID
	for _, vm := range h.recordResult(Attempt{Job: job, Template: template, Result: Done}, now) {
		if h.quarantineIfFaulty(vm, now) {
			changed = append(changed, vm)
		}
	}
	return changed
}

func (h *RackHealth) worker(vm model.VMID) *workerRecord {
	w := h.workers[vm]
	if w == nil {
		w = &workerRecord{}
		h.workers[vm] = w
	}
	return w
}

// recordResult updates the records of the job and template and returns the
// workers to check for quarantine. A job is tracked only from its first failure
// on, so that the many jobs that never fail use no memory.
func (h *RackHealth) recordResult(a Attempt, now time.Duration) []model.VMID {
	if a.Template != "" {
		getOrCreate(h.templates, a.Template).add(a, now)
	}
	if a.Result == Failed {
		h.prune(now)
		getOrCreate(h.jobs, a.Job).add(a, now)
		return []model.VMID{a.VM}
	}
	if job := h.jobs[a.Job]; job != nil {
		return job.add(a, now)
	}
	return nil
}

func getOrCreate[K comparable](records map[K]*jobRecord, key K) *jobRecord {
	r := records[key]
	if r == nil {
		r = &jobRecord{}
		records[key] = r
	}
	return r
}

// add updates the record. If the attempt is done, it returns the workers on
// which earlier attempts failed.
func (j *jobRecord) add(a Attempt, now time.Duration) []model.VMID {
	j.lastSeen = now
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

func (h *RackHealth) prune(now time.Duration) {
	if len(h.jobs) > maxTrackedJobs {
		pruneRecords(h.jobs, now-h.policy.JobRetention)
	}
	if len(h.templates) > maxTrackedJobs {
		pruneRecords(h.templates, now-h.policy.JobRetention)
	}
}

// pruneRecords drops the records last updated before cutoff. If more than half of
// the map's limit remain, it drops all of them, because otherwise a full map would
// be scanned on every call.
func pruneRecords[K comparable](records map[K]*jobRecord, cutoff time.Duration) {
	for key, r := range records {
		if r.lastSeen < cutoff {
			delete(records, key)
		}
	}
	if len(records) > maxTrackedJobs/2 {
		clear(records)
	}
}

func (w *workerRecord) updateCounters(a Attempt) {
	if a.Result == Done {
		w.done++
	} else {
		w.failed++
		w.recentFailures = append(w.recentFailures, a)
		if len(w.recentFailures) > maxRecentFailures {
			w.recentFailures = slices.Delete(w.recentFailures, 0, 1)
		}
	}
	if w.done+w.failed >= halveCountersAt {
		w.done /= 2
		w.failed /= 2
	}
}

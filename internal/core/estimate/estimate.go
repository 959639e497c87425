// Package estimate corrects declared sizes and run times by the measured ones of
// earlier tasks of the same template, that is of jobs with the same
// model.Job.Template. It does no I/O and is not safe for concurrent use.
package estimate

import (
	"cmp"
	"math"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Policy configures the correction. The zero value of a field selects its default.
type Policy struct {
	MinSamples int // samples required before declared values are corrected
	// MemoryQuantile, CPUQuantile and RunTimeQuantile are the quantiles of
	// earlier tasks that the corrected values must cover.
	MemoryQuantile  float64
	CPUQuantile     float64
	RunTimeQuantile float64
	// Floor and Ceiling limit the corrected size, as multiples of the declared
	// size.
	Floor   float64
	Ceiling float64
	// MaxTemplates limits the number of tracked templates. Beyond it, the least
	// recently used one is evicted and its tasks are uncorrected again.
	MaxTemplates int
}

// Defaults of Policy.
const (
	defaultMinSamples      = 20
	defaultMemoryQuantile  = 0.99
	defaultCPUQuantile     = 0.95
	defaultRunTimeQuantile = 0.75
	defaultFloor           = 0.5
	defaultCeiling         = 4
	defaultMaxTemplates    = 1024
)

// defaultRunTime is the run time assumed for tasks that declare none.
const defaultRunTime = time.Second

// Sample is the measured use of one finished task.
type Sample struct {
	Declared        model.Resources
	Peak            model.Resources
	DeclaredRunTime time.Duration // zero or negative if not declared
	RunTime         time.Duration
	EndedEarly      bool // the task was ended early, so RunTime is not its full run time
}

type templateStats struct {
	cpu, memory, run histogram
	lastUsed         uint64 // sequence number of the last sample
}

// Estimator estimates sizes and run times per template.
type Estimator struct {
	policy    Policy
	templates map[string]*templateStats
	sequence  uint64
}

// New returns an Estimator without samples.
func New(policy Policy) *Estimator {
	policy.MinSamples = cmp.Or(policy.MinSamples, defaultMinSamples)
	policy.MemoryQuantile = cmp.Or(policy.MemoryQuantile, defaultMemoryQuantile)
	policy.CPUQuantile = cmp.Or(policy.CPUQuantile, defaultCPUQuantile)
	policy.RunTimeQuantile = cmp.Or(policy.RunTimeQuantile, defaultRunTimeQuantile)
	policy.Floor = cmp.Or(policy.Floor, defaultFloor)
	policy.Ceiling = cmp.Or(policy.Ceiling, defaultCeiling)
	policy.MaxTemplates = cmp.Or(policy.MaxTemplates, defaultMaxTemplates)
	return &Estimator{policy: policy, templates: make(map[string]*templateStats)}
}

// Observe adds the sample of a finished task. Tasks without a template are
// ignored.
func (e *Estimator) Observe(template string, s Sample) {
	if template == "" {
		return
	}
	stats := e.getOrCreate(template)
	e.sequence++
	stats.lastUsed = e.sequence
	observe(&stats.cpu, s.Peak.MilliCPU, s.Declared.MilliCPU)
	observe(&stats.memory, s.Peak.MemoryMiB, s.Declared.MemoryMiB)
	if s.RunTime > 0 && !s.EndedEarly {
		observe(&stats.run, int64(s.RunTime), int64(declaredRunTime(s.DeclaredRunTime)))
	}
}

// getOrCreate returns the template's statistics. If it has to create them and
// MaxTemplates is reached, it evicts those of the least recently used template.
func (e *Estimator) getOrCreate(template string) *templateStats {
	if stats := e.templates[template]; stats != nil {
		return stats
	}
	if len(e.templates) >= e.policy.MaxTemplates {
		e.evict()
	}
	stats := &templateStats{}
	e.templates[template] = stats
	return stats
}

func (e *Estimator) evict() {
	oldest, used := "", uint64(math.MaxUint64)
	for template, stats := range e.templates {
		if stats.lastUsed < used {
			oldest, used = template, stats.lastUsed
		}
	}
	delete(e.templates, oldest)
}

func observe(h *histogram, used, declared int64) {
	if used > 0 && declared > 0 {
		h.add(float64(used) / float64(declared))
	}
}

func declaredRunTime(declared time.Duration) time.Duration {
	if declared <= 0 {
		return defaultRunTime
	}
	return declared
}

// Size returns the resources to reserve for a task of the template with the
// declared size. Only CPU and memory are corrected.
func (e *Estimator) Size(template string, declared model.Resources) model.Resources {
	stats := e.templates[template]
	if stats == nil {
		return declared
	}
	corrected := declared
	corrected.MilliCPU = e.correct(&stats.cpu, e.policy.CPUQuantile, declared.MilliCPU)
	corrected.MemoryMiB = e.correct(&stats.memory, e.policy.MemoryQuantile, declared.MemoryMiB)
	return corrected
}

func (e *Estimator) correct(h *histogram, quantile float64, declared int64) int64 {
	if h.total < e.policy.MinSamples {
		return declared
	}
	ratio := min(max(h.quantile(quantile), e.policy.Floor), e.policy.Ceiling)
	return int64(math.Ceil(float64(declared) * ratio))
}

// RunTime returns the expected run time of a task of the template. Until
// MinSamples samples are known, that is the declared run time, or zero if none is
// declared; afterwards an undeclared run time counts as defaultRunTime.
func (e *Estimator) RunTime(template string, declared time.Duration) time.Duration {
	stats := e.templates[template]
	if stats == nil || stats.run.total < e.policy.MinSamples {
		return max(declared, 0)
	}
	return time.Duration(stats.run.quantile(e.policy.RunTimeQuantile) * float64(declaredRunTime(declared)))
}

// Package estimate corrects declared sizes and run times by what tasks of the
// same template really took. It is pure and not safe for concurrent use.
package estimate

import (
	"math"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Policy tunes the correction. The zero value of a field selects its default.
type Policy struct {
	MinSamples int // before declarations are corrected
	// MemoryQuantile, CPUQuantile and RunQuantile pick the part of past tasks
	// that the correction must cover.
	MemoryQuantile  float64
	CPUQuantile     float64
	RunTimeQuantile float64
	// Floor and Ceiling bound the corrected size as multiples of the declared.
	Floor   float64
	Ceiling float64
	// MaxTemplates bounds the memory; further templates stay uncorrected.
	MaxTemplates int
}

// The defaults of Policy.
const (
	defaultMinSamples     = 20
	defaultMemoryQuantile = 0.99
	defaultCPUQuantile    = 0.95
	defaultRunQuantile    = 0.75
	defaultFloor          = 0.5
	defaultCeiling        = 4
	defaultMaxTemplates   = 1024
)

// undeclaredRun stands for the declared run time of tasks that state none.
const undeclaredRun = time.Second

// Sample is what one finished task really took.
type Sample struct {
	Declared        model.Resources
	Peak            model.Resources
	DeclaredRunTime time.Duration // zero or less for none
	RunTime         time.Duration
	EndedEarly      bool // the task ended early, so Run says nothing
}

type template struct {
	cpu, memory, run histogram
	used             uint64 // sequence number of the last sample
}

// Templates holds what was learned per template.
type Estimator struct {
	policy    Policy
	templates map[string]*template
	sequence  uint64
}

// New returns an estimator without samples.
func New(policy Policy) *Estimator {
	orDefault(&policy.MinSamples, defaultMinSamples)
	orDefault(&policy.MemoryQuantile, defaultMemoryQuantile)
	orDefault(&policy.CPUQuantile, defaultCPUQuantile)
	orDefault(&policy.RunTimeQuantile, defaultRunQuantile)
	orDefault(&policy.Floor, defaultFloor)
	orDefault(&policy.Ceiling, defaultCeiling)
	orDefault(&policy.MaxTemplates, defaultMaxTemplates)
	return &Estimator{policy: policy, templates: make(map[string]*template)}
}

func orDefault[T int | float64](field *T, fallback T) {
	if *field == 0 {
		*field = fallback
	}
}

// Observe learns from a finished task. Tasks without a template are ignored.
func (t *Estimator) Observe(name string, s Sample) {
	if name == "" {
		return
	}
	known := t.lookup(name)
	t.sequence++
	known.used = t.sequence
	observe(&known.cpu, s.Peak.MilliCPU, s.Declared.MilliCPU)
	observe(&known.memory, s.Peak.MemoryMiB, s.Declared.MemoryMiB)
	if s.RunTime > 0 && !s.EndedEarly {
		observe(&known.run, int64(s.RunTime), int64(declaredRun(s.DeclaredRunTime)))
	}
}

// lookup returns the template's record and replaces the one that was used
// longest ago when there are too many.
func (t *Estimator) lookup(name string) *template {
	if known := t.templates[name]; known != nil {
		return known
	}
	if len(t.templates) >= t.policy.MaxTemplates {
		t.evict()
	}
	known := &template{}
	t.templates[name] = known
	return known
}

func (t *Estimator) evict() {
	oldest, used := "", uint64(math.MaxUint64)
	for name, known := range t.templates {
		if known.used < used {
			oldest, used = name, known.used
		}
	}
	delete(t.templates, oldest)
}

func observe(h *histogram, used, declared int64) {
	if used > 0 && declared > 0 {
		h.add(float64(used) / float64(declared))
	}
}

func declaredRun(declared time.Duration) time.Duration {
	if declared <= 0 {
		return undeclaredRun
	}
	return declared
}

// Size returns what to reserve for a task that declares the size.
// Accelerators and slots are never corrected.
func (t *Estimator) Size(name string, declared model.Resources) model.Resources {
	known := t.templates[name]
	if known == nil {
		return declared
	}
	corrected := declared
	corrected.MilliCPU = t.correct(&known.cpu, t.policy.CPUQuantile, declared.MilliCPU)
	corrected.MemoryMiB = t.correct(&known.memory, t.policy.MemoryQuantile, declared.MemoryMiB)
	return corrected
}

func (t *Estimator) correct(h *histogram, quantile float64, declared int64) int64 {
	if h.total < t.policy.MinSamples {
		return declared
	}
	ratio := min(max(h.quantile(quantile), t.policy.Floor), t.policy.Ceiling)
	return int64(math.Ceil(float64(declared) * ratio))
}

// Run returns how long a task is expected to take; zero means unknown.
func (t *Estimator) RunTime(name string, declared time.Duration) time.Duration {
	known := t.templates[name]
	if known == nil || known.run.total < t.policy.MinSamples {
		return max(declared, 0)
	}
	return time.Duration(known.run.quantile(t.policy.RunTimeQuantile) * float64(declaredRun(declared)))
}

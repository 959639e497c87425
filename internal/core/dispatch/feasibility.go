package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// workerClass is a kind of worker: its service, labels and capacity.
type workerClass struct {
	service  string
	capacity model.Resources
	labels   string // sorted, each followed by a newline
}

func classOf(info WorkerInfo) workerClass {
	labels := slices.Sorted(slices.Values(info.Labels))
	return workerClass{service: info.Service, capacity: info.Capacity, labels: strings.Join(labels, "\n") + "\n"}
}

// sameClass reports whether the worker's last known class equals that of info.
func (w *worker) sameClass(info WorkerInfo) bool {
	return w.info.Service == info.Service && w.info.Capacity == info.Capacity && slices.Equal(w.info.Labels, info.Labels)
}

// addClass adds a class unless a known one offers at least as much, and removes those
// that offer less. A worker's capacity may shrink and grow while it runs.
func (e *Engine) addClass(added workerClass) {
	for class := range e.classes {
		if class.service != added.service || class.labels != added.labels {
			continue
		}
		if added.capacity.Fits(class.capacity) {
			return
		}
		if class.capacity.Fits(added.capacity) {
			delete(e.classes, class)
		}
	}
	e.classes[added] = struct{}{}
}

func (c *workerClass) hasLabel(label string) bool {
	return label == "" || strings.HasPrefix(c.labels, label+"\n") || strings.Contains(c.labels, "\n"+label+"\n")
}

// NeverFits returns the reason why a task or gang of the job can never be placed
// under the active limits and on the worker classes seen by this engine, or "" if
// each can. A class counts even if all its workers have left: they may return.
// Without any known class of the service it assumes that tasks fit.
func (e *Engine) NeverFits(spec JobSpec) string {
	service := spec.Queue.Service
	if queue, ok := e.queues[spec.Queue.Name]; ok {
		service = queue.Service
	}
	jobTeam := e.team(spec.Team)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		demand := step.Size
		if step.Gang {
			demand = demand.Scale(int64(step.Tasks))
		}
		if !jobTeam.allows(demand) {
			return fmt.Sprintf("step %d needs more at once than the team's limit", i)
		}
		known, fits := false, false
		for class := range e.classes {
			if class.service != service {
				continue
			}
			known = true
			fits = fits || class.hasLabel(step.Requires) && step.footprint().Fits(class.capacity)
		}
		if known && !fits {
			return fmt.Sprintf("a task of step %d fits on no kind of worker of its service", i)
		}
	}
	return ""
}

// Limits of what the engine holds. Sums over the workers of a cell and products with
// the tasks of a job that are within them do not overflow.
const (
	// MaxAmount is the most of a resource that a worker offers or a task requires, in
	// the units of model.Resources.
	MaxAmount = 1_000_000_000
	// MaxWorkers is the number of workers of the largest cell.
	MaxWorkers = 100_000
	// MaxName is the length of a name or label in bytes.
	MaxName = 255
	// MaxSteps is the number of steps of a job.
	MaxSteps = 1000

	maxTasks       = 100_000 // of an occurrence
	maxAllTasks    = 200_000 // of all occurrences of a job
	maxOccurrences = 10_000
	maxPayload     = 12_000 // bytes
	// maxRunTime bounds the declared run times of all steps together, and the time
	// from a job's first occurrence to its last.
	maxRunTime = 365 * 24 * time.Hour
)

// CheckAmount returns an error unless every dimension is between 0 and limit.
func CheckAmount(amount model.Resources, limit int64) error {
	if amount.IsNegative() || !amount.Fits(model.Resources{MilliCPU: limit, MemoryMiB: limit, Accelerators: limit, Slots: limit}) {
		return errs.New("an amount of %+v is not between 0 and %d", amount, limit)
	}
	return nil
}

// Check returns an error if the job is beyond the limits of what the engine holds or
// has steps that depend on others than earlier ones.
func (s *JobSpec) Check() error {
	if len(s.Steps) > MaxSteps || len(s.Payload) > maxPayload {
		return errs.New("job has %d steps and a payload of %d bytes; the limits are %d and %d", len(s.Steps), len(s.Payload), MaxSteps, maxPayload)
	}
	tasks, runTime := 0, time.Duration(0)
	for i := range s.Steps {
		step := &s.Steps[i]
		if err := step.check(i); err != nil {
			return errs.New("step %d: %w", i, err)
		}
		tasks += step.Tasks
		runTime += step.DeclaredRunTime
	}
	if tasks > maxTasks || runTime > maxRunTime {
		return errs.New("job has %d tasks and a run time of %v; the limits are %d and %v", tasks, runTime, maxTasks, maxRunTime)
	}
	if s.Repetitions < 0 || s.Repetitions > min(maxOccurrences, maxAllTasks/max(tasks, 1)) {
		return errs.New("job of %d tasks has %d repetitions; the limits are %d and %d tasks in all", tasks, s.Repetitions, maxOccurrences, maxAllTasks)
	}
	if s.Interval < 0 || s.Interval > maxRunTime/time.Duration(max(s.Repetitions, 1)) {
		return errs.New("interval of %v with %d repetitions is negative or takes longer than %v", s.Interval, s.Repetitions, maxRunTime)
	}
	return nil
}

// check returns an error if the step with the index is beyond the limits.
func (s *StepSpec) check(index int) error {
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return errs.New("has %d tasks; must be between 1 and %d", s.Tasks, maxTasks)
	}
	if err := CheckAmount(s.Size, MaxAmount); err != nil {
		return err
	}
	if s.DeclaredRunTime < 0 || s.DeclaredRunTime > maxRunTime || s.TailLatencyTarget < 0 || s.TailLatencyTarget > maxRunTime {
		return errs.New("has a run time of %v and a latency target of %v; must be between 0 and %v", s.DeclaredRunTime, s.TailLatencyTarget, maxRunTime)
	}
	if s.MaxPerWorker < 0 || s.MaxPerWorker > math.MaxInt32 || s.MaxUnavailable < 0 || s.MaxUnavailable > math.MaxInt32 {
		return errs.New("allows %d tasks per worker and %d unavailable ones; must be between 0 and %d", s.MaxPerWorker, s.MaxUnavailable, math.MaxInt32)
	}
	if len(s.Requires) > MaxName || len(s.PreferRack) > MaxName || len(s.Image) > MaxName {
		return errs.New("has a label or name of more than %d bytes", MaxName)
	}
	if len(s.DependsOn) > index {
		return errs.New("has %d dependencies on %d earlier steps", len(s.DependsOn), index)
	}
	for _, earlier := range s.DependsOn {
		if earlier < 0 || earlier >= index {
			return errs.New("depends on step %d, which is not an earlier one", earlier)
		}
	}
	return nil
}

package dispatch

import (
	"fmt"
	"slices"
	"strings"

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

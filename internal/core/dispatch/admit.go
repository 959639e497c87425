package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// profile is a kind of worker that has been seen.
type profile struct {
	service  string
	capacity model.Resources
	labels   string // sorted, each followed by a line break
}

func profileOf(info WorkerInfo) profile {
	labels := slices.Sorted(slices.Values(info.Labels))
	return profile{service: info.Service, capacity: info.Capacity, labels: strings.Join(labels, "\n") + "\n"}
}

// sameKind reports whether the worker was listed with the same profile before.
func (w *worker) sameKind(info WorkerInfo) bool {
	return w.info.Service == info.Service && w.info.Capacity == info.Capacity && slices.Equal(w.info.Labels, info.Labels)
}

func (p *profile) has(label string) bool {
	return label == "" || strings.HasPrefix(p.labels, label+"\n") || strings.Contains(p.labels, "\n"+label+"\n")
}

// NeverFits returns why a task or gang of the job can't ever run with the limits
// in force and the kinds of workers seen in this tenure, or "" if each can. A
// kind counts even if its workers are gone: they may come back.
func (e *Engine) NeverFits(spec JobSpec) string {
	service := spec.Queue.Service
	if queue, ok := e.queues[spec.Queue.Name]; ok {
		service = queue.Service
	}
	limit := e.team(spec.Team)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		least := step.Size
		if step.Gang {
			least = least.Scale(int64(step.Tasks))
		}
		if !limit.allows(least) {
			return fmt.Sprintf("step %d needs more at once than the team's limit", i)
		}
		known, fits := false, false
		for p := range e.profiles {
			if p.service != service {
				continue
			}
			known = true
			fits = fits || p.has(step.Requires) && step.footprint().Fits(p.capacity)
		}
		if known && !fits {
			return fmt.Sprintf("a task of step %d fits on no kind of worker of its service", i)
		}
	}
	return ""
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/admission"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// loadMeter keeps the sums that a backlog needs.
type loadMeter struct {
	placed  admission.Demand // all tasks assigned to workers so far
	lasting int64            // thousandths of a processor held by long-running tasks
	taken   int              // number of the last backlog, counted from 1
}

func (m *loadMeter) assigned(t *task) {
	m.placed = m.placed.Add(t.step.spec.demand(1))
	if t.step.spec.LongRunning {
		m.lasting += t.step.spec.footprint().MilliCPU
	}
}

func (m *loadMeter) released(t *task) {
	if t.step.spec.LongRunning {
		m.lasting -= t.step.spec.footprint().MilliCPU
	}
}

// demand returns the demand of the given number of the step's tasks.
func (s *StepSpec) demand(tasks int) admission.Demand {
	milliCPU := float64(tasks) * float64(s.footprint().MilliCPU)
	return admission.Demand{Tasks: float64(tasks), MilliCPU: milliCPU, Work: milliCPU * s.DeclaredRunTime.Seconds()}
}

// Arrival returns what the decision about admitting the job depends on.
func (e *Engine) Arrival(id model.JobID, spec *JobSpec) admission.Job {
	queue := spec.Queue
	if active, ok := e.queues[queue.Name]; ok {
		queue = active
	}
	path := spec.criticalPath()
	arrival := admission.Job{
		ID: string(id), Team: spec.Team, Priority: queue.Priority,
		Objective:    time.Duration(queue.Slowdown*float64(path)) + queue.BaseLatency,
		CriticalPath: path, Exempt: spec.Repetitions > 0 || spec.longRunning(),
	}
	for i := range spec.Steps {
		arrival.Demand = arrival.Demand.Add(spec.Steps[i].demand(spec.Steps[i].Tasks))
	}
	return arrival
}

// groupKey identifies a group of a backlog.
type groupKey struct {
	priority int
	team     *team
}

// Backlog returns a snapshot of what waits. It looks at each ready step and at each task
// on a worker once; call it some times a second.
func (e *Engine) Backlog(now time.Duration, wall time.Time) admission.Backlog {
	e.load.taken++
	backlog := admission.Backlog{Taken: now, Placed: e.load.placed, Teams: map[string]admission.Team{}}
	for name, t := range e.teams {
		if !t.used.IsZero() {
			backlog.Teams[name] = t.load()
		}
	}
	e.addWorkers(&backlog, now, wall)
	backlog.Standing = backlog.InFlightOldest
	groups := map[groupKey]*admission.Group{}
	for s := range e.ready {
		waited := e.waited(s, now, wall)
		if s.wait.reason == WaitAnswer {
			waited = 0 // the time of the placement policy, not of a queue
		}
		if s.spec.LongRunning {
			continue
		}
		jobTeam := s.occurrence.job.team
		name := s.occurrence.job.spec.Team
		backlog.Teams[name] = jobTeam.load()
		held := !withinLimit(jobTeam, s.spec.Size)
		if !held {
			backlog.Standing = max(backlog.Standing, waited)
		}
		if s.occurrence.lateness(s, wall) == tooLate {
			continue
		}
		key := groupKey{e.queue(s.occurrence.job).Priority, jobTeam}
		group, ok := groups[key]
		if !ok {
			group = &admission.Group{Priority: key.priority, Team: name}
			groups[key] = group
		}
		demand := s.spec.demand(s.pending)
		group.Waiting = group.Waiting.Add(demand)
		if held {
			group.Held = group.Held.Add(demand)
			group.HeldOldest = max(group.HeldOldest, waited)
		} else {
			group.Oldest = max(group.Oldest, waited)
		}
	}
	for _, group := range groups {
		backlog.Groups = append(backlog.Groups, *group)
	}
	slices.SortFunc(backlog.Groups, func(a, b admission.Group) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
	})
	return backlog
}

// addWorkers adds the workers' capacity and the starts in flight.
func (e *Engine) addWorkers(backlog *admission.Backlog, now time.Duration, wall time.Time) {
	capacity, free := -e.load.lasting, int64(0)
	for _, w := range e.workers {
		if w.listed {
			capacity += w.info.Capacity.MilliCPU
		}
		if e.schedulable(w, now) {
			free += max(0, w.free().MilliCPU)
		}
		for _, t := range w.tasks {
			if t.phase == placed && !t.adopted {
				backlog.InFlight++
				backlog.InFlightOldest = max(backlog.InFlightOldest, e.waited(t.step, now, wall))
			}
		}
	}
	backlog.Capacity, backlog.Free = float64(max(0, capacity)), float64(free)
}

// waited returns the time that tasks of the step have been waiting for a start since a
// backlog first found one, or since its job was due if none of the job's runs has
// started.
func (e *Engine) waited(s *step, now time.Duration, wall time.Time) time.Duration {
	if s.waitSeen != e.load.taken {
		if s.waitSeen != e.load.taken-1 || s.waitSeen == 0 {
			s.waitSince = now
		}
		s.waitSeen = e.load.taken
	}
	waited := now - s.waitSince
	if !s.occurrence.job.runStarted {
		waited = max(waited, wall.Sub(s.occurrence.due))
	}
	return waited
}

func (t *team) load() admission.Team {
	return admission.Team{Weight: t.policy.Weight, LimitMilliCPU: float64(t.policy.UpperLimit.MilliCPU)}
}

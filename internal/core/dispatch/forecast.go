package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// ForecastStep is the resolution of a forecast.
	ForecastStep = 50 * time.Millisecond
	// maxForecastSteps is the number of steps after which all running tasks count as ended.
	maxForecastSteps = 600
)

// Forecast is a snapshot of the cell's room and of what waits for it, from which it can be
// judged when a job that arrives would start. It does not change.
type Forecast struct {
	Wall  time.Time
	Rooms map[string]*Room // by service
	Teams map[string]TeamRoom

	queues map[string]Queue
}

// Room is the room of the workers of one service.
type Room struct {
	// Capacity is that of the workers in use, without what long-running tasks occupy. It
	// includes workers that are paused or silent for a short time.
	Capacity model.Resources
	// Used is the part of Capacity that tasks occupy.
	Used model.Resources
	// Released holds the part of Used that becomes free in each ForecastStep from now on if
	// tasks run as long as declared. Those that have run longer count as about to end.
	Released []model.Resources
	// Waiting holds the ready steps, without long-running ones and those that pause after a
	// failed advice request.
	Waiting []Demand
}

// Free returns the capacity that no task occupies.
func (r *Room) Free() model.Resources { return r.Capacity.Sub(r.Used).Max(model.Resources{}) }

// TeamRoom is a team's part in the cell.
type TeamRoom struct {
	Weight float64
	Limit  model.Resources // a zero dimension has no limit
	Used   model.Resources
}

// Demand is the room that the pending tasks of a step need.
type Demand struct {
	Team     string
	Priority int // of the queue; lower values are more urgent
	// Latest is when the step must start for its job to be in time, Useless when its
	// result will be of no use any more if it has not started.
	Latest, Useless time.Time
	Size            model.Resources // of all pending tasks together
	RunTime         time.Duration
	// OverLimit reports that the step waits for its team's limit, not for others.
	OverLimit bool
}

// Incoming describes a job that arrives.
type Incoming struct {
	Team, Queue, Service string
	Priority             int
	// Advice is the expected time until the placement policy has answered for the first
	// step. Path is the time from its start to the end of the job.
	Advice, Path time.Duration
	// Objective is the time from now until the job has to end, Useless until its result is
	// of no use any more.
	Objective, Useless time.Duration
	First              []Demand // of the steps that depend on no other
	All                []Demand // of all steps
}

// Forecast returns a snapshot of the cell's room at the given times.
func (e *Engine) Forecast(now time.Duration, wall time.Time) *Forecast {
	f := &Forecast{Wall: wall, Rooms: map[string]*Room{}, Teams: make(map[string]TeamRoom, len(e.teams)), queues: e.queues}
	for _, w := range e.workers {
		if !w.listed || !w.synced || w.cordoned || w.info.Draining || e.outOfService[w.info.Domain] {
			continue
		}
		room := f.room(w.info.Service)
		room.Capacity = room.Capacity.Add(w.info.Capacity.Sub(w.longRunning).Max(model.Resources{}))
		room.Used = room.Used.Add(w.used.Sub(w.longRunning))
		for _, t := range w.tasks {
			if !t.step.spec.LongRunning {
				room.release(t.step.spec.footprint(), t.expectedRemaining(now))
			}
		}
	}
	for name, t := range e.teams {
		f.Teams[name] = TeamRoom{Weight: t.weight(), Limit: t.policy.UpperLimit, Used: t.used}
	}
	for s := range e.ready {
		if s.spec.LongRunning || s.wait.reason == WaitRetry {
			continue
		}
		o := s.occurrence
		queue := e.queue(o.job)
		room := f.room(queue.Service)
		room.Waiting = append(room.Waiting, Demand{
			Team: o.job.spec.Team, Priority: queue.Priority,
			Latest: o.deadline.Add(-s.remainingTime), Useless: o.useless().Add(-s.remainingTime),
			Size: s.spec.footprint().Scale(int64(s.pending)), RunTime: s.spec.DeclaredRunTime,
			OverLimit: !withinLimit(o.job.team, s.demand()),
		})
	}
	return f
}

// expectedRemaining returns the time until the task's run ends if it takes as long as
// declared.
func (t *task) expectedRemaining(now time.Duration) time.Duration {
	if t.workedFrom == 0 {
		return t.step.spec.DeclaredRunTime
	}
	return max(0, t.step.spec.DeclaredRunTime-t.worked()-max(0, now-t.worker.lastReport))
}

// release adds what becomes free after the time.
func (r *Room) release(size model.Resources, after time.Duration) {
	bin := min(int(after/ForecastStep), maxForecastSteps-1)
	for len(r.Released) <= bin {
		r.Released = append(r.Released, model.Resources{})
	}
	r.Released[bin] = r.Released[bin].Add(size)
}

// useless returns the time from which the occurrence's result is of no use to the caller.
func (o *occurrence) useless() time.Time {
	return o.due.Add(lateLimitFactor * o.deadline.Sub(o.due))
}

func (f *Forecast) room(service string) *Room {
	room, ok := f.Rooms[service]
	if !ok {
		room = &Room{}
		f.Rooms[service] = room
	}
	return room
}

// Incoming describes the job as if it were submitted at the time wall. It returns false
// for jobs that do not run once and at once.
func (f *Forecast) Incoming(spec *JobSpec, wall time.Time) (Incoming, bool) {
	if spec.Repetitions > 0 || spec.longRunning() {
		return Incoming{}, false
	}
	queue, ok := f.queues[spec.Queue.Name]
	if !ok {
		queue = spec.Queue
	}
	job := *spec
	job.Queue = queue
	remainingTimes := job.remainingTimes()
	in := Incoming{Team: spec.Team, Queue: queue.Name, Service: queue.Service, Priority: queue.Priority}
	if queue.RequiresAdvice {
		in.Advice = queue.AdviceDecision + adviceBatchSize*queue.AdvicePerWorker
	}
	path := job.criticalPath()
	in.Path = path - in.Advice
	in.Objective = time.Duration(queue.Slowdown*float64(path)) + queue.BaseLatency
	in.Useless = lateLimitFactor * in.Objective
	for i := range spec.Steps {
		step := &spec.Steps[i]
		demand := Demand{
			Team: spec.Team, Priority: queue.Priority,
			Latest: wall.Add(in.Objective - remainingTimes[i]), Useless: wall.Add(in.Useless - remainingTimes[i]),
			Size: step.footprint().Scale(int64(step.Tasks)), RunTime: step.DeclaredRunTime,
		}
		in.All = append(in.All, demand)
		if len(step.DependsOn) == 0 {
			in.First = append(in.First, demand)
		}
	}
	return in, true
}

package dispatch

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// phase is what the engine believes of a task.
type phase int

const (
	waiting  phase = iota // may be placed
	placed                // a start was decided; whether it runs is not known yet
	running               // the worker lists it
	stopping              // a stop was decided; it may still run
	done
)

type job struct {
	id          model.JobID
	spec        JobSpec
	state       JobState
	forgotten   bool
	began       bool       // a run of the job is known to have begun
	dropped     []TaskName // tasks of completed occurrences that have records
	occurrences map[int]*occurrence
	completed   map[int]bool // occurrences
	next        int          // first occurrence that has not been opened
}

// occurrence is one run of a job's steps.
type occurrence struct {
	job      *job
	number   int
	due      time.Time
	deadline time.Time // of the objective
	steps    []*step
}

type step struct {
	occurrence *occurrence
	index      int
	spec       *StepSpec
	tail       time.Duration // estimated from the step's start to the job's end
	tasks      []*task
	left       int // tasks that are not done
	waiting    int // tasks that may be placed
	gang       *gang

	tickets  map[model.VMID]ticket
	refused  map[model.VMID]bool // workers that the policy does not allow
	asking   bool
	askAfter time.Duration
	toldAt   time.Duration // when the log last said why it waits
	blocked  uint64        // version of the free capacity at which nothing could be placed
}

// ticket is the policy's word that a worker may run the step.
type ticket struct {
	value   string
	life    int64
	expires time.Duration
}

// gang is what the members of a step that runs as one share.
type gang struct {
	run        uint64
	failures   int
	failedRun  uint64 // last run that counted as a failure
	done       bool
	breaking   bool // a member ended; the others have to end too
	checkpoint string
}

type task struct {
	step       *step
	index      int
	phase      phase
	run        uint64
	worker     *worker // nil unless placed, running or stopping
	life       int64
	failures   int
	checkpoint string
	failedOn   model.VMID
	ran        bool          // a run is known to have begun
	seenAt     time.Duration // worker clock at which the run was known to the worker; zero if unknown
	urgent     bool          // counts as urgent use while it is assigned
	paced      int           // percent that the worker was told; fullPace at the start
	adopted    bool          // placed by an earlier owner; no order is under way
	percent    int
}

func (t *task) name() TaskName {
	o := t.step.occurrence
	return TaskName{Job: o.job.id, Occurrence: o.number, Step: t.step.index, Index: t.index}
}

func (t *task) fact() TaskState {
	fact := TaskState{Task: t.name(), Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
	fact.Unstarted = !t.ran && (t.phase == waiting || t.phase == stopping)
	switch t.phase {
	case waiting:
		fact.Phase = TaskPending
	case done:
		fact.Phase = TaskDone
	default:
		fact.Phase = TaskPlaced
		fact.Incarnation = t.life
		if t.worker != nil {
			fact.Worker = t.worker.info.ID
		}
	}
	return fact
}

type worker struct {
	info     WorkerInfo
	listed   bool  // the VM list names it
	closed   bool  // takes no new work before its upkeep
	life     int64 // as the worker itself says; zero before its first report
	synced   bool  // it has answered under this tenure
	reported time.Duration
	used     model.Resources
	tasks    map[TaskName]*task
	strange  map[TaskName]uint64 // runs that no job accounts for
	acked    uint64              // ends that may be forgotten, durable
	seen     uint64              // ends that have been handled
	reserved int                 // pass in which a gang reserved it
	health   workerHealth
	pace     int           // percent that filling tasks may do
	pacedAt  time.Duration // when it last changed
}

func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used) }

// occupied reports whether runs may be at work on the worker.
func (w *worker) occupied() bool { return len(w.tasks) > 0 || len(w.strange) > 0 }

type team struct {
	policy Team
	used   model.Resources
}

// Settings are the figures of the platform that decisions depend on.
type Settings struct {
	StopTimeout time.Duration // the longest that a stop takes
	// ContactTime is how recent a worker's last report must be for a start.
	MaxReportAge time.Duration
	// TicketMargin is how long a ticket must still be valid to be used.
	TicketMargin time.Duration
}

// Engine holds the cell's jobs and workers.
type Engine struct {
	settings Settings
	queues   map[string]Queue
	teams    map[string]*team
	domains  map[model.FailureDomain]bool // out of service

	workers map[model.VMID]*worker
	// profiles holds the kinds of workers that have been listed.
	profiles map[profile]struct{}
	jobs     map[model.JobID]*job
	// forgotten and forgottenBefore hold the jobs that were forgotten, in two generations.
	forgotten       map[model.JobID]bool
	forgottenBefore map[model.JobID]bool
	ready           map[*step]struct{} // steps with tasks to place
	timed           map[*job]struct{}  // jobs with occurrences to open
	pass            int
	free            model.Resources // in this pass, on workers that take new work
	room            model.Resources // free in this pass, less what more urgent steps wait for
	urgent          urgentUse
	firstPriority   int                       // of the queues that go first
	claims          map[*team]model.Resources // of teams in this pass
	asks            asks
	askers          int
	version         uint64 // counts changes that may let a blocked step go on

	batch   Batch
	stops   []StopOrder
	paces   []PaceOrder
	queries []AdviceRequest
	events  []Event
}

// EventJobBegan is the kind of the event that a job's first run has begun.
const EventJobBegan = "job_began"

// Event is a decision for the log.
type Event struct {
	Kind   string
	Job    model.JobID
	Task   string
	Run    uint64
	Worker model.VMID
	Detail string
	// Team, Queue and Submitted tell of the job.
	Team      string
	Queue     string
	Submitted time.Time
}

func newEvent(kind string, j *job, detail string) Event {
	return Event{Kind: kind, Job: j.id, Detail: detail, Team: j.spec.Team, Queue: j.spec.Queue.Name, Submitted: j.spec.Submitted}
}

// New returns an engine without jobs and workers.
func New(settings Settings) *Engine {
	return &Engine{
		settings:  settings,
		queues:    map[string]Queue{},
		teams:     map[string]*team{},
		domains:   map[model.FailureDomain]bool{},
		workers:   map[model.VMID]*worker{},
		profiles:  map[profile]struct{}{},
		jobs:      map[model.JobID]*job{},
		claims:    map[*team]model.Resources{},
		forgotten: map[model.JobID]bool{},
		ready:     map[*step]struct{}{},
		timed:     map[*job]struct{}{},
	}
}

// SetPolicy puts the queues, teams and failure domains out of service in force.
func (e *Engine) SetPolicy(queues []Queue, teams []Team, out []model.FailureDomain) {
	e.queues = make(map[string]Queue, len(queues))
	for i, queue := range queues {
		e.queues[queue.Name] = queue
		if i == 0 || queue.Priority < e.firstPriority {
			e.firstPriority = queue.Priority
		}
	}
	for _, policy := range teams {
		e.team(policy.Name).policy = policy
	}
	e.domains = make(map[model.FailureDomain]bool, len(out))
	for _, domain := range out {
		e.domains[domain] = true
	}
	e.version++
}

func (e *Engine) team(name string) *team {
	found, ok := e.teams[name]
	if !ok {
		found = &team{policy: Team{Name: name}}
		e.teams[name] = found
	}
	return found
}

// queue returns the policy in force for the job's queue.
func (e *Engine) queue(j *job) Queue {
	if queue, ok := e.queues[j.spec.Queue.Name]; ok {
		return queue
	}
	return j.spec.Queue
}

// Take returns the facts and orders decided since the last call.
func (e *Engine) TakeBatch() Batch {
	batch := e.batch
	e.batch = Batch{}
	return batch
}

// TakeStops returns the stops decided since the last call. They need not wait
// for a fact to become durable.
func (e *Engine) TakeStopOrders() []StopOrder {
	stops := e.stops
	e.stops = nil
	return stops
}

// TakeQueries returns the questions to the placement policy decided since the
// last call.
func (e *Engine) TakeAdviceRequests() []AdviceRequest {
	queries := e.queries
	e.queries = nil
	return queries
}

// TakeEvents returns what is to be logged.
func (e *Engine) TakeEvents() []Event {
	events := e.events
	e.events = nil
	return events
}

func (e *Engine) event(kind string, t *task, detail string) {
	event := newEvent(kind, t.step.occurrence.job, detail)
	event.Task, event.Run = t.name().String(), t.run
	if t.worker != nil {
		event.Worker = t.worker.info.ID
	}
	e.events = append(e.events, event)
}

func (e *Engine) jobEvent(kind string, j *job, detail string) {
	e.events = append(e.events, newEvent(kind, j, detail))
}

func (e *Engine) record(t *task) { e.batch.Tasks = append(e.batch.Tasks, t.fact()) }

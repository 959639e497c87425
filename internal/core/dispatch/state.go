package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// phase is the engine's view of a task's progress.
type phase int

const (
	pending  phase = iota // can be placed once its dependencies are done
	placed                // start decided; not yet confirmed by the worker
	running               // confirmed by the worker
	stopping              // stop decided; the run may still be active
	done
)

type job struct {
	id             model.JobID
	spec           JobSpec
	team           *team
	policy         *Queue // active policy of the job's queue, or the one stored with the job
	policyVersion  uint64 // Engine.policyVersion at which policy was looked up
	state          JobState
	purged         bool
	runStarted     bool       // a run of the job is known to have started
	completedTasks []TaskName // tasks of completed occurrences with durable records
	occurrences    map[int]*occurrence
	completed      map[int]bool // occurrence numbers
	nextOccurrence int          // first occurrence not created yet
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job      *job
	number   int
	due      time.Time
	deadline time.Time // from the queue's latency objective
	// estimatedWith is runTimeModel.fits at the last estimate of the times.
	estimatedWith int
	steps         []*step
}

// step is a step of an occurrence with its tasks and its approved workers.
type step struct {
	occurrence    *occurrence
	index         int
	spec          *StepSpec
	remainingTime time.Duration // estimated time from the step's start to the job's end
	ranFor        []float64     // logarithms of the run times of ended tasks in seconds, sorted
	tasks         []*task
	unfinished    int // tasks that are not done
	pending       int // tasks in the pending phase
	suspects      int // tasks that are suspects
	gang          *gang

	tickets         map[model.VMID]ticket
	denied          map[model.VMID]bool // workers that the placement policy rejected
	placedOn        map[*worker]int     // assigned tasks by worker; only kept if MaxPerWorker is set
	adviceCalls     int                 // advice requests in flight
	adviceOverdue   time.Duration       // time from which those count as lost
	adviceRetryAt   time.Duration
	openSearchAt    time.Duration // when to look again for workers with open capacity
	openSearchPause time.Duration // since the last time that there were none
	searchFrom      int           // workers that the next search passes over, since those before found no use for them
	reservedPass    int           // last full pass since which capacity is reserved for it
	wait            wait
	blockedVersion  uint64 // Engine.version at the last unsuccessful attempt to place it in a full pass; zero if it is to be tried again
	putBack         bool   // decided before the last full pass: it can't be in time together with the others
	heldBriefly     bool   // what held it up in the last attempt can end without a change of Engine.version
}

// ticket is the placement policy's approval for a worker to run the step.
type ticket struct {
	worker      *worker
	value       string
	incarnation int64 // of the worker at the time of the approval
	expires     time.Duration
}

// gang is the state shared by the members of a gang step.
type gang struct {
	run        uint64
	failures   int
	failedRun  uint64 // last run counted as a failure, so that several failed members count once
	done       bool
	aborting   bool // a member ended or did not start; the others are being stopped
	checkpoint string
	// reservedPass is the last pass in which workers were reserved for it.
	reservedPass int
}

type task struct {
	step        *step
	index       int
	phase       phase
	run         uint64
	worker      *worker // nil unless placed, running or stopping
	incarnation int64
	failures    int
	checkpoint  string
	failedOn    model.VMID
	started     bool // a run of the task is known to have started
	// confirmedAt is the reading of the worker's clock when the worker last confirmed
	// the run. In phase stopping it is the time StopTimeout after the worker accepted
	// the stop order. It is zero before that. A complete report that is later by
	// reportMargin and lacks the run proves that the run has ended.
	confirmedAt time.Duration
	topPriority bool // counted in Engine.topPriorityUsage while assigned
	orderedPace int  // pace in the last pace order; fullPace after the start
	adopted     bool // placed by a previous owner; no order of this owner is in flight
	percent     int  // share of the full work rate last reported by the worker
	// stopOrdered reports that a stop order for the run is queued or being sent.
	stopOrdered bool
	// workedFrom and workedUntil are the readings of the worker's clock when it first
	// and last confirmed the current run, zero before that.
	workedFrom, workedUntil time.Duration
	crashes                 crashHistory // of workers under runs of the task
	suspect                 bool         // a run of the task may have crashed its worker
	probe                   bool         // the current run was placed on a worker in doubt
	separated               bool         // no task is placed beside the current run
	// pendingSince is when a suspect was first tried to be placed since its last run.
	pendingSince time.Duration
}

func (t *task) name() TaskName {
	o := t.step.occurrence
	return TaskName{Job: o.job.id, Occurrence: o.number, Step: t.step.index, Index: t.index}
}

func (t *task) state() TaskState {
	state := TaskState{
		Task: t.name(), Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint,
		Crashes: slices.Clone(t.crashes), Suspect: t.suspect,
	}
	state.Unstarted = !t.started && (t.phase == pending || t.phase == stopping)
	switch t.phase {
	case pending:
		state.Phase = TaskPending
	case done:
		state.Phase = TaskDone
	default:
		state.Phase = TaskPlaced
		state.Incarnation = t.incarnation
		if t.worker != nil {
			state.Worker = t.worker.info.ID
		}
	}
	return state
}

type worker struct {
	info          WorkerInfo
	listed        bool  // on the worker list
	cordoned      bool  // gets no new tasks; it is drained for upkeep
	incarnation   int64 // from the worker's own reports; zero before the first
	plannedStop   bool  // the incarnation was drained or stopped for upkeep
	suspects      int   // separated runs
	synced        bool  // has reported since this engine was created
	lastReport    time.Duration
	used          model.Resources
	longRunning   model.Resources // the part of used that long-running tasks occupy
	starting      int             // placed runs that the worker has not confirmed
	tasks         map[TaskName]*task
	orphaned      map[TaskName]*orphan // reported runs that are no task's current run
	acked         uint64               // sequence number up to which ends are durable
	handled       uint64               // sequence number up to which ends were applied
	reservedPass  int                  // last pass in which a gang reserved it
	reservedFor   *step                // the gang
	health        workerHealth
	trust         workerTrust     // only kept with Features.LearnRunTimes
	pace          int             // share of the full work rate, in percent, at which best-effort tasks may run
	paceChangedAt time.Duration   // when pace last changed
	asked         model.Resources // that advice requests in flight about the worker are expected to use
	counted       bool            // its free capacity is part of Engine.free

	indexPlace            // by free CPU
	openPlace  indexPlace // by open CPU
	labels     []string   // under which Engine.byLabel holds the worker
}

func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used) }

// openCapacity returns the free capacity without what the advice requests in flight
// are expected to use of it.
func (w *worker) openCapacity() model.Resources { return w.free().Sub(w.asked) }

// occupied reports whether runs may be active on the worker.
func (w *worker) occupied() bool { return len(w.tasks) > 0 || len(w.orphaned) > 0 }

// orphan is a run that a worker reported and that is no task's current run.
type orphan struct {
	run         uint64
	stopOrdered bool // a stop order is queued, being sent or accepted
}

type team struct {
	policy Team
	used   model.Resources
}

// Settings are the time limits that placements depend on.
type Settings struct {
	// StopTimeout is the longest time that a run continues after its worker has
	// accepted the stop order.
	StopTimeout time.Duration
	// MaxReportAge is the maximum age of a worker's last report for placing a task on it.
	MaxReportAge time.Duration
	// TicketMargin is the minimum remaining validity of a ticket for placing a task with it.
	TicketMargin time.Duration
	Features     Features
}

// Features are the decisions that the settings of a deployment switch on.
type Features struct {
	OrderByNeed   bool // orders steps under overload by what their callers need
	Preempt       bool // stops less urgent tasks for those of the top priority
	LearnRunTimes bool // corrects declared run times and rates workers by progress
	Copies        bool // starts copies of late tasks whose step allows it
	NearWait      bool // waits for a place near the data or the group if that pays
}

// Engine holds the state of the cell's jobs and workers and decides placements.
// It is not safe for concurrent use.
type Engine struct {
	settings     Settings
	queues       map[string]Queue
	teams        map[string]*team
	outOfService map[model.FailureDomain]bool

	workers     map[model.VMID]*worker
	indexes     map[string]*workerIndex         // listed workers by service
	openIndexes map[string]*workerIndex         // the same by open CPU
	byLabel     map[string]map[*worker]struct{} // by label and rack
	// classes holds the classes of all workers that were ever on the worker list, each
	// with the most that its workers have offered.
	classes       map[workerClass]struct{}
	jobs          map[model.JobID]*job
	crashed       map[*task]struct{} // tasks that may have crashes
	separatedRuns int                // runs of suspects beside which nothing is placed
	listedWorkers int                // at the last full pass
	// purged and purgedBefore hold the ids of purged jobs, in two generations.
	purged                map[model.JobID]bool
	purgedBefore          map[model.JobID]bool
	ready                 map[*step]struct{}        // steps that can be placed
	changed               map[*step]struct{}        // that became ready or whose advice was answered since the last pass
	withFutureOccurrences map[*job]struct{}         // jobs with occurrences that are not created yet
	pass                  int                       // number of the last full scheduling pass
	lastFullPass          time.Duration             // time of it
	nextFullPass          time.Duration             // earliest time of the next one
	passVersion           uint64                    // version at its end
	capacity              model.Resources           // of the listed workers that had reported then
	free                  model.Resources           // on the workers that were schedulable then; kept up to date by placements and ends
	unreserved            model.Resources           // free at its start, less the reservations of more urgent steps; not reduced by placements
	topPriorityUsage      peakUsage                 // of the top-priority tasks, except long-running ones
	topPriority           int                       // lowest priority value of all queues, the most urgent
	remainders            []remainder               // by urgency, from the last full pass
	reserved              map[*team]model.Resources // by team, since the last full pass
	gangReservePass       int                       // last pass in which a gang reserved workers
	gangReserved          int                       // workers reserved in it
	startRates            map[int]*startRate        // by priority of the queue
	lastStart             time.Duration
	startsSince           time.Duration // without a gap of startGap
	aged                  *step         // has its turn although it is too late to be of use
	adviceInFlight        adviceInFlight
	awaitingAdvisor       []*step            // by urgency; found no free advisor since the last full pass
	advisors              int                // nodes that can call the placement policy
	approvalRates         map[string]float64 // by queue, the share of workers that the placement policy approves
	version               uint64             // incremented by changes that may unblock a step
	policyVersion         uint64             // incremented by SetPolicy

	runTimes     map[string]*runTimeModel // by queue
	failureShare float64                  // usual share of failed runs of the cell
	doubtIgnored bool                     // too many workers were in doubt at the last full pass

	batch          Batch
	stopOrders     []StopOrder
	paceOrders     []PaceOrder
	adviceRequests []AdviceRequest
	events         []Event
}

// EventJobBegan is the kind of the event for the start of a job's first run.
const EventJobBegan = "job_began"

// Event describes a decision, a state change or the reason for a wait, for the log
// and the metrics.
type Event struct {
	Kind   string // log message, for example "run_placed", "run_done" or "job_waits"
	Job    model.JobID
	Task   string
	Run    uint64
	Worker model.VMID
	Detail string
	// Team, Queue and Submitted describe the job.
	Team      string
	Queue     string
	Submitted time.Time
}

func newEvent(kind string, j *job, detail string) Event {
	return Event{Kind: kind, Job: j.id, Detail: detail, Team: j.spec.Team, Queue: j.spec.Queue.Name, Submitted: j.spec.Submitted}
}

// New returns an engine without jobs, workers and policy.
func New(settings Settings) *Engine {
	return &Engine{
		settings:              settings,
		queues:                map[string]Queue{},
		teams:                 map[string]*team{},
		outOfService:          map[model.FailureDomain]bool{},
		workers:               map[model.VMID]*worker{},
		indexes:               map[string]*workerIndex{},
		openIndexes:           map[string]*workerIndex{},
		byLabel:               map[string]map[*worker]struct{}{},
		changed:               map[*step]struct{}{},
		approvalRates:         map[string]float64{},
		startRates:            map[int]*startRate{},
		policyVersion:         1,
		classes:               map[workerClass]struct{}{},
		jobs:                  map[model.JobID]*job{},
		crashed:               map[*task]struct{}{},
		reserved:              map[*team]model.Resources{},
		purged:                map[model.JobID]bool{},
		ready:                 map[*step]struct{}{},
		runTimes:              map[string]*runTimeModel{},
		failureShare:          usualFailures,
		withFutureOccurrences: map[*job]struct{}{},
	}
}

// SetPolicy replaces the active queues, teams and failure domains out of service.
// Teams that are missing from the list keep their last policy.
func (e *Engine) SetPolicy(queues []Queue, teams []Team, out []model.FailureDomain) {
	e.policyVersion++
	e.queues = make(map[string]Queue, len(queues))
	for i, queue := range queues {
		e.queues[queue.Name] = queue
		if i == 0 || queue.Priority < e.topPriority {
			e.topPriority = queue.Priority
		}
	}
	maps.DeleteFunc(e.runTimes, func(name string, _ *runTimeModel) bool {
		_, exists := e.queues[name]
		return !exists
	})
	for _, policy := range teams {
		e.team(policy.Name).policy = policy
	}
	e.outOfService = make(map[model.FailureDomain]bool, len(out))
	for _, domain := range out {
		e.outOfService[domain] = true
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

// queue returns the active policy of the job's queue, or the one stored with
// the job if the queue no longer exists.
func (e *Engine) queue(j *job) *Queue {
	if j.policyVersion != e.policyVersion {
		j.policyVersion, j.policy = e.policyVersion, &j.spec.Queue
		if queue, ok := e.queues[j.spec.Queue.Name]; ok {
			j.policy = &queue
		}
	}
	return j.policy
}

// TakeBatch returns the records and orders decided since the last call.
func (e *Engine) TakeBatch() Batch {
	batch := e.batch
	e.batch = Batch{}
	return batch
}

// TakeStopOrders returns the stop orders decided since the last call. They may
// be sent before the batch is durable.
func (e *Engine) TakeStopOrders() []StopOrder {
	stopOrders := e.stopOrders
	e.stopOrders = nil
	return stopOrders
}

// TakeAdviceRequests returns the requests for the placement policy decided since
// the last call.
func (e *Engine) TakeAdviceRequests() []AdviceRequest {
	adviceRequests := e.adviceRequests
	e.adviceRequests = nil
	return adviceRequests
}

// TakeEvents returns the events since the last call.
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

func (e *Engine) record(t *task) { e.batch.Tasks = append(e.batch.Tasks, t.state()) }

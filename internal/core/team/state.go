// Package team holds the scheduling state of one team: which of its requests and
// tasks may start next under its upper limit, and the state of each. It performs
// no I/O: callers pass readings of the owner's clock, and effects are return
// values.
package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// maxFailures is the number of failed attempts after which a task fails.
const maxFailures = 3

// State is the scheduling state of a team's owner. It is not safe for concurrent
// use.
type State struct {
	template     model.WorkspaceTemplate
	epoch        model.Epoch
	ledger       *permit.Ledger
	capacity     model.Resources // of the cell, for the dominant share
	keys         *keyTable
	jobs         map[model.JobID]*job
	jobByKey     map[string]model.JobID // by idempotency key
	ready        readyQueue
	waiting      int // number of waiting tasks
	outbox       outbox
	pendingStops []string // permits of gang members that must be stopped
	// recovering is true until every partition has reported what it runs for
	// earlier sessions.
	recovering bool
	freedAt    time.Duration // when capacity was last freed
}

// New returns the state of a new owner session. Jobs are added with Restore and
// AddJob, usage with the ledger's AddPartition and Reconcile.
func New(team model.TeamID, epoch model.Epoch) *State {
	return &State{
		template: model.WorkspaceTemplate{Team: team},
		epoch:    epoch,
		ledger:   permit.NewLedger(team, epoch),
		keys:     newKeyTable(),
		jobs:     map[model.JobID]*job{},
		jobByKey: map[string]model.JobID{},
		outbox:   newOutbox(team),

		recovering: true,
	}
}

// Restore adds a job of an earlier session from the journal. Its tasks are not
// offered before FinishRecovery, because they may be running.
func (s *State) Restore(state *journal.JobState) {
	s.AddJob(state)
	if j := s.jobs[state.Job.ID]; j != nil {
		j.restored = true
	}
}

// FinishRecovery records that every partition has reported what it runs for
// earlier sessions.
func (s *State) FinishRecovery() {
	s.recovering = false
}

// Recovering reports whether some partition has yet to report what it runs for
// earlier sessions.
func (s *State) Recovering() bool {
	return s.recovering
}

// SetTemplate sets the template in force and its upper limit.
func (s *State) SetTemplate(template model.WorkspaceTemplate) {
	s.template = template
	s.ledger.SetLimit(template.UpperLimit)
}

// Template returns the template in force.
func (s *State) Template() model.WorkspaceTemplate {
	return s.template
}

// SetCellCapacity sets the capacity from which dominant shares are computed.
func (s *State) SetCellCapacity(capacity model.Resources) {
	s.capacity = capacity
}

// Ledger returns the ledger of the team's permits.
func (s *State) Ledger() *permit.Ledger {
	return s.ledger
}

// Waiting returns the number of waiting tasks.
func (s *State) Waiting() int {
	return s.waiting
}

// Ratio returns the dominant share in use divided by the template's ShareWeight,
// or by 1 if that is not positive (unlike fairness.Ratio).
func (s *State) Ratio() float64 {
	weight := s.template.ShareWeight
	if weight <= 0 {
		weight = 1
	}
	return s.ledger.KnownUse().DominantShare(s.capacity) / weight
}

// Demand returns the number of waiting, offered and running tasks and their mean
// size. It iterates over all jobs.
func (s *State) Demand() (tasks int64, mean model.Resources) {
	var sum model.Resources
	for _, j := range s.jobs {
		if !j.open() {
			continue
		}
		n := int64(len(j.waiting) + j.active())
		tasks += n
		sum = sum.Add(j.Size.Scale(n))
	}
	if tasks == 0 {
		return 0, model.Resources{}
	}
	return tasks, model.Resources{
		MilliCPU:     sum.MilliCPU / tasks,
		MemoryMiB:    sum.MemoryMiB / tasks,
		Accelerators: sum.Accelerators / tasks,
		Slots:        sum.Slots / tasks,
	}
}

// QuickRequest is a quick request that asks for admission.
type QuickRequest struct {
	Request       model.RequestID
	Key           string // idempotency key, may be empty
	NonIdempotent bool
}

// Admission is the result of Admit.
type Admission struct {
	KeyState KeyState
	// NeedsIntent means that the caller must append an intent to the journal
	// before the request may run.
	NeedsIntent bool
	Request     model.RequestID // the request that the key belongs to
	Outcome     model.Outcome   // set for KeyEnded
	Answer      model.Answer    // set if the answer body was kept
}

// Admit records a quick request and returns the state of its idempotency key.
func (s *State) Admit(q QuickRequest, now time.Duration) Admission {
	state, known := s.keys.begin(q.Key, q.Request, now)
	admission := Admission{KeyState: state, Request: q.Request}
	intentInJournal := false
	if known != nil {
		admission.Request = known.request
		admission.Outcome = known.outcome
		admission.Answer = known.body
		intentInJournal = known.intentInJournal
	}
	admission.NeedsIntent = q.NonIdempotent && q.Key != "" && !intentInJournal
	return admission
}

// ApplyIntent applies a request's intent from the journal. Retries of that
// request may proceed. If it was not admitted in this session, other requests
// with its key get an unknown outcome.
func (s *State) ApplyIntent(intent *logpb.Intent, now time.Duration) {
	s.keys.applyIntent(intent.GetIdempotencyKey(), model.RequestID(intent.GetRequestId()), now)
}

// GrantQuick returns a permit for one slot of the target group, or a NotGranted
// error if the upper limit has no headroom or the partition is not reconciled for
// the epoch.
func (s *State) GrantQuick(partition model.PartitionID, epoch model.Epoch, now time.Duration) (model.Permit, error) {
	return s.grant(partition, epoch, model.Resources{Slots: 1}, now)
}

// RecordOutcome records the outcome of a quick request.
func (s *State) RecordOutcome(key string, request model.RequestID, outcome model.Outcome, body model.Answer, now time.Duration) {
	s.keys.finish(key, request, outcome, body, now)
}

// AddJob adds a job from the journal. Repeated calls have no effect.
func (s *State) AddJob(state *journal.JobState) {
	if s.jobs[state.Job.ID] != nil {
		return
	}
	j := newJob(state)
	s.jobs[j.ID] = j
	if j.IdempotencyKey != "" {
		s.jobByKey[j.IdempotencyKey] = j.ID
	}
	if !j.open() {
		return
	}
	s.waiting += j.counts[TaskWaiting]
	s.ready.push(j)
	s.endIfFinal(j)
}

// JobByKey returns the job that an idempotency key belongs to.
func (s *State) JobByKey(key string) (model.JobID, bool) {
	if key == "" {
		return "", false
	}
	id, ok := s.jobByKey[key]
	return id, ok
}

// JobView is a snapshot of a job as reported to callers.
type JobView struct {
	Job                            model.Job
	State, Detail                  string
	Waiting, Running, Done, Failed int
}

// Job returns a snapshot of a job, and false if it is not known.
func (s *State) Job(id model.JobID) (JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	return JobView{
		Job:     j.Job,
		State:   j.reportedState(),
		Detail:  j.detail,
		Waiting: j.counts[TaskWaiting],
		Running: j.active(),
		Done:    j.counts[TaskDone],
		Failed:  j.counts[TaskFailed] + j.counts[TaskUnknown],
	}, true
}

// ForgetJob removes an ended job that the journal no longer keeps.
func (s *State) ForgetJob(id model.JobID) {
	j := s.jobs[id]
	if j == nil || j.open() {
		return
	}
	if s.jobByKey[j.IdempotencyKey] == id {
		delete(s.jobByKey, j.IdempotencyKey)
	}
	delete(s.jobs, id)
}

// grant returns a permit that carries the team's ratio after the grant.
func (s *State) grant(partition model.PartitionID, epoch model.Epoch, size model.Resources, now time.Duration) (model.Permit, error) {
	p, err := s.ledger.Grant(partition, epoch, size, now)
	if err != nil {
		return model.Permit{}, err
	}
	p.Ratio = s.Ratio()
	return p, nil
}

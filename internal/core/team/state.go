// Package team decides for one team: which of its requests and tasks may start
// next under its upper limit, and what is known of each. It is pure: time
// comes in as readings of the owner's clock, effects go out as return values.
package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/permit"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// maxTries bounds the failed attempts of one task.
const maxTries = 3

// State is everything that a team's owner knows. It is not safe for concurrent
// use.
type State struct {
	template model.WorkspaceTemplate
	epoch    model.Epoch
	ledger   *permit.Ledger
	total    model.Resources // of the cell, for the dominant share
	answers  *answers
	jobs     map[model.JobID]*job
	byKey    map[string]model.JobID
	ready    readyQueue
	waiting  int // tasks that wait
	outbox   outbox
	toStop   []string // permits of gang members that must be stopped
	// recovering is true until every partition has told what it runs for
	// earlier tenures.
	recovering bool
	roomAt     time.Duration // when room last came up
}

// New returns the state of a new tenure. Jobs follow by AddJob, use by the
// ledger's Expect and Settle.
func New(team model.TeamID, epoch model.Epoch) *State {
	return &State{
		template: model.WorkspaceTemplate{Team: team},
		epoch:    epoch,
		ledger:   permit.NewLedger(team, epoch),
		answers:  newAnswers(),
		jobs:     map[model.JobID]*job{},
		byKey:    map[string]model.JobID{},
		outbox:   newOutbox(team),

		recovering: true,
	}
}

// Restore takes a job of an earlier tenure over from the journal. Its tasks
// are not offered before Recovered, because they may run already.
func (s *State) Restore(state *journal.JobState) {
	s.AddJob(state)
	if j := s.jobs[state.Job.ID]; j != nil {
		j.restored = true
	}
}

// Recovered tells that every partition has reported what it runs for earlier
// tenures.
func (s *State) FinishRecovery() {
	s.recovering = false
}

// Recovering reports whether Recovered has not been called.
func (s *State) Recovering() bool {
	return s.recovering
}

// SetTemplate puts a revised template in force.
func (s *State) SetTemplate(template model.WorkspaceTemplate) {
	s.template = template
	s.ledger.SetLimit(template.UpperLimit)
}

// Template returns the template in force.
func (s *State) Template() model.WorkspaceTemplate {
	return s.template
}

// SetTotal tells the capacity of the cell.
func (s *State) SetCellCapacity(total model.Resources) {
	s.total = total
}

// Ledger returns the ledger of the team's permits.
func (s *State) Ledger() *permit.Ledger {
	return s.ledger
}

// Waiting returns how many tasks wait.
func (s *State) Waiting() int {
	return s.waiting
}

// Ratio returns the dominant share in use divided by the team's share.
func (s *State) Ratio() float64 {
	weight := s.template.Share
	if weight <= 0 {
		weight = 1
	}
	return s.ledger.KnownUse().DominantShare(s.total) / weight
}

// Demand returns how many tasks wait or run, and their mean size. It costs one
// pass over the jobs.
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

// Quick is the turn that a quick request asks for.
type QuickRequest struct {
	Request       model.RequestID
	Key           string // idempotency key, may be empty
	NonIdempotent bool
}

// Admission is what is known of a quick request before it may run.
type Admission struct {
	KeyState KeyState
	// NeedsIntent asks the caller to put an intent on the log first.
	NeedsIntent bool
	Request     model.RequestID // that the key belongs to
	Outcome     model.Outcome   // of an ended request
	Answer      model.Answer
}

// Admit notes a quick request and tells whether its key is known.
func (s *State) Admit(q QuickRequest, now time.Duration) Admission {
	standing, known := s.answers.begin(q.Key, q.Request, now)
	admission := Admission{KeyState: standing, Request: q.Request}
	intended := false
	if known != nil {
		admission.Request = known.request
		admission.Outcome = known.outcome
		admission.Answer = known.body
		intended = known.intended
	}
	admission.NeedsIntent = q.NonIdempotent && q.Key != "" && !intended
	return admission
}

// AddIntent takes over an intent from the journal. The request that wrote it
// may go on; another one with the same key is told that its end is unknown.
func (s *State) ApplyIntent(intent *logpb.Intent, now time.Duration) {
	s.answers.intend(intent.GetIdempotencyKey(), model.RequestID(intent.GetRequestId()), now)
}

// GrantQuick returns a permit for one slot of the target group.
func (s *State) GrantQuick(partition model.PartitionID, epoch model.Epoch, now time.Duration) (model.Permit, error) {
	return s.grant(partition, epoch, model.Resources{Slots: 1}, now)
}

// Finish records the end of a quick request.
func (s *State) RecordOutcome(key string, request model.RequestID, outcome model.Outcome, body model.Answer, now time.Duration) {
	s.answers.end(key, request, outcome, body, now)
}

// AddJob takes a job over from the journal. Repeated calls have no effect.
func (s *State) AddJob(state *journal.JobState) {
	if s.jobs[state.Job.ID] != nil {
		return
	}
	j := newJob(state)
	s.jobs[j.ID] = j
	if j.IdempotencyKey != "" {
		s.byKey[j.IdempotencyKey] = j.ID
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
	id, ok := s.byKey[key]
	return id, ok
}

// JobView is a job as callers see it.
type JobView struct {
	Job                            model.Job
	State, Detail                  string
	Waiting, Running, Done, Failed int
}

// Job returns what is known of a job.
func (s *State) Job(id model.JobID) (JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	return JobView{
		Job:     j.Job,
		State:   j.describe(),
		Detail:  j.detail,
		Waiting: j.counts[TaskWaiting],
		Running: j.active(),
		Done:    j.counts[TaskDone],
		Failed:  j.counts[TaskFailed] + j.counts[TaskUnknown],
	}, true
}

// ForgetJob drops an ended job that the journal no longer keeps.
func (s *State) ForgetJob(id model.JobID) {
	j := s.jobs[id]
	if j == nil || j.open() {
		return
	}
	if s.byKey[j.IdempotencyKey] == id {
		delete(s.byKey, j.IdempotencyKey)
	}
	delete(s.jobs, id)
}

func (s *State) grant(partition model.PartitionID, epoch model.Epoch, size model.Resources, now time.Duration) (model.Permit, error) {
	p, err := s.ledger.Grant(partition, epoch, size, now)
	if err != nil {
		return model.Permit{}, err
	}
	p.Ratio = s.Ratio()
	return p, nil
}

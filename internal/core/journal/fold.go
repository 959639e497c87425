// Package journal folds the records of accepted jobs and of intents into the
// state that a team's new owner starts from. The fold depends on the records
// and their order only, so that every process reaches the same state.
package journal

import (
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// Stream is the name of the log stream.
const Stream = "journal"

// Version is the newest record version that this fold understands.
const Version = 1

const (
	// maxEnded bounds the ended jobs that the fold remembers for each team.
	maxEnded = 1000
	// maxIntents bounds the request intents that the fold remembers for each
	// team.
	maxIntents = 20000
)

// EventKind tells what a record changed.
type EventKind string

// The kinds of event. A duplicate is a job whose idempotency key belongs to an
// earlier one.
const (
	EventIgnored    EventKind = "ignored"
	EventAccepted   EventKind = "accepted"
	EventDuplicate  EventKind = "duplicate"
	EventEnded      EventKind = "ended"
	EventTasksEnded EventKind = "tasks"
	EventIntent     EventKind = "intent"
	EventCancelled  EventKind = "cancelled"
)

// Event is the effect of one record.
type Event struct {
	Kind     EventKind
	RecordID string // id of the record
	Team     model.TeamID
	Job      *JobState // the earlier job for a duplicate
	Tasks    *logpb.TasksEnded
	Intent   *logpb.Intent
	// Forgotten is an old ended job that the fold no longer keeps; empty for
	// none.
	Purged model.JobID
}

// TaskMark is what the journal knows of a task.
type TaskProgress uint8

// The marks of a task.
const (
	TaskPending TaskProgress = iota
	TaskIntended
	TaskDone
	TaskFailed
	TaskUnknown
)

// JobState is a job with what the journal knows of its tasks.
type JobState struct {
	Job       model.Job
	Progress  []TaskProgress
	Cancelled bool
	State     string // empty while open
	Detail    string
}

// Open reports whether the job has not ended.
func (s *JobState) Open() bool {
	return s.State == ""
}

// teamState is the fold of one team.
type teamState struct {
	jobs    map[model.JobID]*JobState
	order   []model.JobID // of acceptance
	ended   []model.JobID // oldest first
	byKey   map[string]model.JobID
	intents map[string]*logpb.Intent // by idempotency key
	recent  []string                 // keys of intents, oldest first
}

// Fold is the state of the journal. It is not safe for concurrent use.
type Fold struct {
	teams   map[model.TeamID]*teamState
	skipped uint64
}

// NewFold returns the state of an empty journal.
func NewFold() *Fold {
	return &Fold{teams: map[model.TeamID]*teamState{}}
}

// Skipped returns how many records could not be read.
func (f *Fold) Skipped() uint64 {
	return f.skipped
}

// Apply folds the next record in. Records that cannot be read, or of a newer
// version, are counted and have no effect.
func (f *Fold) Apply(data []byte) Event {
	var record logpb.JournalRecord
	if proto.Unmarshal(data, &record) != nil || record.GetVersion() > Version {
		f.skipped++
		return Event{Kind: EventIgnored}
	}
	event := f.apply(&record)
	event.RecordID = record.GetId()
	return event
}

func (f *Fold) apply(record *logpb.JournalRecord) Event {
	switch body := record.GetBody().(type) {
	case *logpb.JournalRecord_JobAccepted:
		return f.accept(body.JobAccepted)
	case *logpb.JournalRecord_JobEnded:
		return f.end(body.JobEnded)
	case *logpb.JournalRecord_Intent:
		return f.intend(body.Intent)
	case *logpb.JournalRecord_TasksEnded:
		return f.endTasks(body.TasksEnded)
	case *logpb.JournalRecord_JobCancelled:
		return f.cancel(body.JobCancelled)
	case *logpb.JournalRecord_Checkpoint:
		return Event{Kind: EventIgnored}
	default:
		f.skipped++
		return Event{Kind: EventIgnored}
	}
}

// Jobs returns the team's jobs in the order of acceptance, ended ones
// included. The states are shared; callers must not change them.
func (f *Fold) Jobs(team model.TeamID) []*JobState {
	state := f.teams[team]
	if state == nil {
		return nil
	}
	var jobs []*JobState
	for _, id := range state.order {
		if job := state.jobs[id]; job != nil {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// Intents returns the team's request intents.
func (f *Fold) Intents(team model.TeamID) []*logpb.Intent {
	state := f.teams[team]
	if state == nil {
		return nil
	}
	intents := make([]*logpb.Intent, 0, len(state.recent))
	for _, key := range state.recent {
		intents = append(intents, state.intents[key])
	}
	return intents
}

func (f *Fold) team(id model.TeamID) *teamState {
	state := f.teams[id]
	if state == nil {
		state = &teamState{
			jobs:    map[model.JobID]*JobState{},
			byKey:   map[string]model.JobID{},
			intents: map[string]*logpb.Intent{},
		}
		f.teams[id] = state
	}
	return state
}

func (f *Fold) accept(record *logpb.JobAccepted) Event {
	var message peerpb.Job
	if proto.Unmarshal(record.GetJob(), &message) != nil || message.GetTasks() <= 0 {
		f.skipped++
		return Event{Kind: EventIgnored}
	}
	job := convert.Job(&message)
	state := f.team(job.Team)
	if earlier := state.jobs[job.ID]; earlier != nil {
		return Event{Kind: EventDuplicate, Team: job.Team, Job: earlier}
	}
	if job.IdempotencyKey != "" {
		if earlier, ok := state.byKey[job.IdempotencyKey]; ok {
			return Event{Kind: EventDuplicate, Team: job.Team, Job: state.jobs[earlier]}
		}
		state.byKey[job.IdempotencyKey] = job.ID
	}
	added := &JobState{Job: job, Progress: make([]TaskProgress, job.Tasks)}
	state.jobs[job.ID] = added
	state.order = append(state.order, job.ID)
	return Event{Kind: EventAccepted, Team: job.Team, Job: added}
}

func (f *Fold) end(record *logpb.JobEnded) Event {
	team := model.TeamID(record.GetTeam())
	state := f.team(team)
	job := state.jobs[model.JobID(record.GetJobId())]
	if job == nil || !job.Open() {
		return Event{Kind: EventIgnored}
	}
	job.State = record.GetState()
	job.Detail = record.GetDetail()
	state.ended = append(state.ended, job.Job.ID)
	return Event{Kind: EventEnded, Team: team, Job: job, Purged: state.forgetOldest()}
}

func (f *Fold) cancel(record *logpb.JobCancelled) Event {
	team := model.TeamID(record.GetTeam())
	job := f.team(team).jobs[model.JobID(record.GetJobId())]
	if job == nil || !job.Open() || job.Cancelled {
		return Event{Kind: EventIgnored}
	}
	job.Cancelled = true
	return Event{Kind: EventCancelled, Team: team, Job: job}
}

func (f *Fold) endTasks(record *logpb.TasksEnded) Event {
	team := model.TeamID(record.GetTeam())
	job := f.team(team).jobs[model.JobID(record.GetJobId())]
	if job == nil {
		return Event{Kind: EventIgnored}
	}
	job.mark(record.GetDone(), TaskDone)
	job.mark(record.GetFailed(), TaskFailed)
	job.mark(record.GetUnknown(), TaskUnknown)
	if record.GetDetail() != "" {
		job.Detail = record.GetDetail()
	}
	return Event{Kind: EventTasksEnded, Team: team, Job: job, Tasks: record}
}

func (f *Fold) intend(record *logpb.Intent) Event {
	team := model.TeamID(record.GetTeam())
	state := f.team(team)
	if record.GetTaskId() != "" {
		return f.intendTask(state, team, record)
	}
	key := record.GetIdempotencyKey()
	if key == "" {
		return Event{Kind: EventIgnored}
	}
	if earlier := state.intents[key]; earlier != nil {
		return Event{Kind: EventIntent, Team: team, Intent: earlier}
	}
	state.intents[key] = record
	state.recent = append(state.recent, key)
	if len(state.recent) > maxIntents {
		delete(state.intents, state.recent[0])
		state.recent = state.recent[1:]
	}
	return Event{Kind: EventIntent, Team: team, Intent: record}
}

func (f *Fold) intendTask(state *teamState, team model.TeamID, record *logpb.Intent) Event {
	id, index, err := model.SplitTask(model.TaskID(record.GetTaskId()))
	job := state.jobs[id]
	if err != nil || job == nil || index >= len(job.Progress) {
		return Event{Kind: EventIgnored}
	}
	if job.Progress[index] == TaskPending {
		job.Progress[index] = TaskIntended
	}
	return Event{Kind: EventIntent, Team: team, Job: job, Intent: record}
}

// mark sets the final mark of tasks that have none.
func (s *JobState) mark(indexes []int32, mark TaskProgress) {
	for _, index := range indexes {
		if index < 0 || int(index) >= len(s.Progress) {
			continue
		}
		if s.Progress[index] == TaskPending || s.Progress[index] == TaskIntended {
			s.Progress[index] = mark
		}
	}
}

// forgetOldest drops the oldest ended job beyond the bound and returns it.
func (t *teamState) forgetOldest() model.JobID {
	if len(t.ended) <= maxEnded {
		return ""
	}
	id := t.ended[0]
	t.ended = t.ended[1:]
	if job := t.jobs[id]; job != nil && t.byKey[job.Job.IdempotencyKey] == id {
		delete(t.byKey, job.Job.IdempotencyKey)
	}
	delete(t.jobs, id)
	t.compactOrder()
	return id
}

// compactOrder drops forgotten jobs from the order once they are the larger
// part of it, so that the cost per job stays constant.
func (t *teamState) compactOrder() {
	if len(t.order) < 2*len(t.jobs)+1 {
		return
	}
	kept := make([]model.JobID, 0, len(t.jobs))
	for _, id := range t.order {
		if t.jobs[id] != nil {
			kept = append(kept, id)
		}
	}
	t.order = kept
}

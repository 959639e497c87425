// Package journal applies the records of accepted jobs and of intents to the state
// that a team's new owner starts from. The state depends only on the records and
// their order, so that every process derives the same state.
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

// Version is the newest record version that Fold applies.
const Version = 1

const (
	// maxEndedJobs is the maximum number of ended jobs retained per team.
	maxEndedJobs = 1000
	// maxIntents is the maximum number of request intents retained per team.
	maxIntents = 20000
)

// EventKind is the kind of change that a record made.
type EventKind string

// The kinds of event.
const (
	EventIgnored    EventKind = "ignored"   // the record had no effect
	EventAccepted   EventKind = "accepted"  // the job was added
	EventDuplicate  EventKind = "duplicate" // the job was not added: an earlier job of the team has its id or idempotency key
	EventEnded      EventKind = "ended"     // the job ended
	EventTasksEnded EventKind = "tasks"     // tasks of the job ended; Event.Tasks is the record
	EventIntent     EventKind = "intent"    // an intent to start a task or request; Event.Intent is the one in effect
	EventCancelled  EventKind = "cancelled" // the job was cancelled; it has not ended yet
)

// Event is the effect of one record.
type Event struct {
	Kind     EventKind
	RecordID string // the record's id; empty if it could not be decoded
	Team     model.TeamID
	Job      *JobState // for a duplicate, the earlier job
	Tasks    *logpb.TasksEnded
	Intent   *logpb.Intent
	// Purged is the oldest ended job if the record made the fold drop it; empty
	// otherwise.
	Purged model.JobID
}

// TaskProgress is the recorded progress of a task.
type TaskProgress uint8

// The progress of a task. TaskIntended means that an intent to start the task is
// recorded; TaskUnknown that its outcome is unknown.
const (
	TaskPending TaskProgress = iota
	TaskIntended
	TaskDone
	TaskFailed
	TaskUnknown
)

// JobState is a job with its recorded state and the progress of its tasks.
type JobState struct {
	Job       model.Job
	Progress  []TaskProgress // by task index
	Cancelled bool
	State     string // final state; empty while the job is open
	Detail    string
}

// Open reports whether the job has not ended.
func (s *JobState) Open() bool {
	return s.State == ""
}

// teamState is the state of one team.
type teamState struct {
	jobs       map[model.JobID]*JobState
	order      []model.JobID // by acceptance, oldest first; may contain purged jobs
	ended      []model.JobID // oldest first
	byKey      map[string]model.JobID
	intents    map[string]*logpb.Intent // by idempotency key
	intentKeys []string                 // oldest first
}

// Fold is the state built from the records of the journal stream, which are
// applied in log order. It is not safe for concurrent use.
type Fold struct {
	teams   map[model.TeamID]*teamState
	skipped uint64
}

// NewFold returns a Fold of an empty journal.
func NewFold() *Fold {
	return &Fold{teams: map[model.TeamID]*teamState{}}
}

// Skipped returns the number of records that are malformed or have an unknown kind
// or a newer version.
func (f *Fold) Skipped() uint64 {
	return f.skipped
}

// Apply applies the next record and returns its effect. Records that are
// malformed or have an unknown kind or a newer version only increment Skipped.
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
		return f.applyJobAccepted(body.JobAccepted)
	case *logpb.JournalRecord_JobEnded:
		return f.applyJobEnded(body.JobEnded)
	case *logpb.JournalRecord_Intent:
		return f.applyIntent(body.Intent)
	case *logpb.JournalRecord_TasksEnded:
		return f.applyTasksEnded(body.TasksEnded)
	case *logpb.JournalRecord_JobCancelled:
		return f.applyJobCancelled(body.JobCancelled)
	case *logpb.JournalRecord_Checkpoint:
		return Event{Kind: EventIgnored}
	default:
		f.skipped++
		return Event{Kind: EventIgnored}
	}
}

// Jobs returns the team's jobs in the order of acceptance, including ended ones.
// The states are shared with the fold; callers must not change them.
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

// Intents returns the team's request intents, oldest first.
func (f *Fold) Intents(team model.TeamID) []*logpb.Intent {
	state := f.teams[team]
	if state == nil {
		return nil
	}
	intents := make([]*logpb.Intent, 0, len(state.intentKeys))
	for _, key := range state.intentKeys {
		intents = append(intents, state.intents[key])
	}
	return intents
}

// ensureTeam returns the team's state and creates it if it does not exist.
func (f *Fold) ensureTeam(id model.TeamID) *teamState {
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

func (f *Fold) applyJobAccepted(record *logpb.JobAccepted) Event {
	var message peerpb.Job
	if proto.Unmarshal(record.GetJob(), &message) != nil || message.GetTasks() <= 0 {
		f.skipped++
		return Event{Kind: EventIgnored}
	}
	job := convert.Job(&message)
	state := f.ensureTeam(job.Team)
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

func (f *Fold) applyJobEnded(record *logpb.JobEnded) Event {
	team := model.TeamID(record.GetTeam())
	state := f.ensureTeam(team)
	job := state.jobs[model.JobID(record.GetJobId())]
	if job == nil || !job.Open() {
		return Event{Kind: EventIgnored}
	}
	job.State = record.GetState()
	job.Detail = record.GetDetail()
	state.ended = append(state.ended, job.Job.ID)
	return Event{Kind: EventEnded, Team: team, Job: job, Purged: state.purgeOldestEnded()}
}

func (f *Fold) applyJobCancelled(record *logpb.JobCancelled) Event {
	team := model.TeamID(record.GetTeam())
	job := f.ensureTeam(team).jobs[model.JobID(record.GetJobId())]
	if job == nil || !job.Open() || job.Cancelled {
		return Event{Kind: EventIgnored}
	}
	job.Cancelled = true
	return Event{Kind: EventCancelled, Team: team, Job: job}
}

func (f *Fold) applyTasksEnded(record *logpb.TasksEnded) Event {
	team := model.TeamID(record.GetTeam())
	job := f.ensureTeam(team).jobs[model.JobID(record.GetJobId())]
	if job == nil {
		return Event{Kind: EventIgnored}
	}
	job.setProgress(record.GetDone(), TaskDone)
	job.setProgress(record.GetFailed(), TaskFailed)
	job.setProgress(record.GetUnknown(), TaskUnknown)
	if record.GetDetail() != "" {
		job.Detail = record.GetDetail()
	}
	return Event{Kind: EventTasksEnded, Team: team, Job: job, Tasks: record}
}

func (f *Fold) applyIntent(record *logpb.Intent) Event {
	team := model.TeamID(record.GetTeam())
	state := f.ensureTeam(team)
	if record.GetTaskId() != "" {
		return f.applyTaskIntent(state, team, record)
	}
	key := record.GetIdempotencyKey()
	if key == "" {
		return Event{Kind: EventIgnored}
	}
	if earlier := state.intents[key]; earlier != nil {
		return Event{Kind: EventIntent, Team: team, Intent: earlier}
	}
	state.intents[key] = record
	state.intentKeys = append(state.intentKeys, key)
	if len(state.intentKeys) > maxIntents {
		delete(state.intents, state.intentKeys[0])
		state.intentKeys = state.intentKeys[1:]
	}
	return Event{Kind: EventIntent, Team: team, Intent: record}
}

func (f *Fold) applyTaskIntent(state *teamState, team model.TeamID, record *logpb.Intent) Event {
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

// setProgress sets the progress of the tasks that are pending or intended. A final
// progress does not change.
func (s *JobState) setProgress(indexes []int32, progress TaskProgress) {
	for _, index := range indexes {
		if index < 0 || int(index) >= len(s.Progress) {
			continue
		}
		if s.Progress[index] == TaskPending || s.Progress[index] == TaskIntended {
			s.Progress[index] = progress
		}
	}
}

// purgeOldestEnded drops the oldest ended job if there are more than maxEndedJobs
// and returns its id; otherwise it returns an empty id.
func (t *teamState) purgeOldestEnded() model.JobID {
	if len(t.ended) <= maxEndedJobs {
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

// compactOrder removes purged jobs from the order when they outnumber the retained
// jobs, so that the amortized cost per job is constant.
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

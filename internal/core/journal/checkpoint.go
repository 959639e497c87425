package journal

import (
	"sort"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// ErrIncomplete is the class of errors for a log whose kept records neither
// start at the first nor hold a whole checkpoint.
var ErrIncomplete = errs.Class("journal incomplete")

// maxPartJobs bounds the jobs in one part of a checkpoint.
const maxPartJobs = 500

// Checkpoint returns the records of a snapshot of the fold, which includes
// every record up to the offset through.
func (f *Fold) Checkpoint(id string, through uint64) ([]*logpb.JournalRecord, error) {
	jobs, err := f.jobStates()
	if err != nil {
		return nil, err
	}
	intents := f.allIntents()
	parts := max(1, (len(jobs)+maxPartJobs-1)/maxPartJobs)
	records := make([]*logpb.JournalRecord, 0, parts)
	for part := range parts {
		first := part * maxPartJobs
		last := min(first+maxPartJobs, len(jobs))
		body := &logpb.JournalCheckpoint{
			Through: through,
			Part:    int32(part),
			Parts:   int32(parts),
			Jobs:    jobs[first:last],
		}
		if part == 0 {
			body.Intents = intents
		}
		records = append(records, &logpb.JournalRecord{
			Version: Version,
			Id:      id,
			Body:    &logpb.JournalRecord_Checkpoint{Checkpoint: body},
		})
	}
	return records, nil
}

func (f *Fold) jobStates() ([]*logpb.JobState, error) {
	var states []*logpb.JobState
	for _, team := range f.teamIDs() {
		for _, job := range f.Jobs(team) {
			state, err := job.message()
			if err != nil {
				return nil, err
			}
			states = append(states, state)
		}
	}
	return states, nil
}

func (f *Fold) allIntents() []*logpb.Intent {
	var intents []*logpb.Intent
	for _, team := range f.teamIDs() {
		intents = append(intents, f.Intents(team)...)
	}
	return intents
}

func (f *Fold) teamIDs() []model.TeamID {
	ids := make([]model.TeamID, 0, len(f.teams))
	for id := range f.teams {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (s *JobState) message() (*logpb.JobState, error) {
	data, err := proto.Marshal(convert.JobPB(s.Job))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	state := &logpb.JobState{
		Job:       data,
		State:     s.State,
		Detail:    s.Detail,
		Cancelled: s.Cancelled,
	}
	for index, mark := range s.Progress {
		switch mark {
		case TaskDone:
			state.Done = append(state.Done, int32(index))
		case TaskFailed:
			state.Failed = append(state.Failed, int32(index))
		case TaskUnknown:
			state.Unknown = append(state.Unknown, int32(index))
		case TaskIntended:
			state.Intended = append(state.Intended, int32(index))
		case TaskPending:
		}
	}
	return state, nil
}

// Record is one record of the journal with its offset.
type Record struct {
	Offset uint64
	Data   []byte
}

// Restore rebuilds the fold from all records that the log keeps. Unless the
// first of them is the first ever, they must hold a whole checkpoint that
// reaches at least to the record before them; otherwise Restore returns an
// ErrIncomplete error.
func Restore(earliest uint64, records []Record) (*Fold, error) {
	if earliest == 0 {
		fold := NewFold()
		fold.applyAfter(records, 0)
		return fold, nil
	}
	parts, through, ok := newestCheckpoint(earliest, records)
	if !ok {
		return nil, ErrIncomplete.New("records before offset %d are gone and no checkpoint covers them", earliest)
	}
	fold := NewFold()
	for _, part := range parts {
		fold.restorePart(part)
	}
	fold.applyAfter(records, through+1)
	return fold, nil
}

// applyAfter applies the records at or after the offset.
func (f *Fold) applyAfter(records []Record, from uint64) {
	for _, record := range records {
		if record.Offset >= from {
			f.Apply(record.Data)
		}
	}
}

// newestCheckpoint returns the parts of the last whole checkpoint that covers
// everything before earliest.
func newestCheckpoint(earliest uint64, records []Record) ([]*logpb.JournalCheckpoint, uint64, bool) {
	found := map[string][]*logpb.JournalCheckpoint{}
	var newest []*logpb.JournalCheckpoint
	for _, record := range records {
		var message logpb.JournalRecord
		if proto.Unmarshal(record.Data, &message) != nil || message.GetVersion() > Version {
			continue
		}
		part := message.GetCheckpoint()
		if part == nil || part.GetThrough()+1 < earliest {
			continue
		}
		id := message.GetId()
		if int(part.GetPart()) != len(found[id]) {
			// A part repeated after a lost answer.
			continue
		}
		found[id] = append(found[id], part)
		if len(found[id]) == int(part.GetParts()) {
			newest = found[id]
		}
	}
	if newest == nil {
		return nil, 0, false
	}
	return newest, newest[0].GetThrough(), true
}

func (f *Fold) restorePart(part *logpb.JournalCheckpoint) {
	for _, state := range part.GetJobs() {
		f.restoreJob(state)
	}
	for _, intent := range part.GetIntents() {
		f.intend(intent)
	}
}

func (f *Fold) restoreJob(state *logpb.JobState) {
	event := f.accept(&logpb.JobAccepted{Job: state.GetJob()})
	if event.Kind != EventAccepted {
		return
	}
	job := event.Job
	job.mark(state.GetIntended(), TaskIntended)
	job.mark(state.GetDone(), TaskDone)
	job.mark(state.GetFailed(), TaskFailed)
	job.mark(state.GetUnknown(), TaskUnknown)
	job.Cancelled = state.GetCancelled()
	job.Detail = state.GetDetail()
	if state.GetState() != "" {
		f.end(&logpb.JobEnded{
			JobId:  string(job.Job.ID),
			Team:   string(job.Job.Team),
			State:  state.GetState(),
			Detail: state.GetDetail(),
		})
	}
}

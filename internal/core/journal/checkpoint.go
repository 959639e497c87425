package journal

import (
	"sort"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// Incomplete is the class of errors for a log whose retained records neither
// start at offset 0 nor contain a complete checkpoint.
var Incomplete = errs.Class("journal incomplete")

// maxPartJobs is the maximum number of jobs in one part of a checkpoint.
const maxPartJobs = 500

// Checkpoint returns the records of a checkpoint of the fold, one per part. The id
// identifies the checkpoint; through is the offset of the last record that the
// fold has applied.
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
			state, err := job.toProto()
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

func (s *JobState) toProto() (*logpb.JobState, error) {
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
	for index, progress := range s.Progress {
		switch progress {
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

// Restore rebuilds the fold from all records that the log retains. If earliest,
// the offset of the first of them, is not 0, they must contain a complete
// checkpoint that covers every record before earliest; otherwise Restore returns
// an error of class Incomplete.
func Restore(earliest uint64, records []Record) (*Fold, error) {
	if earliest == 0 {
		fold := NewFold()
		fold.applyAfter(records, 0)
		return fold, nil
	}
	parts, through, ok := newestCheckpoint(earliest, records)
	if !ok {
		return nil, Incomplete.New("records before offset %d are no longer retained and no checkpoint covers them", earliest)
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

// newestCheckpoint returns the parts of the last complete checkpoint that covers
// every record before earliest, and the offset of the last record that it covers.
func newestCheckpoint(earliest uint64, records []Record) ([]*logpb.JournalCheckpoint, uint64, bool) {
	partsByID := map[string][]*logpb.JournalCheckpoint{}
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
		if int(part.GetPart()) != len(partsByID[id]) {
			// The part is a repeat, appended again after a lost answer, or the log
			// no longer retains the parts before it.
			continue
		}
		partsByID[id] = append(partsByID[id], part)
		if len(partsByID[id]) == int(part.GetParts()) {
			newest = partsByID[id]
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
		f.applyIntent(intent)
	}
}

func (f *Fold) restoreJob(state *logpb.JobState) {
	event := f.applyJobAccepted(&logpb.JobAccepted{Job: state.GetJob()})
	if event.Kind != EventAccepted {
		return
	}
	job := event.Job
	job.setProgress(state.GetIntended(), TaskIntended)
	job.setProgress(state.GetDone(), TaskDone)
	job.setProgress(state.GetFailed(), TaskFailed)
	job.setProgress(state.GetUnknown(), TaskUnknown)
	job.Cancelled = state.GetCancelled()
	job.Detail = state.GetDetail()
	if state.GetState() != "" {
		f.applyJobEnded(&logpb.JobEnded{
			JobId:  string(job.Job.ID),
			Team:   string(job.Job.Team),
			State:  state.GetState(),
			Detail: state.GetDetail(),
		})
	}
}

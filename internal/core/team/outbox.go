package team

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// outbox collects the records that are not yet in the journal. Ends of tasks are
// merged into one record for each job, so that the memory used while the journal
// accepts no appends depends on the number of jobs and not on the duration.
type outbox struct {
	team  model.TeamID
	tasks map[model.JobID]*logpb.TasksEnded
	ended map[model.JobID]*logpb.JobEnded
}

func newOutbox(team model.TeamID) outbox {
	return outbox{
		team:  team,
		tasks: map[model.JobID]*logpb.TasksEnded{},
		ended: map[model.JobID]*logpb.JobEnded{},
	}
}

func (o *outbox) taskEnded(id model.JobID, index int, state TaskState, detail string) {
	record := o.tasks[id]
	if record == nil {
		record = &logpb.TasksEnded{JobId: string(id), Team: string(o.team)}
		o.tasks[id] = record
	}
	switch state {
	case TaskDone:
		record.Done = append(record.Done, int32(index))
	case TaskFailed:
		record.Failed = append(record.Failed, int32(index))
	case TaskUnknown:
		record.Unknown = append(record.Unknown, int32(index))
	default:
		return
	}
	if detail != "" {
		record.Detail = detail
	}
}

func (o *outbox) jobEnded(id model.JobID, state, detail string) {
	o.ended[id] = &logpb.JobEnded{
		JobId:  string(id),
		Team:   string(o.team),
		State:  state,
		Detail: detail,
	}
}

// TakeRecords removes and returns the records that are not yet in the journal. A
// caller whose append fails must keep them and retry; repeated records have no
// further effect.
func (s *State) TakeRecords() []*logpb.JournalRecord {
	records := make([]*logpb.JournalRecord, 0, len(s.outbox.tasks)+len(s.outbox.ended))
	// The ends of tasks precede the end of their job, so that no reader sees an
	// ended job with open tasks.
	for _, record := range s.outbox.tasks {
		records = append(records, &logpb.JournalRecord{
			Body: &logpb.JournalRecord_TasksEnded{TasksEnded: record},
		})
	}
	for _, record := range s.outbox.ended {
		records = append(records, &logpb.JournalRecord{
			Body: &logpb.JournalRecord_JobEnded{JobEnded: record},
		})
	}
	s.outbox = newOutbox(s.template.Team)
	return records
}

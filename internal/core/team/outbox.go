package team

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// outbox gathers what the journal must still learn. Ends of tasks are merged
// by job, so that an outage of the log costs memory by jobs and not by time.
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

// TakeRecords returns the records that the journal must still learn and
// forgets them. A caller whose append fails keeps and appends them again;
// repeated records have no further effect.
func (s *State) TakeRecords() []*logpb.JournalRecord {
	records := make([]*logpb.JournalRecord, 0, len(s.outbox.tasks)+len(s.outbox.ended))
	// Ends of tasks precede the end of their job, so that no reader ever sees
	// an ended job with open tasks.
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

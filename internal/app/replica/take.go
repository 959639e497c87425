package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

func (r *Replica) take(record *port.KeyedRecord) error {
	if record.Key == OwnerKey {
		return r.takeOwner(record)
	}
	if len(record.Key) < len(taskPrefix) {
		return nil
	}
	kind, name := record.Key[:len(taskPrefix)], record.Key[len(taskPrefix):]
	switch kind {
	case submissionPrefix:
		return r.takeSubmission(model.JobID(name), record.Value)
	case cancellationPrefix:
		r.takeCancellation(model.JobID(name), record.Value)
	case endPrefix:
		return r.takeEnd(model.JobID(name), record.Value)
	case taskPrefix:
		return r.takeTask(name, record.Value)
	case occurrencePrefix:
		r.takeOccurrence(name, record.Value)
	case memberPrefix:
		return r.takeMember(name, record.Value)
	case upkeepPrefix:
		return r.takeUpkeep(record.Value)
	}
	return nil
}

func (r *Replica) takeOwner(record *port.KeyedRecord) error {
	var sign logpb.OwnerRecord
	if err := proto.Unmarshal(record.Value, &sign); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sign.GetEpoch() < r.owner.Epoch {
		return nil
	}
	next := OwnerHeartbeat{Epoch: sign.GetEpoch(), Node: sign.GetNode(), Resigned: sign.GetResigned(), ReadAt: r.clock.Now()}
	if next.Epoch == r.owner.Epoch {
		next.Interval = (3*r.owner.Interval + min(next.ReadAt-r.owner.ReadAt, longestGap)) / 4
	}
	r.owner = next
	return nil
}

func (r *Replica) takeSubmission(id model.JobID, value []byte) error {
	s := r.writeShard(id)
	s.mu.Lock()
	if value == nil {
		delete(s.jobs, id)
		s.mu.Unlock()
		return nil
	}
	submission := new(logpb.Submission)
	if err := proto.Unmarshal(value, submission); err != nil {
		s.mu.Unlock()
		return err
	}
	j := s.job(id)
	fresh := j.Submission == nil
	if fresh {
		j.Submission = submission
	}
	s.mu.Unlock()
	if fresh {
		r.wishes = append(r.wishes, wish{id: id, submission: submission})
	}
	return nil
}

func (r *Replica) takeCancellation(id model.JobID, value []byte) {
	if value == nil {
		return
	}
	s := r.writeShard(id)
	s.mu.Lock()
	s.job(id).Cancelled = true
	s.mu.Unlock()
	r.wishes = append(r.wishes, wish{id: id})
}

func (r *Replica) takeEnd(id model.JobID, value []byte) error {
	s := r.writeShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		delete(s.ended, id)
		return nil
	}
	var record logpb.JobRecord
	if err := proto.Unmarshal(value, &record); err != nil {
		return err
	}
	state := endStates[record.GetState()]
	s.ended[id] = endedJob{state: state, at: time.UnixMilli(record.GetEndedUnixMs())}
	if j, ok := s.jobs[id]; ok {
		j.State = state
	}
	return nil
}

func (r *Replica) takeTask(text string, value []byte) error {
	name, err := dispatch.ParseTaskName(text)
	if err != nil {
		return err
	}
	s := r.writeShard(name.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		if j, ok := s.jobs[name.Job]; ok {
			delete(j.Tasks, name)
		}
		return nil
	}
	record := new(logpb.TaskRecord)
	if err := proto.Unmarshal(value, record); err != nil {
		return err
	}
	j := s.job(name.Job)
	j.Tasks[name] = record
	if !j.State.Ended() {
		j.State = j.progress()
	}
	return nil
}

func (r *Replica) takeOccurrence(name string, value []byte) {
	id, number, ok := parseOccurrence(name)
	if !ok || value == nil {
		return
	}
	s := r.writeShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(id)
	j.Occurrences = append(j.Occurrences, number)
}

func (r *Replica) takeMember(node string, value []byte) error {
	var member logpb.MemberRecord
	if err := proto.Unmarshal(value, &member); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if value == nil {
		delete(r.members, node)
	} else {
		r.members[node] = Member{Address: member.GetAddress(), Started: time.UnixMilli(member.GetStartedUnixMs())}
	}
	return nil
}

func (r *Replica) takeUpkeep(value []byte) error {
	var begun logpb.UpkeepRecord
	if err := proto.Unmarshal(value, &begun); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upkeeps[begun.GetWave()] = append(r.upkeeps[begun.GetWave()], begun.GetMachine())
	return nil
}

var endStates = map[logpb.JobRecord_State]dispatch.JobState{
	logpb.JobRecord_COMPLETED: dispatch.Completed,
	logpb.JobRecord_FAILED:    dispatch.Failed,
	logpb.JobRecord_CANCELLED: dispatch.Cancelled,
}

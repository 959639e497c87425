package replica

import (
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/suitability"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// maxSuspensionMs bounds the time in a suspension, so that its sum with a clock reading is
// still a time.Duration.
const maxSuspensionMs = 1 << 42

// maxEpoch bounds the epoch in a heartbeat; no later owner's would be seen after a
// higher one.
const maxEpoch = 1 << 48

// applyRecord applies one record. Keys of unknown kinds are ignored. The caller
// holds applyMu.
func (r *Replica) applyRecord(record *port.KeyedRecord) error {
	if record.Key == OwnerKey {
		return r.applyOwner(record)
	}
	if len(record.Key) < prefixLength {
		return nil
	}
	kind, name := record.Key[:prefixLength], record.Key[prefixLength:]
	switch kind {
	case submissionPrefix:
		return r.applySubmission(model.JobID(name), record.Value)
	case cancellationPrefix:
		r.applyCancellation(model.JobID(name), record.Value)
	case endPrefix:
		return r.applyEnd(model.JobID(name), record.Value)
	case taskPrefix:
		return r.applyTask(name, record.Value)
	case occurrencePrefix:
		r.applyOccurrence(name, record.Value)
	case nodePrefix:
		return r.applyNode(name, record.Value)
	case upkeepPrefix:
		return r.applyUpkeep(record.Value)
	case suspensionPrefix:
		return r.applySuspension(model.VMID(name), record.Value)
	}
	return nil
}

func (r *Replica) applyOwner(record *port.KeyedRecord) error {
	var heartbeat logpb.OwnerRecord
	if err := proto.Unmarshal(record.Value, &heartbeat); err != nil {
		return err
	}
	if heartbeat.GetEpoch() > maxEpoch {
		return errs.New("epoch %d of the owner's heartbeat is beyond %d", heartbeat.GetEpoch(), uint64(maxEpoch))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if heartbeat.GetEpoch() > r.heartbeatEpoch {
		r.heartbeatEpoch, r.previousEpoch = heartbeat.GetEpoch(), r.heartbeatEpoch
	}
	if heartbeat.GetEpoch() < r.owner.Epoch {
		return nil
	}
	next := OwnerHeartbeat{Epoch: heartbeat.GetEpoch(), Node: heartbeat.GetNode(), Resigned: heartbeat.GetResigned(), ReadAt: r.clock.Now()}
	if next.Epoch == r.owner.Epoch {
		next.AskedAt, next.AppendedAt = r.owner.AskedAt, r.owner.AppendedAt
		next.Interval = (3*r.owner.Interval + min(next.ReadAt-r.owner.ReadAt, maxInterval)) / 4
	}
	r.owner = next
	return nil
}

func (r *Replica) applySubmission(id model.JobID, value []byte) error {
	s := r.writeShard(id)
	if value == nil {
		s.mu.Lock()
		delete(s.jobs, id)
		s.mu.Unlock()
		return nil
	}
	submission, err := decodeSubmission(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	j := s.job(id)
	added := j.Submission == nil
	if added {
		j.Submission = submission
	}
	s.mu.Unlock()
	if added {
		r.notifications = append(r.notifications, notification{id: id, submission: submission})
	}
	return nil
}

func (r *Replica) applyCancellation(id model.JobID, value []byte) {
	if value == nil {
		return
	}
	s := r.writeShard(id)
	s.mu.Lock()
	s.job(id).Cancelled = true
	s.mu.Unlock()
	r.notifications = append(r.notifications, notification{id: id})
}

func (r *Replica) applyEnd(id model.JobID, value []byte) error {
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
	state, known := endStates[record.GetState()]
	if !known {
		return errs.New("end of job %s has the unknown state %d", id, record.GetState())
	}
	s.ended[id] = endedJob{state: state, at: time.UnixMilli(record.GetEndedUnixMs())}
	if j, ok := s.jobs[id]; ok {
		j.State = state
	}
	return nil
}

func (r *Replica) applyTask(text string, value []byte) error {
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

func (r *Replica) applyOccurrence(name string, value []byte) {
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

func (r *Replica) applyNode(node string, value []byte) error {
	var info logpb.MemberRecord
	if err := proto.Unmarshal(value, &info); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if value == nil {
		delete(r.nodes, node)
		return nil
	}
	r.nodes[node] = NodeInfo{
		Address: info.GetAddress(), Started: time.UnixMilli(info.GetStartedUnixMs()),
		Size: suitability.Size{MilliProcessors: info.GetMilliProcessors(), LinkMbits: info.GetLinkMbits(), MemoryMiB: info.GetMemoryMib()},
	}
	return nil
}

func (r *Replica) applyUpkeep(value []byte) error {
	var upkeep logpb.UpkeepRecord
	if err := proto.Unmarshal(value, &upkeep); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upkeeps[upkeep.GetWave()] = append(r.upkeeps[upkeep.GetWave()], upkeep.GetMachine())
	return nil
}

func (r *Replica) applySuspension(worker model.VMID, value []byte) error {
	var record logpb.LeaseSuspension
	if err := proto.Unmarshal(value, &record); err != nil {
		return err
	}
	if value != nil && record.GetEpoch() == 0 {
		return errs.New("suspension of the leases of worker %s has no epoch", worker)
	}
	if record.GetRemainingMs() < 0 || record.GetRemainingMs() > maxSuspensionMs {
		return errs.New("leases of worker %s expire in %d ms, not in 0..%d ms", worker, record.GetRemainingMs(), maxSuspensionMs)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if value == nil {
		delete(r.suspensions, worker)
	} else {
		r.suspensions[worker] = Suspension{Epoch: record.GetEpoch(), LeasesExpireBy: r.clock.Now() + milliseconds(record.GetRemainingMs())}
	}
	return nil
}

var endStates = map[logpb.JobRecord_State]dispatch.JobState{
	logpb.JobRecord_COMPLETED: dispatch.Completed,
	logpb.JobRecord_FAILED:    dispatch.Failed,
	logpb.JobRecord_CANCELLED: dispatch.Cancelled,
}

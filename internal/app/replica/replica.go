// Package replica keeps a node's copy of the cell's jobs, as the cell's log
// tells them. Every node has one: it answers callers from it, and a new owner
// starts with it.
package replica

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	shardCount = 16
	// longestGap bounds what one gap counts: an outage is not the usual gap.
	longestGap = time.Second
)

// Job is what the log tells of one job that has not been forgotten.
type Job struct {
	ID          model.JobID
	Submission  *logpb.Submission // nil if only decisions about it are known
	Cancelled   bool
	State       dispatch.JobState // Queued or Running unless it has ended
	Tasks       map[dispatch.TaskName]*logpb.TaskRecord
	Occurrences []int // completed ones
}

// progress tells whether a task of the job has begun.
func (j *Job) progress() dispatch.JobState {
	for _, record := range j.Tasks {
		if !record.GetUnstarted() {
			return dispatch.Running
		}
	}
	if len(j.Occurrences) > 0 {
		return dispatch.Running
	}
	return dispatch.Queued
}

// Listener is told of callers' wishes as the log brings them, one at a time.
type Listener interface {
	Submitted(id model.JobID, submission *logpb.Submission)
	Cancelled(id model.JobID)
}

// Replica is the copy. It is safe for concurrent use: each shard of jobs has a
// lock, and apply holds back a new listener while a batch is taken.
//
// The listener hears of a batch once all of it has been taken: the end of a job
// may follow its submission.
type Replica struct {
	clock  port.Clock
	logger logrus.FieldLogger

	apply    sync.Mutex
	listener Listener

	wishes  []wish // of the batch that is being taken; guarded by apply
	loading *table // guarded by apply; nil unless the newest records are taken

	current atomic.Pointer[table]

	mu      sync.Mutex // guards what follows
	members map[string]string
	upkeeps map[string][]string // machines by wave
	owner   OwnerSign
}

// OwnerSign is the newest sign of life of an owner.
type OwnerSign struct {
	Epoch    uint64
	Node     string
	Resigned bool
	At       time.Duration // clock reading at which it was read
	Gap      time.Duration // usual time between the signs of the epoch
}

// wish is what the listener is still to hear of.
type wish struct {
	id         model.JobID
	submission *logpb.Submission // nil for a cancellation
}

// table is one picture of the jobs.
type table struct{ shards [shardCount]shard }

func newTable() *table {
	t := &table{}
	for i := range t.shards {
		t.shards[i].jobs = map[model.JobID]*Job{}
		t.shards[i].ended = map[model.JobID]endedJob{}
	}
	return t
}

type shard struct {
	mu    sync.RWMutex
	jobs  map[model.JobID]*Job
	ended map[model.JobID]endedJob
}

type endedJob struct {
	state dispatch.JobState
	at    time.Time
}

// New returns an empty replica.
func New(clock port.Clock, logger logrus.FieldLogger) *Replica {
	r := &Replica{clock: clock, logger: logger, members: map[string]string{}, upkeeps: map[string][]string{}}
	r.current.Store(newTable())
	return r
}

// Load implements logtail.Follower. Readers see the old picture until the new
// one is whole.
func (r *Replica) Load(records []port.KeyedRecord) {
	r.apply.Lock()
	defer r.apply.Unlock()
	r.mu.Lock()
	r.members = map[string]string{}
	r.upkeeps = map[string][]string{}
	r.mu.Unlock()
	r.loading = newTable()
	r.takeAll(records)
	r.current.Store(r.loading)
	r.loading = nil
	r.tellListener()
}

// Apply implements logtail.Follower.
func (r *Replica) Apply(records []port.KeyedRecord, _ bool) {
	r.apply.Lock()
	defer r.apply.Unlock()
	r.takeAll(records)
	r.tellListener()
}

func (r *Replica) takeAll(records []port.KeyedRecord) {
	for i := range records {
		if err := r.take(&records[i]); err != nil {
			r.logger.WithError(err).WithFields(logrus.Fields{"key": records[i].Key, "offset": records[i].Offset}).
				Warn("ignored a record that can't be read")
		}
	}
}

func (r *Replica) tellListener() {
	if r.listener != nil {
		for _, w := range r.wishes {
			if w.submission != nil {
				r.listener.Submitted(w.id, w.submission)
			} else {
				r.listener.Cancelled(w.id)
			}
		}
	}
	r.wishes = nil
}

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
	next := OwnerSign{Epoch: sign.GetEpoch(), Node: sign.GetNode(), Resigned: sign.GetResigned(), At: r.clock.Now()}
	if next.Epoch == r.owner.Epoch {
		next.Gap = (3*r.owner.Gap + min(next.At-r.owner.At, longestGap)) / 4
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
		r.members[node] = member.GetAddress()
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

// Upkeeps returns the machines whose upkeep has begun for the wave. The same
// machine may be named more than once.
func (r *Replica) Upkeeps(wave string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.upkeeps[wave])
}

func (t *table) shard(id model.JobID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// writeShard returns the shard that a record changes. The caller holds apply.
func (r *Replica) writeShard(id model.JobID) *shard {
	if r.loading != nil {
		return r.loading.shard(id)
	}
	return r.current.Load().shard(id)
}

// job returns the job, which it creates when it is new. The caller holds the
// shard's lock.
func (s *shard) job(id model.JobID) *Job {
	j, ok := s.jobs[id]
	if !ok {
		j = &Job{ID: id, State: dispatch.Queued, Tasks: map[dispatch.TaskName]*logpb.TaskRecord{}}
		if end, ended := s.ended[id]; ended {
			j.State = end.state
		}
		s.jobs[id] = j
	}
	return j
}

// State returns the state of a job and whether it is known.
func (r *Replica) State(id model.JobID) (dispatch.JobState, bool) {
	s := r.current.Load().shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if end, ok := s.ended[id]; ok {
		return end.state, true
	}
	if j, ok := s.jobs[id]; ok && j.Submission != nil {
		return j.State, true
	}
	return "", false
}

// Pending counts the queue's jobs of which no task has started.
func (r *Replica) Pending(queue string) int {
	count := 0
	shards := &r.current.Load().shards
	for i := range shards {
		s := &shards[i]
		s.mu.RLock()
		for _, j := range s.jobs {
			if j.State == dispatch.Queued && j.Submission != nil && !j.Cancelled && j.Submission.GetQueue().GetName() == queue {
				count++
			}
		}
		s.mu.RUnlock()
	}
	return count
}

// Owner returns the newest sign of life of an owner.
func (r *Replica) Owner() OwnerSign {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// Members returns the peer addresses of the nodes by name.
func (r *Replica) Members() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := make(map[string]string, len(r.members))
	for node, address := range r.members {
		members[node] = address
	}
	return members
}

// Listen hands every job to visit and from then on tells the listener what
// comes. A nil listener ends that. Jobs must not be kept or changed by visit.
func (r *Replica) Listen(listener Listener, visit func(*Job)) {
	r.apply.Lock()
	defer r.apply.Unlock()
	r.listener = listener
	if visit == nil {
		return
	}
	shards := &r.current.Load().shards
	for i := range shards {
		s := &shards[i]
		s.mu.RLock()
		for _, j := range s.jobs {
			visit(j)
		}
		s.mu.RUnlock()
	}
}

// EndedBefore returns the jobs whose end may be forgotten.
func (r *Replica) EndedBefore(limit time.Time) []model.JobID {
	var ids []model.JobID
	shards := &r.current.Load().shards
	for i := range shards {
		s := &shards[i]
		s.mu.RLock()
		for id, end := range s.ended {
			if _, live := s.jobs[id]; !live && end.at.Before(limit) {
				ids = append(ids, id)
			}
		}
		s.mu.RUnlock()
	}
	return ids
}

var endStates = map[logpb.JobRecord_State]dispatch.JobState{
	logpb.JobRecord_COMPLETED: dispatch.Completed,
	logpb.JobRecord_FAILED:    dispatch.Failed,
	logpb.JobRecord_CANCELLED: dispatch.Cancelled,
}

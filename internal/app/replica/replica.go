// Package replica keeps a node's copy of the cell's jobs, as the cell's log
// tells them. Every node has one: it answers callers from it, and a new owner
// starts with it.
package replica

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

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
	members map[string]Member
	upkeeps map[string][]string // machines by wave
	owner   OwnerHeartbeat
}

// Member is what a node announces of itself.
type Member struct {
	Address string // for its peers
	Started time.Time
}

// OwnerSign is the newest sign of life of an owner.
type OwnerHeartbeat struct {
	Epoch    uint64
	Node     string
	Resigned bool
	ReadAt   time.Duration // clock reading at which it was read
	Interval time.Duration // usual time between the signs of the epoch
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
	r := &Replica{clock: clock, logger: logger, members: map[string]Member{}, upkeeps: map[string][]string{}}
	r.current.Store(newTable())
	return r
}

// Load implements logtail.Follower. Readers see the old picture until the new
// one is whole.
func (r *Replica) Load(records []port.KeyedRecord) {
	r.apply.Lock()
	defer r.apply.Unlock()
	r.mu.Lock()
	r.members = map[string]Member{}
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

// Upkeeps returns the machines whose upkeep has begun for the wave. The same
// machine may be named more than once.
func (r *Replica) UpkeepMachines(wave string) []string {
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
func (r *Replica) Owner() OwnerHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// MemberCount returns the number of nodes whose peer address is known.
func (r *Replica) MemberCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Member returns what a node has announced.
func (r *Replica) Member(node string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	member, known := r.members[node]
	return member, known
}

// ExpectOwner takes word of an owner whose first sign has not been read.
func (r *Replica) ExpectOwner(epoch uint64, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch > r.owner.Epoch {
		r.owner = OwnerHeartbeat{Epoch: epoch, Node: node, ReadAt: r.clock.Now(), Interval: r.owner.Interval}
	}
}

// Youngest returns the other nodes, the last started first.
func (r *Replica) PeersNewestFirst(node string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := make([]string, 0, len(r.members))
	for name := range r.members {
		if name != node {
			others = append(others, name)
		}
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(r.members[b].Started.Compare(r.members[a].Started), cmp.Compare(a, b))
	})
	return others
}

// Younger returns the number of other nodes that have started later.
func (r *Replica) CountNewerPeers(node string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for name, member := range r.members {
		if name != node && member.Started.After(r.members[node].Started) {
			count++
		}
	}
	return count
}

// Members returns the peer addresses of the nodes by name.
func (r *Replica) Members() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make(map[string]string, len(r.members))
	for node, member := range r.members {
		addresses[node] = member.Address
	}
	return addresses
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

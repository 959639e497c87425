// Package replica keeps a node's copy of the cell's jobs, read from the cell's
// log. Every node has one: it answers status calls from it, and a new owner
// restores its state from it.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/suitability"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	shardCount = 16
	// maxInterval bounds one observation of the time between heartbeats, so that an
	// outage does not count as the usual interval.
	maxInterval = time.Second
)

// Job is the state of one job whose records are still on the log.
type Job struct {
	ID          model.JobID
	Submission  *logpb.Submission // nil if only decisions about it are known
	Cancelled   bool
	State       dispatch.JobState // Queued or Running unless it has ended
	Tasks       map[dispatch.TaskName]*logpb.TaskRecord
	Occurrences []int // numbers of the completed ones
}

// progress returns Running if a task of the job is placed or a run of it has started,
// otherwise Queued. It ignores whether the job has ended.
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

// Listener receives submissions and cancellations in the order of the log, one at
// a time.
type Listener interface {
	Submitted(id model.JobID, submission *logpb.Submission)
	Cancelled(id model.JobID)
}

// Replica is a node's copy of the cell's jobs, nodes and owner. It is safe for
// concurrent use: each shard of jobs has a lock, and applyMu keeps a new listener
// from being set while a batch is applied.
//
// The listener is notified of a batch once all of it has been applied: the end of
// a job may follow its submission in the same batch.
type Replica struct {
	clock  port.Clock
	logger logrus.FieldLogger

	applyMu  sync.Mutex
	listener Listener

	notifications []notification // of the batch being applied; guarded by applyMu
	loading       *table         // guarded by applyMu; nil except during Load

	current atomic.Pointer[table] // the table that readers use

	mu      sync.Mutex // guards the fields below
	nodes   map[string]NodeInfo
	upkeeps map[string][]string // machines by wave
	owner   OwnerHeartbeat
	// heartbeatEpoch is the highest epoch in a heartbeat that was read, and previousEpoch
	// the highest one before it; zero if not known.
	heartbeatEpoch, previousEpoch uint64
	suspensions                   map[model.VMID]Suspension
}

// Suspension is an owner's promise to renew no lease of a worker until it deletes the
// record.
type Suspension struct {
	Epoch uint64 // of the owner
	// LeasesExpireBy is the reading of this node's clock at which all leases that the
	// owner, or one before it, granted to the worker have certainly expired.
	LeasesExpireBy time.Duration
}

// NodeInfo is what a node announces about itself.
type NodeInfo struct {
	Address string // for its peers
	Started time.Time
	Size    suitability.Size // of its VM
}

// OwnerHeartbeat is the latest known heartbeat of the cell's owner, or the
// announcement of an owner whose first heartbeat has not been read.
type OwnerHeartbeat struct {
	Epoch    uint64
	Node     string
	Resigned bool
	ReadAt   time.Duration // clock reading at which it was read
	Interval time.Duration // smoothed time between heartbeats
	Loaded   bool          // read among the newest records, so that its age is not known
	// AskedAt is the clock reading at which this node last asked the owner and was
	// answered that it serves, zero if it was not. AppendedAt is the latest clock
	// reading at which, by that answer, the log had answered an append of the owner.
	AskedAt    time.Duration
	AppendedAt time.Duration
}

// notification is a change that the listener has yet to receive.
type notification struct {
	id         model.JobID
	submission *logpb.Submission // nil for a cancellation
}

// table holds the jobs and the final states of ended ones, by shard.
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

// endedJob is the final state of a job, which is kept for a while after the job's
// other records are deleted.
type endedJob struct {
	state dispatch.JobState
	at    time.Time // wall-clock time of the end
}

// New returns an empty replica.
func New(clock port.Clock, logger logrus.FieldLogger) *Replica {
	r := &Replica{clock: clock, logger: logger, nodes: map[string]NodeInfo{}, upkeeps: map[string][]string{}, suspensions: map[model.VMID]Suspension{}}
	r.current.Store(newTable())
	return r
}

// Load implements logtail.Follower. Readers use the old table until the new one is
// complete.
func (r *Replica) Load(records []port.KeyedRecord) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.mu.Lock()
	r.nodes = map[string]NodeInfo{}
	r.upkeeps = map[string][]string{}
	r.suspensions = map[model.VMID]Suspension{}
	r.heartbeatEpoch, r.previousEpoch = 0, 0 // the records of owners in between may be gone
	r.mu.Unlock()
	r.loading = newTable()
	r.applyAll(records)
	r.mu.Lock()
	r.owner.Loaded = r.owner.Epoch != 0
	r.mu.Unlock()
	r.current.Store(r.loading)
	r.loading = nil
	r.notifyListener()
}

// Apply implements logtail.Follower.
func (r *Replica) Apply(records []port.KeyedRecord, _ bool) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.applyAll(records)
	r.notifyListener()
}

// applyAll applies the records and logs those that can't be decoded. The caller
// holds applyMu.
func (r *Replica) applyAll(records []port.KeyedRecord) {
	for i := range records {
		if err := r.applyRecord(&records[i]); err != nil {
			r.logger.WithError(err).WithFields(logrus.Fields{"key": records[i].Key, "offset": records[i].Offset}).
				Warn("decoding a log record failed; ignoring it")
		}
	}
}

// notifyListener sends the collected notifications to the listener, if there is
// one, and discards them. The caller holds applyMu.
func (r *Replica) notifyListener() {
	if r.listener != nil {
		for _, n := range r.notifications {
			if n.submission != nil {
				r.listener.Submitted(n.id, n.submission)
			} else {
				r.listener.Cancelled(n.id)
			}
		}
	}
	r.notifications = nil
}

// UpkeepMachines returns the machines whose upkeep has begun for the wave. A
// machine may be listed more than once.
func (r *Replica) UpkeepMachines(wave string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.upkeeps[wave])
}

// Suspensions returns all suspensions that were not deleted, by worker, and the epoch of
// the owner before the latest one, zero if it is not known. Only those of that epoch bind:
// a later owner may have renewed leases.
func (r *Replica) Suspensions() (byWorker map[model.VMID]Suspension, previousEpoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.suspensions), r.previousEpoch
}

func (t *table) shard(id model.JobID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// writeShard returns the shard that a record of the job changes. The caller holds
// applyMu.
func (r *Replica) writeShard(id model.JobID) *shard {
	if r.loading != nil {
		return r.loading.shard(id)
	}
	return r.current.Load().shard(id)
}

// job returns the job and creates it if it is unknown. The caller holds the
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

// State returns the state of a job, and false if the job is not known.
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

// Cancelled reports whether a cancellation of the job was read, which may precede its
// submission.
func (r *Replica) Cancelled(id model.JobID) bool {
	s := r.current.Load().shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[id]
	return ok && j.Cancelled
}

// Pending returns the number of the queue's jobs in state Queued, without cancelled
// ones.
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

// Owner returns the latest heartbeat of the cell's owner.
func (r *Replica) Owner() OwnerHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// NodeCount returns the number of nodes whose peer address is known.
func (r *Replica) NodeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.nodes)
}

// NodeInfo returns what a node has announced about itself, and false if the node is
// not known.
func (r *Replica) NodeInfo(node string) (NodeInfo, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, known := r.nodes[node]
	return info, known
}

// ExpectOwner records a new owner whose first heartbeat has not been read. It does
// nothing unless the epoch is newer than that of the known owner.
func (r *Replica) ExpectOwner(epoch uint64, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch > r.owner.Epoch {
		r.owner = OwnerHeartbeat{Epoch: epoch, Node: node, ReadAt: r.clock.Now(), Interval: r.owner.Interval}
	}
}

// OwnerAnswered records that the owner of the epoch answered a call sent at askedAt: it
// serves, and the log had answered its latest append at appendedAt. Both are readings of
// this node's clock. It does nothing if another owner is known.
func (r *Replica) OwnerAnswered(epoch uint64, askedAt, appendedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.owner.Epoch {
		r.owner.AskedAt, r.owner.AppendedAt = askedAt, appendedAt
	}
}

// PeersBySuitability returns the names of the nodes other than the given one, in the
// order in which they should own the cell: those on the largest VMs first, of these
// the last started, since a rolling restart reaches it last.
func (r *Replica) PeersBySuitability(node string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := make([]string, 0, len(r.nodes))
	for name := range r.nodes {
		if name != node {
			others = append(others, name)
		}
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.nodes[b].Size.MilliProcessors, r.nodes[a].Size.MilliProcessors), cmp.Compare(r.nodes[b].Size.LinkMbits, r.nodes[a].Size.LinkMbits), r.nodes[b].Started.Compare(r.nodes[a].Started), cmp.Compare(a, b))
	})
	return others
}

// CountNewerPeers returns the number of nodes that started later than the given
// one.
func (r *Replica) CountNewerPeers(node string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for name, info := range r.nodes {
		if name != node && info.Started.After(r.nodes[node].Started) {
			count++
		}
	}
	return count
}

// Nodes returns what is known of all nodes by name.
func (r *Replica) Nodes() map[string]NodeInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.nodes)
}

// NodeAddresses returns the peer addresses of all nodes by name.
func (r *Replica) NodeAddresses() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make(map[string]string, len(r.nodes))
	for node, info := range r.nodes {
		addresses[node] = info.Address
	}
	return addresses
}

// Listen calls visit with every job and from then on notifies the listener, in
// place of an earlier one. A nil listener ends the notifications. visit must not
// keep or change the jobs.
func (r *Replica) Listen(listener Listener, visit func(*Job)) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
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

// EndedBefore returns the jobs that ended before limit and of which only the final
// state is kept.
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

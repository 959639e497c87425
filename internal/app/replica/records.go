package replica

import (
	"strings"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// maxSubmission is the size of a submission's record in bytes. A larger one could not
// be appended, or not be read together with others.
const maxSubmission = 96 << 10

// SubmissionRecord returns the record of an accepted job, or an error if the job is
// beyond the limits of what a cell holds.
func SubmissionRecord(id model.JobID, spec dispatch.JobSpec) (port.KeyedRecord, error) {
	submission := &logpb.Submission{
		Team:            spec.Team,
		Payload:         spec.Payload,
		Queue:           queueToWire(spec.Queue),
		SubmittedUnixMs: spec.Submitted.UnixMilli(),
		IntervalMs:      spec.Interval.Milliseconds(),
		Repetitions:     int32(spec.Repetitions),
	}
	if spec.Repetitions > 0 {
		submission.FirstRunUnixMs = spec.FirstRun.UnixMilli()
	}
	for i := range spec.Steps {
		submission.Steps = append(submission.Steps, stepToWire(&spec.Steps[i]))
	}
	record, err := encodeRecord(SubmissionKey(id), submission)
	if err != nil {
		return port.KeyedRecord{}, err
	}
	if len(record.Value) > maxSubmission {
		return port.KeyedRecord{}, errs.New("submission of %d bytes is larger than %d bytes", len(record.Value), maxSubmission)
	}
	return record, nil
}

// decodeSubmission returns an error for a submission that can't be decoded or whose job
// the engine can't hold.
func decodeSubmission(value []byte) (*logpb.Submission, error) {
	submission := new(logpb.Submission)
	if err := proto.Unmarshal(value, submission); err != nil {
		return nil, err
	}
	spec := Spec(submission)
	if err := spec.Check(); err != nil {
		return nil, err
	}
	return submission, nil
}

// ParseSubmission returns the job in a submission record, or false for any other
// record, for one that can't be decoded and for a job beyond the limits.
func ParseSubmission(record port.KeyedRecord) (model.JobID, *logpb.Submission, bool) {
	id, ok := strings.CutPrefix(record.Key, submissionPrefix)
	if !ok || record.Value == nil {
		return "", nil, false
	}
	submission, err := decodeSubmission(record.Value)
	if err != nil {
		return "", nil, false // every replica logs it
	}
	return model.JobID(id), submission, true
}

// CancellationRecord returns the record of a job's cancellation.
func CancellationRecord(id model.JobID, at time.Time) (port.KeyedRecord, error) {
	return encodeRecord(CancellationKey(id), &logpb.Cancellation{CancelledUnixMs: at.UnixMilli()})
}

// OwnerRecord returns an owner's heartbeat. If resigned is true, the record states
// that the owner has given up the cell.
func OwnerRecord(epoch uint64, node string, resigned bool) (port.KeyedRecord, error) {
	return encodeRecord(OwnerKey, &logpb.OwnerRecord{Epoch: epoch, Node: node, Resigned: resigned})
}

// NodeRecord returns the record of what a node announces about itself.
func NodeRecord(node string, info NodeInfo) (port.KeyedRecord, error) {
	return encodeRecord(NodeKey(node), &logpb.MemberRecord{
		Address: info.Address, StartedUnixMs: info.Started.UnixMilli(),
		MilliProcessors: info.Size.MilliProcessors, LinkMbits: info.Size.LinkMbits, MemoryMib: info.Size.MemoryMiB,
	})
}

// UpkeepRecord returns the record that a machine's upkeep has begun.
func UpkeepRecord(wave, machine string) (port.KeyedRecord, error) {
	return encodeRecord(upkeepPrefix+wave+"/"+machine, &logpb.UpkeepRecord{Wave: wave, Machine: machine})
}

// SuspensionRecord returns the record that the owner of the epoch renews no lease of the
// worker until the record is deleted, and that all its leases expire within remaining.
func SuspensionRecord(worker model.VMID, epoch uint64, remaining time.Duration) (port.KeyedRecord, error) {
	return encodeRecord(SuspensionKey(worker), &logpb.LeaseSuspension{Epoch: epoch, RemainingMs: remaining.Milliseconds() + 1})
}

// BatchRecords returns the records that make a batch of decisions durable.
func BatchRecords(batch *dispatch.Batch, now time.Time) ([]port.KeyedRecord, error) {
	deleted := make(map[model.JobID]bool, len(batch.Purged))
	for _, job := range batch.Purged {
		deleted[job.Job] = true
	}
	var list recordList
	last := make(map[dispatch.TaskName]int, len(batch.Tasks))
	for i, state := range batch.Tasks {
		last[state.Task] = i
	}
	for _, end := range batch.Ended {
		list.add(encodeRecord(EndKey(end.Job), &logpb.JobRecord{
			State: endToWire[end.State], EndedUnixMs: now.UnixMilli(), Team: end.Team,
		}))
	}
	for i, state := range batch.Tasks {
		if last[state.Task] == i && !deleted[state.Task.Job] {
			list.add(encodeRecord(TaskKey(state.Task), taskToWire(state)))
		}
	}
	for _, done := range batch.Occurrences {
		if !deleted[done.Job] {
			list.add(encodeRecord(OccurrenceKey(done.Job, done.Number), &logpb.OccurrenceRecord{CompletedUnixMs: now.UnixMilli()}))
		}
	}
	for _, job := range batch.Purged {
		for _, task := range job.Tasks {
			list.addTombstone(TaskKey(task))
		}
		list.addTombstone(SubmissionKey(job.Job))
		list.addTombstone(CancellationKey(job.Job))
	}
	return list.records, list.err
}

// EndTombstones returns the records that delete the final states of the jobs.
func EndTombstones(ids []model.JobID) []port.KeyedRecord {
	records := make([]port.KeyedRecord, 0, len(ids))
	for _, id := range ids {
		records = append(records, port.KeyedRecord{Key: EndKey(id)})
	}
	return records
}

// recordList collects records and the last error in encoding one.
type recordList struct {
	records []port.KeyedRecord
	err     error
}

func (l *recordList) add(record port.KeyedRecord, err error) {
	if err != nil {
		l.err = err
		return
	}
	l.records = append(l.records, record)
}

func (l *recordList) addTombstone(key string) {
	l.records = append(l.records, port.KeyedRecord{Key: key})
}

// encodeRecord returns a record of the key with the encoded message.
func encodeRecord(key string, m proto.Message) (port.KeyedRecord, error) {
	value, err := proto.Marshal(m)
	return port.KeyedRecord{Key: key, Value: value}, err
}

// Spec returns the job that a submission describes.
func Spec(s *logpb.Submission) dispatch.JobSpec {
	spec := dispatch.JobSpec{
		Team:        s.GetTeam(),
		Payload:     s.GetPayload(),
		Queue:       queueFromWire(s.GetQueue()),
		Submitted:   time.UnixMilli(s.GetSubmittedUnixMs()),
		Interval:    milliseconds(s.GetIntervalMs()),
		Repetitions: int(s.GetRepetitions()),
	}
	if s.GetFirstRunUnixMs() != 0 {
		spec.FirstRun = time.UnixMilli(s.GetFirstRunUnixMs())
	}
	for _, step := range s.GetSteps() {
		spec.Steps = append(spec.Steps, stepFromWire(step))
	}
	return spec
}

// TaskFromWire returns the task's state in its record.
func TaskFromWire(name dispatch.TaskName, r *logpb.TaskRecord) dispatch.TaskState {
	return dispatch.TaskState{
		Task: name, Phase: phaseFromWire[r.GetPhase()], Run: r.GetRun(),
		Worker: model.VMID(r.GetWorker()), Incarnation: r.GetLife(),
		Failures: int(r.GetFailures()), Checkpoint: r.GetCheckpoint(), Unstarted: r.GetUnstarted(),
		Crashes: crashesFromWire(r.GetCrashes()), Suspect: r.GetSuspect(),
	}
}

func crashesFromWire(records []*logpb.CrashRecord) []dispatch.Crash {
	var crashes []dispatch.Crash
	for _, r := range records {
		crashes = append(crashes, dispatch.Crash{
			Worker: model.VMID(r.GetWorker()), Incarnation: r.GetLife(), Unresolved: r.GetUnresolved(),
			Started: r.GetStarted(), Early: r.GetEarly(), Alone: r.GetAlone(), Explained: r.GetExplained(),
		})
	}
	return crashes
}

func crashesToWire(crashes []dispatch.Crash) []*logpb.CrashRecord {
	var records []*logpb.CrashRecord
	for _, c := range crashes {
		records = append(records, &logpb.CrashRecord{
			Worker: string(c.Worker), Life: c.Incarnation, Unresolved: c.Unresolved,
			Started: c.Started, Early: c.Early, Alone: c.Alone, Explained: c.Explained,
		})
	}
	return records
}

func taskToWire(s dispatch.TaskState) *logpb.TaskRecord {
	return &logpb.TaskRecord{
		Phase: phaseToWire[s.Phase], Run: s.Run, Worker: string(s.Worker), Life: s.Incarnation,
		Failures: uint32(s.Failures), Checkpoint: s.Checkpoint, Unstarted: s.Unstarted,
		Crashes: crashesToWire(s.Crashes), Suspect: s.Suspect,
	}
}

func queueToWire(q dispatch.Queue) *logpb.QueuePolicy {
	return &logpb.QueuePolicy{
		Name: q.Name, Service: q.Service, Priority: int32(q.Priority), MaxAttempts: int32(q.MaxAttempts),
		Slowdown: q.Slowdown, TargetMs: q.BaseLatency.Milliseconds(), Advised: q.RequiresAdvice,
		AdviceDecisionUs: q.AdviceDecision.Microseconds(), AdvicePerWorkerUs: q.AdvicePerWorker.Microseconds(),
	}
}

func queueFromWire(q *logpb.QueuePolicy) dispatch.Queue {
	return dispatch.Queue{
		Name: q.GetName(), Service: q.GetService(), Priority: int(q.GetPriority()), MaxAttempts: int(q.GetMaxAttempts()),
		Slowdown: q.GetSlowdown(), BaseLatency: milliseconds(q.GetTargetMs()), RequiresAdvice: q.GetAdvised(),
		AdviceDecision:  time.Duration(q.GetAdviceDecisionUs()) * time.Microsecond,
		AdvicePerWorker: time.Duration(q.GetAdvicePerWorkerUs()) * time.Microsecond,
	}
}

func stepToWire(s *dispatch.StepSpec) *logpb.StepSpec {
	step := &logpb.StepSpec{
		Tasks: int32(s.Tasks), MilliCpu: s.Size.MilliCPU, MemoryMib: s.Size.MemoryMiB, Accelerators: s.Size.Accelerators,
		EstimateMs: s.DeclaredRunTime.Milliseconds(), Checkpoints: s.Checkpoints, Gang: s.Gang, SingleRack: s.SingleRack,
		Requires: s.Requires, PreferRack: s.PreferRack, MaxPerWorker: int32(s.MaxPerWorker), Speculative: s.Speculative,
		LongRunning: s.LongRunning, Image: s.Image, TailTargetMs: s.TailLatencyTarget.Milliseconds(), Fills: s.BestEffortCPU,
		MayMiss: int32(s.MaxUnavailable),
	}
	for _, earlier := range s.DependsOn {
		step.DependsOn = append(step.DependsOn, int32(earlier))
	}
	return step
}

func stepFromWire(s *logpb.StepSpec) dispatch.StepSpec {
	step := dispatch.StepSpec{
		Tasks:           int(s.GetTasks()),
		Size:            model.Resources{MilliCPU: s.GetMilliCpu(), MemoryMiB: s.GetMemoryMib(), Accelerators: s.GetAccelerators()},
		DeclaredRunTime: milliseconds(s.GetEstimateMs()), Checkpoints: s.GetCheckpoints(), Gang: s.GetGang(),
		SingleRack: s.GetSingleRack(), Requires: s.GetRequires(), PreferRack: s.GetPreferRack(),
		MaxPerWorker: int(s.GetMaxPerWorker()), Speculative: s.GetSpeculative(), LongRunning: s.GetLongRunning(),
		Image: s.GetImage(), TailLatencyTarget: milliseconds(s.GetTailTargetMs()), BestEffortCPU: s.GetFills(), MaxUnavailable: int(s.GetMayMiss()),
	}
	for _, earlier := range s.GetDependsOn() {
		step.DependsOn = append(step.DependsOn, int(earlier))
	}
	return step
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

var (
	phaseToWire = map[dispatch.RecordedPhase]logpb.TaskRecord_Phase{
		dispatch.TaskPending: logpb.TaskRecord_WAITING,
		dispatch.TaskPlaced:  logpb.TaskRecord_PLACED,
		dispatch.TaskDone:    logpb.TaskRecord_DONE,
	}
	phaseFromWire = map[logpb.TaskRecord_Phase]dispatch.RecordedPhase{
		logpb.TaskRecord_WAITING: dispatch.TaskPending,
		logpb.TaskRecord_PLACED:  dispatch.TaskPlaced,
		logpb.TaskRecord_DONE:    dispatch.TaskDone,
	}
	endToWire = map[dispatch.JobState]logpb.JobRecord_State{
		dispatch.Completed: logpb.JobRecord_COMPLETED,
		dispatch.Failed:    logpb.JobRecord_FAILED,
		dispatch.Cancelled: logpb.JobRecord_CANCELLED,
	}
)

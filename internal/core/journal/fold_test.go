package journal

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/proptest"
)

func TestMain(m *testing.M) {
	proptest.Main(m, proptest.Settings{Checks: 500})
}

func encode(t require.TestingT, record *logpb.JournalRecord) []byte {
	data, err := proto.Marshal(record)
	require.NoError(t, err)
	return data
}

func jobAccepted(t require.TestingT, job model.Job) *logpb.JournalRecord {
	data, err := proto.Marshal(convert.JobPB(job))
	require.NoError(t, err)
	return &logpb.JournalRecord{Version: Version, Body: &logpb.JournalRecord_JobAccepted{
		JobAccepted: &logpb.JobAccepted{Job: data},
	}}
}

// drawRecord returns a random record for one of a few jobs and keys.
func drawRecord(t *rapid.T) *logpb.JournalRecord {
	id := fmt.Sprint("j", rapid.IntRange(0, 4).Draw(t, "job"))
	key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
	index := rapid.Int32Range(-1, 3).Draw(t, "index")
	record := &logpb.JournalRecord{Version: Version, Id: id}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return jobAccepted(t, model.Job{ID: model.JobID(id), Team: "a", Tasks: 3, IdempotencyKey: key})
	case 1:
		record.Body = &logpb.JournalRecord_JobEnded{JobEnded: &logpb.JobEnded{JobId: id, Team: "a", State: "done"}}
	case 2:
		record.Body = &logpb.JournalRecord_Intent{Intent: &logpb.Intent{Team: "a", RequestId: id, IdempotencyKey: key}}
	case 3:
		task := string(model.NewTask(model.JobID(id), int(max(index, 0))))
		record.Body = &logpb.JournalRecord_Intent{Intent: &logpb.Intent{Team: "a", TaskId: task}}
	case 4:
		record.Body = &logpb.JournalRecord_TasksEnded{TasksEnded: &logpb.TasksEnded{JobId: id, Team: "a", Done: []int32{index}, Detail: key}}
	default:
		record.Body = &logpb.JournalRecord_JobCancelled{JobCancelled: &logpb.JobCancelled{JobId: id, Team: "a"}}
	}
	return record
}

// requireEqual compares the state that a new owner of the team would start from.
func requireEqual(t require.TestingT, want, have *Fold) {
	require.Equal(t, want.Jobs("a"), have.Jobs("a"))
	wantIntents, haveIntents := want.Intents("a"), have.Intents("a")
	require.Len(t, haveIntents, len(wantIntents))
	for i := range wantIntents {
		require.True(t, proto.Equal(wantIntents[i], haveIntents[i]))
	}
}

// TestRestoreFromCheckpointMatchesCompleteLog truncates the log at a random offset
// that a checkpoint covers and compares the restored state with the state of the
// complete log.
func TestRestoreFromCheckpointMatchesCompleteLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := NewFold()
		var records []Record
		add := func(record *logpb.JournalRecord) {
			data := encode(t, record)
			complete.Apply(data)
			records = append(records, Record{Offset: uint64(len(records)), Data: data})
		}
		before := rapid.IntRange(1, 15).Draw(t, "before")
		for range before {
			add(drawRecord(t))
		}
		through := records[len(records)-1].Offset
		checkpoint, err := complete.Checkpoint("cp", through)
		require.NoError(t, err)
		// Other processes may append records before the checkpoint is appended.
		for range rapid.IntRange(0, 3).Draw(t, "between") {
			add(drawRecord(t))
		}
		for _, part := range checkpoint {
			add(part)
		}
		for range rapid.IntRange(0, 8).Draw(t, "after") {
			add(drawRecord(t))
		}
		earliest := rapid.Uint64Range(1, through+1).Draw(t, "earliest")
		restored, err := Restore(earliest, records[earliest:])
		require.NoError(t, err)
		requireEqual(t, complete, restored)
	})
}

func TestTruncatedLogWithoutCheckpointIsIncomplete(t *testing.T) {
	data := encode(t, jobAccepted(t, model.Job{ID: "j", Team: "a", Tasks: 1}))
	_, err := Restore(5, []Record{{Offset: 5, Data: data}})
	assert.True(t, Incomplete.Has(err))
}

func TestSecondJobWithSameKeyIsDuplicate(t *testing.T) {
	fold := NewFold()
	first := fold.Apply(encode(t, jobAccepted(t, model.Job{ID: "x", Team: "a", Tasks: 1, IdempotencyKey: "k"})))
	second := fold.Apply(encode(t, jobAccepted(t, model.Job{ID: "y", Team: "a", Tasks: 1, IdempotencyKey: "k"})))
	assert.Equal(t, EventAccepted, first.Kind)
	assert.Equal(t, EventDuplicate, second.Kind)
	assert.Equal(t, model.JobID("x"), second.Job.Job.ID)
	assert.Len(t, fold.Jobs("a"), 1)
}

func TestOldestEndedJobIsPurged(t *testing.T) {
	fold := NewFold()
	for i := range maxEndedJobs + 1 {
		id := fmt.Sprint("j", i)
		fold.Apply(encode(t, jobAccepted(t, model.Job{ID: model.JobID(id), Team: "a", Tasks: 1})))
		event := fold.Apply(encode(t, &logpb.JournalRecord{Version: Version, Body: &logpb.JournalRecord_JobEnded{
			JobEnded: &logpb.JobEnded{JobId: id, Team: "a", State: "done"},
		}}))
		if i < maxEndedJobs {
			assert.Empty(t, event.Purged)
		} else {
			assert.Equal(t, model.JobID("j0"), event.Purged)
		}
	}
	assert.Len(t, fold.Jobs("a"), maxEndedJobs)
}

func TestUndecodableAndNewerRecordsAreSkipped(t *testing.T) {
	fold := NewFold()
	assert.Equal(t, EventIgnored, fold.Apply([]byte{0xff, 0x01}).Kind)
	newer := jobAccepted(t, model.Job{ID: "x", Team: "a", Tasks: 1})
	newer.Version = Version + 1
	assert.Equal(t, EventIgnored, fold.Apply(encode(t, newer)).Kind)
	assert.Equal(t, uint64(2), fold.Skipped())
}

func FuzzApply(f *testing.F) {
	f.Add(encode(f, jobAccepted(f, model.Job{ID: "x", Team: "a", Tasks: 2})))
	f.Add([]byte("not a record"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		fold := NewFold()
		fold.Apply(data)
		fold.Apply(data)
	})
}

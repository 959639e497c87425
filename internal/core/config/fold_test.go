package config

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

type testingT interface {
	require.TestingT
	Helper()
}

func encode(t testingT, c Change, replaces uint64) []byte {
	t.Helper()
	data, err := c.Encode(ulid.Make().String(), replaces)
	require.NoError(t, err)
	return data
}

func template(team string, share float64) Change {
	return PublishTemplate(model.WorkspaceTemplate{Team: model.TeamID(team), ShareWeight: share})
}

func testHash(seed byte) []byte { return bytes.Repeat([]byte{seed}, 32) }

// drawChange draws a change of one of a few objects, so that many changes
// conflict.
func drawChange(t *rapid.T) Change {
	team := model.TeamID(rapid.SampledFrom([]string{"quotes", "fittings"}).Draw(t, "team"))
	key := KeyID(rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"))
	domain := model.FailureDomain(rapid.SampledFrom([]string{"bergen", "guelmim"}).Draw(t, "domain"))
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0, 1:
		return template(string(team), float64(rapid.IntRange(1, 100).Draw(t, "share")))
	case 2:
		return RemoveTemplate(team)
	case 3:
		return IssueKey(team, key, testHash(byte(len(team))))
	case 4:
		return WithdrawKey(key)
	case 5:
		return DomainOut(domain)
	default:
		return DomainBack(domain)
	}
}

// checkEqual fails the test if the snapshot differs from the reference state.
func checkEqual(t require.TestingT, want *naiveFold, got *Snapshot) {
	var objects []ObjectID
	for _, tpl := range got.Templates() {
		objects = append(objects, TemplateObject(tpl.Team))
	}
	for _, k := range got.Keys() {
		objects = append(objects, KeyObject(k.ID))
	}
	for _, d := range got.DomainsOut() {
		objects = append(objects, DomainObject(d.FailureDomain))
	}
	require.ElementsMatch(t, want.existing(""), objects)
	for _, object := range objects {
		c, _ := want.last(object)
		require.Equal(t, c.revision, got.ObjectRevision(object), object)
	}
	for _, tpl := range got.Templates() {
		c, _ := want.last(TemplateObject(tpl.Team))
		require.Equal(t, c.record.GetPublishTemplate().GetTemplate().GetShare(), tpl.ShareWeight)
	}
}

// operators simulates operators that change the configuration concurrently:
// the base revision of each change is one that its author read some time before.
type operators struct {
	offset    uint64
	records   []loadedRecord
	fold      *Fold
	naiveFold naiveFold
}

func (o *operators) append(data []byte) Result {
	o.records = append(o.records, loadedRecord{offset: o.offset, data: data})
	result := o.fold.Apply(o.offset, data)
	o.offset++
	return result
}

func (o *operators) step(t *rapid.T) {
	switch rapid.IntRange(0, 19).Draw(t, "step") {
	case 0:
		// Offsets may have gaps; a gap makes remembered removals older.
		o.offset += uint64(rapid.SampledFrom([]int{1, replaceWindow / 2, replaceWindow + 1}).Draw(t, "gap"))
	case 1:
		o.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage"))
	case 2:
		o.checkpoint(t)
	case 3:
		if len(o.records) > 0 { // a record that is appended twice
			o.change(t, rapid.SampledFrom(o.records).Draw(t, "again").data)
		}
	default:
		age := uint64(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 5, replaceWindow - 1}).Draw(t, "age"))
		revision := o.fold.Revision()
		o.change(t, encode(t, drawChange(t), revision-min(age, revision)))
	}
}

func (o *operators) change(t *rapid.T, data []byte) {
	applied, lostTo := o.naiveFold.apply(o.offset, data)
	result := o.append(data)
	if result.Verdict == Undecodable || result.Verdict == Checkpoint {
		return
	}
	require.Equal(t, applied, result.Verdict == Applied, "%+v", result)
	require.Equal(t, lostTo, result.LostTo, "%+v", result)
}

func (o *operators) checkpoint(t *rapid.T) {
	records, err := o.fold.Checkpoint(ulid.Make().String())
	require.NoError(t, err)
	late := rapid.Bool().Draw(t, "late")
	if late { // another change is appended between the state and its checkpoint
		o.change(t, encode(t, drawChange(t), o.fold.Revision()))
	}
	for _, r := range records {
		o.append(r)
	}
}

func TestConcurrentChangesMatchNaiveFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &operators{fold: NewFold()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := o.fold.Revision()
			o.step(t)
			require.GreaterOrEqual(t, o.fold.Revision(), before)
			checkEqual(t, &o.naiveFold, o.fold.Snapshot())
		}
	})
}

// A process that loads its state from a log truncated at any point must have the
// same state as the others or none at all.
func TestLoadAfterTruncationGivesSameStateOrNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &operators{fold: NewFold()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			o.step(t)
		}
		first := rapid.IntRange(0, len(o.records)).Draw(t, "truncated")
		earliest := o.offset
		if first < len(o.records) {
			earliest = o.records[first].offset
		}
		loader := NewLoader(earliest)
		for _, r := range o.records[first:] {
			loader.Add(r.offset, r.data)
		}
		fold, ok := loader.Fold()
		if !ok {
			require.NotZero(t, earliest)
			return
		}
		checkEqual(t, &o.naiveFold, fold.Snapshot())
		// Later records must also get the same verdicts as without a restart.
		for range 10 {
			data := encode(t, drawChange(t), o.fold.Revision()-min(o.fold.Revision(), 3))
			require.Equal(t, o.fold.Apply(o.offset, data), fold.Apply(o.offset, data))
			o.offset++
		}
	})
}

func TestTruncatedLogWithoutCheckpointDoesNotLoad(t *testing.T) {
	loader := NewLoader(5)
	loader.Add(5, encode(t, template("quotes", 1), 4))
	_, ok := loader.Fold()
	assert.False(t, ok)
}

func TestLoaderNeedsEveryPartOfCheckpoint(t *testing.T) {
	fold := NewFold()
	for i := range 2000 {
		fold.Apply(uint64(i), encode(t, template(fmt.Sprintf("team-%d", i), 1), uint64(i)))
	}
	records, err := fold.Checkpoint("01SET")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(records), 2)
	loader := NewLoader(2000)
	for i, r := range records {
		_, ok := loader.Fold()
		require.False(t, ok)
		loader.Add(uint64(2000+i), r)
	}
	restored, ok := loader.Fold()
	require.True(t, ok)
	assert.Equal(t, fold.Snapshot().Templates(), restored.Snapshot().Templates())
}

func TestNewerRecordsAreSkippedAndPreventCheckpoints(t *testing.T) {
	fold := NewFold()
	data, err := proto.Marshal(&logpb.ConfigRecord{Version: Version + 1, Id: "x"})
	require.NoError(t, err)
	assert.Equal(t, Newer, fold.Apply(0, data).Verdict)
	assert.Equal(t, uint64(1), fold.Revision())
	_, err = fold.Checkpoint("01SET")
	assert.True(t, Invalid.Has(err))
}

func TestRecordReplacingFutureRevisionIsRejected(t *testing.T) {
	fold := NewFold()
	fold.Apply(0, encode(t, template("quotes", 1), 0))
	result := fold.Apply(1, encode(t, template("quotes", 2), 5))
	assert.Equal(t, Rejected, result.Verdict)
	assert.Equal(t, 1.0, fold.Snapshot().Templates()[0].ShareWeight)
}

// A delayed append must not restore a withdrawn key, not even in a process that
// has read the withdrawal only as part of a checkpoint.
func TestLateKeyIssueIsLostAfterRestart(t *testing.T) {
	fold := NewFold()
	issue := encode(t, IssueKey("quotes", "k1", testHash(1)), 1)
	fold.Apply(0, encode(t, template("quotes", 1), 0))
	fold.Apply(1, issue)
	fold.Apply(2, encode(t, WithdrawKey("k1"), 2))
	records, err := fold.Checkpoint("01SET")
	require.NoError(t, err)
	loader := NewLoader(3)
	loader.Add(3, records[0])
	restored, ok := loader.Fold()
	require.True(t, ok)
	assert.Equal(t, uint64(3), restored.Apply(4, issue).LostTo)
	assert.Empty(t, restored.Snapshot().Keys())
}

func TestCheckpointThroughFutureRevisionIsIgnored(t *testing.T) {
	fold := NewFold()
	fold.Apply(10, encode(t, template("quotes", 1), 9))
	records, err := fold.Checkpoint("01SET")
	require.NoError(t, err)
	loader := NewLoader(3)
	loader.Add(10, records[0])
	_, ok := loader.Fold()
	assert.False(t, ok)
}

func TestSnapshotsAreImmutable(t *testing.T) {
	fold := NewFold()
	fold.Apply(0, encode(t, template("quotes", 1), 0))
	before := fold.Snapshot()
	fold.Apply(1, encode(t, template("quotes", 2), 1))
	fold.Apply(2, encode(t, DomainOut("bergen"), 2))
	assert.Equal(t, 1.0, before.Templates()[0].ShareWeight)
	assert.False(t, before.IsDomainOut("bergen"))
}

func TestTeamOfKey(t *testing.T) {
	presented, hash, err := NewKey(ulid.Make(), bytes.NewReader(testHash(7)))
	require.NoError(t, err)
	id, ok := ParseKeyID(presented)
	require.True(t, ok)
	fold := NewFold()
	fold.Apply(0, encode(t, template("quotes", 1), 0))
	fold.Apply(1, encode(t, IssueKey("quotes", id, hash), 1))
	team, ok := fold.Snapshot().TeamOfKey(presented)
	assert.True(t, ok)
	assert.Equal(t, model.TeamID("quotes"), team)
	for _, forged := range []string{"", presentedKeyPrefix + string(id) + "_", presented + "x", presented[:len(presented)-1], "bhk_x_y"} {
		_, ok = fold.Snapshot().TeamOfKey(forged)
		assert.False(t, ok, forged)
	}
	fold.Apply(2, encode(t, RemoveTemplate("quotes"), 2))
	_, ok = fold.Snapshot().TeamOfKey(presented)
	assert.False(t, ok, "keys of a removed team must not be accepted")
}

func FuzzApply(f *testing.F) {
	f.Add(encode(f, template("quotes", 1), 0))
	f.Add(encode(f, RemoveTemplate("fittings"), 1))
	f.Add(encode(f, IssueKey("fittings", "k", testHash(1)), 1))
	fold := NewFold()
	fold.Apply(0, encode(f, template("fittings", 1), 0))
	checkpoint, err := fold.Checkpoint("01SET")
	require.NoError(f, err)
	f.Add(checkpoint[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold()
		fold.Apply(0, encode(t, template("fittings", 1), 0))
		result := fold.Apply(1, data)
		assert.Equal(t, uint64(2), fold.Revision())
		assert.NotEmpty(t, result.Verdict)
		loader := NewLoader(1)
		loader.Add(1, data)
		_, _ = Unmarshal(data)
	})
}

func BenchmarkFoldDay(b *testing.B) {
	const teams, changes = 240, 21_000
	records := make([][]byte, changes)
	for i := range records {
		records[i] = encode(b, template(fmt.Sprintf("team-%d", i%teams), 1), uint64(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		fold := NewFold()
		for i, r := range records {
			fold.Apply(uint64(i), r)
			fold.Snapshot()
		}
	}
}

package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// fakeCell is a fake VM list and peer whose members return given revisions.
type fakeCell struct {
	vms       []model.VM
	revisions map[string]func() uint64 // by address; a member without one does not answer
}

func (f *fakeCell) List(context.Context) ([]model.VM, error) { return f.vms, nil }

func (f *fakeCell) Call(_ context.Context, address string, _ *peerpb.Request) (*peerpb.Response, error) {
	revision, ok := f.revisions[address]
	if !ok {
		return nil, port.NotStarted.New("connection refused")
	}
	status := &peerpb.MemberStatus{Member: address, ConfigRevision: revision(), Ready: true}
	return &peerpb.Response{Body: &peerpb.Response_MemberStatus{MemberStatus: status}}, nil
}

func (f *fakeCell) add(address string, revision func() uint64) {
	f.vms = append(f.vms, model.VM{ID: model.VMID(address), Role: model.RoleEntry, Address: address})
	if revision != nil {
		f.revisions[address] = revision
	}
}

// operator is a client with its own access to a log and its own fake cell.
type operator struct {
	*Client
	log           *porttest.MemLog
	logClient     *porttest.MemClient
	cell          *fakeCell
	out, progress *bytes.Buffer
}

func newOperator(log *porttest.MemLog) *operator {
	o := &operator{
		log:       log,
		logClient: log.Client(nil),
		cell:      &fakeCell{revisions: map[string]func() uint64{}},
		out:       &bytes.Buffer{},
		progress:  &bytes.Buffer{},
	}
	o.cell.add("a", func() uint64 { return log.Next(config.Stream) })
	o.Client = &Client{
		Log: o.logClient, VMList: o.cell, Peer: o.cell, Random: rand.Reader,
		Out: o.out, Progress: o.progress, JSON: true, Wait: true, Timeout: 15 * time.Second,
	}
	return o
}

func (o *operator) report(t *testing.T) Report {
	t.Helper()
	var r Report
	require.NoError(t, json.Unmarshal(o.out.Bytes(), &r), "%s", o.out)
	return r
}

func (o *operator) snapshot(t *testing.T) *config.Snapshot {
	t.Helper()
	fold, err := o.load(t.Context())
	require.NoError(t, err)
	return fold.Snapshot()
}

func templateFile(t *testing.T, share int, teams ...string) string {
	t.Helper()
	text := ""
	for _, team := range teams {
		text += fmt.Sprintf("[[template]]\nteam = %q\nkinds = [\"quick\"]\nshare = %d\nservices = [\"q\"]\nmax_queued = 9\nupper_limit = { slots = 4 }\n", team, share)
	}
	path := filepath.Join(t.TempDir(), "templates.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// interposedLog calls a function right before each append.
type interposedLog struct {
	port.Log
	before func()
}

func (l *interposedLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	l.before()
	return l.Log.Append(ctx, stream, records)
}

func TestConflictingApplyReportsWinningRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := porttest.NewMemLog()
		first, second := newOperator(log), newOperator(log)
		require.NoError(t, first.ApplyTemplates(t.Context(), templateFile(t, 1, "quotes"), 0))
		first.out.Reset()
		second.Log = &interposedLog{Log: second.logClient, before: func() {
			require.NoError(t, first.ApplyTemplates(t.Context(), templateFile(t, 2, "quotes"), 0))
		}}
		err := second.ApplyTemplates(t.Context(), templateFile(t, 3, "quotes", "layouts"), 0)
		assert.Equal(t, ExitConflict, ExitCode(err), "%v", err)
		winner := first.report(t).Changes[0].Revision
		lost := second.report(t).Changes
		require.Len(t, lost, 2)
		assert.Equal(t, Outcome{Object: "template/quotes", Verdict: config.Lost, Revision: 3, LostTo: winner}, lost[0])
		assert.Equal(t, config.Applied, lost[1].Verdict)
		quotes, _ := first.snapshot(t).Template("quotes")
		assert.Equal(t, 2.0, quotes.ShareWeight)
	})
}

func TestApplyDetectsConflictsAndUnchangedTemplates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		path := templateFile(t, 1, "quotes")
		require.NoError(t, o.ApplyTemplates(t.Context(), path, 0))
		require.NoError(t, o.ApplyTemplates(t.Context(), templateFile(t, 2, "quotes"), 0))
		assert.Equal(t, ExitConflict, ExitCode(o.ApplyTemplates(t.Context(), path, 1)))
		next := o.log.Next(config.Stream)
		require.NoError(t, o.ApplyTemplates(t.Context(), templateFile(t, 2, "quotes"), 0))
		assert.Equal(t, next, o.log.Next(config.Stream), "unchanged templates are not published")
	})
}

func TestAppendWithLostAnswerIsNotRepeated(t *testing.T) {
	for name, faults := range map[string]porttest.Faults{
		"lost":    {LoseAnswers: true},
		"delayed": {DeferAppends: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOperator(porttest.NewMemLog())
				o.logClient.SetFaults(faults)
				require.NoError(t, o.TakeDomainOut(t.Context(), "bergen"))
				assert.Equal(t, uint64(1), o.log.Next(config.Stream))
				assert.Contains(t, o.progress.String(), "answer was lost")
			})
		})
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		o.logClient.SetFaults(porttest.Faults{DeferAppends: time.Minute})
		err := o.TakeDomainOut(t.Context(), "bergen")
		assert.True(t, Unknown.Has(err), "%v", err)
		assert.Equal(t, ExitTimeout, ExitCode(err))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, uint64(1), o.log.Next(config.Stream))
	})
}

// Repeating a command of unknown outcome is safe even if the first append reaches
// the log after the second.
func TestCommandOfUnknownOutcomeCanBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		o.logClient.SetFaults(porttest.Faults{DeferAppends: time.Minute})
		require.Error(t, o.TakeDomainOut(t.Context(), "bergen"))
		o.logClient.SetFaults(porttest.Faults{})
		require.NoError(t, o.TakeDomainOut(t.Context(), "bergen"))
		require.NoError(t, o.ReturnDomain(t.Context(), "bergen"))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, uint64(3), o.log.Next(config.Stream), "the first append has reached the log")
		assert.False(t, o.snapshot(t).IsDomainOut("bergen"))
	})
}

// unansweringLog appends records but never answers.
type unansweringLog struct{ port.Log }

func (l unansweringLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	_, _ = l.Log.Append(ctx, stream, records)
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestUnansweredAppendLeavesTimeToReadLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		o.Log = unansweringLog{o.logClient}
		require.NoError(t, o.TakeDomainOut(t.Context(), "bergen"))
		assert.Equal(t, uint64(1), o.log.Next(config.Stream))
	})
}

func TestCheckReportsFindingsAsJSON(t *testing.T) {
	o := newOperator(porttest.NewMemLog())
	path := filepath.Join(t.TempDir(), "sched.toml")
	require.NoError(t, os.WriteFile(path, []byte("colour = 1"), 0o600))
	assert.Equal(t, ExitBadInput, ExitCode(o.CheckFile(path, "sched")))
	var list findings.List
	require.NoError(t, json.Unmarshal(o.out.Bytes(), &list))
	assert.Contains(t, list, findings.Finding{File: path, Line: 1, Key: "colour", Problem: "unknown key"})
}

// refusingLog refuses appends, with no effect, until a given time.
type refusingLog struct {
	port.Log
	until time.Time
}

func (l *refusingLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if time.Now().Before(l.until) {
		return 0, port.NotStarted.New("connection refused")
	}
	return l.Log.Append(ctx, stream, records)
}

func TestAppendsThatHadNoEffectAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		o.Log = &refusingLog{Log: o.logClient, until: time.Now().Add(5 * time.Second)}
		require.NoError(t, o.TakeDomainOut(t.Context(), "bergen"))
		o.Log = &refusingLog{Log: o.logClient, until: time.Now().Add(time.Hour)}
		err := o.TakeDomainOut(t.Context(), "haugesund")
		assert.Equal(t, ExitFailure, ExitCode(err), "%v", err)
		assert.Equal(t, uint64(1), o.log.Next(config.Stream))
	})
}

func TestWaitsUntilEveryMemberHasTheRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		start := time.Now()
		o.cell.add("slow", func() uint64 {
			if time.Since(start) < 3*time.Second {
				return 0
			}
			return 1
		})
		o.cell.add("leaving", nil)
		o.cell.vms[2].Leaving = true
		require.NoError(t, o.TakeDomainOut(t.Context(), "bergen"))
		assert.GreaterOrEqual(t, time.Since(start), 3*time.Second)
		assert.Contains(t, o.progress.String(), "in force on 1 of 2 members (slow has revision 0)")
		assert.True(t, o.report(t).InForce)
	})
}

func TestUnresponsiveMemberIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		o.cell.add("silent", nil)
		err := o.TakeDomainOut(t.Context(), "bergen")
		assert.Equal(t, ExitTimeout, ExitCode(err))
		assert.ErrorContains(t, err, "silent does not answer")
		assert.Equal(t, config.Applied, o.report(t).Changes[0].Verdict)
		assert.False(t, o.report(t).InForce)
	})
}

func TestKeyIsPrintedOnceAndStoredAsHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		assert.Equal(t, ExitBadInput, ExitCode(o.IssueKey(t.Context(), "quotes")), "the team has no template")
		o.out.Reset()
		o.Wait = false
		require.NoError(t, o.ApplyTemplates(t.Context(), templateFile(t, 1, "quotes"), 0))
		o.out.Reset()
		require.NoError(t, o.IssueKey(t.Context(), "quotes"))
		issued := o.report(t)
		team, ok := o.snapshot(t).TeamOfKey(issued.Key)
		assert.True(t, ok)
		assert.Equal(t, model.TeamID("quotes"), team)
		batch, err := o.log.Read(t.Context(), config.Stream, 0, 10, 0)
		require.NoError(t, err)
		for _, r := range batch.Records {
			assert.NotContains(t, string(r.Data), issued.Key[len(issued.Key)-20:])
		}
		require.NoError(t, o.WithdrawKeys(t.Context(), []config.KeyID{issued.ID}))
		assert.Equal(t, ExitBadInput, ExitCode(o.WithdrawKeys(t.Context(), []config.KeyID{issued.ID})))
	})
}

func TestShownTemplateCanBeApplied(t *testing.T) {
	o := newOperator(porttest.NewMemLog())
	o.JSON, o.Wait = false, false
	require.NoError(t, o.ApplyTemplates(t.Context(), templateFile(t, 1, "quotes"), 0))
	o.out.Reset()
	require.NoError(t, o.ShowTemplate(t.Context(), "quotes"))
	path := filepath.Join(t.TempDir(), "shown.toml")
	require.NoError(t, os.WriteFile(path, o.out.Bytes(), 0o600))
	o.out.Reset()
	require.NoError(t, o.ApplyTemplates(t.Context(), path, 0))
	assert.Contains(t, o.out.String(), string(Unchanged))
}

func TestUnreadableLogEndsInFailureAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator(porttest.NewMemLog())
		start := time.Now()
		o.logClient.SetFaults(porttest.Faults{ReadDelay: time.Hour})
		assert.Equal(t, ExitFailure, ExitCode(o.ListKeys(t.Context(), "")))
		assert.Equal(t, o.Timeout, time.Since(start))
		o.logClient.SetFaults(porttest.Faults{Down: true})
		time.AfterFunc(3*time.Second, func() { o.logClient.SetFaults(porttest.Faults{}) })
		assert.NoError(t, o.ListKeys(t.Context(), ""))
	})
}

func TestExitCodes(t *testing.T) {
	for want, err := range map[int]error{
		ExitOK:       nil,
		ExitFailure:  errors.New("other"),
		ExitBadInput: findings.List{{Problem: "unknown key"}},
		ExitConflict: errors.Join(Conflict.New("a"), NotInForce.New("b")),
		ExitTimeout:  NotInForce.New("b"),
	} {
		assert.Equal(t, want, ExitCode(err))
	}
}

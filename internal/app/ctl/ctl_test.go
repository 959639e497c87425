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

// fakeCell is a VM list whose members have given revisions.
type fakeCell struct {
	vms       []model.VM
	revisions map[string]func() uint64 // by address; silent if missing
}

func (f *fakeCell) List(context.Context) ([]model.VM, error) { return f.vms, nil }

func (f *fakeCell) Call(_ context.Context, address string, _ *peerpb.Request) (*peerpb.Response, error) {
	revision, ok := f.revisions[address]
	if !ok {
		return nil, port.NotStarted.New("nobody listens")
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

// desk is an operator with a log and a cell.
type desk struct {
	*Client
	log        *porttest.MemLog
	access     *porttest.MemClient
	cell       *fakeCell
	out, notes *bytes.Buffer
}

func newDesk(log *porttest.MemLog) *desk {
	d := &desk{
		log:    log,
		access: log.Client(nil),
		cell:   &fakeCell{revisions: map[string]func() uint64{}},
		out:    &bytes.Buffer{},
		notes:  &bytes.Buffer{},
	}
	d.cell.add("a", func() uint64 { return log.Next(config.Stream) })
	d.Client = &Client{
		Log: d.access, VMList: d.cell, Peer: d.cell, Random: rand.Reader,
		Out: d.out, Progress: d.notes, JSON: true, Wait: true, Timeout: 15 * time.Second,
	}
	return d
}

func (d *desk) report(t *testing.T) Report {
	t.Helper()
	var r Report
	require.NoError(t, json.Unmarshal(d.out.Bytes(), &r), "%s", d.out)
	return r
}

func (d *desk) snapshot(t *testing.T) *config.Snapshot {
	t.Helper()
	fold, err := d.load(t.Context())
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

// interposed runs another operator's work right before an append.
type interposed struct {
	port.Log
	before func()
}

func (l *interposed) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	l.before()
	return l.Log.Append(ctx, stream, records)
}

func TestConflictingApplyReportsWinningRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := porttest.NewMemLog()
		first, second := newDesk(log), newDesk(log)
		require.NoError(t, first.ApplyTemplates(t.Context(), templateFile(t, 1, "quotes"), 0))
		first.out.Reset()
		second.Log = &interposed{Log: second.access, before: func() {
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
		d := newDesk(porttest.NewMemLog())
		path := templateFile(t, 1, "quotes")
		require.NoError(t, d.ApplyTemplates(t.Context(), path, 0))
		require.NoError(t, d.ApplyTemplates(t.Context(), templateFile(t, 2, "quotes"), 0))
		assert.Equal(t, ExitConflict, ExitCode(d.ApplyTemplates(t.Context(), path, 1)))
		next := d.log.Next(config.Stream)
		require.NoError(t, d.ApplyTemplates(t.Context(), templateFile(t, 2, "quotes"), 0))
		assert.Equal(t, next, d.log.Next(config.Stream), "unchanged templates are not published")
	})
}

func TestAppendWithLostAnswerIsNotRepeated(t *testing.T) {
	for name, faults := range map[string]porttest.Faults{
		"lost":       {LoseAnswers: true},
		"lands late": {DeferAppends: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDesk(porttest.NewMemLog())
				d.access.SetFaults(faults)
				require.NoError(t, d.TakeDomainOut(t.Context(), "bergen"))
				assert.Equal(t, uint64(1), d.log.Next(config.Stream))
				assert.Contains(t, d.notes.String(), "answer was lost")
			})
		})
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		d.access.SetFaults(porttest.Faults{DeferAppends: time.Minute})
		err := d.TakeDomainOut(t.Context(), "bergen")
		assert.True(t, Unknown.Has(err), "%v", err)
		assert.Equal(t, ExitTimeout, ExitCode(err))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, uint64(1), d.log.Next(config.Stream))
	})
}

// Giving a command of unknown outcome again is safe, whichever lands first.
func TestCommandOfUnknownOutcomeCanBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		d.access.SetFaults(porttest.Faults{DeferAppends: time.Minute})
		require.Error(t, d.TakeDomainOut(t.Context(), "bergen"))
		d.access.SetFaults(porttest.Faults{})
		require.NoError(t, d.TakeDomainOut(t.Context(), "bergen"))
		require.NoError(t, d.ReturnDomain(t.Context(), "bergen"))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, uint64(3), d.log.Next(config.Stream), "the first has landed")
		assert.False(t, d.snapshot(t).DomainOut("bergen"))
	})
}

// silent is a log that takes records and never answers.
type silent struct{ port.Log }

func (l silent) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	_, _ = l.Log.Append(ctx, stream, records)
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestUnansweredAppendLeavesTimeToReadLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		d.Log = silent{d.access}
		require.NoError(t, d.TakeDomainOut(t.Context(), "bergen"))
		assert.Equal(t, uint64(1), d.log.Next(config.Stream))
	})
}

func TestCheckReportsFindingsAsJSON(t *testing.T) {
	d := newDesk(porttest.NewMemLog())
	path := filepath.Join(t.TempDir(), "sched.toml")
	require.NoError(t, os.WriteFile(path, []byte("colour = 1"), 0o600))
	assert.Equal(t, ExitBadInput, ExitCode(d.CheckFile(path, "sched")))
	var list findings.List
	require.NoError(t, json.Unmarshal(d.out.Bytes(), &list))
	assert.Contains(t, list, findings.Finding{File: path, Line: 1, Key: "colour", Problem: "unknown key"})
}

// refusing is a log that certainly takes nothing for a while.
type refusing struct {
	port.Log
	until time.Time
}

func (l *refusing) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if time.Now().Before(l.until) {
		return 0, port.NotStarted.New("connection refused")
	}
	return l.Log.Append(ctx, stream, records)
}

func TestAppendsThatHadNoEffectAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		d.Log = &refusing{Log: d.access, until: time.Now().Add(5 * time.Second)}
		require.NoError(t, d.TakeDomainOut(t.Context(), "bergen"))
		d.Log = &refusing{Log: d.access, until: time.Now().Add(time.Hour)}
		err := d.TakeDomainOut(t.Context(), "haugesund")
		assert.Equal(t, ExitFailure, ExitCode(err), "%v", err)
		assert.Equal(t, uint64(1), d.log.Next(config.Stream))
	})
}

func TestWaitsUntilEveryMemberHasTheRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		start := time.Now()
		d.cell.add("slow", func() uint64 {
			if time.Since(start) < 3*time.Second {
				return 0
			}
			return 1
		})
		d.cell.add("leaving", nil)
		d.cell.vms[2].Leaving = true
		require.NoError(t, d.TakeDomainOut(t.Context(), "bergen"))
		assert.GreaterOrEqual(t, time.Since(start), 3*time.Second)
		assert.Contains(t, d.notes.String(), "in force on 1 of 2 members (slow has revision 0)")
		assert.True(t, d.report(t).InForce)
	})
}

func TestUnresponsiveMemberIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		d.cell.add("silent", nil)
		err := d.TakeDomainOut(t.Context(), "bergen")
		assert.Equal(t, ExitTimeout, ExitCode(err))
		assert.ErrorContains(t, err, "silent does not answer")
		assert.Equal(t, config.Applied, d.report(t).Changes[0].Verdict)
		assert.False(t, d.report(t).InForce)
	})
}

func TestKeyIsPrintedOnceAndStoredAsHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		assert.Equal(t, ExitBadInput, ExitCode(d.IssueKey(t.Context(), "quotes")), "the team has no template")
		d.out.Reset()
		d.Wait = false
		require.NoError(t, d.ApplyTemplates(t.Context(), templateFile(t, 1, "quotes"), 0))
		d.out.Reset()
		require.NoError(t, d.IssueKey(t.Context(), "quotes"))
		issued := d.report(t)
		team, ok := d.snapshot(t).TeamOfKey(issued.Key)
		assert.True(t, ok)
		assert.Equal(t, model.TeamID("quotes"), team)
		batch, err := d.log.Read(t.Context(), config.Stream, 0, 10, 0)
		require.NoError(t, err)
		for _, r := range batch.Records {
			assert.NotContains(t, string(r.Data), issued.Key[len(issued.Key)-20:])
		}
		require.NoError(t, d.WithdrawKeys(t.Context(), []config.KeyID{issued.ID}))
		assert.Equal(t, ExitBadInput, ExitCode(d.WithdrawKeys(t.Context(), []config.KeyID{issued.ID})))
	})
}

func TestShownTemplateCanBeApplied(t *testing.T) {
	d := newDesk(porttest.NewMemLog())
	d.JSON, d.Wait = false, false
	require.NoError(t, d.ApplyTemplates(t.Context(), templateFile(t, 1, "quotes"), 0))
	d.out.Reset()
	require.NoError(t, d.ShowTemplate(t.Context(), "quotes"))
	path := filepath.Join(t.TempDir(), "shown.toml")
	require.NoError(t, os.WriteFile(path, d.out.Bytes(), 0o600))
	d.out.Reset()
	require.NoError(t, d.ApplyTemplates(t.Context(), path, 0))
	assert.Contains(t, d.out.String(), string(Unchanged))
}

func TestUnreadableLogEndsInFailureAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(porttest.NewMemLog())
		start := time.Now()
		d.access.SetFaults(porttest.Faults{ReadDelay: time.Hour})
		assert.Equal(t, ExitFailure, ExitCode(d.ListKeys(t.Context(), "")))
		assert.Equal(t, d.Timeout, time.Since(start))
		d.access.SetFaults(porttest.Faults{Down: true})
		time.AfterFunc(3*time.Second, func() { d.access.SetFaults(porttest.Faults{}) })
		assert.NoError(t, d.ListKeys(t.Context(), ""))
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

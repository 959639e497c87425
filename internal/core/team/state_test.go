package team

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/proptest"
)

const (
	testTeam  = model.TeamID("layouts")
	testRack  = model.PartitionID("rack/a")
	testEpoch = model.Epoch(3)
)

func TestMain(m *testing.M) {
	proptest.Main(m, proptest.Settings{Checks: 300, Steps: 60})
}

func newState(limit int64) *State {
	s := New(testTeam, testEpoch)
	s.SetTemplate(model.WorkspaceTemplate{
		Team:        testTeam,
		ShareWeight: 1,
		UpperLimit:  model.Resources{MilliCPU: limit, Slots: limit},
		MaxQueued:   1000,
	})
	s.Ledger().Reconcile(testRack, testEpoch, 0, nil, model.Resources{})
	return s
}

func jobOf(id string, tasks int) *journal.JobState {
	return &journal.JobState{
		Job:      model.Job{ID: model.JobID(id), Team: testTeam, Kind: model.WorkBatch, Tasks: tasks, Size: model.Resources{MilliCPU: 1}},
		Progress: make([]journal.TaskProgress, tasks),
	}
}

func offerOne(t *testing.T, s *State) TaskOffer {
	t.Helper()
	offer, err := s.OfferTask("j", testRack, testEpoch, 0)
	require.NoError(t, err)
	return offer
}

func TestFailedTaskIsRetriedOnOtherVMsUpToLimit(t *testing.T) {
	s := newState(10)
	s.AddJob(jobOf("j", 1))
	for attempt := 1; attempt <= maxFailures; attempt++ {
		offer := offerOne(t, s)
		assert.Len(t, offer.Avoid, attempt-1)
		s.ApplyStart(offer.Permit.ID)
		s.ApplyEnd(AttemptEnd{Permit: offer.Permit.ID, Task: offer.Task, Attempt: offer.Attempt, VM: model.VMID(rune('a' + attempt)), Detail: "exit 1"})
	}
	view, _ := s.Job("j")
	assert.Equal(t, JobFailed, view.State)
	assert.Equal(t, "exit 1", view.Detail)
	assert.Equal(t, model.Resources{}, s.Ledger().Used())
}

func TestLostNonIdempotentTaskIsUnknownAndNotRetried(t *testing.T) {
	s := newState(10)
	job := jobOf("j", 1)
	job.Job.NonIdempotent = true
	s.AddJob(job)
	offer := offerOne(t, s)
	s.ApplyEnd(AttemptEnd{Permit: offer.Permit.ID, Task: offer.Task, Attempt: offer.Attempt, Lost: true})
	view, _ := s.Job("j")
	assert.Equal(t, JobUnknown, view.State)
	assert.Empty(t, s.OfferableJobs(10, 0, time.Time{}))
}

func TestTakeoverDoesNotRestartIntendedNonIdempotentTask(t *testing.T) {
	job := jobOf("j", 2)
	job.Job.NonIdempotent = true
	job.Progress[0] = journal.TaskIntended
	s := newState(10)
	s.AddJob(job)
	offer := offerOne(t, s)
	assert.Equal(t, model.NewTask("j", 1), offer.Task)
	_, err := s.OfferTask("j", testRack, testEpoch, 0)
	assert.Error(t, err)
	s.AdoptAttempt(model.NewTask("j", 0), 1, "former.1.1")
	s.ApplyEnd(AttemptEnd{Permit: "former.1.1", Task: model.NewTask("j", 0), Attempt: 1, Done: true})
	s.ApplyEnd(AttemptEnd{Permit: offer.Permit.ID, Task: offer.Task, Attempt: offer.Attempt, Done: true})
	view, _ := s.Job("j")
	assert.Equal(t, JobDone, view.State, "the end that the rack reported for the intended task must count")
}

func TestEndFromEarlierSessionAppliesBeforeUsageReport(t *testing.T) {
	s := newState(10)
	s.Restore(jobOf("j", 1))
	task := model.NewTask("j", 0)
	s.ApplyEnd(AttemptEnd{Permit: "former.1.1", Task: task, Attempt: 1, Done: true})
	view, _ := s.Job("j")
	assert.Equal(t, JobDone, view.State)
	assert.NotEmpty(t, s.TakeRecords())
	s.AdoptAttempt(task, 1, "former.1.1")
	view, _ = s.Job("j")
	assert.Equal(t, JobDone, view.State, "a report written before the end must not restart the task")
}

func TestIntentOfOtherRequestReturnsUnknownOutcome(t *testing.T) {
	s := newState(10)
	s.ApplyIntent(&logpb.Intent{RequestId: "r1", IdempotencyKey: "k"}, 0)
	admission := s.Admit(QuickRequest{Request: "r2", Key: "k", NonIdempotent: true}, 0)
	assert.Equal(t, KeyEnded, admission.KeyState)
	assert.Equal(t, model.OutcomeUnknown, admission.Outcome)
}

func TestRetryOfRequestWithIntentMayProceed(t *testing.T) {
	s := newState(10)
	q := QuickRequest{Request: "r1", Key: "k", NonIdempotent: true}
	assert.True(t, s.Admit(q, 0).NeedsIntent)
	retry := s.Admit(q, 0)
	assert.Equal(t, KeySameRequest, retry.KeyState)
	assert.True(t, retry.NeedsIntent, "the first append was not confirmed")
	s.ApplyIntent(&logpb.Intent{RequestId: "r1", IdempotencyKey: "k"}, 0)
	assert.False(t, s.Admit(q, 0).NeedsIntent)
	other := QuickRequest{Request: "r2", Key: "k", NonIdempotent: true}
	assert.Equal(t, KeyInFlight, s.Admit(other, 0).KeyState)
	s.RecordOutcome("k", "r1", model.OutcomeDone, model.Answer{Status: 200}, 0)
	assert.Equal(t, model.OutcomeDone, s.Admit(other, 0).Outcome)
}

func TestIntentAppliedBeforeRequestRetry(t *testing.T) {
	s := newState(10)
	s.ApplyIntent(&logpb.Intent{RequestId: "r1", IdempotencyKey: "k"}, 0)
	assert.Equal(t, KeySameRequest, s.Admit(QuickRequest{Request: "r1", Key: "k", NonIdempotent: true}, 0).KeyState)
	assert.Equal(t, KeyEnded, s.Admit(QuickRequest{Request: "r2", Key: "k", NonIdempotent: true}, 0).KeyState)
}

func TestRequestThatDidNotRunReleasesKey(t *testing.T) {
	s := newState(10)
	require.Equal(t, KeyNew, s.Admit(QuickRequest{Request: "r1", Key: "k"}, 0).KeyState)
	assert.Equal(t, KeyInFlight, s.Admit(QuickRequest{Request: "r2", Key: "k"}, 0).KeyState)
	s.RecordOutcome("k", "r1", model.OutcomeNotRun, model.Answer{}, 0)
	assert.Equal(t, KeyNew, s.Admit(QuickRequest{Request: "r3", Key: "k"}, 0).KeyState)
}

func TestCancelledJobEndsAfterRunningTasks(t *testing.T) {
	s := newState(10)
	s.AddJob(jobOf("j", 3))
	offer := offerOne(t, s)
	s.ApplyStart(offer.Permit.ID)
	assert.Equal(t, []string{offer.Permit.ID}, s.Cancel("j"))
	view, _ := s.Job("j")
	assert.Equal(t, JobRunning, view.State)
	s.ApplyEnd(AttemptEnd{Permit: offer.Permit.ID, Task: offer.Task, Attempt: offer.Attempt, Lost: true})
	view, _ = s.Job("j")
	assert.Equal(t, JobCancelled, view.State)
	assert.Zero(t, s.Waiting())
}

// checkInvariants returns an error if the ledger is inconsistent, a count does
// not match the states of the tasks, or a job is open although none of its tasks
// can change.
func checkInvariants(s *State) error {
	if err := s.ledger.Check(); err != nil {
		return err
	}
	waiting := 0
	for _, j := range s.jobs {
		var counts [TaskCancelled + 1]int
		for i := range j.tasks {
			counts[j.tasks[i].state]++
		}
		if counts != j.counts {
			return errs.New("job %s: counts %v, tasks %v", j.ID, j.counts, counts)
		}
		if counts[TaskWaiting] != len(j.waiting) {
			return errs.New("job %s: %d tasks waiting, %d in the waiting list", j.ID, counts[TaskWaiting], len(j.waiting))
		}
		if j.open() && j.finalState() != "" {
			return errs.New("job %s is open but none of its tasks can change", j.ID)
		}
		waiting += counts[TaskWaiting]
	}
	if waiting != s.waiting {
		return errs.New("%d tasks waiting, %d counted", waiting, s.waiting)
	}
	return nil
}

// TestEveryTaskEndsOnce applies random offers, starts, refusals, repeated and late
// ends and cancellations. It guards against wrong counts and against two
// concurrent attempts of one task.
func TestEveryTaskEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(5)
		var offers []TaskOffer
		next := 0
		drawOffer := func(t *rapid.T) (TaskOffer, bool) {
			if len(offers) == 0 {
				return TaskOffer{}, false
			}
			return offers[rapid.IntRange(0, len(offers)-1).Draw(t, "offer")], true
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				next++
				job := jobOf(string(rune('a'+next%26)), rapid.IntRange(1, 4).Draw(t, "tasks"))
				job.Job.NonIdempotent = rapid.Bool().Draw(t, "non-idempotent")
				s.AddJob(job)
			},
			"offer": func(*rapid.T) {
				for _, c := range s.OfferableJobs(3, time.Hour, time.Time{}) {
					offer, err := s.OfferTask(c.Job.ID, testRack, testEpoch, 0)
					if err == nil {
						offers = append(offers, offer)
					}
				}
			},
			"start": func(t *rapid.T) {
				if o, ok := drawOffer(t); ok {
					s.ApplyStart(o.Permit.ID)
				}
			},
			"refuse": func(t *rapid.T) {
				if o, ok := drawOffer(t); ok {
					s.ApplyRefusal(o.Permit.ID, true, 0)
				}
			},
			"end": func(t *rapid.T) {
				if o, ok := drawOffer(t); ok {
					s.ApplyEnd(AttemptEnd{
						Permit:  o.Permit.ID,
						Task:    o.Task,
						Attempt: o.Attempt,
						Done:    rapid.Bool().Draw(t, "done"),
						Lost:    rapid.Bool().Draw(t, "lost"),
					})
				}
			},
			"cancel": func(t *rapid.T) {
				if o, ok := drawOffer(t); ok {
					s.Cancel(o.Job.ID)
				}
			},
			"": func(t *rapid.T) {
				if err := checkInvariants(s); err != nil {
					t.Fatal(err)
				}
				running := map[model.TaskID]bool{}
				for _, o := range offers {
					if _, used := s.ledger.Lookup(o.Permit.ID); !used {
						continue
					}
					if running[o.Task] {
						t.Fatalf("task %s has two permits in use", o.Task)
					}
					running[o.Task] = true
				}
			},
		})
	})
}

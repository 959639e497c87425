package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamhitch/balsamhitch/internal/caller"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/standin/worker"
)

const (
	// quoteDeadline exceeds the time that the takeover of a partition needs.
	quoteDeadline = 4 * time.Second
	quoteMS       = 4 // run time of a quote in milliseconds
	replyBytes    = 512
	// Every nonIdempotentEvery-th quote is non-idempotent.
	nonIdempotentEvery = 10
	quoteBurst         = 5
)

// tally counts one team's calls by outcome; lost are those without an answer. It
// is safe for concurrent use.
type tally struct {
	sent, done, failed, notRun, unknown, lost atomic.Int64
}

func (t *tally) add(outcome model.Outcome) {
	switch outcome {
	case model.OutcomeDone:
		t.done.Add(1)
	case model.OutcomeFailed:
		t.failed.Add(1)
	case model.OutcomeNotRun:
		t.notRun.Add(1)
	case model.OutcomeUnknown:
		t.unknown.Add(1)
	default:
		t.lost.Add(1)
	}
}

// load submits work in the background and counts the outcomes.
type load struct {
	caller *caller.Caller
	wg     sync.WaitGroup

	mu        sync.Mutex
	tallies   map[model.TeamID]*tally
	teamOrder []model.TeamID
}

func newLoad(c *caller.Caller) *load {
	return &load{caller: c, tallies: make(map[model.TeamID]*tally)}
}

func (l *load) tally(team model.TeamID) *tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tallies[team] == nil {
		l.tallies[team] = &tally{}
		l.teamOrder = append(l.teamOrder, team)
	}
	return l.tallies[team]
}

// sendQuotes sends quick requests at a rate until ctx is done. wg also counts the
// requests that are still in flight then.
func (l *load) sendQuotes(ctx context.Context, credential caller.Credential, perSecond float64) {
	t := l.tally(credential.Team)
	l.wg.Go(func() {
		limiter := rate.NewLimiter(rate.Limit(perSecond), quoteBurst)
		for n := 1; limiter.Wait(ctx) == nil; n++ {
			quick := caller.Quick{
				Call:          fmt.Sprintf("%s-%s-%d", credential.Team, credential.KeyID, n),
				Credential:    credential,
				Service:       "quotes",
				Deadline:      quoteDeadline,
				NonIdempotent: n%nonIdempotentEvery == 0,
				RunMS:         quoteMS,
				ReplyBytes:    replyBytes,
			}
			l.wg.Go(func() {
				t.sent.Add(1)
				t.add(l.caller.Quick(context.Background(), quick).Outcome)
			})
		}
	})
}

// submitJob submits a job and waits for its end in the background.
func (l *load) submitJob(ctx context.Context, job caller.Job) {
	t := l.tally(job.Credential.Team)
	t.sent.Add(1)
	l.wg.Go(func() {
		path, result := l.caller.Submit(ctx, job)
		if path == "" {
			t.add(result.Outcome)
			return
		}
		switch l.caller.Await(ctx, job, path) {
		case "done":
			t.add(model.OutcomeDone)
		case "failed", "cancelled":
			t.add(model.OutcomeFailed)
		case "unknown":
			t.add(model.OutcomeUnknown)
		default:
			t.add("")
		}
	})
}

// layoutBatch returns a batch job that computes layouts for cutting hides.
func layoutBatch(credential caller.Credential, n, tasks int) caller.Job {
	runMS := int64(800)
	return caller.Job{
		Call: fmt.Sprintf("layouts-%d", n), Credential: credential, Kind: model.WorkBatch, Tasks: tasks,
		Processors: 4, Memory: "4GiB", ExpectedRun: 500 * time.Millisecond,
		TaskPayload: worker.Payload{RunMS: &runMS, UseCPU: 2500},
	}
}

// fittingGang returns a gang job that fits one saddle tree.
func fittingGang(credential caller.Credential, n int) caller.Job {
	runMS := int64(1200)
	return caller.Job{
		Call: fmt.Sprintf("fitting-%d", n), Credential: credential, Kind: model.WorkGang, Tasks: 4,
		Processors: 8, Memory: "16GiB", ExpectedRun: 1500 * time.Millisecond,
		TaskPayload: worker.Payload{RunMS: &runMS, UseCPU: 9000},
	}
}

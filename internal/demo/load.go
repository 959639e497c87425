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
	// quoteDeadline is longer than the takeover of a partition.
	quoteDeadline = 4 * time.Second
	quoteMS       = 4 // run time of a quote in milliseconds
	replyBytes    = 512
	// nonIdempotentEvery makes every n-th quote non-idempotent.
	nonIdempotentEvery = 10
	burst              = 5
)

// tally counts what became of one team's calls. It is safe for concurrent
// use.
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

// load hands in work until its context ends.
type load struct {
	caller *caller.Caller
	wg     sync.WaitGroup

	mu      sync.Mutex
	tallies map[model.TeamID]*tally
	order   []model.TeamID
}

func newLoad(c *caller.Caller) *load {
	return &load{caller: c, tallies: make(map[model.TeamID]*tally)}
}

func (l *load) tally(team model.TeamID) *tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tallies[team] == nil {
		l.tallies[team] = &tally{}
		l.order = append(l.order, team)
	}
	return l.tallies[team]
}

// quotes sends quick requests at a rate until the context ends. Calls that
// were sent are still waited for.
func (l *load) quotes(ctx context.Context, credential caller.Credential, perSecond float64) {
	t := l.tally(credential.Team)
	l.wg.Go(func() {
		limiter := rate.NewLimiter(rate.Limit(perSecond), burst)
		for n := 1; limiter.Wait(ctx) == nil; n++ {
			quick := caller.Quick{
				Call:          fmt.Sprintf("%s-%s-%d", credential.Team, credential.Name, n),
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

// job hands in a job and waits for its end in the background.
func (l *load) job(ctx context.Context, job caller.Job) {
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

// layouts is one batch of hide cutting layouts.
func layouts(credential caller.Credential, n, tasks int) caller.Job {
	run := int64(800)
	return caller.Job{
		Call: fmt.Sprintf("layouts-%d", n), Credential: credential, Kind: model.WorkBatch, Tasks: tasks,
		Processors: 4, Memory: "4GiB", ExpectedRun: 500 * time.Millisecond,
		Task: worker.Payload{RunMS: &run, UseCPU: 2500},
	}
}

// fitting is a gang of tasks that fit one tree.
func fitting(credential caller.Credential, n int) caller.Job {
	run := int64(1200)
	return caller.Job{
		Call: fmt.Sprintf("fitting-%d", n), Credential: credential, Kind: model.WorkGang, Tasks: 4,
		Processors: 8, Memory: "16GiB", ExpectedRun: 1500 * time.Millisecond,
		Task: worker.Payload{RunMS: &run, UseCPU: 9000},
	}
}

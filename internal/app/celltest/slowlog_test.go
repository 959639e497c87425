package celltest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/intake"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// How much slower the log becomes, for how long, and how long callers wait.
const (
	slowFactor     = 55
	slowTime       = 4500 * time.Millisecond
	submitDeadline = 3 * time.Second
)

// answerAsOwner lets the nodes answer each other's calls about the owner.
func (c *cell) answerAsOwner() {
	ask := func(asking *cellNode, owner replica.OwnerHeartbeat) bool {
		for i := range c.nodes {
			n := c.node(i)
			if n.name != owner.Node {
				continue
			}
			select {
			case <-n.done:
				return true // the connection is refused
			default:
				return c.askNode(asking, n, owner)
			}
		}
		return false
	}
	c.askOwner.Store(&ask)
}

// askNode asks a node whether it serves as the given owner, as balsam-node does.
func (c *cell) askNode(asking, asked *cellNode, owner replica.OwnerHeartbeat) bool {
	if !asked.cellDispatcher.Serving(owner.Epoch) {
		return true
	}
	now := c.clock.Now()
	asking.replica.OwnerAnswered(owner.Epoch, now, now-asked.cellDispatcher.AppendAge())
	return false
}

// submission is one submission of a load and its answer.
type submission struct {
	at      time.Time
	took    time.Duration
	outcome intake.Outcome
}

// steadyLoad is a load of small jobs, each submitted once.
type steadyLoad struct {
	cell    *cell
	payload int           // bytes of each job
	every   time.Duration // between two submissions
	callers sync.WaitGroup
	mu      sync.Mutex
	sent    []*submission // by number of the job
}

// run submits jobs for the given time.
func (l *steadyLoad) run(length time.Duration) {
	for start := time.Now(); time.Since(start) < length; time.Sleep(l.every) {
		l.mu.Lock()
		number := len(l.sent)
		s := &submission{at: time.Now()}
		l.sent = append(l.sent, s)
		l.mu.Unlock()
		spec := smallSpec()
		spec.Payload = strings.Repeat("p", l.payload)
		id := l.cell.registerJob(number, spec, 200*time.Millisecond)
		l.callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), submitDeadline)
			defer cancel()
			outcome := l.cell.node(number).service.Submit(ctx, id, spec)
			l.mu.Lock()
			s.took, s.outcome = time.Since(s.at), outcome
			l.mu.Unlock()
		})
	}
}

// finish waits for the answers and adds the accepted jobs to those that the cell
// checks.
func (l *steadyLoad) finish() {
	l.callers.Wait()
	for i, s := range l.sent {
		if s.outcome == intake.Done {
			l.cell.jobs = append(l.cell.jobs, model.JobID(fmt.Sprintf("%016x", i)))
		}
	}
}

// count returns the number of submissions sent in the period, by outcome.
func (l *steadyLoad) count(from, to time.Time) map[intake.Outcome]int {
	counts := map[intake.Outcome]int{}
	for _, s := range l.sent {
		if !s.at.Before(from) && s.at.Before(to) {
			counts[s.outcome]++
		}
	}
	return counts
}

// longestStart returns the longest time until the first start of a job that was
// accepted and submitted in the period.
func (l *steadyLoad) longestStart(from, to time.Time) time.Duration {
	l.cell.fleet.mu.Lock()
	defer l.cell.fleet.mu.Unlock()
	longest := time.Duration(0)
	for i, s := range l.sent {
		if s.outcome != intake.Done || s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		started := l.cell.fleet.jobs[model.JobID(fmt.Sprintf("%016x", i))].firstStart
		if started.IsZero() {
			return time.Hour
		}
		longest = max(longest, started.Sub(s.at))
	}
	return longest
}

// newSlowLogCell returns a cell of many nodes with a calm log, which serves a load
// that the slow log can carry.
func newSlowLogCell(t *testing.T) (*cell, *steadyLoad) {
	c := newCell(t, 1, 30, 24)
	c.setSpeed(1)
	c.shortReads.Store(true)
	c.answerAsOwner()
	time.Sleep(3 * time.Second)
	return c, &steadyLoad{cell: c, payload: 4000, every: 12 * time.Millisecond}
}

// A replacement can't write sooner than the owner that it replaces while the log is
// slow for all, and the change of owner costs the work of seconds.
func TestOwnerIsNotReplacedWhileTheLogIsSlowForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, load := newSlowLogCell(t)
		load.run(4 * time.Second)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		epoch := c.node(owner).cellDispatcher.Epoch()
		slowFrom := time.Now()
		c.setSpeed(slowFactor)
		load.run(slowTime)
		slowTo := time.Now()
		c.setSpeed(1)
		load.run(4 * time.Second)
		load.finish()
		assert.True(t, c.node(owner).cellDispatcher.Owning(), "the owner before the log was slow")
		for i := range c.nodes {
			assert.LessOrEqual(t, c.node(i).cellDispatcher.Epoch(), epoch, "%s has claimed the cell", c.node(i).name)
		}
		for from := slowFrom; from.Before(slowTo); from = from.Add(time.Second) {
			counts := load.count(from, from.Add(time.Second))
			t.Logf("submissions of the second from %v of the slow log: %v", from.Sub(slowFrom), counts)
			assert.Greater(t, 2*counts[intake.Done], counts[intake.Done]+counts[intake.Unavailable]+counts[intake.Unknown], "accepted from %v", from.Sub(slowFrom))
		}
		during := load.count(slowFrom, slowTo)
		assert.Zero(t, during[intake.Unknown], "submissions of unknown outcome")
		end := time.Now()
		after := load.count(slowTo.Add(time.Second), end)
		assert.Zero(t, after[intake.Unavailable]+after[intake.Unknown], "submissions not accepted from 1 s after")
		time.Sleep(5 * time.Second)
		t.Logf("while the log was slow: %v, longest time to a start %v", during, load.longestStart(slowFrom, slowTo))
		assert.Less(t, load.longestStart(slowTo.Add(time.Second), end), time.Second, "start of a job submitted from 1 s after")
		time.Sleep(20 * time.Second)
		c.check()
		c.close()
	})
}

// queueAppends makes each append to the cell's topic wait for others, for the given length
// of time.
func (c *cell) queueAppends(wait, length time.Duration) {
	for start := time.Now(); time.Since(start) < length; time.Sleep(5 * time.Millisecond) {
		c.setLog(func(l *memLog) {
			t := l.topic(replica.CellTopic)
			if free := time.Now().Add(wait); t.idleAt.Before(free) {
				t.idleAt = free
			}
		})
	}
}

// Appends that take longer than the time between three of the heartbeats before, which
// are in them, must not cost the cell its owner.
func TestOwnerWhoseAppendTakesLongIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newSlowLogCell(t)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		epoch := c.node(owner).cellDispatcher.Epoch()
		c.setSpeed(slowFactor)
		c.queueAppends(100*time.Millisecond, time.Second)
		c.queueAppends(1300*time.Millisecond, slowTime)
		c.setSpeed(1)
		time.Sleep(3 * time.Second)
		assert.True(t, c.node(owner).cellDispatcher.Owning())
		for i := range c.nodes {
			assert.LessOrEqual(t, c.node(i).cellDispatcher.Epoch(), epoch, "%s has claimed the cell", c.node(i).name)
		}
		c.close()
	})
}

// An append that was sent while the log was slow may wait for earlier ones when the log
// answers quickly again.
func TestOwnerIsNotReplacedWhenTheLogBecomesQuickAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newSlowLogCell(t)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		epoch := c.node(owner).cellDispatcher.Epoch()
		c.setSpeed(slowFactor)
		c.queueAppends(100*time.Millisecond, time.Second)
		c.queueAppends(1900*time.Millisecond, 700*time.Millisecond)
		c.setSpeed(1)
		time.Sleep(5 * time.Second)
		assert.True(t, c.node(owner).cellDispatcher.Owning())
		for i := range c.nodes {
			assert.LessOrEqual(t, c.node(i).cellDispatcher.Epoch(), epoch, "%s has claimed the cell", c.node(i).name)
		}
		c.close()
	})
}

// The owner's end must be noticed while the log is slow, too.
func TestOwnerThatEndsWhileTheLogIsSlowIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, load := newSlowLogCell(t)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		c.setSpeed(slowFactor)
		load.run(2 * time.Second)
		c.kill(owner)
		killed := time.Now()
		for c.ownerIndex() < 0 && time.Since(killed) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("replaced after %v", time.Since(killed))
		// Until the owner is asked again, the jitter of the claim, and the claim.
		assert.Less(t, time.Since(killed), 1500*time.Millisecond)
		c.setSpeed(1)
		time.Sleep(5 * time.Second)
		load.finish()
		c.restart(owner)
		time.Sleep(20 * time.Second)
		c.check()
		c.close()
	})
}

// An owner that neither the log nor its peers hear of is replaced as soon as its
// heartbeats are missing, also while the log is slow.
func TestSilentOwnerIsReplacedWhileTheLogIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, load := newSlowLogCell(t)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		c.setSpeed(slowFactor)
		load.every = 50 * time.Millisecond
		load.run(2 * time.Second)
		none := func(*cellNode, replica.OwnerHeartbeat) bool { return false }
		c.askOwner.Store(&none)
		c.node(owner).log.setDisconnected(true)
		cut := time.Now()
		for !c.replaced(owner) && time.Since(cut) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("replaced after %v", time.Since(cut))
		assert.Less(t, time.Since(cut), 2500*time.Millisecond)
		c.node(owner).log.setDisconnected(false)
		c.setSpeed(1)
		time.Sleep(5 * time.Second)
		load.finish()
		time.Sleep(20 * time.Second)
		c.check()
		c.close()
	})
}

// replaced reports whether another node owns the cell.
func (c *cell) replaced(owner int) bool {
	for i := range c.nodes {
		if i != owner && c.node(i).cellDispatcher.Owning() {
			return true
		}
	}
	return false
}

// An owner that the log does not answer is replaced soon, though its peers reach it: the
// log answers them much sooner.
func TestOwnerThatOnlyTheLogDoesNotAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newSlowLogCell(t)
		owner := c.ownerIndex()
		require.GreaterOrEqual(t, owner, 0)
		c.node(owner).log.setDisconnected(true)
		cut := time.Now()
		for !c.replaced(owner) && time.Since(cut) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("replaced after %v", time.Since(cut))
		// minOwnerTimeout of package election, the wait of a read, the jitter and the claim.
		assert.Less(t, time.Since(cut), 1300*time.Millisecond)
		c.node(owner).log.setDisconnected(false)
		time.Sleep(5 * time.Second)
		c.check()
		c.close()
	})
}

package configwatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// step is one event in a cell, followed by a pause.
type step struct {
	action string
	a, b   int // processes
	pause  time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s %d %d, then %s", s.action, s.a, s.b, s.pause) }

const chaosMembers = 3

// pauses includes durations below and above each of the watcher's delays and
// timeouts.
var pauses = []time.Duration{
	0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second,
}

func drawSteps(t *rapid.T) []step {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			action: rapid.SampledFrom([]string{
				"fail log", "hang log", "slow log", "heal log", "isolate", "isolate", "suspend", "suspend", "resume", "resume",
				"link down", "link up", "change", "truncate",
			}).Draw(t, "act"),
			a:     rapid.IntRange(0, chaosMembers-1).Draw(t, "a"),
			b:     rapid.IntRange(0, chaosMembers-1).Draw(t, "b"),
			pause: rapid.SampledFrom(pauses).Draw(t, "pause"),
		}
	})
	steps := rapid.SliceOfN(one, 2, 30).Draw(t, "steps")
	withdraw := rapid.IntRange(0, len(steps)-1).Draw(t, "withdraw")
	steps[withdraw].action = "withdraw"
	return steps
}

// chaos runs steps and checks the watchers' guarantees throughout.
type chaos struct {
	*testCell
	key          string
	id           config.KeyID
	revisions    [chaosMembers]uint64
	withdrawn    uint64    // revision of the withdrawal; 0 before it
	firstKnownAt time.Time // when the first member had read the withdrawal
	violation    string
}

func (c *chaos) do(s step) {
	a, b := c.procs[s.a], c.procs[s.b]
	switch s.action {
	case "fail log":
		a.failLog()
	case "hang log":
		a.hangLogReads()
	case "slow log":
		a.log.SetFaults(porttest.Faults{ReadDelay: 2 * time.Second})
	case "isolate":
		a.failLog()
		c.isolate(a)
	case "heal log":
		a.log.SetFaults(porttest.Faults{})
	case "suspend":
		a.gate.Close()
	case "resume":
		a.gate.Open()
	case "link down", "link up":
		c.peers.SetLinkDown(a.address, b.address, s.action == "link down")
	case "change":
		c.append(config.DomainOut("bergen"))
	case "withdraw":
		c.append(config.WithdrawKey(c.id))
		c.withdrawn = c.log.Next(config.Stream)
	case "truncate":
		c.truncateLog(a)
	}
}

// truncateLog truncates the log after appending a checkpoint of the process's
// state.
func (c *chaos) truncateLog(p *proc) {
	revision := p.Snapshot().Revision()
	if p.gate.Closed() || !p.Ready() {
		return
	}
	records, err := p.encodeCheckpoint()
	if err != nil || len(records) == 0 {
		return
	}
	_, _ = c.log.Append(c.ctx, config.Stream, records)
	c.log.Truncate(config.Stream, revision)
}

// watch checks all processes every 50 ms until the pause is over.
func (c *chaos) watch(pause time.Duration) {
	for ; pause >= 0 && c.violation == ""; pause -= 50 * time.Millisecond {
		for i, p := range c.procs {
			c.check(i, p)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// check verifies the guarantees of one process: its revision never decreases, and
// it accepts no withdrawn key once withdrawnBound has passed since a member first
// read the withdrawal.
func (c *chaos) check(i int, p *proc) {
	revision := p.Snapshot().Revision()
	if revision < c.revisions[i] {
		c.violation = fmt.Sprintf("%s: revision decreased from %d to %d", p.address, c.revisions[i], revision)
	}
	c.revisions[i] = revision
	if c.withdrawn == 0 {
		return
	}
	if revision >= c.withdrawn && c.firstKnownAt.IsZero() {
		c.firstKnownAt = time.Now()
	}
	if c.firstKnownAt.IsZero() || time.Since(c.firstKnownAt) <= withdrawnBound || p.gate.Closed() {
		return
	}
	if p.accepts(c.key) {
		c.violation = fmt.Sprintf("%s accepts the key %s after a member read its withdrawal", p.address, time.Since(c.firstKnownAt))
	}
}

// healAndCheck removes all faults, waits, and returns the first violation of the
// run, if any.
func (c *chaos) healAndCheck() string {
	for i, p := range c.procs {
		p.gate.Open()
		p.log.SetFaults(porttest.Faults{})
		for _, other := range c.procs {
			c.peers.SetLinkDown(c.procs[i].address, other.address, false)
		}
	}
	c.watch(15 * time.Second)
	for _, p := range c.procs {
		if c.violation == "" && (!p.Fresh() || p.Snapshot().Revision() != c.log.Next(config.Stream)) {
			c.violation = fmt.Sprintf("%s has not caught up: revision %d of %d", p.address, p.Snapshot().Revision(), c.log.Next(config.Stream))
		}
	}
	return c.violation
}

// Under any sequence of faults no process returns to an older revision, none
// accepts a key later than withdrawnBound after a member has read its withdrawal,
// and all processes recover.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			c := &chaos{testCell: newCell(t, chaosMembers)}
			c.key, c.id = c.issueKey()
			time.Sleep(2 * time.Second)
			for _, s := range steps {
				c.do(s)
				c.watch(s.pause)
			}
			violation = c.healAndCheck()
		})
		if violation != "" {
			rt.Fatalf("%s after %v", violation, steps)
		}
	})
}

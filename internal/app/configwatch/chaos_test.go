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

// step is one thing that happens to a cell, followed by a pause.
type step struct {
	act   string
	a, b  int // processes
	pause time.Duration
}

func (s step) String() string { return fmt.Sprintf("%s %d %d, then %s", s.act, s.a, s.b, s.pause) }

const chaosMembers = 3

// pauses are shorter and longer than each of the watcher's own times.
var pauses = []time.Duration{
	0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second,
}

func drawSteps(t *rapid.T) []step {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			act: rapid.SampledFrom([]string{
				"fail", "hang", "slow", "heal", "isolate", "isolate", "stop", "stop", "wake", "wake", "cut", "join", "change", "forget",
			}).Draw(t, "act"),
			a:     rapid.IntRange(0, chaosMembers-1).Draw(t, "a"),
			b:     rapid.IntRange(0, chaosMembers-1).Draw(t, "b"),
			pause: rapid.SampledFrom(pauses).Draw(t, "pause"),
		}
	})
	steps := rapid.SliceOfN(one, 2, 30).Draw(t, "steps")
	withdraw := rapid.IntRange(0, len(steps)-1).Draw(t, "withdraw")
	steps[withdraw].act = "withdraw"
	return steps
}

// chaos runs steps and looks for broken promises all the while.
type chaos struct {
	*cell
	key       string
	id        config.KeyID
	revisions [chaosMembers]uint64
	withdrawn uint64    // revision of the withdrawal, 0 before it
	knownAt   time.Time // when the first member had it
	broken    string
}

func (c *chaos) do(s step) {
	a, b := c.procs[s.a], c.procs[s.b]
	switch s.act {
	case "fail":
		a.fails()
	case "hang":
		a.hangs()
	case "slow":
		a.log.SetFaults(porttest.Faults{ReadDelay: 2 * time.Second})
	case "isolate":
		a.fails()
		c.isolate(a)
	case "heal":
		a.log.SetFaults(porttest.Faults{})
	case "stop":
		a.gate.Close()
	case "wake":
		a.gate.Open()
	case "cut", "join":
		c.peers.SetLinkDown(a.address, b.address, s.act == "cut")
	case "change":
		c.append(config.DomainOut("bergen"))
	case "withdraw":
		c.append(config.WithdrawKey(c.id))
		c.withdrawn = c.log.Next(config.Stream)
	case "forget":
		c.forget(a)
	}
}

// forget truncates the log up to a checkpoint of the process's state.
func (c *chaos) forget(p *proc) {
	revision := p.Snapshot().Revision()
	if p.gate.Closed() || !p.Ready() {
		return
	}
	records, err := p.checkpoint()
	if err != nil || len(records) == 0 {
		return
	}
	_, _ = c.log.Append(c.ctx, config.Stream, records)
	c.log.Truncate(config.Stream, revision)
}

// watch lets time pass and checks every 50 ms.
func (c *chaos) watch(pause time.Duration) {
	for ; pause >= 0 && c.broken == ""; pause -= 50 * time.Millisecond {
		for i, p := range c.procs {
			c.check(i, p)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// check holds one process to its promises: its revision never falls, and it
// takes no withdrawn key once the bound has passed since any member knew.
func (c *chaos) check(i int, p *proc) {
	revision := p.Snapshot().Revision()
	if revision < c.revisions[i] {
		c.broken = fmt.Sprintf("%s went from revision %d back to %d", p.address, c.revisions[i], revision)
	}
	c.revisions[i] = revision
	if c.withdrawn == 0 {
		return
	}
	if revision >= c.withdrawn && c.knownAt.IsZero() {
		c.knownAt = time.Now()
	}
	if c.knownAt.IsZero() || time.Since(c.knownAt) <= withdrawnBound || p.gate.Closed() {
		return
	}
	if p.takes(c.key) {
		c.broken = fmt.Sprintf("%s takes the key %s after a member knew of its withdrawal", p.address, time.Since(c.knownAt))
	}
}

// recovered heals everything and tells what is still wrong.
func (c *chaos) recovered() string {
	for i, p := range c.procs {
		p.gate.Open()
		p.log.SetFaults(porttest.Faults{})
		for _, other := range c.procs {
			c.peers.SetLinkDown(c.procs[i].address, other.address, false)
		}
	}
	c.watch(15 * time.Second)
	for _, p := range c.procs {
		if c.broken == "" && (!p.Fresh() || p.Snapshot().Revision() != c.log.Next(config.Stream)) {
			c.broken = fmt.Sprintf("%s has not caught up: revision %d of %d", p.address, p.Snapshot().Revision(), c.log.Next(config.Stream))
		}
	}
	return c.broken
}

// Whatever fails, in any order, no process goes back, none takes a key for
// long that a member knows to be withdrawn, and all recover.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		broken := ""
		synctest.Test(t, func(t *testing.T) {
			c := &chaos{cell: newCell(t, chaosMembers)}
			c.key, c.id = c.issue()
			time.Sleep(2 * time.Second)
			for _, s := range steps {
				c.do(s)
				c.watch(s.pause)
			}
			broken = c.recovered()
		})
		if broken != "" {
			rt.Fatalf("%s after %v", broken, steps)
		}
	})
}

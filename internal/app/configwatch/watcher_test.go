package configwatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// withdrawnBound is how long after its withdrawal a key may still be accepted.
const withdrawnBound = DefaultFreshFor + time.Second

// checkWithdrawn checks the guarantee that a withdrawn key stops working within
// seconds: once the bound has passed from now on, no process may accept the key.
func checkWithdrawn(t *testing.T, c *testCell, key string) {
	t.Helper()
	const step = 50 * time.Millisecond
	for since := time.Duration(0); since < time.Minute; since += step {
		for _, p := range c.procs {
			if since > withdrawnBound && !p.gate.Closed() {
				require.False(t, p.accepts(key), "%s accepts the key %s after its withdrawal", p.address, since)
			}
		}
		time.Sleep(step)
	}
}

func TestWithdrawnKeyIsRejected(t *testing.T) {
	cases := map[string]func(c *testCell){
		"healthy log":              func(*testCell) {},
		"one cannot read the log":  func(c *testCell) { c.procs[0].failLog() },
		"one log connection hangs": func(c *testCell) { c.procs[0].hangLogReads() },
		"one is cut off from log and members": func(c *testCell) {
			c.procs[0].hangLogReads()
			c.isolate(c.procs[0])
		},
		"one receives no replies": func(c *testCell) {
			c.procs[0].failLog()
			c.peers.SetLinkDown("member-1", "member-0", true)
			c.peers.SetLinkDown("member-2", "member-0", true)
		},
		"two reach only each other": func(c *testCell) {
			c.procs[0].failLog()
			c.procs[1].failLog()
			c.disconnect(c.procs[0], c.procs[2])
			c.disconnect(c.procs[1], c.procs[2])
		},
		"one reaches only another that cannot read": func(c *testCell) {
			c.procs[0].failLog()
			c.procs[1].failLog()
			c.disconnect(c.procs[0], c.procs[2])
		},
		"all but one cannot read": func(c *testCell) {
			c.procs[0].failLog()
			c.procs[1].hangLogReads()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 3)
				key, id := c.issueKey()
				time.Sleep(5 * time.Second)
				for _, p := range c.procs {
					require.True(t, p.accepts(key))
				}
				fault(c)
				time.Sleep(7 * time.Second)
				c.append(config.WithdrawKey(id))
				checkWithdrawn(t, c, key)
			})
		})
	}
}

// The withdrawal must also take effect if a fault begins at the same time.
func TestWithdrawnKeyIsRejectedAtOnsetOfFault(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, 3)
			key, id := c.issueKey()
			time.Sleep(5*time.Second + offset)
			c.append(config.WithdrawKey(id))
			c.procs[0].hangLogReads()
			c.isolate(c.procs[0])
			checkWithdrawn(t, c, key)
		})
	}
}

func TestMemberWithoutLogFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		c.issueKey()
		time.Sleep(5 * time.Second)
		c.procs[0].failLog()
		for i := range 100 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, c.procs[0].Fresh(), "round %d", i)
		}
		c.append(config.DomainOut("bergen"))
		time.Sleep(time.Second)
		assert.True(t, c.procs[0].Snapshot().IsDomainOut("bergen"))
	})
}

func TestSuspendedProcessIsNotFreshWhenResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		key, id := c.issueKey()
		time.Sleep(5 * time.Second)
		p := c.procs[0]
		p.gate.Close()
		time.Sleep(2 * time.Second) // the pending read is answered
		c.append(config.WithdrawKey(id))
		time.Sleep(time.Minute)
		// A report that was delayed while the process was suspended confirms
		// nothing.
		c.isolate(p)
		p.failLog()
		p.gate.Open()
		p.ObserveRevision(p.Snapshot().Revision(), 0, "member-1")
		for range 100 {
			require.False(t, p.accepts(key))
			time.Sleep(10 * time.Millisecond)
		}
		checkWithdrawn(t, c, key)
	})
}

func TestSnapshotStaysFreshWhileNoMemberReadsLog(t *testing.T) {
	for name, fault := range map[string]func(*proc){"fails": (*proc).failLog, "hangs": (*proc).hangLogReads} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 3)
				key, _ := c.issueKey()
				time.Sleep(5 * time.Second)
				for i, p := range c.procs {
					time.Sleep(time.Duration(i) * 170 * time.Millisecond)
					fault(p)
				}
				for outage := time.Duration(0); outage < 10*time.Minute; outage += 50 * time.Millisecond {
					for _, p := range c.procs {
						require.True(t, p.accepts(key), "%s after %s", p.address, outage)
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(DefaultMaxOutage)
				assert.False(t, c.procs[0].Fresh(), "the outage is too old")
			})
		})
	}
}

// While the other members cannot read the log, an unresponsive member still might.
// The others must not be fresh until its VM has left the VM list.
func TestUnresponsiveMemberBlocksOthersUntilItsVMIsUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		key, _ := c.issueKey()
		time.Sleep(5 * time.Second)
		for _, p := range c.procs {
			p.failLog()
		}
		c.procs[2].gate.Close()
		time.Sleep(5 * time.Second)
		assert.False(t, c.procs[0].accepts(key))
		c.removeFromVMList(c.procs[2])
		time.Sleep(2 * time.Second)
		assert.True(t, c.procs[0].accepts(key))
	})
}

func TestSlowLogStillDeliversChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		key, id := c.issueKey()
		time.Sleep(5 * time.Second)
		for _, p := range c.procs {
			p.log.SetFaults(porttest.Faults{ReadDelay: 2 * time.Second})
		}
		time.Sleep(20 * time.Second)
		require.True(t, c.procs[0].accepts(key))
		c.append(config.WithdrawKey(id))
		time.Sleep(5 * time.Second)
		assert.False(t, c.procs[0].accepts(key))
	})
}

func TestChangeIsInForceWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 8)
		time.Sleep(3 * time.Second)
		for range 20 {
			time.Sleep(370 * time.Millisecond)
			c.append(config.DomainOut("bergen"))
			next := c.log.Next(config.Stream)
			time.Sleep(time.Second)
			for _, p := range c.procs {
				require.Equal(t, next, p.Snapshot().Revision())
			}
		}
	})
}

func TestMembersAreNotQueriedWhileLogAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		time.Sleep(2 * time.Second)
		for _, p := range c.procs {
			p.log.SetFaults(porttest.Faults{ReadDelay: 50 * time.Millisecond})
			p.queries.Store(0)
		}
		time.Sleep(time.Hour)
		for _, p := range c.procs {
			assert.Zero(t, p.queries.Load())
		}
	})
}

// newIdle returns a loaded watcher that is not run; its clock reads 10 s.
func newIdle(t *testing.T) *Watcher {
	w := New(Options{Clock: porttest.NewClock(nil, 10*time.Second, 0), Logger: discardLogger()})
	data, err := config.DomainOut("bergen").Encode("01A", 0)
	require.NoError(t, err)
	fold := config.NewFold()
	fold.Apply(0, data)
	w.install(fold)
	return w
}

func TestConfirmationIsDatedByReplyAge(t *testing.T) {
	w := newIdle(t)
	sent := w.opt.Clock.Now()
	w.applyReply(&peerpb.ConfigReply{Ready: true, Readable: true, Revision: 1, AgeMs: 1400}, sent)
	assert.Equal(t, sent-1400*time.Millisecond, w.state.Load().confirmedAt)
}

func TestNewerRevisionWithoutRecordsConfirmsNothing(t *testing.T) {
	w := newIdle(t)
	w.applyReply(&peerpb.ConfigReply{Ready: true, Readable: true, Revision: 2}, w.opt.Clock.Now())
	assert.False(t, w.Fresh())
}

func TestNoMemberReadsLogNeedsEveryReply(t *testing.T) {
	w := newIdle(t)
	w.confirmCurrent(1, w.opt.Clock.Now())
	cannotRead := &peerpb.ConfigReply{Ready: true, Revision: 1}
	assert.True(t, w.noMemberReadsLog([]*peerpb.ConfigReply{cannotRead, {}}))
	assert.False(t, w.noMemberReadsLog([]*peerpb.ConfigReply{cannotRead, nil}))
	assert.False(t, w.noMemberReadsLog([]*peerpb.ConfigReply{cannotRead, {Ready: true, Revision: 1, Readable: true}}))
	assert.False(t, w.noMemberReadsLog([]*peerpb.ConfigReply{cannotRead, {Ready: true, Revision: 2}}))
}

func TestViewKeepsItsOwnAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newIdle(t)
		w.confirmCurrent(1, w.opt.Clock.Now())
		view := w.View()
		require.True(t, view.Fresh())
		time.Sleep(10 * time.Second)
		w.confirmCurrent(1, w.opt.Clock.Now())
		assert.True(t, w.Fresh())
		assert.False(t, view.Fresh())
	})
}

func TestOlderStateIsNotInstalled(t *testing.T) {
	w := newIdle(t)
	w.install(config.NewFold())
	assert.Equal(t, uint64(1), w.Snapshot().Revision())
	assert.Equal(t, uint64(1), w.Answer(&peerpb.ConfigQuery{}).GetRevision())
}

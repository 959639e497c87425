package celltest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// messageHook calls a function with each log line that has the message.
type messageHook struct {
	message string
	call    func()
}

func (h *messageHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *messageHook) Fire(entry *logrus.Entry) error {
	if entry.Message == h.message {
		h.call()
	}
	return nil
}

// Guards against starts in a failure domain that was taken out of service while a new
// owner restored its jobs.
func TestPolicyChangedDuringTakeoverReachesTheNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2, cellWorkers)
		time.Sleep(3 * time.Second)
		first := c.ownerIndex()
		require.GreaterOrEqual(t, first, 0)
		successor := c.node(1 - first)
		successor.logger.AddHook(&messageHook{"cell taken over", func() {
			next := *successor.policy.Get()
			next.OutOfService = []model.FailureDomain{"z1"}
			successor.policy.Set(&next)
		}})
		c.kill(first)
		time.Sleep(3 * time.Second)
		require.True(t, successor.cellDispatcher.Owning())
		id := c.registerJob(0, smallSpec(), time.Second)
		require.True(t, c.submitAt(1-first, id, smallSpec()))
		time.Sleep(10 * time.Second)
		c.setFleet(func(f *fleet) { assert.Zero(t, f.jobs[id].firstStart, "all workers are out of service") })
		successor.policy.Set(c.policy.Get())
		time.Sleep(time.Second)
		c.setFleet(func(f *fleet) { assert.NotZero(t, f.jobs[id].firstStart) })
		c.restart(first)
		c.close()
	})
}

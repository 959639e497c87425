package membership

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Observer reads the members stream without joining the cluster. It is safe for
// concurrent use.
type Observer struct {
	*follower
}

// NewObserver returns an observer that uses the default lease.
func NewObserver(log port.Log, clock port.Clock, logger *logrus.Entry) *Observer {
	o := &Observer{}
	t := leaseTiming{DefaultLease, DefaultRenewEvery, DefaultDriftMargin}
	o.follower = newFollower(log, clock, logger.WithField("part", "membership"), t, noopCallbacks{})
	return o
}

// Run reads the log until the context is done and then returns nil.
func (o *Observer) Run(ctx context.Context) error { return o.follow(ctx) }

// Owner returns the peer address of the partition's owner and the epoch of the
// assignment, as last read from the log. ok is false if there is no owner.
func (o *Observer) Owner(p model.PartitionID) (address string, epoch model.Epoch, ok bool) {
	return o.dir.get(p)
}

// Members returns all members as last read from the log, sorted by id.
func (o *Observer) Members() []Info { return o.infos(o.clock.Now()) }

// Ready reports whether the ownership state is known.
func (o *Observer) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state() != nil
}

type noopCallbacks struct{}

func (noopCallbacks) onRecord(*logpb.MembersRecord, ownership.Change, time.Duration) {}
func (noopCallbacks) onRebuilt()                                                     {}
func (noopCallbacks) onRead(time.Duration)                                           {}

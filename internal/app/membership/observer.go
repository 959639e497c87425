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

// Observer follows the members stream without joining. It is safe for
// concurrent use.
type Observer struct {
	*follower
}

// NewObserver returns an observer with the default lease.
func NewObserver(log port.Log, clock port.Clock, logger *logrus.Entry) *Observer {
	o := &Observer{}
	t := timing{DefaultLease, DefaultRenewEvery, DefaultDriftMargin}
	o.follower = newFollower(log, clock, logger.WithField("part", "membership"), t, ignore{})
	return o
}

// Run follows until the context ends; it returns nil then.
func (o *Observer) Run(ctx context.Context) error { return o.follow(ctx) }

// Owner returns the peer address of the partition's holder and the epoch of
// its claim, as last read.
func (o *Observer) Owner(p model.PartitionID) (address string, epoch model.Epoch, ok bool) {
	return o.dir.get(p)
}

// Members describes all members as last read, sorted by id.
func (o *Observer) Members() []Info { return o.infos(o.clock.Now()) }

// Ready reports whether the ownership state is known.
func (o *Observer) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state() != nil
}

type ignore struct{}

func (ignore) onRecord(*logpb.MembersRecord, ownership.Change, time.Duration) {}
func (ignore) onRebuilt()                                                     {}
func (ignore) onRead(time.Duration)                                           {}

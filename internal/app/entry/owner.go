package entry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// ownerCheckInterval is how often a call checks whether its partition still
	// has the same owner.
	ownerCheckInterval = 100 * time.Millisecond
	// handoverGrace is how long after an owner change a call still waits for the
	// previous owner, which in an orderly shutdown finishes the calls in flight.
	handoverGrace = time.Second
)

// errOwnerChanged ends calls to an owner that has lost its partition.
var errOwnerChanged = errs.New("the partition has another holder")

// ownerChangePolicy determines how long a call continues after its partition has
// changed its owner.
type ownerChangePolicy struct {
	awaitPrevious bool // the previous owner may still answer
	untilDeadline bool // wait until the deadline, since the call can't be repeated
}

// callOwner calls the owner of the partition. An error of class port.NotStarted
// proves that the call was not sent.
func (s *Server) callOwner(
	ctx context.Context, partition model.PartitionID, policy ownerChangePolicy, message *peerpb.Request,
) (*peerpb.Response, error) {
	address, epoch, ok := s.options.Directory.Owner(partition)
	if !ok {
		return nil, port.NotStarted.New("%s has no holder", partition)
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(answerGrace))
	defer cancel()
	if !policy.untilDeadline {
		stop := s.cancelOnOwnerChange(ctx, partition, epoch, policy, cancel)
		defer stop()
	}
	response, err := s.options.Peer.Call(ctx, address, message)
	if err != nil && ctx.Err() != nil && time.Now().Before(deadline) {
		err = wrapOwnerChanged(err)
	}
	return response, err
}

func wrapOwnerChanged(err error) error {
	if port.NotStarted.Has(err) {
		return port.NotStarted.Wrap(errOwnerChanged)
	}
	return errOwnerChanged
}

// cancelOnOwnerChange calls cancel after the partition has changed its owner, as
// the policy says. It stops when ctx is done or the returned function is called.
func (s *Server) cancelOnOwnerChange(
	ctx context.Context, partition model.PartitionID, epoch model.Epoch, policy ownerChangePolicy, cancel func(),
) (stop func() bool) {
	changed := false
	var timer *time.Timer
	timerSet := make(chan struct{}) // closed once timer is assigned
	timer = time.AfterFunc(ownerCheckInterval, func() {
		<-timerSet
		if ctx.Err() != nil {
			return
		}
		if changed {
			cancel()
			return
		}
		_, current, ok := s.options.Directory.Owner(partition)
		changed = ok && current != epoch
		switch {
		case changed && !policy.awaitPrevious:
			cancel()
		case changed:
			timer.Reset(handoverGrace)
		default:
			timer.Reset(ownerCheckInterval)
		}
	})
	close(timerSet)
	return timer.Stop
}

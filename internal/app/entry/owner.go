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
	// ownerCheck is the time between looks at whether a call's owner still
	// holds the partition.
	ownerCheck = 100 * time.Millisecond
	// handoverPatience is how long an answer of a former owner is waited for:
	// an orderly exit finishes what it has.
	handoverPatience = time.Second
)

// errMoved ends calls to an owner that has lost its partition.
var errMoved = errs.New("the partition has another holder")

// takeoverPatience says how long a call goes on after its partition has got
// another holder.
type takeoverPatience struct {
	answers bool // the former holder may still answer
	forever bool // until the deadline, since the call can't be repeated
}

// callOwner calls the holder of the partition. An error of type
// port.NotStarted proves that the call was not sent.
func (s *Server) callOwner(
	ctx context.Context, partition model.PartitionID, patience takeoverPatience, message *peerpb.Request,
) (*peerpb.Response, error) {
	address, epoch, ok := s.options.Directory.Owner(partition)
	if !ok {
		return nil, port.NotStarted.New("%s has no holder", partition)
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(answerGrace))
	defer cancel()
	if !patience.forever {
		stop := s.cancelWhenMoved(ctx, partition, epoch, patience, cancel)
		defer stop()
	}
	response, err := s.options.Peer.Call(ctx, address, message)
	if err != nil && ctx.Err() != nil && time.Now().Before(deadline) {
		err = wrapMoved(err)
	}
	return response, err
}

func wrapMoved(err error) error {
	if port.NotStarted.Has(err) {
		return port.NotStarted.Wrap(errMoved)
	}
	return errMoved
}

// cancelWhenMoved watches the holder of the partition until the call's context
// ends.
func (s *Server) cancelWhenMoved(
	ctx context.Context, partition model.PartitionID, epoch model.Epoch, patience takeoverPatience, cancel func(),
) (stop func() bool) {
	moved := false
	var timer *time.Timer
	armed := make(chan struct{}) // closed once timer is set
	timer = time.AfterFunc(ownerCheck, func() {
		<-armed
		if ctx.Err() != nil {
			return
		}
		if moved {
			cancel()
			return
		}
		_, now, ok := s.options.Directory.Owner(partition)
		moved = ok && now != epoch
		switch {
		case moved && !patience.answers:
			cancel()
		case moved:
			timer.Reset(handoverPatience)
		default:
			timer.Reset(ownerCheck)
		}
	})
	close(armed)
	return timer.Stop
}

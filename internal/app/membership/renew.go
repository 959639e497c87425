package membership

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// renewLoop sends a renewal every RenewEvery. A slow renewal does not delay the
// next one.
func (m *Member) renewLoop(ctx context.Context) error {
	ticker := time.NewTicker(m.opt.RenewEvery)
	defer ticker.Stop()
	for {
		m.renew(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Member) renew(ctx context.Context) {
	id := newID()
	now := m.clock.Now()
	m.mu.Lock()
	state := m.state()
	if state == nil || m.left || !m.joinSent {
		m.mu.Unlock()
		return
	}
	if _, joined := state.Member(m.opt.ID); !joined {
		m.mu.Unlock()
		return
	}
	m.lease.RenewalSent(id, now)
	renewal := &logpb.Renewal{
		Member:   string(m.opt.ID),
		ReadNext: state.Next(),
		Leaving:  m.leaving,
	}
	m.mu.Unlock()
	m.send(ctx, ownership.NewRecord(id, renewal), nil)
}

// send appends the record on a goroutine of the pool. notStarted may be nil; it is
// called if the record certainly does not reach the log.
func (m *Member) send(ctx context.Context, record *logpb.MembersRecord, notStarted func()) {
	data, err := proto.Marshal(record)
	if err == nil {
		err = m.appends.Submit(func() { m.append(ctx, data, notStarted) })
	}
	if err != nil {
		m.logger.WithError(err).Warn("record could not be queued for the log; dropping it")
		if notStarted != nil {
			notStarted()
		}
	}
}

func (m *Member) append(ctx context.Context, data []byte, notStarted func()) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := m.log.Append(ctx, ownership.Stream, [][]byte{data})
	if port.NotStarted.Has(err) && notStarted != nil {
		notStarted()
	}
	if err != nil && ctx.Err() == nil {
		m.logger.WithError(err).Debug("log append failed; reading the log for its outcome")
	}
}

func newID() string { return ulid.Make().String() }

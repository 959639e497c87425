package membership

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
)

// NotHandedOver is the class of errors of an orderly exit that ran out of
// time.
var NotHandedOver = errs.Class("not handed over")

const handoverPoll = 20 * time.Millisecond

// rebalance gives up partitions that the plan places elsewhere and those that
// nobody wants any more. During an orderly exit it gives up everything.
func (t *turn) rebalance(ctx context.Context) {
	if t.leaving {
		t.giveUpAll(ctx)
		return
	}
	t.giveUpUnwanted(ctx)
	if len(t.lapsed) > 0 || t.now-t.changed < rebalanceDelay {
		return
	}
	for p, to := range t.plan {
		_, mine := t.held[p]
		if mine && to != t.opt.ID && len(t.tenures) < drainsAtOnce {
			t.giveUp(ctx, p, &tenure{to: to})
		}
	}
}

func (t *turn) giveUpAll(ctx context.Context) {
	if !t.self.Leaving {
		return // others might still hand partitions to this member
	}
	for p := range t.held {
		to := t.plan[p]
		t.giveUp(ctx, p, &tenure{to: to})
	}
}

func (t *turn) giveUpUnwanted(ctx context.Context) {
	if len(t.wanted) == 0 {
		return
	}
	wanted := make(map[model.PartitionID]bool, len(t.wanted))
	for _, p := range t.wanted {
		wanted[p] = true
		delete(t.unwanted, p)
	}
	for p := range t.held {
		if wanted[p] {
			continue
		}
		since, ok := t.unwanted[p]
		if !ok {
			t.unwanted[p] = t.now
			continue
		}
		if t.now-since >= unwantedGrace && len(t.tenures) < drainsAtOnce {
			t.giveUp(ctx, p, &tenure{forget: true})
		}
	}
}

// giveUp drains the partition and then marks it released. The control loop
// sends the release.
func (t *turn) giveUp(ctx context.Context, p model.PartitionID, end *tenure) {
	if t.tenures[p] != nil {
		return
	}
	end.epoch = t.held[p]
	t.tenures[p] = end
	m := t.Member
	m.drains.Go(func() { m.drain(ctx, p, end) })
}

func (m *Member) drain(ctx context.Context, p model.PartitionID, end *tenure) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	m.opt.Drain(ctx, p, end.epoch)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenures[p] != end {
		return // lost meanwhile
	}
	end.released = true
	m.publish()
	notify(m.kick)
}

// release sends the release of all drained partitions in one record. A release
// names the epoch, so sending it again does no harm.
func (t *turn) release() {
	release := &logpb.Release{Member: string(t.opt.ID)}
	for p, end := range t.tenures {
		if !end.released || (end.sent && t.now-end.sentAt < appendRetry) {
			continue
		}
		end.sent = true
		end.sentAt = t.now
		release.Partitions = append(release.Partitions, &logpb.ReleasedPartition{
			Partition: string(p),
			Epoch:     uint64(end.epoch),
			To:        string(end.to),
			Forget:    end.forget,
		})
	}
	if len(release.GetPartitions()) > 0 {
		t.emit(release, nil)
	}
}

// HandoverAll is the orderly exit: it drains every partition, hands it to
// another member and leaves. Run must still be running. It returns an error if
// the context ends first; the rest is then taken over as from a dead member.
func (m *Member) HandoverAll(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.renew(ctx) // tells the others at once
	notify(m.kick)
	if err := m.until(ctx, func() bool { return len(m.held) == 0 && m.selfLeaving() }); err != nil {
		return err
	}
	return m.leave(ctx)
}

// selfLeaving reports whether the log shows this member leaving or gone.
func (m *Member) selfLeaving() bool {
	state := m.state()
	if state == nil {
		return true
	}
	self, joined := state.Member(m.opt.ID)
	return !joined || self.Leaving
}

func (m *Member) leave(ctx context.Context) error {
	for {
		m.mu.Lock()
		done := m.selfGone()
		m.mu.Unlock()
		if done {
			return nil
		}
		record := ownership.NewRecord(newID(), &logpb.Leave{Member: string(m.opt.ID)})
		m.send(ctx, record, nil)
		attempt, cancel := context.WithTimeout(ctx, appendRetry)
		err := m.until(attempt, m.selfGone)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

func (m *Member) selfGone() bool {
	state := m.state()
	if state == nil {
		return true
	}
	_, joined := state.Member(m.opt.ID)
	return !joined
}

// until polls the condition, which is called with the lock held.
func (m *Member) until(ctx context.Context, done func() bool) error {
	for {
		m.mu.Lock()
		ok := done()
		left := len(m.held)
		m.mu.Unlock()
		if ok {
			return nil
		}
		if ctx.Err() != nil {
			return NotHandedOver.New("%d partitions are still held: %w", left, ctx.Err())
		}
		pause.Sleep(ctx, handoverPoll)
	}
}

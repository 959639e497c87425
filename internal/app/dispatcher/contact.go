package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// lookWait is how long a worker may wait for an end before it answers.
	lookWait = time.Second
	// callMargin is the time that an answer may take beyond that wait.
	callMargin = 600 * time.Millisecond
	// lookGap lets the ends of a busy worker gather into one answer.
	lookGap = 25 * time.Millisecond
	// silentRetry is the pause after a look without an answer.
	silentRetry = 150 * time.Millisecond
	// silentAfter is how old a worker's last word may be for its lease to be
	// renewed: a look that may be heard but is not answered would put off the
	// time at which its runs have ended for certain.
	silentAfter = 1900 * time.Millisecond
	// clockError is how much slower than ours a worker's clock may be.
	clockError = 0.025
	leaseSlack = 100 * time.Millisecond
	// tokensPerEpoch leaves room for a new token at each new life of a worker.
	tokensPerEpoch = 1000

	startTime     = 400 * time.Millisecond // of one attempt
	startAttempts = 3
	// startAge is how old the log's last word may be when an order is sent.
	startAge  = time.Second
	stopTime  = 500 * time.Millisecond // of one attempt
	stopPause = 100 * time.Millisecond
)

// contact is the tenure's link to one worker.
type contact struct {
	mu       sync.Mutex
	info     dispatch.WorkerInfo
	life     int64
	renewals uint64 // lives seen beyond the first
	anew     bool   // a new life was seen whose lists are not trusted yet
	heardAt  time.Duration
	clock    time.Duration // the worker's clock at heardAt
	// boundAt is the time of our clock at which every lease that was given has
	// run out for certain.
	boundAt time.Duration
	fenced  bool
}

func (c *contact) target() port.WorkerTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	return port.WorkerTarget{ID: c.info.ID, Address: c.info.Address}
}

func (c *contact) token(epoch uint64) uint64 {
	token, _ := c.tokenFor(epoch, 0)
	return token
}

// tokenFor returns the token for orders to the given life of the worker, or
// false if another life has been seen since.
func (c *contact) tokenFor(epoch uint64, life int64) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return epoch*tokensPerEpoch + min(c.renewals, tokensPerEpoch-1), c.life == life
}

// lease returns the worker's time until which a run given now may live, and
// notes it. It returns zero if the worker's clock is not known or it is silent.
func (c *contact) lease(now, length time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardAt == 0 || now-c.heardAt > silentAfter {
		return 0
	}
	c.boundAt = max(c.boundAt, now+longest(length))
	return c.clock + (now - c.heardAt) + length
}

// longest returns the time of our clock in which a lease has run out for certain
// on a worker's clock.
func longest(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockError) + leaseSlack
}

func (c *contact) heard(now, clock time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.heardAt {
		c.heardAt, c.clock = now, clock
	}
}

// lapsed reports whether everything on the worker has ended for certain.
func (c *contact) lapsed(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now > c.boundAt && now-c.heardAt > silentAfter
}

// updateWorkers takes the VM list and starts to look at new workers.
func (t *tenure) updateWorkers(ctx context.Context, group *sync.WaitGroup, list []dispatch.WorkerInfo) {
	t.mu.Lock()
	t.engine.UpdateWorkers(list)
	unlisted := t.engine.WorkersWithTasks()
	t.mu.Unlock()
	for _, info := range list {
		t.watch(ctx, group, info)
	}
	for _, id := range unlisted {
		t.watch(ctx, group, dispatch.WorkerInfo{ID: id})
	}
	t.wake()
}

// watch begins to look at the worker if no one does. Without an address only
// the time can tell that its runs have ended.
func (t *tenure) watch(ctx context.Context, group *sync.WaitGroup, info dispatch.WorkerInfo) {
	t.contactsMu.Lock()
	defer t.contactsMu.Unlock()
	if c, ok := t.contacts[info.ID]; ok {
		if info.Address != "" {
			c.mu.Lock()
			c.info = info
			c.mu.Unlock()
		}
		return
	}
	now := t.Clock.Now()
	c := &contact{info: info, boundAt: now + renewLimit + longest(t.Lease)}
	t.contacts[info.ID] = c
	group.Go(func() { t.lookLoop(ctx, c) })
}

func (t *tenure) contact(worker model.VMID) *contact {
	t.contactsMu.Lock()
	defer t.contactsMu.Unlock()
	return t.contacts[worker]
}

// lookLoop keeps in touch with one worker until it is gone.
func (t *tenure) lookLoop(ctx context.Context, c *contact) {
	for ctx.Err() == nil {
		ends, err := t.look(ctx, c)
		switch {
		case err != nil:
			if t.lost(c) {
				return
			}
			_ = sleep(ctx, silentRetry)
		case ends:
			_ = sleep(ctx, lookGap)
			t.awaitAck(ctx, c)
		}
	}
}

// look asks the worker once. It reports whether ends came.
func (t *tenure) look(ctx context.Context, c *contact) (bool, error) {
	target := c.target()
	if target.Address == "" {
		return false, port.NotStarted.New("worker %s has no address", target.ID)
	}
	now := t.Clock.Now()
	c.mu.Lock()
	life, known, fresh := c.life, c.heardAt != 0 && now-c.heardAt < silentAfter, c.anew
	c.mu.Unlock()
	request := port.PollRequest{Token: c.token(t.epoch)}
	if known {
		t.mu.Lock()
		request.AckedThrough = t.engine.AckCursor(target.ID, life)
		t.mu.Unlock()
		if !fresh {
			request.Wait = lookWait
		}
		if t.heard(renewLimit) {
			request.LeaseUntil = c.lease(now, t.Lease)
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+callMargin)
	report, err := t.Workers.Poll(callCtx, target, request)
	cancel()
	countOrder("look", err)
	if err != nil {
		t.lookFailed(c, err)
		return false, err
	}
	return t.takeReport(c, report, life), nil
}

func (t *tenure) lookFailed(c *contact, err error) {
	var rejected *port.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == port.RejectFenced {
		c.mu.Lock()
		first := !c.fenced
		c.fenced = true
		c.mu.Unlock()
		if first {
			t.Logger.WithField("worker", c.target().ID).Warn("worker follows a newer owner")
		}
	}
}

func (t *tenure) takeReport(c *contact, report dispatch.WorkerReport, life int64) bool {
	now := t.Clock.Now()
	id := c.target().ID
	c.heard(now, report.Clock)
	c.mu.Lock()
	c.life = report.Incarnation
	if life != 0 && report.Incarnation != life {
		// The new life has seen no order yet. A higher token keeps late orders to
		// the earlier life from taking effect before its lists are trusted.
		c.renewals++
		c.anew = true
		c.mu.Unlock()
		t.Logger.WithFields(logrus.Fields{"worker": id, "life": report.Incarnation, "was": life}).Info("worker has started anew")
		return false
	}
	c.anew = false
	c.mu.Unlock()
	t.mu.Lock()
	t.engine.ApplyReport(id, report, now)
	t.mu.Unlock()
	if len(report.Finished) > 0 || life == 0 {
		t.wake()
	}
	return len(report.Finished) > 0
}

// awaitAck waits until the ends that the worker listed are durable: it would
// list them again at once.
func (t *tenure) awaitAck(ctx context.Context, c *contact) {
	deadline := time.NewTimer(lookWait / 2)
	defer deadline.Stop()
	id := c.target().ID
	for {
		commit := t.nextCommit()
		t.mu.Lock()
		pending := t.engine.HasUnackedEnds(id)
		t.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-commit:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// lost ends the runs of a silent worker once they have lapsed. It reports
// whether the worker is gone for good.
func (t *tenure) lost(c *contact) bool {
	id := c.target().ID
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.lapsed(t.Clock.Now()) && t.engine.HasTasks(id) {
		t.Logger.WithField("worker", id).Warn("worker is silent and its leases have run out")
		t.engine.ExpireRuns(id)
		t.wake()
	}
	if t.engine.Listed(id) || t.engine.HasTasks(id) {
		return false
	}
	t.contactsMu.Lock()
	delete(t.contacts, id)
	t.contactsMu.Unlock()
	return true
}

package targetowner

import (
	"context"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	releaseTimeout  = time.Second
	minReleaseDelay = 50 * time.Millisecond
	maxReleaseDelay = time.Second
	maxReleaseBatch = 1024 // permits in one message
	// timerSlack is how much earlier than the clock a timer may fire.
	timerSlack = time.Millisecond
)

// releaser reports ended permits to the owners of their teams and retries until
// they acknowledge them. It has its own lock.
type releaser struct {
	owner *Owner
	wake  chan struct{}

	mu    sync.Mutex
	teams map[model.TeamID]*teamReleases
}

// teamReleases are the ended permits of one team that its owner has not
// acknowledged.
type teamReleases struct {
	permits []model.Permit
	sending bool
	nextAt  time.Duration
	delay   time.Duration
}

func newReleaser(owner *Owner) *releaser {
	return &releaser{owner: owner, wake: make(chan struct{}, 1), teams: make(map[model.TeamID]*teamReleases)}
}

// add queues an ended permit for release.
func (r *releaser) add(p model.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	team := r.teams[p.Team]
	if team == nil {
		team = &teamReleases{delay: minReleaseDelay}
		r.teams[p.Team] = team
	}
	if len(team.permits) == 0 {
		team.nextAt = r.owner.env.Clock().Now() + releaseBatchDelay
		time.AfterFunc(releaseBatchDelay, r.signal)
	}
	team.permits = append(team.permits, p)
}

func (r *releaser) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// unacknowledged returns the ended permits of a team that its owner has not
// acknowledged.
func (r *releaser) unacknowledged(team model.TeamID) []model.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.teams[team]; t != nil {
		return append([]model.Permit(nil), t.permits...)
	}
	return nil
}

// sendDue starts one call for each team whose permits are due for a report.
func (r *releaser) sendDue(ctx context.Context) {
	now := r.owner.env.Clock().Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, team := range r.teams {
		if team.sending || len(team.permits) == 0 || now+timerSlack < team.nextAt {
			continue
		}
		team.sending = true
		batch := team.permits[:min(len(team.permits), maxReleaseBatch)]
		go r.send(ctx, name, batch)
	}
}

// send reports one batch, which must be a prefix of the team's permits, and
// removes it once acknowledged; otherwise it schedules a retry.
func (r *releaser) send(ctx context.Context, name model.TeamID, batch []model.Permit) {
	acknowledged := r.call(ctx, name, batch)
	r.mu.Lock()
	defer r.mu.Unlock()
	team := r.teams[name]
	team.sending = false
	now := r.owner.env.Clock().Now()
	if !acknowledged {
		team.nextAt = now + team.delay
		team.delay = min(2*team.delay, maxReleaseDelay)
		return
	}
	team.delay = minReleaseDelay
	team.permits = append([]model.Permit(nil), team.permits[len(batch):]...)
	if len(team.permits) > 0 {
		team.nextAt = now + releaseBatchDelay
		time.AfterFunc(releaseBatchDelay, r.signal)
	}
}

// call reports a batch to the owner of the team and returns whether the owner
// acknowledged it.
func (r *releaser) call(ctx context.Context, name model.TeamID, batch []model.Permit) bool {
	env := r.owner.env
	address, _, ok := env.Owner(model.TeamPartition(name))
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	message := &peerpb.ReleasePermits{
		Team:           string(name),
		Partition:      string(r.owner.id),
		PartitionEpoch: uint64(r.owner.epoch),
	}
	for _, p := range batch {
		message.Quick = append(message.Quick, p.ID)
	}
	response, err := env.Peer().Call(ctx, address, &peerpb.Request{
		Body: &peerpb.Request_ReleasePermits{ReleasePermits: message},
	})
	return err == nil && response.GetAck() != nil && response.GetAck().GetRefusal() == nil
}

// drain waits until all permits are acknowledged or the context is done. Owner.Run
// must still be running, because it sends the reports.
func (r *releaser) drain(ctx context.Context) {
	ticker := time.NewTicker(releaseBatchDelay)
	defer ticker.Stop()
	for !r.idle() {
		select {
		case <-ticker.C:
			r.signal()
		case <-ctx.Done():
			return
		}
	}
}

// idle reports whether all permits are acknowledged.
func (r *releaser) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, team := range r.teams {
		if len(team.permits) > 0 {
			return false
		}
	}
	return true
}

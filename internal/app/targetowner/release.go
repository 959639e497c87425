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
	maxReleased     = 1024 // permits in one message
	// timerSlack is by how much a timer may run ahead of the clock.
	timerSlack = time.Millisecond
)

// releaser tells the owners of teams which permits have ended, again and again
// until they acknowledge it. It has its own lock.
type releaser struct {
	owner *Owner
	wake  chan struct{}

	mu    sync.Mutex
	teams map[model.TeamID]*ended
}

// ended are the permits of one team that its owner has not acknowledged.
type ended struct {
	permits []model.Permit
	sending bool
	nextAt  time.Duration
	delay   time.Duration
}

func newReleaser(owner *Owner) *releaser {
	return &releaser{owner: owner, wake: make(chan struct{}, 1), teams: make(map[model.TeamID]*ended)}
}

// add notes the end of a permit.
func (r *releaser) add(p model.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	team := r.teams[p.Team]
	if team == nil {
		team = &ended{delay: minReleaseDelay}
		r.teams[p.Team] = team
	}
	if len(team.permits) == 0 {
		team.nextAt = r.owner.env.Clock().Now() + releaseEvery
		time.AfterFunc(releaseEvery, r.signal)
	}
	team.permits = append(team.permits, p)
}

func (r *releaser) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// of returns the unacknowledged permits of a team.
func (r *releaser) of(team model.TeamID) []model.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.teams[team]; t != nil {
		return append([]model.Permit(nil), t.permits...)
	}
	return nil
}

// sendDue starts one call for each team that has something due.
func (r *releaser) sendDue(ctx context.Context) {
	now := r.owner.env.Clock().Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, team := range r.teams {
		if team.sending || len(team.permits) == 0 || now+timerSlack < team.nextAt {
			continue
		}
		team.sending = true
		batch := team.permits[:min(len(team.permits), maxReleased)]
		go r.send(ctx, name, batch)
	}
}

// send reports one batch, which is the head of the team's permits.
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
		team.nextAt = now + releaseEvery
		time.AfterFunc(releaseEvery, r.signal)
	}
}

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

// drain waits until everything is acknowledged or the context ends. Run goes
// on meanwhile.
func (r *releaser) drain(ctx context.Context) {
	ticker := time.NewTicker(releaseEvery)
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

package admission

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// queue is what waits for room ahead of a job that arrives, including the job itself.
type queue struct {
	freeOfLimit load // share of the team's limit
	own         work // of the job's first steps
	ownOfLimit  work // the same as a share of the limit
	urgent      work // of more urgent queues
	ahead       work // in the order of the latest starts, without regard to teams
	// late is ahead of the job once it can't end in time any more.
	late work
	// limited is what the team's limit has to admit, as a share of the limit.
	limited work
	// byTeam holds the work of the job's own queue priority by team: that in time, and what
	// is ahead of the job. That of the job's team is ahead of it only.
	byTeam map[string]*work
}

// queueAhead returns what waits ahead of the job.
func (g *Gate) queueAhead(room *dispatch.Room, in *dispatch.Incoming, wall time.Time) *queue {
	limit, used := g.forecast.Teams[in.Team].Limit, g.forecast.Teams[in.Team].Used
	q := &queue{
		freeOfLimit: shareOf(limit.Sub(used).Max(model.Resources{}), limit),
		own:         sum(in.First, room.Capacity), ownOfLimit: sum(in.First, limit), byTeam: map[string]*work{in.Team: {}},
	}
	q.ahead, q.late, q.limited = q.own, q.own, q.ownOfLimit
	latest := wall
	for i := range in.First {
		if in.First[i].Latest.After(latest) {
			latest = in.First[i].Latest
		}
	}
	for i := range room.Waiting {
		q.count(&room.Waiting[i], room.Capacity, in, latest, wall, limit)
	}
	for _, p := range g.pending {
		if p.incoming.Service == in.Service {
			for i := range p.incoming.First {
				q.count(&p.incoming.First[i], room.Capacity, in, latest, wall, limit)
			}
		}
	}
	return q
}

// count adds a waiting demand where it is ahead of the job, which must start at latest.
func (q *queue) count(d *dispatch.Demand, capacity model.Resources, in *dispatch.Incoming, latest, wall time.Time, limit model.Resources) {
	if wall.After(d.Useless) {
		return
	}
	first := d.Priority < in.Priority || d.Priority == in.Priority && !d.Latest.After(latest)
	if d.Team == in.Team && first {
		q.limited.add(shareOf(d.Size, limit), d.RunTime)
	}
	if d.OverLimit {
		return
	}
	room, late := shareOf(d.Size, capacity), wall.After(d.Latest)
	if !late || first {
		q.late.add(room, d.RunTime)
	}
	if late && !first {
		return
	}
	if first {
		q.ahead.add(room, d.RunTime)
	}
	switch {
	case d.Priority < in.Priority:
		q.urgent.add(room, d.RunTime)
	case d.Priority == in.Priority && (first || d.Team != in.Team):
		team, ok := q.byTeam[d.Team]
		if !ok {
			team = &work{}
			q.byTeam[d.Team] = team
		}
		team.add(room, d.RunTime)
	}
}

// start returns the expected time until the last task of the job's first steps has started
// in the room of the profile, and what the job waits for. Teams get room by their shares; a
// team without a queue leaves its share to others. The earlier start counts of that and of
// the order without regard to teams.
func (q *queue) start(in *dispatch.Incoming, teams map[string]dispatch.TeamRoom, p profile) (time.Duration, Reason) {
	own := q.byTeam[in.Team]
	turns := (own.seconds.most() + q.own.seconds.most()) / max(teams[in.Team].Weight, 1)
	fair := q.urgent
	fair.plus(q.own, 1)
	for name, w := range q.byTeam {
		factor := 1.0
		if total := w.seconds.most(); name != in.Team && total > 0 {
			factor = min(1, turns*max(teams[name].Weight, 1)/total)
		}
		fair.plus(*w, factor)
	}
	start, reason := min(fair.wait(p), q.ahead.wait(p)), WantOfRoom
	if 2*own.seconds.most() > q.ahead.seconds.most() {
		reason = TeamShare
	}
	if limited := q.limited.drain(q.freeOfLimit); limited > start {
		start, reason = limited, TeamLimit
	}
	return max(start, in.Advice), reason
}

// Package admission decides whether a job that arrives is accepted or refused at once,
// because it would end too late to be of use for want of room. It answers the load of a
// cell whose callers ask for more than its workers carry: a burst of one team or of all.
//
// A Gate judges a job against a forecast of the engine. It counts what waits for room ahead
// of the job in the order in which the engine would place it, and the room that the workers
// carry. It refuses only while the workers of the job's service are nearly full.
package admission

import (
	"maps"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// fullShare is the share of a service's room in use from which a queue counts as one
	// for room. Below it, steps wait for advice, for a pause or for a worker of their kind.
	fullShare = 0.75
	// A service carries the share of its room that was in use on average, with the time
	// constant carriedMemory, while the queue for room exceeded standingQueue: what the
	// workers can start in one interval between two forecasts says nothing about it.
	carriedMemory = 2 * time.Second
	standingQueue = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused caller may return.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxAhead bounds how far ahead is looked. A job that has more time is accepted.
	maxAhead = 2 * time.Minute
	// startMargin is the part of the time until its latest start within which a job must be
	// expected to start: one that misses it by a hair comes after all that is in time.
	startMargin = 0.9
	// maxRefused is the number of refused jobs of which the first attempt is kept.
	maxRefused = 10_000
	// pendingKept is how long an accepted job counts that the engine does not hold yet. Its
	// record is appended or refused by then.
	pendingKept = 3 * time.Second
)

// memories are the time constants of the means of the rate at which a queue's work arrives.
var memories = [...]time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second}

// Reason is why a job is refused.
type Reason string

// The reasons of refusals.
const (
	WantOfRoom Reason = "room"       // the queue ahead is too long
	TeamShare  Reason = "team_share" // the team's own queue is, at its share of the room
	TeamLimit  Reason = "team_limit" // the team's own queue is, at its limit
)

// Refusal is the decision to refuse a job, with what it rests on.
type Refusal struct {
	Reason Reason
	// Start is the expected time until the last task of the job's first step has started,
	// Deadline the time by which that has to be for the job to end in time.
	Start, Deadline time.Duration
	// Ahead is the time for which the workers are busy with what waits ahead of the job.
	Ahead time.Duration
	// Carried is the share of the service's room that the workers carry, Taken the part of it
	// that the work of more urgent queues takes.
	Carried, Taken float64
	// RetryAfter is the earliest time after which the job can find room.
	RetryAfter time.Duration
}

// Gate judges the jobs that arrive at one owner. It is not safe for concurrent use.
type Gate struct {
	forecast *dispatch.Forecast
	at       time.Duration
	services map[string]*service
	pending  map[model.JobID]pendingJob
	refused  map[model.JobID]refusedJob
}

// refusedJob is a job that its caller may hand in again; its latency objective counts from
// the first attempt.
type refusedJob struct{ first, useless time.Duration }

type pendingJob struct {
	incoming dispatch.Incoming
	at       time.Duration
}

// service is what the gate has learned of a service's room.
type service struct {
	carried   float64
	carriedAt time.Duration
	profile   profile
	arrivals  map[int]*arrivals // accepted, by priority
	returns   map[returnQueue]*returns
}

// arrivals is the rate of the work that arrives, in shares of the room and seconds for which
// they are needed.
type arrivals struct {
	seconds [len(memories)]rate
	room    rate // with the longest time constant
}

// returnQueue names the callers that were refused for the same queue ahead.
type returnQueue struct {
	priority int
	reason   Reason
	team     string // "" unless the queue is the team's own
}

// returns is the time in seconds that the work of those that are expected to return takes.
type returns struct {
	work float64
	at   time.Duration
}

// New returns a gate without a forecast, which accepts all jobs.
func New() *Gate {
	return &Gate{services: map[string]*service{}, pending: map[model.JobID]pendingJob{}, refused: map[model.JobID]refusedJob{}}
}

// ForecastAge returns the age of the forecast.
func (g *Gate) ForecastAge(now time.Duration) time.Duration {
	if g.forecast == nil {
		return time.Hour
	}
	return now - g.at
}

// Update replaces the forecast, which includes the jobs for which held is true.
func (g *Gate) Update(forecast *dispatch.Forecast, now time.Duration, held func(model.JobID) bool) {
	g.forecast, g.at = forecast, now
	maps.DeleteFunc(g.pending, func(id model.JobID, p pendingJob) bool { return held(id) || now-p.at > pendingKept })
	maps.DeleteFunc(g.refused, func(_ model.JobID, r refusedJob) bool { return now > r.useless })
	for name, room := range forecast.Rooms {
		s := g.service(name, now)
		used := shareOf(room.Used, room.Capacity).most()
		waiting := sum(room.Waiting, room.Capacity)
		sample := 1.0
		if used >= fullShare && waiting.drain(shareOf(room.Free(), room.Capacity)) > standingQueue {
			sample = used
		}
		weight := min(1, float64(now-s.carriedAt)/float64(carriedMemory))
		s.carried, s.carriedAt = s.carried+weight*(sample-s.carried), now
		s.profile = newProfile(room, s.carried)
	}
}

func (g *Gate) service(name string, now time.Duration) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{carried: 1, carriedAt: now, arrivals: map[int]*arrivals{}, returns: map[returnQueue]*returns{}}
		g.services[name] = s
	}
	return s
}

// Known reports whether the job was accepted and is not part of the forecast yet.
func (g *Gate) Known(id model.JobID) bool {
	_, known := g.pending[id]
	return known
}

// Judge returns the refusal of a job that arrives at the given times, or nil if it is
// accepted. A job that is judged must not be known.
func (g *Gate) Judge(id model.JobID, spec *dispatch.JobSpec, now time.Duration, wall time.Time) *Refusal {
	if g.forecast == nil {
		return nil
	}
	incoming, ok := g.forecast.Incoming(spec, wall)
	room := g.forecast.Rooms[incoming.Service]
	if !ok || room == nil || room.Capacity.IsZero() {
		return nil
	}
	if incoming.Useless < incoming.Advice+incoming.Path {
		return nil // no room would help
	}
	earlier, returned := g.refused[id]
	if returned {
		incoming.Objective -= now - earlier.first
		incoming.Useless -= now - earlier.first
	}
	s := g.service(incoming.Service, now)
	full := shareOf(room.Used, room.Capacity).most() >= fullShare
	if full || returned && incoming.Useless < incoming.Advice+incoming.Path {
		if refusal := g.judge(s, room, &incoming, now, wall); refusal != nil {
			if !returned && len(g.refused) < maxRefused {
				g.refused[id] = refusedJob{now, now + incoming.Useless}
			}
			return refusal
		}
	}
	delete(g.refused, id)
	g.pending[id] = pendingJob{incoming, now}
	s.arrived(incoming.Priority, sum(incoming.All, room.Capacity), now)
	return nil
}

func (s *service) arrived(priority int, w work, now time.Duration) {
	a, ok := s.arrivals[priority]
	if !ok {
		a = &arrivals{}
		s.arrivals[priority] = a
	}
	for i, memory := range memories {
		a.seconds[i].add(w.seconds.most(), now, memory)
	}
	a.room.add(w.room.most(), now, memories[len(memories)-1])
}

// arriving returns the accepted work of the queues for which the condition holds, and the
// share of the room that it takes now.
func (s *service) arriving(now time.Duration, condition func(priority int) bool) (flows []flow, total float64) {
	last := len(memories) - 1
	for priority, a := range s.arrivals {
		room := a.room.value(now, memories[last])
		if room <= 0 || !condition(priority) {
			continue
		}
		var f flow
		for i, memory := range memories {
			f.shares[i] = a.seconds[i].value(now, memory)
		}
		f.runTime = seconds(f.shares[last] / room)
		flows, total = append(flows, f), total+f.shares[0]
	}
	return flows, total
}

// judge decides on a job of a service that is full.
func (g *Gate) judge(s *service, room *dispatch.Room, in *dispatch.Incoming, now time.Duration, wall time.Time) *Refusal {
	q := g.queueAhead(room, in, wall)
	inTime, useless := in.Objective-in.Path, in.Useless-in.Path
	steps := int(min(max(0, in.Useless), maxAhead)/dispatch.ForecastStep) + 1
	urgent, taken := s.arriving(now, func(priority int) bool { return priority < in.Priority })
	left := s.profile.less(urgent, steps)
	start, reason := q.start(in, g.forecast.Teams, left)
	if start.Seconds() <= startMargin*inTime.Seconds() {
		return nil
	}
	// It will be late, and is then placed after all that is in time. Less urgent work that
	// arrives would go before it too, but may stop arriving.
	if max(q.late.wait(left), q.limited.drain(q.freeOfLimit)) <= useless {
		return nil
	}
	refusal := &Refusal{
		Reason: reason, Start: start, Deadline: inTime, Ahead: seconds(q.ahead.seconds.most()),
		Carried: s.carried, Taken: taken,
	}
	refusal.RetryAfter = s.retryAfter(q, in, refusal, now)
	return refusal
}

// retryAfter returns the earliest time at which there can be room for a refused job: when
// so much of what is ahead has started that the rest leaves it enough time, and those that
// were refused before it have returned. Arriving work can put that off.
func (s *service) retryAfter(q *queue, in *dispatch.Incoming, refusal *Refusal, now time.Duration) time.Duration {
	key := returnQueue{priority: in.Priority, reason: refusal.Reason}
	ahead, own := q.ahead.seconds.most()/s.carried, q.own.seconds.most()/s.carried
	if refusal.Reason != WantOfRoom {
		key.team = in.Team
	}
	if refusal.Reason == TeamLimit {
		ahead, own = q.limited.seconds.most(), q.ownOfLimit.seconds.most()
	}
	after := seconds(ahead) - max(0, refusal.Deadline) + s.returning(key, own, now)
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// returning adds a refused caller to those of its queue that are expected to return, whose
// work takes so many seconds, and returns the seconds of those before it.
func (s *service) returning(key returnQueue, work float64, now time.Duration) time.Duration {
	r, ok := s.returns[key]
	if !ok {
		r = &returns{}
		s.returns[key] = r
	}
	before := max(0, r.work-(now-r.at).Seconds())
	r.work, r.at = before+work, now
	return seconds(before)
}

// seconds returns the number of seconds, at most a year, as a duration.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, 365*24*3600) * float64(time.Second))
}

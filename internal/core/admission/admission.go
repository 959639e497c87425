// Package admission decides whether the cell takes a job that has just arrived or
// refuses it because it can't be served in time.
//
// The load that it answers: a cell that uses three quarters of its room on a calm day
// and gets two or three times as much for some seconds, or stands still for some
// seconds while jobs go on arriving. An owner that takes everything then has a queue
// of several seconds' work that calm load drains slowly or never, and each job behind
// it is late. Refusing what would start too late keeps the queue short enough for the
// jobs that were taken.
//
// A Controller estimates the time until the last of a job's tasks starts by Little's
// law: what waits at its urgency or above and the job itself, divided by what has been
// placed a second while a queue stood. It does so for tasks, CPU and work separately and takes the longest
// time, so that the rate of the resource that is scarce decides, be it room, the
// owner's processor or the placement policy.
//
// A team to which most of what waits belongs, and more than its share, is refused as
// soon as a queue stands, so that its crowd does not get the less urgent jobs of others
// refused.
//
// It has no clock, does no I/O and is not safe for concurrent use. Its decisions depend
// on its inputs alone.
package admission

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// standingAge is the age of the oldest waiting step from which a queue stands. No
	// job is refused while none does.
	standingAge = 300 * time.Millisecond
	// slackShare is the part of a job's slack that the expected wait may use. The rest
	// is for the error of the estimate, for orders and for reports.
	slackShare = 0.4
	// rateMemory is the time constant of the measured rates, and the time without a
	// standing queue after which they are forgotten.
	rateMemory = time.Second
	// arrivalMemory is the time constant of the rate at which jobs are admitted.
	arrivalMemory = 5 * time.Second
	// maxInterval is the longest time between two observations that counts for a rate.
	// In a longer one the owner stood still, which says nothing about its rate.
	maxInterval = time.Second
	// initialShare is the part of the capacity that is assumed to be usable for new
	// tasks before a rate has been measured.
	initialShare = 0.7
	// minCapacityShare and maxUrgentShare bound the effect of a standstill and of a
	// burst of more urgent jobs on the rate that is left for a job.
	minCapacityShare = 0.05
	maxUrgentShare   = 0.5
	// ownShare bounds the part of the longest wait that the job's own work takes up.
	ownShare = 0.25
	// crowdShare is the part of the waiting work from which one team's crowd is what
	// delays the others.
	crowdShare = 0.5
	// MaxRetryAfter is the longest time after which a refused job is asked to return.
	MaxRetryAfter = 10 * time.Second
)

// Demand is an amount of tasks: their number, the CPU that they hold in thousandths of
// a processor, and that CPU times their estimated run time in seconds. As a rate it is
// the amount a second.
type Demand struct {
	Tasks, MilliCPU, Work float64
}

// Add returns the sum.
func (d Demand) Add(other Demand) Demand {
	return Demand{d.Tasks + other.Tasks, d.MilliCPU + other.MilliCPU, d.Work + other.Work}
}

// Scale returns the amount times the factor.
func (d Demand) Scale(factor float64) Demand {
	return Demand{d.Tasks * factor, d.MilliCPU * factor, d.Work * factor}
}

func (d Demand) sub(other Demand) Demand { return d.Add(other.Scale(-1)) }

// blend returns the amount moved towards target by the share.
func (d Demand) blend(target Demand, share float64) Demand {
	return d.Scale(1 - share).Add(target.Scale(share))
}

func (d Demand) max(other Demand) Demand {
	return Demand{math.Max(d.Tasks, other.Tasks), math.Max(d.MilliCPU, other.MilliCPU), math.Max(d.Work, other.Work)}
}

func (d Demand) min(other Demand) Demand {
	return Demand{math.Min(d.Tasks, other.Tasks), math.Min(d.MilliCPU, other.MilliCPU), math.Min(d.Work, other.Work)}
}

// Group is what waits of one team at one priority and can still be of use to its
// callers, without long-running tasks.
type Group struct {
	Priority int // of the queue; lower values are more urgent
	Team     string
	Waiting  Demand
	Oldest   time.Duration // longest time that one of the steps has waited
	// Held is the part of Waiting that the team's own limit keeps from running, and
	// HeldOldest the longest wait in it. Neither counts against other teams.
	Held       Demand
	HeldOldest time.Duration
}

// Team is a team with waiting or running tasks.
type Team struct {
	Weight float64
	// LimitMilliCPU is the most CPU that the team may have running, zero for no limit.
	LimitMilliCPU float64
}

// Backlog is a snapshot of the cell.
type Backlog struct {
	Taken    time.Duration // clock reading
	Capacity float64       // CPU of the workers for tasks that end, in thousandths of a processor
	Free     float64       // CPU of it that is not in use, in thousandths of a processor
	Placed   Demand        // all tasks placed since an arbitrary start
	Groups   []Group
	Teams    map[string]Team
	// InFlight is the number of placed tasks whose start is not confirmed, and
	// InFlightOldest the longest time that one of them has been waiting.
	InFlight       float64
	InFlightOldest time.Duration
	// Standing is the longest time that a step has waited, those included whose result
	// is of no use any more.
	Standing time.Duration
}

// begun returns what was placed, with the number of the tasks that were started since.
func (b *Backlog) begun() Demand {
	begun := b.Placed
	begun.Tasks -= b.InFlight
	return begun
}

// Job is a job that has arrived.
type Job struct {
	ID       string
	Team     string
	Priority int
	// Objective is the time within which the job is to be done, and CriticalPath the
	// part of it that its longest chain of steps needs. Without an objective a job is
	// always admitted.
	Objective, CriticalPath time.Duration
	Demand                  Demand
	// Exempt jobs are always admitted: those with long-running tasks or with times.
	Exempt bool
}

// Bound names what the expected wait of a job comes from.
type Bound string

// The bounds.
const (
	BoundNone  Bound = "none"       // nothing is known yet
	BoundTasks Bound = "tasks"      // confirmed starts a second
	BoundCPU   Bound = "cpu"        // CPU that becomes free a second
	BoundWork  Bound = "work"       // work that the workers do a second
	BoundLimit Bound = "team_limit" // the team's own limit
)

// Decision is the answer for one job and what it was based on.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // whole seconds, at least one; zero for an admitted job
	Wait       time.Duration // expected time until the last task of the first steps starts
	Limit      time.Duration // longest expected wait with which the job is admitted; zero for none
	Bound      Bound
	Crowd      bool          // most of what waits is the team's, and more than its share
	Ahead      Demand        // that waits at the job's urgency or above
	InFlight   float64       // placed tasks whose start is not confirmed
	Rate       Demand        // a second that is left for the job's priority
	Age        time.Duration // of the snapshot
}

// Controller decides for one owner of the cell. The zero value is ready to use.
type Controller struct {
	backlog  Backlog
	observed bool
	rate     Demand // placed a second while a queue stands; zero dimensions are unknown
	// lastStanding is the time of the last snapshot with a standing queue.
	lastStanding time.Duration
	// admitted is what was admitted since the snapshot, by priority, and arriving what
	// is admitted a second.
	admitted map[int]Demand
	arriving map[int]Demand
}

// Observe replaces the snapshot and updates the rates.
func (c *Controller) Observe(backlog Backlog) {
	interval := backlog.Taken - c.backlog.Taken
	if !c.observed || interval <= 0 {
		c.start(backlog)
		return
	}
	c.measureArrivals(interval)
	if backlog.Standing >= standingAge {
		c.lastStanding = backlog.Taken
	}
	switch {
	case interval > maxInterval:
	case c.backlog.Standing >= standingAge && backlog.Standing >= standingAge:
		sample := backlog.begun().sub(c.backlog.begun()).max(Demand{}).Scale(1 / interval.Seconds())
		if c.rate.Tasks == 0 {
			c.rate.Tasks, c.rate.MilliCPU = sample.Tasks, sample.MilliCPU
		}
		c.rate = c.rate.blend(sample, weightOf(interval, rateMemory))
	case backlog.Taken-c.lastStanding > rateMemory:
		c.rate = Demand{Work: backlog.Capacity}
	}
	c.rate.Work = math.Max(math.Min(c.rate.Work, backlog.Capacity), minCapacityShare*backlog.Capacity)
	c.backlog = backlog
}

// measureArrivals updates the rates at which jobs are admitted.
func (c *Controller) measureArrivals(interval time.Duration) {
	weight := weightOf(interval, arrivalMemory)
	for priority := range c.admitted {
		c.arriving[priority] = c.arriving[priority].Add(Demand{}) // so that it has an entry
	}
	for priority, rate := range c.arriving {
		c.arriving[priority] = rate.blend(c.admitted[priority].Scale(1/interval.Seconds()), weight)
	}
	clear(c.admitted)
}

// weightOf returns the weight of a sample over the interval in an exponentially
// weighted mean with the time constant.
func weightOf(interval, constant time.Duration) float64 {
	return 1 - math.Exp(-interval.Seconds()/constant.Seconds())
}

func (c *Controller) start(backlog Backlog) {
	c.backlog, c.observed = backlog, true
	c.rate = Demand{Work: initialShare * backlog.Capacity}
	c.admitted, c.arriving = map[int]Demand{}, map[int]Demand{}
}

// Decide decides about the job. What is admitted counts as waiting for the jobs after
// it until the next snapshot.
func (c *Controller) Decide(job Job, now time.Duration) Decision {
	d := c.Estimate(job, now)
	if d.Admitted && c.observed && !job.Exempt {
		c.admitted[job.Priority] = c.admitted[job.Priority].Add(job.Demand)
		c.addWaiting(job)
	}
	return d
}

func (c *Controller) addWaiting(job Job) {
	for i := range c.backlog.Groups {
		g := &c.backlog.Groups[i]
		if g.Priority == job.Priority && g.Team == job.Team {
			g.Waiting = g.Waiting.Add(job.Demand)
			return
		}
	}
	c.backlog.Groups = append(c.backlog.Groups, Group{Priority: job.Priority, Team: job.Team, Waiting: job.Demand})
}

// Estimate returns the decision about the job without any effect on later ones.
func (c *Controller) Estimate(job Job, now time.Duration) Decision {
	d := Decision{Admitted: true, Bound: BoundNone, Age: now - c.backlog.Taken}
	if !c.observed || c.backlog.Capacity <= 0 {
		return d
	}
	slack := max(0, job.Objective-job.CriticalPath)
	d.Limit = max(time.Duration(slackShare*float64(slack)), standingAge)
	q := c.queueFor(job)
	q.job = c.counted(job.Demand, d.Limit)
	if d.Crowd = q.crowd; d.Crowd {
		d.Limit = standingAge
	}
	d.Ahead, d.InFlight, d.Rate = q.ahead, q.inFlight, q.rate
	d.Wait, d.Bound = q.wait()
	if job.Exempt || job.Objective <= 0 {
		d.Limit = 0
		return d
	}
	if !q.stands || d.Wait <= d.Limit {
		return d
	}
	d.Admitted = false
	d.RetryAfter = retryAfter(job.ID, d.Wait-d.Limit)
	return d
}

// counted returns the part of a job's demand that counts for its own wait: a job that
// is wide for the capacity is not refused for its width alone.
func (c *Controller) counted(demand Demand, limit time.Duration) Demand {
	most := ownShare * limit.Seconds() * c.backlog.Capacity
	if demand.Work <= most {
		return demand
	}
	return demand.Scale(most / demand.Work)
}

// ExpectedWait returns the time that a job of the priority is expected to wait for its
// first start if its team's share does not help it.
func (c *Controller) ExpectedWait(priority int) time.Duration {
	if !c.observed {
		return 0
	}
	q := c.queueFor(Job{Priority: priority})
	q.own, q.share = q.ahead, 1
	wait, _ := q.wait()
	return wait
}

// queue is what a job of one team and priority finds before it.
type queue struct {
	ahead    Demand        // of its priority or a more urgent one
	urgent   Demand        // of more urgent priorities
	own      Demand        // of its team at its priority
	rate     Demand        // placed a second, without what more urgent jobs take
	job      Demand        // of the job itself
	free     float64       // CPU that is not in use
	inFlight float64       // starts under way, which are served in turn
	share    float64       // of its team
	heldWait time.Duration // behind its team's own limit
	crowd    bool          // as in Decision
	stands   bool          // a part of it has waited for standingAge
}

func (c *Controller) queueFor(job Job) queue {
	q := queue{share: c.share(job.Team), free: c.backlog.Free, inFlight: c.backlog.InFlight, stands: c.backlog.InFlightOldest >= standingAge}
	var held Demand
	heldStands := false
	total, teamTotal := 0.0, 0.0 // work at all priorities
	for _, g := range c.backlog.Groups {
		free := g.Waiting.sub(g.Held).max(Demand{})
		total += free.Work
		if g.Team == job.Team {
			teamTotal += free.Work
		}
		if g.Priority > job.Priority {
			continue
		}
		if g.Team == job.Team {
			held = held.Add(g.Held)
			heldStands = heldStands || g.HeldOldest >= standingAge
		}
		q.ahead = q.ahead.Add(free)
		q.stands = q.stands || g.Oldest >= standingAge
		switch {
		case g.Priority < job.Priority:
			q.urgent = q.urgent.Add(free)
		case g.Team == job.Team:
			q.own = q.own.Add(free)
		}
	}
	q.crowd = teamTotal > math.Max(q.share, crowdShare)*total
	if limit := c.backlog.Teams[job.Team].LimitMilliCPU; limit > 0 && heldStands {
		q.heldWait, q.stands = seconds(held.Work/limit), true
	}
	var taken Demand
	for priority, rate := range c.arriving {
		if priority < job.Priority {
			taken = taken.Add(rate)
		}
	}
	q.rate = c.rate.sub(taken).max(c.rate.Scale(1 - maxUrgentShare)).min(c.rate)
	return q
}

// share returns the team's part of the rate while all teams with tasks want more.
func (c *Controller) share(team string) float64 {
	total, own := 0.0, 1.0
	for name, t := range c.backlog.Teams {
		if name == team {
			own = t.weight()
		}
		total += t.weight()
	}
	if _, known := c.backlog.Teams[team]; !known {
		total += own
	}
	return own / total
}

// weight returns the team's weight, at least 1, which a team without a weight gets.
func (t Team) weight() float64 { return math.Max(t.Weight, 1) }

// wait returns the expected time until the last task of the job starts. A team waits for
// what is ahead of it, but no longer than it takes to serve its own queue at its share
// once the more urgent ones are served: the scheduler prefers teams below their share.
func (q *queue) wait() (time.Duration, Bound) {
	longest, bound := time.Duration(0), BoundNone
	beyond := q.beyondFree()
	for _, resource := range []struct {
		bound                                Bound
		first, ahead, urgent, own, job, rate float64
	}{
		{BoundTasks, q.inFlight, q.ahead.Tasks, q.urgent.Tasks, q.own.Tasks, q.job.Tasks, q.rate.Tasks},
		{BoundCPU, 0, beyond * q.ahead.MilliCPU, beyond * q.urgent.MilliCPU, beyond * q.own.MilliCPU, beyond * q.job.MilliCPU, q.rate.MilliCPU},
		{BoundWork, 0, beyond * q.ahead.Work, beyond * q.urgent.Work, beyond * q.own.Work, beyond * q.job.Work, q.rate.Work},
	} {
		if resource.rate <= 0 {
			continue // not known yet
		}
		fair := resource.urgent + (resource.own+resource.job)/q.share
		if wait := seconds((resource.first + math.Min(resource.ahead+resource.job, fair)) / resource.rate); wait > longest {
			longest, bound = wait, resource.bound
		}
	}
	if q.heldWait > longest {
		return q.heldWait, BoundLimit
	}
	return longest, bound
}

// beyondFree returns the part of what waits and of the job that has to wait until running
// tasks end.
func (q *queue) beyondFree() float64 {
	demand := q.ahead.MilliCPU + q.job.MilliCPU
	if demand <= q.free {
		return 0
	}
	return (demand - q.free) / demand
}

// maxWait keeps an estimate within the range of a Duration.
const maxWait = time.Hour

func seconds(s float64) time.Duration {
	if s >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(s * float64(time.Second))
}

// retryAfter returns the whole seconds after which there should be room if the queue
// drains for the given time. The returns of jobs that were refused together are spread
// over half of it.
func retryAfter(id string, drain time.Duration) time.Duration {
	whole := min(max(1, int64(math.Ceil(drain.Seconds()))), int64(MaxRetryAfter/time.Second))
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))              // never fails
	place := float64(hash.Sum32()) / (1 << 32) // at least 0 and less than 1
	spread := int64(place * float64(whole/2+1))
	return min(time.Duration(whole+spread)*time.Second, MaxRetryAfter)
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const testCapacity = 1000_000 // thousandths of a processor

// standing returns a snapshot with the work, in seconds of the whole capacity, that one
// team's queue of priority 1 holds.
func standing(taken time.Duration, seconds float64) Backlog {
	return Backlog{
		Taken: taken, Capacity: testCapacity, Standing: time.Second,
		Groups: []Group{{Priority: 1, Team: "a", Oldest: time.Second, Waiting: Demand{Tasks: 100 * seconds, MilliCPU: 100_000, Work: testCapacity * seconds}}},
		Teams:  map[string]Team{"a": {Weight: 1}},
	}
}

func testJob(id string) Job {
	return Job{
		ID: id, Team: "a", Priority: 1, Objective: 11 * time.Second, CriticalPath: time.Second,
		Demand: Demand{Tasks: 10, MilliCPU: 10_000, Work: 10_000},
	}
}

func TestNewOwnerRefusesWhatItsRestoredQueueDelays(t *testing.T) {
	var c Controller
	assert.True(t, c.Decide(testJob("a"), 0).Admitted, "nothing is known yet")
	c.Observe(standing(time.Second, 2)) // 2.9 s at the initial rate
	d := c.Decide(testJob("a"), time.Second)
	assert.True(t, d.Admitted, "%+v", d)

	c = Controller{}
	c.Observe(standing(time.Second, 3)) // 4.3 s, of 4 s that the job may wait
	d = c.Decide(testJob("a"), time.Second+50*time.Millisecond)
	assert.False(t, d.Admitted, "%+v", d)
	assert.Equal(t, BoundWork, d.Bound)
	assert.Equal(t, 4*time.Second, d.Limit)
	assert.Equal(t, 50*time.Millisecond, d.Age)
	assert.GreaterOrEqual(t, d.RetryAfter, time.Second)
}

func TestRateIsMeasuredWhileAQueueStands(t *testing.T) {
	var c Controller
	now := time.Second
	backlog := standing(now, 3)
	c.Observe(backlog)
	for range 50 { // the workers take 0.95 of what they could
		now += 100 * time.Millisecond
		placed := backlog.Placed.Add(Demand{Tasks: 10, MilliCPU: 50_000, Work: 0.095 * testCapacity})
		backlog = standing(now, 3)
		backlog.Placed = placed
		c.Observe(backlog)
	}
	d := c.Estimate(testJob("a"), now)
	assert.True(t, d.Admitted, "%+v", d)
	assert.InDelta(t, 3/0.95, d.Wait.Seconds(), 0.1)

	for range 50 { // starts become slow, whatever the reason
		now += 100 * time.Millisecond
		placed := backlog.Placed.Add(Demand{Tasks: 2, MilliCPU: 50_000, Work: 0.095 * testCapacity})
		backlog = standing(now, 3)
		backlog.Placed = placed
		c.Observe(backlog)
	}
	d = c.Estimate(testJob("a"), now)
	assert.False(t, d.Admitted, "%+v", d)
	assert.Equal(t, BoundTasks, d.Bound)
	assert.InDelta(t, 15, d.Wait.Seconds(), 1)
}

func TestStandstillOfTheOwnerIsNoRate(t *testing.T) {
	var c Controller
	c.Observe(standing(time.Second, 1))
	before := c.Estimate(testJob("a"), time.Second).Rate
	c.Observe(standing(5*time.Second, 1))
	assert.Equal(t, before, c.Estimate(testJob("a"), 5*time.Second).Rate)
}

func TestAllIsAdmittedOnceNoQueueStands(t *testing.T) {
	var c Controller
	c.Observe(standing(time.Second, 100))
	assert.False(t, c.Decide(testJob("a"), time.Second).Admitted)
	c.Observe(Backlog{Taken: 1100 * time.Millisecond, Capacity: testCapacity})
	assert.True(t, c.Decide(testJob("a"), 1100*time.Millisecond).Admitted)
	for now := 1200 * time.Millisecond; now < 4*time.Second; now += 100 * time.Millisecond {
		c.Observe(Backlog{Taken: now, Capacity: testCapacity})
	}
	assert.InDelta(t, testCapacity, c.Estimate(testJob("a"), 4*time.Second).Rate.Work, 1, "the slow times are forgotten")
}

func TestAdmittedJobsCountUntilTheNextSnapshot(t *testing.T) {
	var c Controller
	c.Observe(standing(time.Second, 2))
	admitted := 0
	for i := range 1000 {
		if c.Decide(testJob(fmt.Sprint(i)), time.Second).Admitted {
			admitted++
		}
	}
	assert.Positive(t, admitted)
	assert.Less(t, admitted, 1000)
}

func TestUrgentArrivalsSlowDownTheLessUrgent(t *testing.T) {
	var c Controller
	now := time.Second
	c.Observe(standing(now, 3))
	urgent := testJob("u")
	urgent.Priority, urgent.Demand = 0, Demand{Work: 0.05 * testCapacity}
	for range 150 { // half of the capacity goes to them
		now += 100 * time.Millisecond
		backlog := standing(now, 3)
		backlog.Placed = Demand{Tasks: 1, MilliCPU: 1, Work: testCapacity}.Scale((now - time.Second).Seconds())
		c.Observe(backlog)
		assert.True(t, c.Decide(urgent, now).Admitted)
	}
	assert.InDelta(t, 0.5, c.Estimate(testJob("a"), now).Rate.Work/testCapacity, 0.1)
}

func TestTeamBelowItsShareIsAdmittedBesideACrowd(t *testing.T) {
	var c Controller
	backlog := standing(time.Second, 100)
	backlog.Teams["b"] = Team{Weight: 1}
	c.Observe(backlog)
	job := testJob("x")
	assert.False(t, c.Estimate(job, time.Second).Admitted)
	job.Team = "b"
	assert.True(t, c.Estimate(job, time.Second).Admitted)
}

func TestCrowdOfOneTeamIsRefusedBeforeOthers(t *testing.T) {
	var c Controller
	backlog := standing(time.Second, 1.5)
	backlog.Groups = append(backlog.Groups, Group{Priority: 1, Team: "b", Oldest: time.Second, Waiting: Demand{Work: 0.75 * testCapacity}})
	backlog.Teams["b"] = Team{Weight: 1}
	c.Observe(backlog)
	job := testJob("x")
	d := c.Estimate(job, time.Second)
	assert.True(t, d.Crowd)
	assert.False(t, d.Admitted, "%+v", d)
	job.Team, job.Priority = "b", 2
	assert.True(t, c.Estimate(job, time.Second).Admitted)

	backlog.Teams["a"] = Team{Weight: 3}
	c.Observe(backlog)
	assert.True(t, c.Estimate(testJob("x"), time.Second).Admitted, "two thirds of what waits are within its share")
}

func TestQueueBehindATeamsOwnLimitDelaysOnlyThatTeam(t *testing.T) {
	var c Controller
	backlog := standing(time.Second, 10)
	g := &backlog.Groups[0]
	g.Held, g.HeldOldest, g.Oldest = g.Waiting, g.Oldest, 0
	backlog.Teams["a"] = Team{Weight: 1, LimitMilliCPU: testCapacity / 10}
	backlog.Standing = 0
	c.Observe(backlog)
	d := c.Estimate(testJob("x"), time.Second)
	assert.False(t, d.Admitted)
	assert.Equal(t, BoundLimit, d.Bound)
	assert.Equal(t, 100*time.Second, d.Wait)
	job := testJob("x")
	job.Team = "b"
	assert.True(t, c.Estimate(job, time.Second).Admitted)
}

func TestJobsWithoutObjectiveOrWithTimesAreAdmitted(t *testing.T) {
	var c Controller
	c.Observe(standing(time.Second, 1000))
	job := testJob("x")
	job.Objective = 0
	assert.True(t, c.Decide(job, time.Second).Admitted)
	job = testJob("x")
	job.Exempt = true
	assert.True(t, c.Decide(job, time.Second).Admitted)
}

func TestReturnsAreSpread(t *testing.T) {
	seen := map[time.Duration]int{}
	for i := range 1000 {
		after := retryAfter(fmt.Sprintf("%016x", i), 3500*time.Millisecond)
		assert.Equal(t, after, retryAfter(fmt.Sprintf("%016x", i), 3500*time.Millisecond))
		seen[after]++
	}
	assert.Len(t, seen, 3)
	for after, count := range seen {
		assert.GreaterOrEqual(t, after, 4*time.Second)
		assert.LessOrEqual(t, after, 6*time.Second)
		assert.Greater(t, count, 200, "after %v", after)
	}
	assert.Equal(t, time.Second, retryAfter("x", time.Millisecond))
	assert.LessOrEqual(t, retryAfter("x", time.Hour), MaxRetryAfter)
}

var testTeams = []string{"a", "b", "c"}

// drawControl returns a controller after some snapshots and decisions, and the time.
func drawControl(t *rapid.T) (*Controller, time.Duration) {
	c := &Controller{}
	now := time.Second
	var placed Demand
	for range rapid.IntRange(1, 6).Draw(t, "snapshots") {
		now += time.Duration(rapid.IntRange(50, 3000).Draw(t, "interval")) * time.Millisecond
		placed = placed.Add(drawDemand(t, "placed"))
		c.Observe(drawBacklog(t, now, placed))
		for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
			c.Decide(drawJob(t), now)
		}
	}
	return c, now
}

func drawDemand(t *rapid.T, label string) Demand {
	draw := func(most float64) float64 { return rapid.Float64Range(0, most).Draw(t, label) }
	return Demand{Tasks: draw(10_000), MilliCPU: draw(testCapacity), Work: draw(20 * testCapacity)}
}

func drawBacklog(t *rapid.T, now time.Duration, placed Demand) Backlog {
	b := Backlog{Taken: now, Placed: placed, Capacity: testCapacity, Teams: map[string]Team{}}
	for _, team := range testTeams {
		b.Teams[team] = Team{
			Weight:        rapid.Float64Range(0, 5).Draw(t, "weight"),
			LimitMilliCPU: rapid.SampledFrom([]float64{0, testCapacity / 10}).Draw(t, "limit"),
		}
		for priority := range 3 {
			g := Group{Priority: priority, Team: team, Waiting: drawDemand(t, "waiting"), Oldest: drawAge(t)}
			if rapid.Bool().Draw(t, "held") {
				g.Held, g.HeldOldest, g.Oldest = g.Waiting, g.Oldest, 0
			}
			b.Standing = max(b.Standing, g.Oldest)
			b.Groups = append(b.Groups, g)
		}
	}
	return b
}

func drawAge(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
}

func drawJob(t *rapid.T) Job {
	path := time.Duration(rapid.IntRange(100, 10_000).Draw(t, "path")) * time.Millisecond
	return Job{
		ID: rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id"), Team: rapid.SampledFrom(append(testTeams, "new")).Draw(t, "team"),
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Demand: drawDemand(t, "demand"),
		CriticalPath: path, Objective: 3 * path,
	}
}

func TestDecisionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := drawControl(t)
		job := drawJob(t)
		d := c.Estimate(job, now)
		if d.Admitted {
			assert.Zero(t, d.RetryAfter)
		} else {
			assert.Zero(t, d.RetryAfter%time.Second)
			assert.GreaterOrEqual(t, d.RetryAfter, time.Second)
			assert.LessOrEqual(t, d.RetryAfter, MaxRetryAfter)
		}
		assert.Equal(t, d, c.Estimate(job, now), "an estimate has no effect")

		less := job
		less.Priority += rapid.IntRange(0, 2).Draw(t, "less urgent by")
		if c.Estimate(less, now).Admitted {
			assert.True(t, d.Admitted, "the more urgent job is refused while the less urgent one is admitted: %+v", d)
		}

		grown := *c
		grown.backlog.Groups = append([]Group(nil), c.backlog.Groups...)
		i := rapid.IntRange(0, len(grown.backlog.Groups)-1).Draw(t, "group")
		grown.backlog.Groups[i].Waiting = grown.backlog.Groups[i].Waiting.Add(drawDemand(t, "more"))
		after := grown.Estimate(job, now)
		assert.GreaterOrEqual(t, after.Wait, d.Wait, "more waits")
		if !d.Admitted && d.Crowd == after.Crowd {
			assert.False(t, after.Admitted)
			assert.GreaterOrEqual(t, after.RetryAfter, d.RetryAfter)
		}

		c.Observe(Backlog{Taken: now + 100*time.Millisecond, Capacity: testCapacity})
		assert.True(t, c.Estimate(job, now+100*time.Millisecond).Admitted, "nothing waits")
	})
}

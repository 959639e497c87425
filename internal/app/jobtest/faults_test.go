package jobtest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

const (
	faultSeeds  = 40
	faultEvents = 25
	// takeoverDelay is the time for which a partition has no owner after its
	// owner was killed.
	takeoverDelay = 2 * time.Second
	// settleTime is the time after the last fault in which all jobs must end.
	settleTime = 10 * time.Minute
)

// chaos injects faults into a cell in a random order that depends on a seed.
type chaos struct {
	*cell
	random   *rand.Rand
	jobs     []model.JobID
	killedAt map[model.PartitionID]time.Time
}

// step injects or clears one fault, or submits a job.
func (c *chaos) step() {
	switch c.random.IntN(10) {
	case 0, 1:
		c.killRandomOwner()
	case 2:
		c.toggleUnresponsive()
	case 3:
		c.mu.Lock()
		c.startAnswersToLose = c.random.IntN(5)
		c.mu.Unlock()
	case 4:
		c.logs.SetFaults(porttest.Faults{Down: c.random.IntN(2) == 0, LoseAnswers: c.random.IntN(2) == 0})
	case 5:
		c.logs.SetFaults(faultsNone)
	case 6:
		c.toggleDomain()
	case 7:
		c.restartWorker()
	default:
		c.addJob()
	}
	c.replaceKilledOwners(takeoverDelay)
	time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
}

func (c *chaos) addJob() {
	job := batch(1+c.random.IntN(8), time.Duration(100+c.random.IntN(3000))*time.Millisecond)
	job.NonIdempotent = c.random.IntN(3) == 0
	if c.random.IntN(4) == 0 {
		job.Kind = model.WorkGang
	}
	if id, ok := c.trySubmit(job); ok {
		c.jobs = append(c.jobs, id)
	}
}

func (c *chaos) killRandomOwner() {
	ids := []model.PartitionID{rack0, rack1, teamPartition}
	id := ids[c.random.IntN(len(ids))]
	if _, killed := c.killedAt[id]; killed {
		return
	}
	c.killOwner(id)
	c.killedAt[id] = time.Now()
}

// replaceKilledOwners starts a new owner for each partition whose owner was killed
// at least the given time ago.
func (c *chaos) replaceKilledOwners(after time.Duration) {
	for id, since := range c.killedAt {
		if time.Since(since) >= after {
			delete(c.killedAt, id)
			c.startOwner(id)
		}
	}
}

func (c *chaos) randomWorker() string {
	return string(c.vms[c.random.IntN(len(c.vms))].ID)
}

func (c *chaos) toggleUnresponsive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := c.randomWorker()
	c.unresponsive[address] = !c.unresponsive[address]
}

func (c *chaos) restartWorker() {
	address := c.randomWorker()
	c.setGone(address, true)
	c.setGone(address, false)
}

func (c *chaos) toggleDomain() {
	domain := model.FailureDomain(fmt.Sprint("d", c.random.IntN(racks)))
	c.mu.Lock()
	out := !c.domainsOut[domain]
	c.domainsOut[domain] = out
	c.mu.Unlock()
	kind := history.DomainBack
	if out {
		kind = history.DomainOut
	}
	c.history.Add(history.Event{Kind: kind, Domain: domain})
}

// clearFaults clears all faults and replaces the killed owners.
func (c *chaos) clearFaults() {
	c.logs.SetFaults(faultsNone)
	c.mu.Lock()
	c.startAnswersToLose = 0
	clear(c.unresponsive)
	c.mu.Unlock()
	for domain := range c.domainsOut {
		c.mu.Lock()
		c.domainsOut[domain] = false
		c.mu.Unlock()
		c.history.Add(history.Event{Kind: history.DomainBack, Domain: domain})
	}
	c.replaceKilledOwners(0)
}

// awaitEnds fails the test for each accepted job that is neither done nor unknown
// within settleTime.
func (c *chaos) awaitEnds() {
	c.t.Helper()
	deadline := time.Now().Add(settleTime)
	for _, id := range c.jobs {
		state := ""
		for time.Now().Before(deadline) {
			state = c.status(id).GetState()
			if state == team.JobDone || state == team.JobUnknown || state == team.JobFailed {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if state != team.JobDone && state != team.JobUnknown {
			c.t.Errorf("job %s has state %q: %v", id, state, c.status(id))
		}
	}
}

// TestRandomFaults combines killed owners, unresponsive and restarting workers,
// lost answers, outages of the log and failure domains that are taken out and
// returned, and checks the starts and ends that the workers recorded.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &chaos{
					cell:     newCell(t),
					random:   rand.New(rand.NewPCG(seed, seed)),
					killedAt: map[model.PartitionID]time.Time{},
				}
				defer c.killAllOwners()
				time.Sleep(time.Second)
				for range faultEvents {
					c.step()
				}
				c.clearFaults()
				c.awaitEnds()
				c.checkHistory()
			})
		})
	}
}

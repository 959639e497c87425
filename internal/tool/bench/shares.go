package main

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/fairness"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

// The load of the share measurement and its clock.
const (
	settleTime      = 5 * time.Second // time for shares to converge before they are measured
	measureTime     = 5 * time.Second // time over which shares are averaged
	offerTick       = 5 * time.Millisecond
	summaryInterval = 250 * time.Millisecond
	meanRun         = time.Second
	offerWindow     = 64 // limit of an owner's offers in a tick and of its deferred tasks, per 50 workers
)

// teamState is a team of the share measurement with the state of its owner.
type teamState struct {
	demand        fairness.Demand
	used          model.Resources // placed and not ended, as known to the owner
	active        bool
	cap           *fairness.Cap
	targetShare   float64                            // dominant share, as last computed by the owner
	deferred      []deferredOffer                    // refused tasks that will be offered again
	firstRefusal  map[model.TaskID]time.Duration     // when a task was first refused
	heldRack      map[model.TaskID]model.PartitionID // rack that holds a worker for the task
	completedWork model.Resources                    // size times milliseconds of run time of completed tasks
	meanShare     float64                            // mean dominant share while it is measured
}

// deferredOffer is a refused task that is offered again at retryAt.
type deferredOffer struct {
	retryAt time.Duration
	offer   rack.Offer
}

// shareRun simulates team owners that decide independently of each other. Each
// knows only its own tasks and the racks' lagging summaries, and picks the racks
// that it offers tasks to.
type shareRun struct {
	cell      *cell
	gen       *taskGenerator
	teams     []*teamState
	total     model.Resources
	running   runningHeap
	now       time.Duration
	domainOut model.FailureDomain
	capped    bool
	window    int

	user    user
	workers int
}

func newShareRun(u user, workers int, policy rack.Policy, capped bool) *shareRun {
	s := &shareRun{cell: newCell(u.vms(workers), policy, teamCount), gen: newTaskGenerator(3, u.capacity), capped: capped, window: offerWindow * workers / u.workers,
		user: u, workers: workers}
	s.total = s.cell.capacity()
	// Weights, sizes and demands differ. The last team demands less than its share.
	weights := []float64{1, 1, 2, 3, 4, 4}
	sizes := []model.Resources{{MilliCPU: 1000, MemoryMiB: 1024}, {MilliCPU: 500, MemoryMiB: 4096},
		{MilliCPU: 2000, MemoryMiB: 4096}, {MilliCPU: 1000, MemoryMiB: 4096},
		{MilliCPU: 1000, MemoryMiB: 8192}, {MilliCPU: 2000, MemoryMiB: 2048}}
	for i := range teamCount {
		tasks := math.Inf(1)
		if i == teamCount-1 {
			tasks = 0.05 * float64(s.total.MilliCPU) / float64(sizes[i].MilliCPU)
		}
		s.teams = append(s.teams, &teamState{
			cap: fairness.NewCap(fairness.CapPolicy{}), firstRefusal: make(map[model.TaskID]time.Duration),
			heldRack: make(map[model.TaskID]model.PartitionID), demand: fairness.Demand{
				Team: teamID(i), Weight: weights[i], Task: sizes[i], Tasks: tasks, Limit: s.total,
			}})
	}
	for _, r := range s.cell.racks {
		r.SetDomainOut(func(d model.FailureDomain) bool { return d == s.domainOut })
	}
	return s
}

// greedyStart lets the first team fill the cell before the others become active.
func (s *shareRun) greedyStart() {
	s.teams[0].active = true
	s.run(s.now + time.Second)
	for _, team := range s.teams {
		team.active = true
	}
}

// run simulates the cell until a time on the virtual clock.
func (s *shareRun) run(until time.Duration) {
	for ; s.now < until; s.now += offerTick {
		s.completeTasks()
		if s.now%summaryInterval == 0 {
			s.cell.updateSummaries()
			s.updateTargetShares()
		}
		s.placeOffers()
	}
}

// updateTargets recomputes every owner's target share from the capacity in
// service.
func (s *shareRun) updateTargetShares() {
	if !s.capped {
		return
	}
	s.total = s.cell.capacity()
	demands := s.demands()
	idle := 1 - s.inUse()
	for i, tasks := range fairness.WaterFill(s.total, demands) {
		s.teams[i].targetShare = tasks * demands[i].Task.DominantShare(s.total)
		s.teams[i].cap.Update(idle, s.now)
	}
}

func (s *shareRun) demands() []fairness.Demand {
	demands := make([]fairness.Demand, len(s.teams))
	for i, team := range s.teams {
		demands[i] = team.demand
		if !team.active {
			demands[i].Tasks = 0
		}
	}
	return demands
}

func (s *shareRun) completeTasks() {
	for len(s.running) > 0 && s.running[0].end <= s.now {
		r := heap.Pop(&s.running).(runningTask)
		if _, known := s.cell.racks[r.rack].Ended(r.offer.Permit.ID, rack.ResultDone, s.now); !known {
			continue // the task was lost with its worker
		}
		team := s.teams[r.team]
		s.cell.views[r.team].Release(r.rack, r.offer.Size)
		team.used = team.used.Sub(r.offer.Size)
		team.completedWork = team.completedWork.Add(r.offer.Size.Scale((r.end - r.start).Milliseconds()))
	}
}

// placeOffers collects all owners' offers of a tick and has the racks place them.
func (s *shareRun) placeOffers() {
	byRack := make(map[model.PartitionID][]rack.Offer)
	for i := range s.teams {
		for _, batch := range s.cell.distribute(i, s.nextOffers(i), s.teams[i].heldRack) {
			byRack[batch.rack] = append(byRack[batch.rack], batch.offers...)
		}
	}
	for _, id := range s.cell.partitions {
		s.placeBatch(id, byRack[id])
	}
}

// nextOffers returns the offers of a team in this tick: refused tasks whose
// delay is over, then new ones. Each carries the team's ratio with the earlier
// offers counted as used.
func (s *shareRun) nextOffers(i int) []rack.Offer {
	team := s.teams[i]
	var offers []rack.Offer
	used := team.used
	for team.active && len(offers) < s.window {
		next := used.Add(team.demand.Task)
		if float64(next.MilliCPU) > team.demand.Tasks*float64(team.demand.Task.MilliCPU) {
			break
		}
		if s.capped && !team.cap.Allows(used.DominantShare(s.total), next.DominantShare(s.total), team.targetShare) {
			break
		}
		o, ok := s.nextTask(i)
		if !ok {
			break
		}
		o.Permit.Ratio = fairness.Ratio(used, s.total, team.demand.Weight)
		o.RatioStep = fairness.Ratio(team.demand.Task, s.total, team.demand.Weight)
		offers = append(offers, o)
		used = next
	}
	return offers
}

// nextTask returns a deferred task that is due, or else a new one if fewer than
// window are deferred.
func (s *shareRun) nextTask(i int) (rack.Offer, bool) {
	team := s.teams[i]
	for k, d := range team.deferred {
		if d.retryAt <= s.now {
			team.deferred = slices.Delete(team.deferred, k, k+1)
			d.offer.RefusedFor = s.now - team.firstRefusal[d.offer.Task]
			return d.offer, true
		}
	}
	if len(team.deferred) >= s.window {
		return rack.Offer{}, false
	}
	return s.gen.offer(i, team.demand.Task, s.gen.exponential(meanRun)), true
}

func (s *shareRun) placeBatch(id model.PartitionID, offers []rack.Offer) {
	if len(offers) == 0 {
		return
	}
	for _, d := range s.cell.racks[id].PlaceBatch(offers, s.now) {
		team := teamNumber(d.Offer.Permit.Team)
		if !d.Reserved {
			s.teams[team].deferTask(id, d, s.now)
			continue
		}
		s.teams[team].recordStart(d)
		heap.Push(&s.running, runningTask{
			start: s.now, end: s.now + d.Offer.ExpectedRun, team: team, rack: id, vm: d.VM, offer: d.Offer,
		})
	}
}

// refused defers a task and records whether the rack holds a worker for it.
func (t *teamState) deferTask(id model.PartitionID, d rack.Decision, now time.Duration) {
	t.deferred = append(t.deferred, deferredOffer{now + d.RetryAfter, d.Offer})
	if _, refusedBefore := t.firstRefusal[d.Offer.Task]; !refusedBefore {
		t.firstRefusal[d.Offer.Task] = now
	}
	delete(t.heldRack, d.Offer.Task)
	if d.Held {
		t.heldRack[d.Offer.Task] = id
	}
}

func (t *teamState) recordStart(d rack.Decision) {
	t.used = t.used.Add(d.Offer.Size)
	delete(t.firstRefusal, d.Offer.Task)
	delete(t.heldRack, d.Offer.Task)
}

// measureShares averages each team's share over measureTime and compares it with
// the exact weighted max-min share of the capacity in service. It returns the
// largest relative error and a text with every team's error in percent.
func (s *shareRun) measureShares() (worst float64, perTeam string) {
	total := s.cell.capacity()
	demands := s.demands()
	for _, team := range s.teams {
		team.meanShare = 0
	}
	ticks := int(measureTime / offerTick)
	for range ticks {
		s.run(s.now + offerTick)
		for _, team := range s.teams {
			team.meanShare += team.used.DominantShare(total) / float64(ticks)
		}
	}
	for i, tasks := range fairness.WaterFill(total, demands) {
		exact := tasks * demands[i].Task.DominantShare(total)
		relativeError := s.teams[i].meanShare/exact - 1
		worst = max(worst, math.Abs(relativeError))
		perTeam += fmt.Sprintf(" %+.1f", 100*relativeError)
	}
	return worst, perTeam
}

// inUse returns the fraction of the scarcest resource in service that tasks use.
func (s *shareRun) inUse() float64 {
	total := s.cell.capacity()
	var used model.Resources
	for _, team := range s.teams {
		used = used.Add(team.used)
	}
	return used.DominantShare(total)
}

func shareTable(t table) error {
	t.row("shares", "workers", "caps", "worst error", "per team, %", "in use")
	for _, u := range []user{guild, vestfjord} {
		for _, c := range []struct {
			workers int
			capped  bool
		}{{50, false}, {50, true}, {500, true}} {
			s := newShareRun(u, c.workers, rack.Policy{}, c.capped)
			s.greedyStart()
			s.run(s.now + settleTime)
			worst, perTeam := s.measureShares()
			t.row(u.name, fmt.Sprint(c.workers), fmt.Sprint(c.capped),
				fmt.Sprintf("%.1f %%", 100*worst), perTeam, fmt.Sprintf("%.1f %%", 100*s.inUse()))
			if err := s.cell.checkInvariants(); err != nil {
				return err
			}
		}
	}
	return nil
}

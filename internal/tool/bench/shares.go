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

// The load of the share measurement.
const (
	settleTime  = 5 * time.Second // after which shares must be right
	watchTime   = 5 * time.Second // over which they are averaged
	offerTick   = 5 * time.Millisecond
	summaryTick = 250 * time.Millisecond
	meanRun     = time.Second
	offerWindow = 64 // tasks that an owner has on offer or deferred, per 50 workers
)

// sharedTeam is a team of the share measurement and its owner's state.
type sharedTeam struct {
	demand  fairness.Demand
	used    model.Resources // granted and not ended, as the owner knows
	active  bool
	cap     *fairness.Cap
	target  float64                            // dominant share, as last computed by the owner
	waiting []deferred                         // refused tasks
	since   map[model.TaskID]time.Duration     // first refusals
	held    map[model.TaskID]model.PartitionID // racks that hold a worker
	done    model.Resources                    // of completed tasks, times milliseconds
	average float64                            // of its dominant share while watched
}

// deferred is a refused task that is offered again at a later reading.
type deferred struct {
	at    time.Duration
	offer rack.Offer
}

// shareRun drives team owners that decide side by side: each knows only its
// own tasks and summaries that lag, and offers to racks of its choice.
type shareRun struct {
	cell   *cell
	mix    *mix
	teams  []*sharedTeam
	total  model.Resources
	ends   endHeap
	now    time.Duration
	out    model.FailureDomain
	capped bool
	window int

	user    user
	workers int
}

func newShareRun(u user, workers int, policy rack.Policy, capped bool) *shareRun {
	s := &shareRun{cell: newCell(u.vms(workers), policy, teamCount), mix: newMix(3, u.capacity), capped: capped, window: offerWindow * workers / u.workers,
		user: u, workers: workers}
	s.total = s.cell.capacity()
	// Weights, sizes and demands differ; the last team can't use its share.
	weights := []float64{1, 1, 2, 3, 4, 4}
	sizes := []model.Resources{{MilliCPU: 1000, MemoryMiB: 1024}, {MilliCPU: 500, MemoryMiB: 4096},
		{MilliCPU: 2000, MemoryMiB: 4096}, {MilliCPU: 1000, MemoryMiB: 4096},
		{MilliCPU: 1000, MemoryMiB: 8192}, {MilliCPU: 2000, MemoryMiB: 2048}}
	for i := range teamCount {
		tasks := math.Inf(1)
		if i == teamCount-1 {
			tasks = 0.05 * float64(s.total.MilliCPU) / float64(sizes[i].MilliCPU)
		}
		s.teams = append(s.teams, &sharedTeam{
			cap: fairness.NewCap(fairness.CapPolicy{}), since: make(map[model.TaskID]time.Duration),
			held: make(map[model.TaskID]model.PartitionID), demand: fairness.Demand{
				Team: teamID(i), Weight: weights[i], Task: sizes[i], Tasks: tasks, Limit: s.total,
			}})
	}
	for _, r := range s.cell.racks {
		r.SetDomainOut(func(d model.FailureDomain) bool { return d == s.out })
	}
	return s
}

// greedyStart gives the whole cell to the first team before the others come.
func (s *shareRun) greedyStart() {
	s.teams[0].active = true
	s.run(s.now + time.Second)
	for _, team := range s.teams {
		team.active = true
	}
}

// run advances the virtual clock.
func (s *shareRun) run(until time.Duration) {
	for ; s.now < until; s.now += offerTick {
		s.finish()
		if s.now%summaryTick == 0 {
			s.cell.summarize()
			s.aim()
		}
		s.step()
	}
}

// aim recomputes every owner's target from what the summaries said.
func (s *shareRun) aim() {
	if !s.capped {
		return
	}
	s.total = s.cell.capacity()
	demands := s.demands()
	idle := 1 - s.inUse()
	for i, tasks := range fairness.WaterFill(s.total, demands) {
		s.teams[i].target = tasks * demands[i].Task.DominantShare(s.total)
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

func (s *shareRun) finish() {
	for len(s.ends) > 0 && s.ends[0].end <= s.now {
		r := heap.Pop(&s.ends).(running)
		if _, held := s.cell.racks[r.rack].Ended(r.offer.Permit.ID, rack.ResultDone, s.now); !held {
			continue // lost with its worker
		}
		team := s.teams[r.team]
		s.cell.views[r.team].Release(r.rack, r.offer.Size)
		team.used = team.used.Sub(r.offer.Size)
		team.done = team.done.Add(r.offer.Size.Scale((r.end - r.start).Milliseconds()))
	}
}

// step collects what all owners offer in a tick and lets the racks decide.
func (s *shareRun) step() {
	byRack := make(map[model.PartitionID][]rack.Offer)
	for i := range s.teams {
		for _, batch := range s.cell.distribute(i, s.grant(i), s.teams[i].held) {
			byRack[batch.rack] = append(byRack[batch.rack], batch.offers...)
		}
	}
	for _, id := range s.cell.order {
		s.decide(id, byRack[id])
	}
}

// grant returns what a team offers in this tick: refused tasks whose delay is
// over, then new ones, each with the ratio that the team has by then.
func (s *shareRun) grant(i int) []rack.Offer {
	team := s.teams[i]
	var offers []rack.Offer
	used := team.used
	for team.active && len(offers) < s.window {
		next := used.Add(team.demand.Task)
		if float64(next.MilliCPU) > team.demand.Tasks*float64(team.demand.Task.MilliCPU) {
			break
		}
		if s.capped && !team.cap.Allows(used.DominantShare(s.total), next.DominantShare(s.total), team.target) {
			break
		}
		o, ok := s.next(i)
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

// next returns a task that is due, or a new one while few are deferred.
func (s *shareRun) next(i int) (rack.Offer, bool) {
	team := s.teams[i]
	for k, d := range team.waiting {
		if d.at <= s.now {
			team.waiting = slices.Delete(team.waiting, k, k+1)
			d.offer.RefusedFor = s.now - team.since[d.offer.Task]
			return d.offer, true
		}
	}
	if len(team.waiting) >= s.window {
		return rack.Offer{}, false
	}
	return s.mix.offer(i, team.demand.Task, s.mix.exponential(meanRun)), true
}

func (s *shareRun) decide(id model.PartitionID, offers []rack.Offer) {
	if len(offers) == 0 {
		return
	}
	for _, d := range s.cell.racks[id].PlaceBatch(offers, s.now) {
		team := teamNumber(d.Offer.Permit.Team)
		if !d.Reserved {
			s.teams[team].refused(id, d, s.now)
			continue
		}
		s.teams[team].started(d)
		heap.Push(&s.ends, running{
			start: s.now, end: s.now + d.Offer.ExpectedRun, team: team, rack: id, vm: d.VM, offer: d.Offer,
		})
	}
}

// refused defers a task and remembers the rack that holds a worker for it.
func (t *sharedTeam) refused(id model.PartitionID, d rack.Decision, now time.Duration) {
	t.waiting = append(t.waiting, deferred{now + d.RetryAfter, d.Offer})
	if _, before := t.since[d.Offer.Task]; !before {
		t.since[d.Offer.Task] = now
	}
	delete(t.held, d.Offer.Task)
	if d.Held {
		t.held[d.Offer.Task] = id
	}
}

func (t *sharedTeam) started(d rack.Decision) {
	t.used = t.used.Add(d.Offer.Size)
	delete(t.since, d.Offer.Task)
	delete(t.held, d.Offer.Task)
}

// watch averages each team's share and returns the largest error against
// exact weighted max-min on the capacity in service.
func (s *shareRun) watch() (worst float64, lines string) {
	total := s.cell.capacity()
	demands := s.demands()
	for _, team := range s.teams {
		team.average = 0
	}
	ticks := int(watchTime / offerTick)
	for range ticks {
		s.run(s.now + offerTick)
		for _, team := range s.teams {
			team.average += team.used.DominantShare(total) / float64(ticks)
		}
	}
	for i, tasks := range fairness.WaterFill(total, demands) {
		exact := tasks * demands[i].Task.DominantShare(total)
		off := s.teams[i].average/exact - 1
		worst = max(worst, math.Abs(off))
		lines += fmt.Sprintf(" %+.1f", 100*off)
	}
	return worst, lines
}

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
			worst, lines := s.watch()
			t.row(u.name, fmt.Sprint(c.workers), fmt.Sprint(c.capped),
				fmt.Sprintf("%.1f %%", 100*worst), lines, fmt.Sprintf("%.1f %%", 100*s.inUse()))
			if err := s.cell.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

package main

import (
	"fmt"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

// pull takes a failure domain out and ends everything that runs there.
func (s *shareRun) pull(domain model.FailureDomain) (lost int) {
	s.out = domain
	s.eachWorker(domain, func(r *rack.Rack, vm model.VMID) {
		for _, held := range r.ReleaseVM(vm, s.now) {
			team := s.teams[teamNumber(held.Permit.Team)]
			team.used = team.used.Sub(held.Size)
			lost++
		}
	})
	return lost
}

// restore takes the domain back into service.
func (s *shareRun) restore() {
	s.eachWorker(s.out, func(r *rack.Rack, vm model.VMID) { r.SetUnresponsive(vm, false, s.now) })
	s.out = ""
}

func (s *shareRun) eachWorker(domain model.FailureDomain, do func(*rack.Rack, model.VMID)) {
	for _, vm := range s.user.vms(s.workers) {
		if vm.FailureDomain == domain {
			do(s.cell.racks[vm.Partition()], vm.ID)
		}
	}
}

// phase runs for the settling and the watching time and returns the worst
// share error and the part of the scarcest resource in service that completed
// tasks have used.
func (s *shareRun) phase() (worst, done float64) {
	before, began := s.completed(), s.now
	s.run(s.now + settleTime)
	worst, _ = s.watch()
	offered := s.cell.capacity().Scale((s.now - began).Milliseconds())
	return worst, s.completed().Sub(before).DominantShare(offered)
}

func (s *shareRun) completed() model.Resources {
	var sum model.Resources
	for _, team := range s.teams {
		sum = sum.Add(team.done)
	}
	return sum
}

// domainTable measures shares and completed work while a failure domain
// leaves without notice and comes back.
func domainTable(t table) error {
	t.row("failure domain", "phase", "worst error", "completed of capacity", "tasks lost")
	for _, u := range []user{guild, vestfjord} {
		s := newShareRun(u, u.workers, rack.Policy{}, true)
		s.greedyStart()
		for _, phase := range []string{"in service", "out", "back"} {
			lost := 0
			switch phase {
			case "out":
				lost = s.pull(u.domains[0])
			case "back":
				s.restore()
			}
			worst, done := s.phase()
			t.row(u.name, phase, fmt.Sprintf("%.1f %%", 100*worst), fmt.Sprintf("%.1f %%", 100*done), fmt.Sprint(lost))
			if err := s.cell.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

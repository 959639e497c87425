package main

import (
	"fmt"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/rack"
)

// takeDomainOut takes a failure domain out of service, ends every task that runs
// there and returns their number.
func (s *shareRun) failDomain(domain model.FailureDomain) (lost int) {
	s.domainOut = domain
	s.eachWorker(domain, func(r *rack.Rack, vm model.VMID) {
		for _, entry := range r.ReleaseVM(vm, s.now) {
			team := s.teams[teamNumber(entry.Permit.Team)]
			team.used = team.used.Sub(entry.Size)
			lost++
		}
	})
	return lost
}

// returnDomain returns the domain to service.
func (s *shareRun) restoreDomain() {
	s.eachWorker(s.domainOut, func(r *rack.Rack, vm model.VMID) { r.SetUnresponsive(vm, false, s.now) })
	s.domainOut = ""
}

func (s *shareRun) eachWorker(domain model.FailureDomain, do func(*rack.Rack, model.VMID)) {
	for _, vm := range s.user.vms(s.workers) {
		if vm.FailureDomain == domain {
			do(s.cell.racks[vm.Partition()], vm.ID)
		}
	}
}

// measurePhase runs for settleTime and measureTime. It returns the worst share
// error and the fraction of the scarcest resource in service that completed tasks
// used.
func (s *shareRun) measurePhase() (worst, used float64) {
	before, start := s.totalCompletedWork(), s.now
	s.run(s.now + settleTime)
	worst, _ = s.measureShares()
	offered := s.cell.capacity().Scale((s.now - start).Milliseconds())
	return worst, s.totalCompletedWork().Sub(before).DominantShare(offered)
}

// totalCompletedWork returns the sum of all teams' completed work.
func (s *shareRun) totalCompletedWork() model.Resources {
	var sum model.Resources
	for _, team := range s.teams {
		sum = sum.Add(team.completedWork)
	}
	return sum
}

// domainTable measures shares and completed work while a failure domain fails
// without notice and returns.
func domainTable(t table) error {
	t.row("failure domain", "phase", "worst error", "completed of capacity", "tasks lost")
	for _, u := range []user{guild, vestfjord} {
		s := newShareRun(u, u.workers, rack.Policy{}, true)
		s.greedyStart()
		for _, phase := range []string{"in service", "out", "back"} {
			lost := 0
			switch phase {
			case "out":
				lost = s.failDomain(u.domains[0])
			case "back":
				s.restoreDomain()
			}
			worst, used := s.measurePhase()
			t.row(u.name, phase, fmt.Sprintf("%.1f %%", 100*worst), fmt.Sprintf("%.1f %%", 100*used), fmt.Sprint(lost))
			if err := s.cell.checkInvariants(); err != nil {
				return err
			}
		}
	}
	return nil
}

package sched

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/app/teamowner"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	// summaryInterval is the time between reports of changed partitions to the
	// other members.
	summaryInterval = 100 * time.Millisecond
	// fullReportInterval is the time between reports of all partitions.
	fullReportInterval = time.Second
	// summaryTimeout is the timeout for sending one report to one member.
	summaryTimeout = time.Second
)

// Serve implements port.PeerHandler.
func (s *Sched) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Summaries:
		s.applyReport(body.Summaries)
		return host.Ack(nil)
	case *peerpb.Request_StatusQuery:
		return &peerpb.Response{Body: &peerpb.Response_MemberStatus{MemberStatus: s.status()}}
	case *peerpb.Request_ConfigQuery:
		return &peerpb.Response{Body: &peerpb.Response_Config{Config: s.config.Answer(body.ConfigQuery)}}
	}
	if response, ok := s.member.ServePeer(ctx, request); ok {
		return response
	}
	return s.manager.Serve(ctx, request)
}

// applyReport stores the summaries, demands and configuration revision that
// another member reports.
func (s *Sched) applyReport(report *peerpb.Summaries) {
	s.reports.addSummaries(report.GetPartitions())
	s.reports.addDemands(report.GetDemands())
	age := time.Duration(report.GetConfigAgeMs()) * time.Millisecond
	s.config.ObserveRevision(report.GetConfigRevision(), age, model.MemberID(report.GetMember()))
}

// logReaders returns the peer addresses of the other processes that may read the
// log. It returns false until the members and the VM list have been read.
func (s *Sched) logReaders() ([]string, bool) {
	members := s.member.Members()
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.Address
	}
	return s.roster.Others(s.address, addresses, s.listVMs()), len(members) > 0 && s.vmListReady()
}

// status returns the status of this member for operators.
func (s *Sched) status() *peerpb.MemberStatus {
	status := &peerpb.MemberStatus{
		Member:         string(s.id),
		ConfigRevision: s.config.Snapshot().Revision(),
		Ready:          s.Ready(),
	}
	s.manager.Each(func(id model.PartitionID, partition host.Partition) {
		summary := partition.Summary()
		if summary == nil {
			// The partition has no capacity, like those of teams and the system.
			_, epoch, _ := s.member.Owner(id)
			summary = &peerpb.PartitionSummary{Partition: string(id), Epoch: uint64(epoch)}
		}
		status.Partitions = append(status.Partitions, summary)
		if owner, ok := partition.(*teamowner.Owner); ok {
			status.Teams = append(status.Teams, owner.Status())
		}
	})
	return status
}

// reporter selects the summaries to report: those that changed since the last
// report, and all of them every fullReportInterval.
type reporter struct {
	sent       map[string]*peerpb.PartitionSummary
	nextFullAt time.Duration
}

// due returns the summaries to report now, and false if no report is needed.
func (r *reporter) due(own []*peerpb.PartitionSummary, now time.Duration) ([]*peerpb.PartitionSummary, bool) {
	if now >= r.nextFullAt {
		r.nextFullAt = now + fullReportInterval
		r.remember(own)
		return own, true
	}
	var changed []*peerpb.PartitionSummary
	for _, summary := range own {
		if !proto.Equal(summary, r.sent[summary.GetPartition()]) {
			changed = append(changed, summary)
		}
	}
	r.remember(own)
	return changed, len(changed) > 0
}

func (r *reporter) remember(own []*peerpb.PartitionSummary) {
	r.sent = make(map[string]*peerpb.PartitionSummary, len(own))
	for _, summary := range own {
		r.sent[summary.GetPartition()] = summary
	}
}

// reportSummaries reports summaries and demands to the other members until the
// context is done.
func (s *Sched) reportSummaries(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	var r reporter
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own := s.manager.Summaries()
		demands := s.manager.Demands()
		s.reports.addSummaries(own)
		s.reports.addDemands(demands)
		if changed, ok := r.due(own, s.clock.Now()); ok {
			s.sendSummaries(ctx, changed, demands)
		}
	}
}

func (s *Sched) sendSummaries(ctx context.Context, summaries []*peerpb.PartitionSummary, demands []*peerpb.TeamDemand) {
	report := &peerpb.Request{Body: &peerpb.Request_Summaries{Summaries: &peerpb.Summaries{
		Member:         string(s.id),
		Partitions:     summaries,
		Demands:        demands,
		ConfigRevision: s.config.Snapshot().Revision(),
		ConfigAgeMs:    s.config.Age().Milliseconds(),
	}}}
	for _, member := range s.member.Members() {
		if member.ID == s.id {
			continue
		}
		address := member.Address
		// Errors are ignored: the next report replaces one that could not be sent.
		_ = s.pool.Submit(func() {
			ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
			defer cancel()
			_, _ = s.peer.Call(ctx, address, report)
		})
	}
}

// wantedPartitions returns the partitions that must have an owner: one for each
// team, rack and target group, and the system partition.
func (s *Sched) wantedPartitions() []model.PartitionID {
	seen := map[model.PartitionID]bool{model.SystemPartition: true}
	for _, team := range s.config.Snapshot().Teams() {
		seen[model.TeamPartition(team)] = true
	}
	for _, vm := range s.listVMs() {
		if id := vm.Partition(); id != "" {
			seen[id] = true
		}
	}
	ids := make([]model.PartitionID, 0, len(seen))
	for id := range seen {
		ids = append(ids, id)
	}
	return ids
}
